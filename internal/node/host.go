package node

import (
	"context"
	"time"

	"robincart/decide"
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
func (c *Core) Send(p *decide.Pick, timeout float64) {
	r := c.rpcs[p.RPC]
	now := c.clock.Now()
	k := &Pick{Server: c.names[p.Server], Deadline: r.Deadline, obj: p, rpc: r, sent: now}
	if timeout != 0 {
		k.Deadline = min(k.Deadline, now+duration(timeout))
	}
	k.Context, k.cancel = context.WithCancel(context.Background())
	c.picks[p] = k
	r.out++
	k.Server.out++
	r.Orders <- Order{Kind: Send, Pick: k}
}

// Cancel gives a pick up: whoever carries it out closes its connection.
func (c *Core) Cancel(p *decide.Pick) {
	k := c.picks[p]
	if k == nil {
		return
	}
	k.canceled = true
	k.cancel()
}

// PushBack orders the answer that promises that retrying is harmless.
func (c *Core) PushBack(r *decide.RPC, wait float64) {
	c.answer(r, Order{Kind: PushBack, Wait: duration(wait)})
}

// Abort orders the answer that promises nothing.
func (c *Core) Abort(r *decide.RPC) { c.answer(r, Order{Kind: Abort}) }

func (c *Core) answer(r *decide.RPC, o Order) {
	k := c.rpcs[r]
	if k == nil || k.ended {
		return
	}
	k.Orders <- o
	c.end(k)
}

// After rings the module's timer.
func (c *Core) After(delay float64, what any) {
	c.clock.AfterFunc(duration(delay), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			c.balancer.Wake(what)
		}
	})
}

// Watch asks for changes of the list.
func (c *Core) Watch() { c.watch() }
