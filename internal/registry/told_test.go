package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/limits"
	"robincart/internal/node"
	"robincart/internal/settings"
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

	mu      sync.Mutex
	trouble trouble
	queue   []*waiting
	wake    chan struct{}
	conns   map[net.Conn]bool // true: silent from now on
	calls   int               // connects that were refused or lost included
	longest int               // the queue
	failed  int               // for they had waited too long
	vain    int               // turns for callers that had left
}

type waiting struct {
	c    net.Conn
	left bool
	done bool
}

func newTurns(each, most time.Duration) *turns {
	return &turns{each: each, most: most, wake: make(chan struct{}, 1), conns: map[net.Conn]bool{}}
}

// become begins a trouble, or ends it.
func (d *turns) become(x trouble) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trouble = x
	for c := range d.conns {
		if x == vanished || x == mute {
			d.conns[c] = true
		} else if x != none && x != halves && x != brief {
			c.Close()
			delete(d.conns, c)
		}
	}
	if x != none {
		d.queue = nil
	}
}

// fall makes all open watches silent, or ends them; calls are answered as before.
func (d *turns) fall(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if d.conns[c] = true; !silent {
			c.Close()
			delete(d.conns, c)
		}
	}
}

func (d *turns) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trouble = down
	for c := range d.conns {
		c.Close()
	}
}

func (d *turns) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	switch d.trouble {
	case down:
		return nil, errors.New("refused")
	case vanished:
		d.mu.Unlock()
		<-ctx.Done()
		d.mu.Lock()
		return nil, ctx.Err()
	}
	here, there := net.Pipe()
	d.conns[there] = d.trouble == mute
	go d.serve(there)
	return here, nil
}

func (d *turns) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		if line, err := r.ReadString('\n'); err != nil {
			return
		} else if line == "\r\n" {
			break
		}
	}
	w := &waiting{c: c}
	d.mu.Lock()
	if d.conns[c] {
		d.mu.Unlock()
		return
	}
	switch d.trouble {
	case refusing:
		d.mu.Unlock()
		d.refuse(c)
		return
	case resets:
		d.mu.Unlock()
		c.Close()
		return
	}
	d.queue = append(d.queue, w)
	d.longest = max(d.longest, len(d.queue))
	d.mu.Unlock()
	time.AfterFunc(d.most, func() {
		d.mu.Lock()
		late := !w.done && !w.left
		w.done = true
		if late {
			d.failed++
		}
		d.mu.Unlock()
		if late {
			d.refuse(c)
		}
	})
	select {
	case d.wake <- struct{}{}:
	default:
	}
	if _, err := r.ReadByte(); err != nil {
		d.mu.Lock()
		w.left = true
		d.mu.Unlock()
	}
}

func (d *turns) refuse(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	c.Close()
}

// work is the loop of discovery.
func (d *turns) work(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		var w *waiting
		for len(d.queue) > 0 && w == nil {
			w = d.queue[0]
			if d.queue = d.queue[1:]; w.done || w.left && !d.blind {
				w = nil
			}
		}
		if w != nil {
			w.done = true
			if w.left {
				d.vain++
			}
		}
		d.mu.Unlock()
		if w == nil {
			select {
			case <-d.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(d.each)
		go d.watched(w.c)
	}
}

func (d *turns) watched(c net.Conn) {
	say := func(text string) bool {
		d.mu.Lock()
		silent, open := d.conns[c]
		d.mu.Unlock()
		if !open || silent {
			return false
		}
		_, err := c.Write([]byte(text))
		return err == nil
	}
	d.mu.Lock()
	x := d.trouble
	d.mu.Unlock()
	if x == halves {
		say(head + chunk(`{"revision":42,`))
		return
	}
	if say(head+line(42, true)) && x == brief {
		c.Close()
		return
	}
	for say(chunk("\n")) {
		time.Sleep(2 * time.Second)
	}
}

// bubbleClock is the core's clock on that of the bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.began) }

// AfterFunc never rings at once: with -race a timer of a bubble that is due when it is set crashes Go 1.26's runtime.
func (c bubbleClock) AfterFunc(d time.Duration, f func()) {
	time.AfterFunc(max(d, time.Nanosecond), f)
}

// hearing is a real core that notes when lists came.
type hearing struct {
	*node.Core
	mu   sync.Mutex
	last time.Time
}

func (h *hearing) Listed(e []node.Entry, full bool) {
	h.mu.Lock()
	h.last = time.Now()
	h.mu.Unlock()
	h.Core.Listed(e, full)
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
	s, err := settings.Parse(fmt.Appendf(nil, `{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],"Instances":%d,`+
		`"RegistryMode":"subscribe","Rules":{"MustAskInMs":60000}}`, instances))
	require.NoError(t, err)
	l, err := limits.Fill(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, s)
	require.NoError(t, err)
	m := &follower{budget: limits.NewBudget(2, 0, nil)}
	m.w = New("127.0.0.1:1", nil, l, m.budget, zap.NewNop())
	m.w.dial = d.dial
	m.Core = node.New(s, seed, bubbleClock{time.Now()}, time.Now(), m.w.Ask)
	m.w.Follow(m)
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
			{"down, patient", down, 4500 * time.Millisecond, 10 * time.Second, false},
			{"down, patient and blind", down, 4500 * time.Millisecond, 10 * time.Second, true},
			{"vanished", vanished, 3 * time.Second, 2 * time.Second, false},
			{"vanished, patient and blind", vanished, 4500 * time.Millisecond, 10 * time.Second, true},
			{"watches reset", none, 3 * time.Second, 2 * time.Second, false},
			{"watches reset, patient and blind", none, 4500 * time.Millisecond, 10 * time.Second, true},
			{"refused", refusing, 3 * time.Second, 2 * time.Second, false},
		} {
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
				assert.Equal(t, nodes, told, "%s: all have the list again", x.name)
				time.Sleep(10 * time.Second)
				d.mu.Lock()
				t.Logf("%3d %-34s calls while away %4d, after %4d, failed %4d, in vain %4d, queue %3d, half told %5.2f s, last %5.2f s", nodes, x.name,
					away, d.calls, d.failed, d.vain, d.longest, half.Seconds(), last.Seconds())
				d.mu.Unlock()
				end()
				d.end()
				all.Wait()
				time.Sleep(time.Hour) // timers
			})
		}
	}
}
