package node

import (
	"math"
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// epoch is where the module's clock stands at the start: high enough that a server which came up before this
// node has a time above 0, which the module reads as long ago.
const epoch = 86_400.0

func seconds(d time.Duration) float64 { return d.Seconds() }

func duration(s float64) time.Duration {
	return time.Duration(min(max(s, 0), 1e9) * float64(time.Second))
}

// The module calls what follows from inside the core's own calls, so the mutex is held.

// Now is the module's clock.
func (c *Core) Now() float64 { return seconds(c.clock.Now()) + epoch }

// Send orders a pick. It lasts till its time-out or, without one, till its RPC's deadline.
func (c *Core) Send(p *decide.Attempt, timeout float64) {
	r := p.RPC.HostData.(*RPC)
	now := c.clock.Now()
	k := &Attempt{Server: p.Server.HostData.(*Server), Deadline: r.Deadline, obj: p, rpc: r, sent: now, at: len(c.picks)}
	if timeout != 0 {
		k.Deadline = min(k.Deadline, now+duration(timeout))
	}
	k.FreshConnection, k.Server.worn = k.Server.worn, false
	p.HostData = k
	k.end.Payload = k
	if r.obj.BodyPending { // its time has not begun; who reads the body bounds how long that takes
		k.Deadline = math.MaxInt64
	} else {
		c.timers.Add(&k.end, k.Deadline)
	}
	c.telemetry.Record(telemetry.Event{Kind: telemetry.AttemptOrdered, Reason: r.attemptCause(), Request: r.request, Server: k.Server.id, Duration: k.Deadline - now})
	c.checkRepeat(k, now)
	c.picks = append(c.picks, k)
	r.attempts = append(r.attempts, k)
	r.out++
	k.Server.out++
	r.Orders <- Order{Kind: OrderSend, Attempt: k}
}

// Cancel gives a pick up: whoever carries it out closes its connection.
func (c *Core) Cancel(p *decide.Attempt) {
	k := p.HostData.(*Attempt)
	if k.done || k.canceled {
		return
	}
	k.canceled = true
	c.giveUp(k)
}

// CloseIdleConnections has the idle connections to a server closed before the next pick there, which opens its own.
func (c *Core) CloseIdleConnections(s *decide.Server) { s.HostData.(*Server).worn = true }

// PushBack orders the answer that promises that retrying is harmless.
func (c *Core) PushBack(r *decide.RPC, wait float64) {
	c.checkPushback(r.HostData.(*RPC))
	c.answer(r, Order{Kind: OrderPushBack, RetryAfter: duration(wait)})
}

// Abort orders the answer that promises nothing.
func (c *Core) Abort(r *decide.RPC) { c.answer(r, Order{Kind: OrderAbort}) }

func (c *Core) answer(r *decide.RPC, o Order) {
	k := r.HostData.(*RPC)
	if k.ended {
		c.checkSecondAnswer(k)
		return
	}
	c.answers(k, c.cause)
	k.Orders <- o
	c.end(k)
}

// StartTimer rings the module's timer. That of an RPC or a pick is taken back when it is over: kept till it ends, the timers of
// two seconds' RPCs would be most of what the node holds.
func (c *Core) StartTimer(delay float64, what any) {
	var t *timingwheel.Timer
	switch w := what.(type) {
	case *decide.RPC:
		t = &w.HostData.(*RPC).ring
	case *decide.Attempt:
		t = &w.HostData.(*Attempt).ring
	}
	if t == nil || t.Set() {
		t = &timingwheel.Timer{}
	}
	t.Payload = what
	c.timers.Add(t, c.clock.Now()+duration(delay))
}

// WatchEndpoints asks for changes of the list.
func (c *Core) WatchEndpoints() { c.watch() }
