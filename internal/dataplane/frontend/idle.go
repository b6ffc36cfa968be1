package frontend

import (
	"sync"
	"syscall"
	"time"

	"robincart/internal/resources/admission"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// What follows is the life of a connection between its requests.

// ring holds connections in an order, linked through themselves.
type ring struct{ head conn }

func (r *ring) init() { r.head.older, r.head.newer = &r.head, &r.head }

func (r *ring) push(c *conn) {
	c.list = r
	c.older, c.newer = r.head.older, &r.head
	c.older.newer, r.head.older = c, c
}

func (r *ring) drop(c *conn) {
	c.older.newer, c.newer.older = c.newer, c.older
	c.older, c.newer, c.list = nil, nil, nil
}

func (r *ring) first() *conn {
	if r.head.newer == &r.head {
		return nil
	}
	return r.head.newer
}

// OnEvent is the poller's word of what happened on a connection.
func (c *conn) OnEvent(e poller.Event) {
	f := c.server
	c.heard.Store(int64(f.poller.EventTime().Sub(f.started)))
	if e&poller.HungUp != 0 {
		c.ended.Store(true)
		c.tell()
	}
	f.mu.Lock()
	lingers := c.lingering
	switch {
	case lingers:
	case c.resting:
		f.rouse(c)
	default:
		if !c.stirred {
			c.stirred, c.stirredAt = true, f.clock()
		}
	}
	f.mu.Unlock()
	if c.gateway != nil { // a gateway may give up what is out
		c.tell()
	}
	if lingers && !f.discard(c) {
		f.close(c, telemetry.LastResponse)
	}
}

// unstir tells whether something has come while a connection was served, and forgets that.
func (f *Server) unstir(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := c.stirred
	c.stirred = false
	return was
}

// lingers takes in what a caller is still sending after its last answer: closed with bytes unread, the connection would be
// reset and the answer lost with it. It holds no place and no goroutine meanwhile.
func (f *Server) lingers(c *conn) bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	f.mu.Lock()
	f.gate.Leave(&c.Member)
	c.lingering, c.taking, c.reader = true, f.limits.MaxLingerBytes, nil
	f.rest(c, f.limits.LingerTimeout)
	f.admit()
	f.mu.Unlock()
	// Also what has come by now, of which no event may tell again.
	return f.discard(c)
}

var scraps = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// discard takes in what has come, and tells whether to wait for more. The bytes are bounded: a body without end, sent at
// full speed, would take the core from all others.
func (f *Server) discard(c *conn) bool {
	b := scraps.Get().(*[]byte)
	defer scraps.Put(b)
	for {
		n, err := 0, error(nil)
		outer := c.raw.Read(func(fd uintptr) bool {
			n, err = socket.Read(fd, *b)
			return true
		})
		switch {
		case outer == nil && (err == syscall.EAGAIN || socket.Classify(err) == socket.Memory): // what is left is taken in with the next event, or not
			return true
		case outer != nil || err != nil || n == 0:
			return false
		}
		f.mu.Lock()
		c.taking -= n
		more := c.taking > 0 && !c.closed
		f.mu.Unlock()
		if !more {
			return false
		}
	}
}

// rouse asks for a place for a connection on which something has come. What follows is called with the mutex held.
func (f *Server) rouse(c *conn) {
	now := f.clock()
	c.resting, c.stirred, c.tired = false, false, false
	if !c.first || now-c.born >= f.limits.FinalReadWindow { // else it may have lain in the socket while a place was looked for
		c.arrived = now
	}
	f.ends.Remove(&c.ring)
	regular := c.asked && now-c.since < f.limits.LongIdle
	if c.list != nil && c.list != &f.fresh {
		c.list.drop(c)
	}
	switch f.gate.Arrive(&c.Member, regular, now) {
	case admission.Serve:
		f.workers.Do(c)
	case admission.Wait:
		f.ask()
	}
}

// ask has the gate asked in a while: who waits too long has to be told.
func (f *Server) ask() {
	if !f.asking {
		f.asking = true
		time.AfterFunc(askGate, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.asking = false
			f.admit()
		})
	}
}

// admit lets those in whose turn it is.
func (f *Server) admit() {
	for f.gate.WaitingCount() > 0 {
		m, verdict := f.gate.Next(f.clock())
		if m == nil {
			f.ask()
			return
		}
		c := m.Owner.(*conn)
		c.tired = verdict == admission.Reject
		f.workers.Do(c)
	}
}

// rest lets a connection stand, for so long at most.
func (f *Server) rest(c *conn, most time.Duration) {
	c.resting, c.since = true, f.clock()
	if c.list == nil {
		if c.turned {
			f.flood.push(c)
		} else {
			f.rested.push(c)
		}
	}
	f.ends.Add(&c.ring, c.since+most)
	f.arm()
}

// step is what comes next for a connection that has just been answered.
type step uint8

const (
	goOn  step = iota // something has come
	stood             // it rests, and its goroutine has nothing more to do with it
	over
)

// again finds what comes next for a connection that has just been answered.
func (f *Server) again(c *conn) step {
	more := c.reader.FilledBuffer()
	if c.gateway != nil {
		if !c.gateway.rest() {
			return goOn
		}
		more = c.gateway.more()
	}
	for {
		f.mu.Lock()
		drains := f.drained || f.emptied
		ends := c.ending || drains
		if pass := f.pass; pass != nil && !c.ending && !c.last && c.gateway == nil {
			f.mu.Unlock()
			if f.passes(c, pass) {
				return stood
			}
			f.mu.Lock()
			f.pass, more = nil, true // the other process has gone
			f.mu.Unlock()
			continue
		}
		if !c.stirred && !more && !ends {
			c.reader.ReleaseBuffer()
			c.reader = nil
			f.stand(c)
			f.mu.Unlock()
			return stood
		}
		if c.arrived = 0; c.stirred {
			c.arrived = c.stirredAt
		}
		c.stirred, more = false, false
		f.mu.Unlock()
		switch socket.StateOfRaw(c.raw) {
		case socket.StateReadable:
			c.last = c.last || ends
			return goOn
		case socket.StateClosed:
			c.why = telemetry.PeerClosed
			return over
		}
		if ends {
			c.why = telemetry.Evicted
			if drains {
				c.why = telemetry.Draining
			}
			return over
		}
	}
}

// stand lets a served connection rest. The mutex is held.
func (f *Server) stand(c *conn) {
	f.gate.Leave(&c.Member)
	most := f.limits.ClientIdleTimeout
	if c.first { // it has said nothing yet
		most = max(0, c.born+f.limits.ClientReadTimeout-f.clock())
	}
	f.rest(c, most)
	f.admit()
	f.tidy()
}

// close ends a connection for good, once.
func (f *Server) close(c *conn, why telemetry.Reason) { f.drop(c, why) }

// drop forgets a connection, which ends or, handed over, lives on in another process.
func (f *Server) drop(c *conn, why telemetry.Reason) {
	lives := why == telemetry.HandedOver
	f.mu.Lock()
	if c.closed {
		f.mu.Unlock()
		return
	}
	c.closed, c.resting = true, false
	f.ends.Remove(&c.ring)
	if c.list != nil {
		c.list.drop(c)
	}
	f.gate.Leave(&c.Member)
	delete(f.conns, c)
	place := c.place
	f.admit()
	f.tidy()
	f.mu.Unlock()
	if lives {
		f.poller.Detach(c.raw, &place)
	} else {
		f.poller.Remove(&place)
	}
	f.records(c, why)
	c.Conn.Close()
	f.budget.ReleaseForClient()
	f.done.Done()
}

// arm has the wheel looked at when the next resting connection may have to end.
func (f *Server) arm() {
	at, any := f.ends.Next()
	if !any || f.paced || f.armed != 0 && f.armed <= at {
		return
	}
	f.armed = at
	time.AfterFunc(max(0, at-f.clock()), func() { f.ringAt(at) })
}

// ringAt ends the connections that have rested for too long, some at once: a second in which all of them end must not
// stop those at work.
func (f *Server) ringAt(at time.Duration) {
	var out []*conn
	f.mu.Lock()
	if f.armed != at {
		f.mu.Unlock()
		return
	}
	f.armed = 0
	if f.ends.Advance(f.clock(), atOnce, func(t *timingwheel.Timer) { out = append(out, t.Payload.(*conn)) }) {
		f.paced = true
		time.AfterFunc(grain, func() {
			f.mu.Lock()
			f.paced = false
			f.arm()
			f.mu.Unlock()
		})
	}
	f.arm()
	f.mu.Unlock()
	f.endRest(out, telemetry.IdleTimeout)
}

// tidy has the worker pool's idle goroutines ended in a while.
func (f *Server) tidy() {
	if f.tidying {
		return
	}
	f.tidying = true
	time.AfterFunc(tidyIn, func() {
		left := f.workers.Trim()
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.tidying = false; left > 0 {
			f.tidy()
		}
	})
}

// slows finds a place among the slow for a connection whose request comes in pieces.
func (f *Server) slows(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if out := f.gate.MarkSlow(&c.Member, f.clock()); out != nil {
		o := out.Owner.(*conn)
		o.full = true
		o.cut.Store(true)
		o.SetReadDeadline(time.Unix(1, 0))
	}
}

func (f *Server) isWhole(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.MarkComplete(&c.Member)
	c.full = false
}

func (f *Server) isFull(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.full
}
