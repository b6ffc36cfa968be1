package endpoints

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

// These tests play on synctest's clock: the real Watcher, the real core with its module, and a stand-in for discovery behind a
// dialer of its own. What they measure is the same on any machine.

// fault is how the stand-in meets calls and watches.
type fault int

const (
	noFault       fault = iota
	down                // connections are refused, watches end
	unreachable         // connections never come up, open ones are silent for ever
	mute                // connections come up, calls are not answered, watches fall silent
	rejecting           // 503; watches end
	resetting           // after a call; watches end
	truncating          // a watch brings half a message and no more
	endingWatches       // a watch ends right behind its list
)

// fakeDiscovery is a discovery that works through calls in turn and fails those that have waited too long.
type fakeDiscovery struct {
	serviceTime  time.Duration // for one call
	queueTimeout time.Duration // that a call waits
	servesClosed bool          // who has left is worked for all the same
	// Where a call would wait longer than busy, it is refused at once, which costs the worker refusal. 0: none is.
	maxWait, rejectionTime time.Duration

	mu       sync.Mutex
	fault    fault
	queue    []*queuedPoll
	wake     chan struct{}
	conns    map[net.Conn]bool // true: silent from now on
	version  int               // of the list
	changed  chan struct{}     // closed when it changes
	polls    int               // connects that were refused or lost included
	maxQueue int               // the queue
	timedOut int               // for they had waited too long
	wasted   int               // turns for callers that had left
	rejected int               // at once
	idleAt   time.Time         // when the worker will have done all that it has
}

type queuedPoll struct {
	conn   net.Conn
	closed bool
	done   bool
}

func newFakeDiscovery(each, most time.Duration) *fakeDiscovery {
	return &fakeDiscovery{serviceTime: each, queueTimeout: most, wake: make(chan struct{}, 1), changed: make(chan struct{}), version: 42, conns: map[net.Conn]bool{}}
}

// setFault begins a trouble, or ends it.
func (f *fakeDiscovery) setFault(x fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = x
	for c := range f.conns {
		if x == unreachable || x == mute {
			f.conns[c] = true
		} else if x != noFault && x != truncating && x != endingWatches {
			c.Close()
			delete(f.conns, c)
		}
	}
	if x != noFault {
		f.queue = nil
	}
}

// publishChange has the list change, and tells it on the watches that stand.
func (f *fakeDiscovery) publishChange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// dropWatches makes all open watches silent, or ends them; calls are answered as before.
func (f *fakeDiscovery) dropWatches(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if f.conns[c] = true; !silent {
			c.Close()
			delete(f.conns, c)
		}
	}
}

func (f *fakeDiscovery) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = down
	for c := range f.conns {
		c.Close()
	}
}

func (f *fakeDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	switch f.fault {
	case down:
		return nil, errors.New("refused")
	case unreachable:
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, ctx.Err()
	}
	here, there := net.Pipe()
	f.conns[there] = f.fault == mute
	go f.serve(there)
	return here, nil
}

func (f *fakeDiscovery) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		if line, err := r.ReadString('\n'); err != nil {
			return
		} else if line == "\r\n" {
			break
		}
	}
	w := &queuedPoll{conn: c}
	f.mu.Lock()
	if f.conns[c] {
		f.mu.Unlock()
		return
	}
	switch f.fault {
	case rejecting:
		f.mu.Unlock()
		f.reject(c)
		return
	case resetting:
		f.mu.Unlock()
		c.Close()
		return
	}
	if now := time.Now(); f.maxWait > 0 {
		if f.idleAt.Before(now) {
			f.idleAt = now
		}
		if f.idleAt.Sub(now) > f.maxWait {
			f.idleAt = f.idleAt.Add(f.rejectionTime)
			f.rejected++
			f.mu.Unlock()
			f.reject(c)
			return
		}
		f.idleAt = f.idleAt.Add(f.serviceTime)
	}
	f.queue = append(f.queue, w)
	f.maxQueue = max(f.maxQueue, len(f.queue))
	f.mu.Unlock()
	time.AfterFunc(f.queueTimeout, func() {
		f.mu.Lock()
		late := !w.done && !w.closed
		w.done = true
		if late {
			f.timedOut++
		}
		f.mu.Unlock()
		if late {
			f.reject(c)
		}
	})
	select {
	case f.wake <- struct{}{}:
	default:
	}
	if _, err := r.ReadByte(); err != nil {
		f.mu.Lock()
		w.closed = true
		f.mu.Unlock()
	}
}

func (f *fakeDiscovery) reject(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	c.Close()
}

// serveQueue is the loop of discovery.
func (f *fakeDiscovery) serveQueue(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		var w *queuedPoll
		for len(f.queue) > 0 && w == nil {
			w = f.queue[0]
			if f.queue = f.queue[1:]; w.done || w.closed && !f.servesClosed {
				w = nil
			}
		}
		if w != nil {
			w.done = true
			if w.closed {
				f.wasted++
			}
		}
		f.mu.Unlock()
		if w == nil {
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		f.mu.Lock()
		rest := f.serviceTime
		if f.maxWait > 0 {
			rest = max(rest, time.Until(f.idleAt)-time.Duration(len(f.queue))*f.serviceTime)
		}
		f.mu.Unlock()
		time.Sleep(rest)
		go f.serveWatch(w.conn)
	}
}

func (f *fakeDiscovery) serveWatch(c net.Conn) {
	say := func(text string) bool {
		f.mu.Lock()
		silent, open := f.conns[c]
		f.mu.Unlock()
		if !open || silent {
			return false
		}
		_, err := c.Write([]byte(text))
		return err == nil
	}
	f.mu.Lock()
	x, version, news := f.fault, f.version, f.changed
	f.mu.Unlock()
	if x == truncating {
		say(responseHead + chunk(`{"revision":42,`))
		return
	}
	if say(responseHead+messageChunk(version, true)) && x == endingWatches {
		c.Close()
		return
	}
	for said := true; said; {
		select {
		case <-news:
			f.mu.Lock()
			version, news = f.version, f.changed
			f.mu.Unlock()
			said = say(messageChunk(version, false))
		case <-time.After(2 * time.Second):
			said = say(chunk("\n"))
		}
	}
}

// bubbleClock is the core's clock on that of the bubble.
type bubbleClock struct{ began time.Time }

func (b bubbleClock) Now() time.Duration { return time.Since(b.began) }

// AfterFunc never rings at once: with -race a timer of a bubble that is due when it is set crashes Go 1.26's runtime.
func (b bubbleClock) AfterFunc(d time.Duration, f func()) {
	time.AfterFunc(max(d, time.Nanosecond), f)
}

// updateRecorder is a real core that notes when lists came.
type updateRecorder struct {
	*node.Core
	mu         sync.Mutex
	lastUpdate time.Time
}

func (u *updateRecorder) UpdateEndpoints(e []node.Endpoint, full bool) {
	u.mu.Lock()
	u.lastUpdate = time.Now()
	u.mu.Unlock()
	u.Core.UpdateEndpoints(e, full)
}

func (u *updateRecorder) updatedSince(since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.lastUpdate.Before(since)
}

// testNode is one node: its watcher and its core.
type testNode struct {
	updateRecorder
	watcher *Watcher
	budget  *limits.Budget
}

func startNode(t *testing.T, ctx context.Context, all *sync.WaitGroup, d *fakeDiscovery, seed int64, instances int) *testNode {
	t.Helper()
	return startNodeWith(t, ctx, all, d.dial, seed, instances, limits.NewBudget(2, 0, nil))
}

func startNodeWith(t *testing.T, ctx context.Context, all *sync.WaitGroup, dial DialFunc, seed int64, instances int, budget *limits.Budget) *testNode {
	t.Helper()
	s, err := settings.Parse(fmt.Appendf(nil, `{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],"Instances":%d,`+
		`"RegistryMode":"subscribe","Rules":{"MustAskInMs":60000}}`, instances))
	require.NoError(t, err)
	l, err := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, s)
	require.NoError(t, err)
	s.MaxFirstPollDelay = l.MaxCallInterval.Seconds()
	m := &testNode{budget: budget}
	m.watcher = New("127.0.0.1:1", nil, l, m.budget, zap.NewNop())
	m.watcher.dial = dial
	m.Core = node.New(s, seed, bubbleClock{time.Now()}, time.Now(), m.watcher.RequestWatch)
	m.watcher.SetReceiver(m)
	all.Go(func() { m.watcher.Run(ctx); m.Close() })
	return m
}

// A fleet whose discovery was away, or whose watches all ended, comes back: calls, the longest queue, and when the last has the list.
func TestAFleetThatComesBackTogetherIsToldInTime(t *testing.T) {
	for _, nodes := range []int{20, 300} {
		for _, x := range []struct {
			name  string
			was   fault         // for 8 s before
			all   time.Duration // that discovery takes for as many calls as there are nodes
			most  time.Duration
			blind bool
		}{
			{"down, quick", down, 500 * time.Millisecond, 2 * time.Second, false},
			{"down", down, 3 * time.Second, 2 * time.Second, false},
			{"down, slow", down, 4500 * time.Millisecond, 2 * time.Second, false},
			{"down, patient and blind", down, 4500 * time.Millisecond, 10 * time.Second, true},
			{"down, overrun", down, 15 * time.Second, 2 * time.Second, false},
			{"vanished, patient and blind", unreachable, 4500 * time.Millisecond, 10 * time.Second, true},
			{"refused", rejecting, 3 * time.Second, 2 * time.Second, false},
			{"watches reset", noFault, 3 * time.Second, 2 * time.Second, false},
			{"watches reset, patient and blind", noFault, 4500 * time.Millisecond, 10 * time.Second, true},
			{"watches reset, overrun", noFault, 15 * time.Second, 2 * time.Second, false},
		} {
			t.Run(fmt.Sprint(nodes, " ", x.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := context.WithCancel(context.Background())
					var all sync.WaitGroup
					d := newFakeDiscovery(time.Millisecond, time.Hour)
					all.Go(func() { d.serveQueue(ctx) })
					var fleet []*testNode
					for i := range nodes {
						fleet = append(fleet, startNode(t, ctx, &all, d, int64(i+1), nodes))
					}
					time.Sleep(30 * time.Second)
					d.mu.Lock()
					d.polls = 0
					d.mu.Unlock()
					d.setFault(x.was)
					if x.was == noFault {
						d.dropWatches(false)
					} else {
						time.Sleep(8 * time.Second)
					}
					d.mu.Lock()
					d.serviceTime, d.queueTimeout, d.servesClosed = x.all/time.Duration(nodes), x.most, x.blind
					away := d.polls
					d.polls, d.timedOut, d.wasted, d.maxQueue = 0, 0, 0, 0
					d.mu.Unlock()
					back := time.Now()
					d.setFault(noFault)
					var half, last time.Duration
					told := 0
					for n := 0; told < nodes && n < 3000; n++ {
						time.Sleep(10 * time.Millisecond)
						told = 0
						for _, m := range fleet {
							if m.updatedSince(back) {
								told++
							}
						}
						if last = time.Since(back); half == 0 && 2*told >= nodes {
							half = last
						}
					}
					assert.Equal(t, nodes, told, "all have the list again")
					time.Sleep(10 * time.Second)
					d.mu.Lock()
					t.Logf("calls while away %4d, after %4d, failed %4d, in vain %4d, queue %3d, half told %5.2f s, last %5.2f s",
						away, d.polls, d.timedOut, d.wasted, d.maxQueue, half.Seconds(), last.Seconds())
					// Pauses of 0.25 s and twice as long each time, up to two thirds of what the bound allows: six calls in 8 s. A discovery that
					// could tell them all in time has no more to do for that than half as much again; one that can't fails the others over and
					// over, and a call that stands in its queue begins no other.
					assert.LessOrEqual(t, away, 6*nodes)
					if x.all < maxUpdateDelay {
						assert.LessOrEqual(t, last, maxUpdateDelay)
						assert.LessOrEqual(t, d.polls, 3*nodes/2)
					} else {
						assert.LessOrEqual(t, last, x.all+maxUpdateDelay)
						assert.LessOrEqual(t, d.polls, 4*nodes)
					}
					d.mu.Unlock()
					end()
					d.close()
					all.Wait()
					time.Sleep(time.Hour) // timers
				})
			})
		}
	}
}

// maxUpdateDelay is the operators' term: whatever is allowed after a call that failed, was refused or given up, a change counts as told so
// long after discovery had it and could be reached.
const maxUpdateDelay = 6 * time.Second

// pollTime is how long a discovery that works takes here for a call: STANDING.md leaves a call that waits as much.
const pollTime = 2 * time.Second

// A discovery that can just tell the whole fleet in time, but refuses at once whoever would have to wait, must neither stand idle
// while the last nodes wait out long pauses nor be kept busy with refusals. The watches fall silent together, as on the operators'
// days on which this failed: a third of a second for a call, 18 nodes, and two thirds of a second that a call may wait.
func TestABusyDiscoveryThatRefusesAtOnceIsAskedAgainInTime(t *testing.T) {
	for _, x := range []struct {
		name          string
		nodes         int
		each, refusal time.Duration
		last          time.Duration // in the mean over the plays, from the silence on
		calls         float64       // a node, in the mean
	}{
		{"slower than what binds", 18, 444 * time.Millisecond, 28 * time.Millisecond, 10500 * time.Millisecond, 3},
		{"just able", 18, 340 * time.Millisecond, 20 * time.Millisecond, 7800 * time.Millisecond, 2.3},
		{"with some to spare", 18, 250 * time.Millisecond, 20 * time.Millisecond, 5900 * time.Millisecond, 1.7},
		{"large fleet", 300, 18 * time.Millisecond, time.Millisecond, 7150 * time.Millisecond, 1.9},
		{"refusals cost a third of a call", 18, 250 * time.Millisecond, 80 * time.Millisecond, 7300 * time.Millisecond, 2.2},
	} {
		t.Run(x.name, func(t *testing.T) {
			const plays = 20
			total, worst, calls := time.Duration(0), time.Duration(0), 0
			for play := range plays {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := context.WithCancel(context.Background())
					var all sync.WaitGroup
					d := newFakeDiscovery(time.Millisecond, time.Hour)
					all.Go(func() { d.serveQueue(ctx) })
					var fleet []*testNode
					for i := range x.nodes {
						fleet = append(fleet, startNode(t, ctx, &all, d, int64(1000*play+i), x.nodes))
					}
					time.Sleep(30 * time.Second)
					d.mu.Lock()
					d.serviceTime, d.rejectionTime, d.maxWait, d.polls = x.each, x.refusal, 650*time.Millisecond, 0
					d.mu.Unlock()
					silent := time.Now()
					d.dropWatches(true)
					for _, f := range fleet {
						for !f.updatedSince(silent) && time.Since(silent) < time.Minute {
							time.Sleep(10 * time.Millisecond)
						}
					}
					took := time.Since(silent)
					total += took
					worst = max(worst, took)
					d.mu.Lock()
					calls += d.polls
					d.mu.Unlock()
					end()
					d.close()
					all.Wait()
					time.Sleep(time.Hour) // timers
				})
			}
			mean, each := total/plays, float64(calls)/float64(plays*x.nodes)
			t.Logf("the last node %.2f s after the silence in the mean, %.2f s at most; %.2f calls a node", mean.Seconds(), worst.Seconds(), each)
			assert.LessOrEqual(t, mean, x.last)
			assert.LessOrEqual(t, each, x.calls)
		})
	}
}

// Where all move to another discovery, which refuses many of them, a node that has heard nothing for long has to get ahead.
func TestANodeWhoseListIsOlderGetsAheadOfOthersAtABusyDiscovery(t *testing.T) {
	const nodes, plays = 18, 100
	var old, others time.Duration
	for play := range plays {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(context.Background())
			var all sync.WaitGroup
			before, refuses, next := newFakeDiscovery(time.Millisecond, time.Hour), newFakeDiscovery(0, time.Hour), newFakeDiscovery(370*time.Millisecond, time.Hour)
			refuses.setFault(rejecting)
			next.maxWait, next.rejectionTime = 630*time.Millisecond, 20*time.Millisecond
			for _, d := range []*fakeDiscovery{before, refuses, next} {
				all.Go(func() { d.serveQueue(ctx) })
			}
			var fleet []*testNode
			for i := range nodes {
				first := before
				if i == 0 {
					first = refuses
				}
				dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
					if addr == "127.0.0.1:2" {
						return next.dial(ctx, network, addr)
					}
					return first.dial(ctx, network, addr)
				}
				fleet = append(fleet, startNodeWith(t, ctx, &all, dial, int64(1000*play+i), nodes, limits.NewBudget(2, 0, nil)))
			}
			time.Sleep(13 * time.Second)
			moved := make([]time.Time, nodes)
			for _, i := range rand.New(rand.NewSource(int64(play))).Perm(nodes) {
				moved[i] = time.Now()
				fleet[i].watcher.SetAddress("127.0.0.1:2")
				time.Sleep(100 * time.Millisecond)
			}
			// The lists of before were heard before the move, so a later one is of the new discovery.
			for i, f := range fleet {
				for !f.updatedSince(moved[i].Add(time.Millisecond)) && time.Since(moved[i]) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				f.mu.Lock()
				took := f.lastUpdate.Sub(moved[i])
				f.mu.Unlock()
				if i == 0 {
					old += took
				} else {
					others += took
				}
			}
			end()
			for _, d := range []*fakeDiscovery{before, refuses, next} {
				d.close()
			}
			all.Wait()
			time.Sleep(time.Hour) // timers
		})
	}
	old, others = old/plays, others/(plays*(nodes-1))
	t.Logf("the old list is renewed %.2f s after the move in the mean, the others %.2f s", old.Seconds(), others.Seconds())
	assert.Less(t, old, others*7/10)
}

func TestPausesAfterRefusalsFallWhileTheListGrowsOld(t *testing.T) {
	l := limits.Limits{MaxCallInterval: 3 * time.Second, MaxUpdateDelay: 6 * time.Second, WatchSilenceTimeout: 2 * time.Second}
	for _, x := range []struct{ age, refused, longest time.Duration }{
		{0, 0, 3 * time.Second},
		{2 * time.Second, 0, 3 * time.Second},
		{5 * time.Second, 2 * time.Second, 2 * time.Second},
		{8 * time.Second, 5 * time.Second, time.Second},
		{time.Hour, 0, time.Second},
		{time.Hour, 7999 * time.Millisecond, time.Second},
		{time.Hour, 8 * time.Second, 3 * time.Second},
	} {
		assert.Equal(t, x.longest, maxPauseAfterRejection(l, x.age, x.refused), "%+v", x)
	}
}

func TestAChangeIsToldInTimeWhateverCameBefore(t *testing.T) {
	become := func(all ...fault) func(*fakeDiscovery, *testNode, *rand.Rand, time.Duration) {
		return func(d *fakeDiscovery, _ *testNode, _ *rand.Rand, lasts time.Duration) {
			for _, x := range all {
				d.setFault(x)
				d.dropWatches(x == unreachable || x == mute)
				time.Sleep(lasts / time.Duration(len(all)))
			}
		}
	}
	for name, before := range map[string]func(*fakeDiscovery, *testNode, *rand.Rand, time.Duration){
		"down":                    become(down),
		"vanished":                become(unreachable),
		"mute":                    become(mute),
		"refusing":                become(rejecting),
		"resets":                  become(resetting),
		"half a message":          become(truncating),
		"ends its lists":          become(endingWatches),
		"down, then mute":         become(down, mute),
		"refusing, then vanished": become(rejecting, unreachable),
		"fallen silent": func(d *fakeDiscovery, _ *testNode, _ *rand.Rand, lasts time.Duration) {
			time.Sleep(lasts)
			d.dropWatches(true)
		},
		"one after another": func(d *fakeDiscovery, _ *testNode, r *rand.Rand, lasts time.Duration) {
			for end := time.Now().Add(lasts); time.Now().Before(end); {
				d.setFault(fault(1 + r.Intn(int(endingWatches))))
				time.Sleep(min(time.Until(end), time.Duration(r.Float64()*float64(3*time.Second))))
			}
		},
		"moves": func(d *fakeDiscovery, f *testNode, r *rand.Rand, lasts time.Duration) {
			d.setFault(fault(1 + r.Intn(int(endingWatches))))
			for end, i := time.Now().Add(lasts), 2; time.Now().Before(end); i++ {
				f.watcher.SetAddress(fmt.Sprintf("127.0.0.1:%d", i))
				time.Sleep(min(time.Until(end), time.Duration(r.Float64()*float64(5*time.Second))))
			}
		},
		"no descriptor to spare": func(d *fakeDiscovery, f *testNode, _ *rand.Rand, lasts time.Duration) {
			assert.True(t, f.budget.Acquire())
			d.dropWatches(false)
			synctest.Wait()
			assert.False(t, f.budget.Acquire(), "the watcher keeps its own")
			time.Sleep(lasts)
			f.budget.Release()
		},
		"one descriptor": func(d *fakeDiscovery, f *testNode, _ *rand.Rand, lasts time.Duration) {
			assert.True(t, f.budget.Acquire())
			d.setFault(mute)
			time.Sleep(lasts)
		},
		"a new process":                      nil,
		"a new process without a descriptor": nil,
	} {
		worst, late := time.Duration(0), 0
		for n := range 40 {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(context.Background())
				var all sync.WaitGroup
				d := newFakeDiscovery(pollTime, time.Hour)
				all.Go(func() { d.serveQueue(ctx) })
				lasts := time.Duration(n) * 397 * time.Millisecond
				r := rand.New(rand.NewSource(int64(n)))
				var f *testNode
				if name == "a new process without a descriptor" {
					budget := limits.NewBudget(2, 0, nil)
					assert.True(t, budget.Acquire())
					assert.True(t, budget.Acquire())
					f = startNodeWith(t, ctx, &all, d.dial, int64(n), 300, budget)
					time.Sleep(lasts)
					budget.Release()
					budget.Release()
				} else if before == nil {
					x := fault(n % int(endingWatches+1))
					d.setFault(x)
					f = startNode(t, ctx, &all, d, int64(n), 300)
					if x != noFault {
						time.Sleep(lasts)
					}
				} else {
					f = startNode(t, ctx, &all, d, int64(n), 300)
					time.Sleep(40 * time.Second)
					before(d, f, r, lasts)
				}
				back := time.Now()
				d.setFault(noFault)
				d.publishChange()
				for !f.updatedSince(back) && time.Since(back) < 30*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(back)
				if worst = max(worst, took); took > maxUpdateDelay {
					late++
				}
				end()
				d.close()
				all.Wait()
				time.Sleep(2 * time.Hour) // timers
			})
		}
		t.Logf("%-24s late %2d of 40, the longest %5.2f s", name, late, worst.Seconds())
		assert.LessOrEqual(t, worst, maxUpdateDelay, name)
	}
}

// A discovery that resets each watch right behind its list is asked no oftener than one that fails: by pauses that grow up to what
// the bound allows, of which the shortest is a third.
// A watch may end instead of telling, and what it did not tell binds soon after its end, however often calls had failed before it
// and however short it was.
func TestWhatAWatchEndsInsteadOfTellingIsToldSoon(t *testing.T) {
	const binds, answers = 2 * time.Second, 300 * time.Millisecond
	worst := time.Duration(0)
	for n := range 40 {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(context.Background())
			var all sync.WaitGroup
			d := newFakeDiscovery(answers, time.Hour)
			all.Go(func() { d.serveQueue(ctx) })
			d.setFault(rejecting)
			f := startNode(t, ctx, &all, d, int64(n), 1)
			time.Sleep(10 * time.Second) // the pauses have grown
			back := time.Now()
			d.setFault(noFault)
			for !f.updatedSince(back) {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Duration(n) * 97 * time.Millisecond)
			ended := time.Now()
			d.dropWatches(false)
			d.publishChange()
			for !f.updatedSince(ended) {
				time.Sleep(10 * time.Millisecond)
			}
			worst = max(worst, time.Since(ended))
			end()
			d.close()
			all.Wait()
			time.Sleep(time.Hour) // timers
		})
	}
	t.Logf("the longest %.2f s", worst.Seconds())
	assert.Less(t, worst, binds)
}

func TestADiscoveryThatResetsEachWatchRightBehindItsListIsNotAskedEverSoOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(context.Background())
		var all sync.WaitGroup
		d := newFakeDiscovery(time.Millisecond, time.Hour)
		d.setFault(endingWatches)
		all.Go(func() { d.serveQueue(ctx) })
		f := startNode(t, ctx, &all, d, 1, 1)
		time.Sleep(10 * time.Second)
		d.mu.Lock()
		d.polls = 0
		d.mu.Unlock()
		time.Sleep(time.Minute)
		assert.True(t, f.updatedSince(time.Now().Add(-f.watcher.limits.MaxCallInterval)), "each list is taken")
		d.mu.Lock()
		assert.LessOrEqual(t, d.polls, int(time.Minute/(f.watcher.limits.MaxReconnectDelay/2)))
		assert.GreaterOrEqual(t, d.polls, int(time.Minute/f.watcher.limits.MaxCallInterval))
		t.Logf("%d calls in a minute", d.polls)
		d.mu.Unlock()
		end()
		d.close()
		all.Wait()
		time.Sleep(time.Hour) // timers
	})
}
