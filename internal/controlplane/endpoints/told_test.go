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

// trouble is how the stand-in meets calls and watches.
type trouble int

const (
	none     trouble = iota
	down             // connections are refused, watches end
	vanished         // connections never come up, open ones are silent for ever
	mute             // connections come up, calls are not answered, watches fall silent
	refusing         // 503; watches end
	resets           // after a call; watches end
	halves           // a watch brings half a message and no more
	brief            // a watch ends right behind its list
)

// turns is a discovery that works through calls in turn and fails those that have waited too long.
type turns struct {
	each  time.Duration // for one call
	most  time.Duration // that a call waits
	blind bool          // who has left is worked for all the same
	// Where a call would wait longer than busy, it is refused at once, which costs the worker refusal. 0: none is.
	busy, refusal time.Duration

	mu      sync.Mutex
	trouble trouble
	queue   []*waiting
	wake    chan struct{}
	conns   map[net.Conn]bool // true: silent from now on
	version int               // of the list
	news    chan struct{}     // closed when it changes
	calls   int               // connects that were refused or lost included
	longest int               // the queue
	failed  int               // for they had waited too long
	vain    int               // turns for callers that had left
	refused int               // at once
	free    time.Time         // when the worker will have done all that it has
}

type waiting struct {
	c    net.Conn
	left bool
	done bool
}

func newTurns(each, most time.Duration) *turns {
	return &turns{each: each, most: most, wake: make(chan struct{}, 1), news: make(chan struct{}), version: 42, conns: map[net.Conn]bool{}}
}

// become begins a trouble, or ends it.
func (t *turns) become(x trouble) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trouble = x
	for c := range t.conns {
		if x == vanished || x == mute {
			t.conns[c] = true
		} else if x != none && x != halves && x != brief {
			c.Close()
			delete(t.conns, c)
		}
	}
	if x != none {
		t.queue = nil
	}
}

// change has the list change, and tells it on the watches that stand.
func (t *turns) change() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	close(t.news)
	t.news = make(chan struct{})
}

// fall makes all open watches silent, or ends them; calls are answered as before.
func (t *turns) fall(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if t.conns[c] = true; !silent {
			c.Close()
			delete(t.conns, c)
		}
	}
}

func (t *turns) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trouble = down
	for c := range t.conns {
		c.Close()
	}
}

func (t *turns) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	switch t.trouble {
	case down:
		return nil, errors.New("refused")
	case vanished:
		t.mu.Unlock()
		<-ctx.Done()
		t.mu.Lock()
		return nil, ctx.Err()
	}
	here, there := net.Pipe()
	t.conns[there] = t.trouble == mute
	go t.serve(there)
	return here, nil
}

func (t *turns) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		if line, err := r.ReadString('\n'); err != nil {
			return
		} else if line == "\r\n" {
			break
		}
	}
	w := &waiting{c: c}
	t.mu.Lock()
	if t.conns[c] {
		t.mu.Unlock()
		return
	}
	switch t.trouble {
	case refusing:
		t.mu.Unlock()
		t.refuse(c)
		return
	case resets:
		t.mu.Unlock()
		c.Close()
		return
	}
	if now := time.Now(); t.busy > 0 {
		if t.free.Before(now) {
			t.free = now
		}
		if t.free.Sub(now) > t.busy {
			t.free = t.free.Add(t.refusal)
			t.refused++
			t.mu.Unlock()
			t.refuse(c)
			return
		}
		t.free = t.free.Add(t.each)
	}
	t.queue = append(t.queue, w)
	t.longest = max(t.longest, len(t.queue))
	t.mu.Unlock()
	time.AfterFunc(t.most, func() {
		t.mu.Lock()
		late := !w.done && !w.left
		w.done = true
		if late {
			t.failed++
		}
		t.mu.Unlock()
		if late {
			t.refuse(c)
		}
	})
	select {
	case t.wake <- struct{}{}:
	default:
	}
	if _, err := r.ReadByte(); err != nil {
		t.mu.Lock()
		w.left = true
		t.mu.Unlock()
	}
}

func (t *turns) refuse(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	c.Close()
}

// work is the loop of discovery.
func (t *turns) work(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		var w *waiting
		for len(t.queue) > 0 && w == nil {
			w = t.queue[0]
			if t.queue = t.queue[1:]; w.done || w.left && !t.blind {
				w = nil
			}
		}
		if w != nil {
			w.done = true
			if w.left {
				t.vain++
			}
		}
		t.mu.Unlock()
		if w == nil {
			select {
			case <-t.wake:
			case <-ctx.Done():
			}
			continue
		}
		t.mu.Lock()
		rest := t.each
		if t.busy > 0 {
			rest = max(rest, time.Until(t.free)-time.Duration(len(t.queue))*t.each)
		}
		t.mu.Unlock()
		time.Sleep(rest)
		go t.watched(w.c)
	}
}

func (t *turns) watched(c net.Conn) {
	say := func(text string) bool {
		t.mu.Lock()
		silent, open := t.conns[c]
		t.mu.Unlock()
		if !open || silent {
			return false
		}
		_, err := c.Write([]byte(text))
		return err == nil
	}
	t.mu.Lock()
	x, version, news := t.trouble, t.version, t.news
	t.mu.Unlock()
	if x == halves {
		say(head + chunk(`{"revision":42,`))
		return
	}
	if say(head+line(version, true)) && x == brief {
		c.Close()
		return
	}
	for said := true; said; {
		select {
		case <-news:
			t.mu.Lock()
			version, news = t.version, t.news
			t.mu.Unlock()
			said = say(line(version, false))
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

// hearing is a real core that notes when lists came.
type hearing struct {
	*node.Core
	mu   sync.Mutex
	last time.Time
}

func (h *hearing) UpdateEndpoints(e []node.Endpoint, full bool) {
	h.mu.Lock()
	h.last = time.Now()
	h.mu.Unlock()
	h.Core.UpdateEndpoints(e, full)
}

func (h *hearing) heard(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.last.Before(since)
}

// follower is one node: its watcher and its core.
type follower struct {
	hearing
	w      *Watcher
	budget *limits.Budget
}

func started(t *testing.T, ctx context.Context, all *sync.WaitGroup, d *turns, seed int64, instances int) *follower {
	t.Helper()
	return startedWith(t, ctx, all, d.dial, seed, instances, limits.NewBudget(2, 0, nil))
}

func startedWith(t *testing.T, ctx context.Context, all *sync.WaitGroup, dial DialFunc, seed int64, instances int, budget *limits.Budget) *follower {
	t.Helper()
	s, err := settings.Parse(fmt.Appendf(nil, `{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],"Instances":%d,`+
		`"RegistryMode":"subscribe","Rules":{"MustAskInMs":60000}}`, instances))
	require.NoError(t, err)
	l, err := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, s)
	require.NoError(t, err)
	s.MaxFirstPollDelay = l.MaxCallInterval.Seconds()
	m := &follower{budget: budget}
	m.w = New("127.0.0.1:1", nil, l, m.budget, zap.NewNop())
	m.w.dial = dial
	m.Core = node.New(s, seed, bubbleClock{time.Now()}, time.Now(), m.w.RequestWatch)
	m.w.SetReceiver(m)
	all.Go(func() { m.w.Run(ctx); m.Close() })
	return m
}

// A fleet whose discovery was away, or whose watches all ended, comes back: calls, the longest queue, and when the last has the list.
func TestAFleetThatComesBackTogetherIsToldInTime(t *testing.T) {
	for _, nodes := range []int{20, 300} {
		for _, x := range []struct {
			name  string
			was   trouble       // for 8 s before
			all   time.Duration // that discovery takes for as many calls as there are nodes
			most  time.Duration
			blind bool
		}{
			{"down, quick", down, 500 * time.Millisecond, 2 * time.Second, false},
			{"down", down, 3 * time.Second, 2 * time.Second, false},
			{"down, slow", down, 4500 * time.Millisecond, 2 * time.Second, false},
			{"down, patient and blind", down, 4500 * time.Millisecond, 10 * time.Second, true},
			{"down, overrun", down, 15 * time.Second, 2 * time.Second, false},
			{"vanished, patient and blind", vanished, 4500 * time.Millisecond, 10 * time.Second, true},
			{"refused", refusing, 3 * time.Second, 2 * time.Second, false},
			{"watches reset", none, 3 * time.Second, 2 * time.Second, false},
			{"watches reset, patient and blind", none, 4500 * time.Millisecond, 10 * time.Second, true},
			{"watches reset, overrun", none, 15 * time.Second, 2 * time.Second, false},
		} {
			t.Run(fmt.Sprint(nodes, " ", x.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := context.WithCancel(context.Background())
					var all sync.WaitGroup
					d := newTurns(time.Millisecond, time.Hour)
					all.Go(func() { d.work(ctx) })
					var fleet []*follower
					for i := range nodes {
						fleet = append(fleet, started(t, ctx, &all, d, int64(i+1), nodes))
					}
					time.Sleep(30 * time.Second)
					d.mu.Lock()
					d.calls = 0
					d.mu.Unlock()
					d.become(x.was)
					if x.was == none {
						d.fall(false)
					} else {
						time.Sleep(8 * time.Second)
					}
					d.mu.Lock()
					d.each, d.most, d.blind = x.all/time.Duration(nodes), x.most, x.blind
					away := d.calls
					d.calls, d.failed, d.vain, d.longest = 0, 0, 0, 0
					d.mu.Unlock()
					back := time.Now()
					d.become(none)
					var half, last time.Duration
					told := 0
					for n := 0; told < nodes && n < 3000; n++ {
						time.Sleep(10 * time.Millisecond)
						told = 0
						for _, m := range fleet {
							if m.heard(back) {
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
						away, d.calls, d.failed, d.vain, d.longest, half.Seconds(), last.Seconds())
					// Pauses of 0.25 s and twice as long each time, up to two thirds of what the bound allows: six calls in 8 s. A discovery that
					// could tell them all in time has no more to do for that than half as much again; one that can't fails the others over and
					// over, and a call that stands in its queue begins no other.
					assert.LessOrEqual(t, away, 6*nodes)
					if x.all < toldBy {
						assert.LessOrEqual(t, last, toldBy)
						assert.LessOrEqual(t, d.calls, 3*nodes/2)
					} else {
						assert.LessOrEqual(t, last, x.all+toldBy)
						assert.LessOrEqual(t, d.calls, 4*nodes)
					}
					d.mu.Unlock()
					end()
					d.end()
					all.Wait()
					time.Sleep(time.Hour) // timers
				})
			})
		}
	}
}

// toldBy is the operators' term: whatever is allowed after a call that failed, was refused or given up, a change counts as told so
// long after discovery had it and could be reached.
const toldBy = 6 * time.Second

// queued is how long a discovery that works takes here for a call: STANDING.md leaves a call that waits as much.
const queued = 2 * time.Second

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
					d := newTurns(time.Millisecond, time.Hour)
					all.Go(func() { d.work(ctx) })
					var fleet []*follower
					for i := range x.nodes {
						fleet = append(fleet, started(t, ctx, &all, d, int64(1000*play+i), x.nodes))
					}
					time.Sleep(30 * time.Second)
					d.mu.Lock()
					d.each, d.refusal, d.busy, d.calls = x.each, x.refusal, 650*time.Millisecond, 0
					d.mu.Unlock()
					silent := time.Now()
					d.fall(true)
					for _, f := range fleet {
						for !f.heard(silent) && time.Since(silent) < time.Minute {
							time.Sleep(10 * time.Millisecond)
						}
					}
					took := time.Since(silent)
					total += took
					worst = max(worst, took)
					d.mu.Lock()
					calls += d.calls
					d.mu.Unlock()
					end()
					d.end()
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
			before, refuses, next := newTurns(time.Millisecond, time.Hour), newTurns(0, time.Hour), newTurns(370*time.Millisecond, time.Hour)
			refuses.become(refusing)
			next.busy, next.refusal = 630*time.Millisecond, 20*time.Millisecond
			for _, d := range []*turns{before, refuses, next} {
				all.Go(func() { d.work(ctx) })
			}
			var fleet []*follower
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
				fleet = append(fleet, startedWith(t, ctx, &all, dial, int64(1000*play+i), nodes, limits.NewBudget(2, 0, nil)))
			}
			time.Sleep(13 * time.Second)
			moved := make([]time.Time, nodes)
			for _, i := range rand.New(rand.NewSource(int64(play))).Perm(nodes) {
				moved[i] = time.Now()
				fleet[i].w.SetAddress("127.0.0.1:2")
				time.Sleep(100 * time.Millisecond)
			}
			// The lists of before were heard before the move, so a later one is of the new discovery.
			for i, f := range fleet {
				for !f.heard(moved[i].Add(time.Millisecond)) && time.Since(moved[i]) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				f.mu.Lock()
				took := f.last.Sub(moved[i])
				f.mu.Unlock()
				if i == 0 {
					old += took
				} else {
					others += took
				}
			}
			end()
			for _, d := range []*turns{before, refuses, next} {
				d.end()
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
		assert.Equal(t, x.longest, longestPause(l, x.age, x.refused), "%+v", x)
	}
}

func TestAChangeIsToldInTimeWhateverCameBefore(t *testing.T) {
	become := func(all ...trouble) func(*turns, *follower, *rand.Rand, time.Duration) {
		return func(d *turns, _ *follower, _ *rand.Rand, lasts time.Duration) {
			for _, x := range all {
				d.become(x)
				d.fall(x == vanished || x == mute)
				time.Sleep(lasts / time.Duration(len(all)))
			}
		}
	}
	for name, before := range map[string]func(*turns, *follower, *rand.Rand, time.Duration){
		"down":                    become(down),
		"vanished":                become(vanished),
		"mute":                    become(mute),
		"refusing":                become(refusing),
		"resets":                  become(resets),
		"half a message":          become(halves),
		"ends its lists":          become(brief),
		"down, then mute":         become(down, mute),
		"refusing, then vanished": become(refusing, vanished),
		"fallen silent":           func(d *turns, _ *follower, _ *rand.Rand, lasts time.Duration) { time.Sleep(lasts); d.fall(true) },
		"one after another": func(d *turns, _ *follower, r *rand.Rand, lasts time.Duration) {
			for end := time.Now().Add(lasts); time.Now().Before(end); {
				d.become(trouble(1 + r.Intn(int(brief))))
				time.Sleep(min(time.Until(end), time.Duration(r.Float64()*float64(3*time.Second))))
			}
		},
		"moves": func(d *turns, f *follower, r *rand.Rand, lasts time.Duration) {
			d.become(trouble(1 + r.Intn(int(brief))))
			for end, i := time.Now().Add(lasts), 2; time.Now().Before(end); i++ {
				f.w.SetAddress(fmt.Sprintf("127.0.0.1:%d", i))
				time.Sleep(min(time.Until(end), time.Duration(r.Float64()*float64(5*time.Second))))
			}
		},
		"no descriptor to spare": func(d *turns, f *follower, _ *rand.Rand, lasts time.Duration) {
			assert.True(t, f.budget.Acquire())
			d.fall(false)
			synctest.Wait()
			assert.False(t, f.budget.Acquire(), "the watcher keeps its own")
			time.Sleep(lasts)
			f.budget.Release()
		},
		"one descriptor": func(d *turns, f *follower, _ *rand.Rand, lasts time.Duration) {
			assert.True(t, f.budget.Acquire())
			d.become(mute)
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
				d := newTurns(queued, time.Hour)
				all.Go(func() { d.work(ctx) })
				lasts := time.Duration(n) * 397 * time.Millisecond
				r := rand.New(rand.NewSource(int64(n)))
				var f *follower
				if name == "a new process without a descriptor" {
					budget := limits.NewBudget(2, 0, nil)
					assert.True(t, budget.Acquire())
					assert.True(t, budget.Acquire())
					f = startedWith(t, ctx, &all, d.dial, int64(n), 300, budget)
					time.Sleep(lasts)
					budget.Release()
					budget.Release()
				} else if before == nil {
					x := trouble(n % int(brief+1))
					d.become(x)
					f = started(t, ctx, &all, d, int64(n), 300)
					if x != none {
						time.Sleep(lasts)
					}
				} else {
					f = started(t, ctx, &all, d, int64(n), 300)
					time.Sleep(40 * time.Second)
					before(d, f, r, lasts)
				}
				back := time.Now()
				d.become(none)
				d.change()
				for !f.heard(back) && time.Since(back) < 30*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(back)
				if worst = max(worst, took); took > toldBy {
					late++
				}
				end()
				d.end()
				all.Wait()
				time.Sleep(2 * time.Hour) // timers
			})
		}
		t.Logf("%-24s late %2d of 40, the longest %5.2f s", name, late, worst.Seconds())
		assert.LessOrEqual(t, worst, toldBy, name)
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
			d := newTurns(answers, time.Hour)
			all.Go(func() { d.work(ctx) })
			d.become(refusing)
			f := started(t, ctx, &all, d, int64(n), 1)
			time.Sleep(10 * time.Second) // the pauses have grown
			back := time.Now()
			d.become(none)
			for !f.heard(back) {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Duration(n) * 97 * time.Millisecond)
			ended := time.Now()
			d.fall(false)
			d.change()
			for !f.heard(ended) {
				time.Sleep(10 * time.Millisecond)
			}
			worst = max(worst, time.Since(ended))
			end()
			d.end()
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
		d := newTurns(time.Millisecond, time.Hour)
		d.become(brief)
		all.Go(func() { d.work(ctx) })
		f := started(t, ctx, &all, d, 1, 1)
		time.Sleep(10 * time.Second)
		d.mu.Lock()
		d.calls = 0
		d.mu.Unlock()
		time.Sleep(time.Minute)
		assert.True(t, f.heard(time.Now().Add(-f.w.limits.MaxCallInterval)), "each list is taken")
		d.mu.Lock()
		assert.LessOrEqual(t, d.calls, int(time.Minute/(f.w.limits.MaxReconnectDelay/2)))
		assert.GreaterOrEqual(t, d.calls, int(time.Minute/f.w.limits.MaxCallInterval))
		t.Logf("%d calls in a minute", d.calls)
		d.mu.Unlock()
		end()
		d.end()
		all.Wait()
		time.Sleep(time.Hour) // timers
	})
}
