package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/wire"
)

// MisbehavingClients misbehave at one node: they stop in the middle of a request and stay, connect and say nothing, send much at once and go, leave
// early, ask several things at once on one connection, and ask with hardly any time left. What they ask is in the ledger like any other caller's.
type MisbehavingClients struct {
	Begin   time.Time
	Dest    load.Destination
	Log     *judge.Ledger
	Method  uint16 // idempotent
	Name    string // the method's
	Host    string
	Tenant  string
	Calls   *atomic.Uint32 // numbers calls over all rude clients
	Excused func(since time.Duration) bool
	Lasting time.Duration // how long an answer is waited for past its time
}

// rudeCalls is where the numbers of these clients' calls begin.
const rudeCalls = 0xc0000000

// rudePause is how often one of each kind comes.
const rudePause = 120 * time.Millisecond

// Run goes on until the context ends, and waits for answers that are due.
func (r *MisbehavingClients) Run(ctx context.Context) {
	ways := []func(context.Context){r.Stall, r.mute, r.flood, r.leave, r.pipeline, r.hasty}
	var all sync.WaitGroup
	for _, way := range ways {
		all.Go(func() {
			var out sync.WaitGroup
			for ctx.Err() == nil {
				out.Go(func() { way(ctx) })
				select {
				case <-ctx.Done():
				case <-time.After(rudePause + rand.N(rudePause)):
				}
			}
			out.Wait()
		})
	}
	all.Wait()
}

func (r *MisbehavingClients) dial() net.Conn {
	c, err := net.DialTimeout("tcp", r.Dest.Addr, time.Second)
	if err != nil {
		return nil
	}
	return c
}

func (r *MisbehavingClients) now() time.Duration { return time.Since(r.Begin) }

// request is one, and its entry in the ledger.
func (r *MisbehavingClients) request(lasts, work time.Duration) (string, judge.ClientAttempt) {
	id := judge.ID{Call: rudeCalls + r.Calls.Add(1)}
	now := r.now()
	t := judge.ClientAttempt{ID: id, Method: r.Method, Node: r.Dest.Node, Planned: now, Handed: now, Sent: now, Until: now + lasts}
	return fmt.Sprintf("GET /%s/rude?w=%.1f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", r.Name, float64(work)/float64(time.Millisecond), r.Host,
		wire.Trace, wire.ID{Call: id.Call}.String(), wire.Method, r.Name, wire.Tenant, r.Tenant, wire.Left, lasts.Milliseconds()), t
}

// Stall sends a part of a request and stays: it stops in the head, or in a body of up to half a megabyte.
func (r *MisbehavingClients) Stall(ctx context.Context) {
	c := r.dial()
	if c == nil {
		return
	}
	defer c.Close()
	text, _ := r.request(time.Second, 0)
	if body := []int{0, 1 << 10, 60 << 10, 512 << 10}[rand.IntN(4)]; body == 0 {
		text = text[:len(text)/2]
	} else {
		text = strings.TrimSuffix(text, "\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n", body) + strings.Repeat("x", body*3/4)
	}
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write([]byte(text))
	stopped := r.now()
	r.stay(ctx, c)
	if ctx.Err() == nil {
		r.Log.AddStalledClient(judge.StalledClient{Node: r.Dest.Node, Stopped: stopped, Ended: r.now()})
	}
}

// mute says nothing.
func (r *MisbehavingClients) mute(ctx context.Context) {
	if c := r.dial(); c != nil {
		defer c.Close()
		r.stay(ctx, c)
	}
}

// stayMost is how long such a client stays.
const stayMost = 5 * time.Second

// stay waits until something comes, or the connection ends.
func (r *MisbehavingClients) stay(ctx context.Context, c net.Conn) {
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetReadDeadline(time.Now().Add(stayMost))
	c.Read(make([]byte, 512))
}

// flood sends much that is no request, and goes.
func (r *MisbehavingClients) flood(context.Context) {
	c := r.dial()
	if c == nil {
		return
	}
	c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	c.Write(make([]byte, 256<<10))
	reset(c)
}

// leave asks and goes, sometimes at once, by an end or a reset.
func (r *MisbehavingClients) leave(context.Context) {
	c := r.dial()
	if c == nil {
		return
	}
	text, t := r.request(2*time.Second, 20*time.Millisecond)
	c.Write([]byte(text))
	time.Sleep(rand.N(40 * time.Millisecond))
	if rand.IntN(2) == 0 {
		reset(c)
	} else {
		c.Close()
	}
	t.Outcome, t.Answered = judge.ClientLeft, r.now()
	r.Log.AddAttempt(t)
}

// pipelined is how many requests are sent at once on one connection.
const pipelined = 4

// pipeline sends several requests at once, each with little time, and reads the answers.
func (r *MisbehavingClients) pipeline(context.Context) {
	c := r.dial()
	if c == nil {
		return
	}
	defer c.Close()
	text, tries := "", []judge.ClientAttempt{}
	for i := range pipelined {
		one, t := r.request(time.Duration(500+400*i)*time.Millisecond, 200*time.Millisecond)
		text += one
		tries = append(tries, t)
	}
	if _, err := c.Write([]byte(text)); err != nil {
		return // nobody can tell what of it came
	}
	dialed := time.Now()
	in := bufio.NewReader(c)
	closed, broke := false, false
	for i := range tries {
		t := &tries[i]
		t.Outcome = judge.Crossed // the node may close behind an answer; whoever sent it on all the same owed an answer
		if !closed && !broke {
			c.SetReadDeadline(r.Begin.Add(t.Until + r.Lasting))
			p, err := wire.ReadResponse(in)
			if broke = err != nil; broke {
				if t.Outcome = judge.Lost; i > 0 || r.metListenerClose(err, dialed) {
					t.Outcome = judge.Crossed
				}
			} else {
				closed = p.Close
				t.Outcome = rudeEnd(p.Status)
			}
		}
		t.Answered = r.now()
		if t.Outcome >= judge.Lost && r.Excused(t.Sent) {
			t.Outcome = judge.Excused
		}
		r.Log.AddAttempt(*t)
	}
}

// hasty asks with hardly any time left.
func (r *MisbehavingClients) hasty(context.Context) {
	c := r.dial()
	if c == nil {
		return
	}
	defer c.Close()
	dialed := time.Now()
	text, t := r.request(time.Millisecond+rand.N(40*time.Millisecond), 5*time.Millisecond)
	c.SetDeadline(r.Begin.Add(t.Until + r.Lasting))
	if _, err := c.Write([]byte(text)); err != nil {
		return
	}
	p, err := wire.ReadResponse(bufio.NewReader(c))
	t.Answered = r.now()
	switch {
	case err == nil:
		t.Outcome = rudeEnd(p.Status)
	case r.Excused(t.Sent):
		t.Outcome = judge.Excused
	case r.metListenerClose(err, dialed):
		t.Outcome = judge.Crossed
	default:
		t.Outcome = judge.Lost
	}
	r.Log.AddAttempt(t)
}

func rudeEnd(status int) judge.Outcome {
	switch status {
	case 200:
		return judge.OK
	case 429, 503:
		return judge.PushedBack
	}
	return judge.Aborted
}

// listenerCloseWindow is the longest time between a connect and its reset that can be the listener's close.
const listenerCloseWindow = 100 * time.Millisecond

// metListenerClose tells whether a connection was reset because its node closed the listener while it stood in the
// queue. A node takes what is queued before it closes, but no system call does both at once: what the kernel queues in
// between is reset unread, and a request that was never read is not lost by the operators' terms. The judge still counts
// it as lost if a server got it.
func (r *MisbehavingClients) metListenerClose(err error, dialed time.Time) bool {
	if !errors.Is(err, syscall.ECONNRESET) || time.Since(dialed) > listenerCloseWindow {
		return false
	}
	c, err := net.DialTimeout("tcp", r.Dest.Addr, time.Second)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
