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
	state := c.state.load()
	switch state {
	case stateLingering:
	case stateIdle:
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
	if state == stateLingering && !f.discard(c) {
		f.close(c, telemetry.LastResponse)
	}
}

// unstir tells whether something has come while a connection was served, and forgets that.
func (s *Server) unstir(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := c.stirred
	c.stirred = false
	return was
}

// lingers takes in what a caller is still sending after its last answer: closed with bytes unread, the connection would be
// reset and the answer lost with it. It holds no place and no goroutine meanwhile.
func (s *Server) lingers(c *conn) bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	s.mu.Lock()
	s.gate.Leave(&c.Member)
	c.taking, c.reader = s.limits.MaxLingerBytes, nil
	s.rest(c, stateLingering, s.limits.LingerTimeout)
	s.admit()
	s.mu.Unlock()
	// Also what has come by now, of which no event may tell again.
	return s.discard(c)
}

var scraps = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// discard takes in what has come, and tells whether to wait for more. The bytes are bounded: a body without end, sent at
// full speed, would take the core from all others.
func (s *Server) discard(c *conn) bool {
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
		s.mu.Lock()
		c.taking -= n
		more := c.taking > 0 && c.state.load() != stateClosed
		s.mu.Unlock()
		if !more {
			return false
		}
	}
}

// rouse asks for a place for a connection on which something has come. What follows is called with the mutex held.
func (s *Server) rouse(c *conn) {
	now := s.clock()
	c.stirred, c.tired = false, false
	if !c.first || now-c.born >= s.limits.FinalReadWindow { // else it may have lain in the socket while a place was looked for
		c.arrived = now
	}
	s.ends.Remove(&c.ring)
	regular := c.asked && now-c.since < s.limits.LongIdle
	if c.list != nil && c.list != &s.fresh {
		c.list.drop(c)
	}
	switch s.gate.Arrive(&c.Member, regular, now) {
	case admission.Serve:
		c.state.set(stateReading)
		s.workers.Do(c)
	case admission.Wait:
		c.state.set(stateWaiting)
		s.ask()
	}
}

// ask has the gate asked in a while: who waits too long has to be told.
func (s *Server) ask() {
	if !s.asking {
		s.asking = true
		time.AfterFunc(askGate, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.asking = false
			s.admit()
		})
	}
}

// admit lets those in whose turn it is.
func (s *Server) admit() {
	for s.gate.WaitingCount() > 0 {
		m, verdict := s.gate.Next(s.clock())
		if m == nil {
			s.ask()
			return
		}
		c := m.Owner.(*conn)
		c.tired = verdict == admission.Reject
		c.state.set(stateReading)
		s.workers.Do(c)
	}
}

// rest lets a connection stand, for so long at most.
func (s *Server) rest(c *conn, state connState, most time.Duration) {
	c.state.set(state)
	c.since = s.clock()
	if c.list == nil {
		if c.turned {
			s.flood.push(c)
		} else {
			s.rested.push(c)
		}
	}
	s.ends.Add(&c.ring, c.since+most)
	s.arm()
}

// step is what comes next for a connection that has just been answered.
type step uint8

const (
	goOn  step = iota // something has come
	stood             // it rests, and its goroutine has nothing more to do with it
	over
)

// again finds what comes next for a connection that has just been answered.
func (s *Server) again(c *conn) step {
	more := c.reader.FilledBuffer()
	if c.gateway != nil {
		if !c.gateway.rest() {
			return goOn
		}
		more = c.gateway.more()
	}
	for {
		s.mu.Lock()
		drains := s.drained || s.emptied
		ends := c.ending || drains
		if pass := s.pass; pass != nil && !c.ending && !c.last && c.gateway == nil {
			s.mu.Unlock()
			if s.passes(c, pass) {
				return stood
			}
			s.mu.Lock()
			s.pass, more = nil, true // the other process has gone
			s.mu.Unlock()
			continue
		}
		if !c.stirred && !more && !ends {
			c.reader.ReleaseBuffer()
			c.reader = nil
			s.stand(c)
			s.mu.Unlock()
			return stood
		}
		if c.arrived = 0; c.stirred {
			c.arrived = c.stirredAt
		}
		c.stirred, more = false, false
		s.mu.Unlock()
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
func (s *Server) stand(c *conn) {
	s.gate.Leave(&c.Member)
	most := s.limits.ClientIdleTimeout
	if c.first { // it has said nothing yet
		most = max(0, c.born+s.limits.ClientReadTimeout-s.clock())
	}
	s.rest(c, stateIdle, most)
	s.admit()
	s.tidy()
}

// close ends a connection for good, once.
func (s *Server) close(c *conn, why telemetry.Reason) { s.drop(c, why) }

// drop forgets a connection, which ends or, handed over, lives on in another process.
func (s *Server) drop(c *conn, why telemetry.Reason) {
	lives := why == telemetry.HandedOver
	s.mu.Lock()
	last := c.state.load()
	if last == stateClosed {
		s.mu.Unlock()
		return
	}
	c.state.set(stateClosed)
	s.ends.Remove(&c.ring)
	if c.list != nil {
		c.list.drop(c)
	}
	s.gate.Leave(&c.Member)
	delete(s.conns, c)
	place := c.place
	s.admit()
	s.tidy()
	s.mu.Unlock()
	if lives {
		s.poller.Detach(c.raw, &place)
	} else {
		s.poller.Remove(&place)
	}
	s.records(c, last, why)
	c.Conn.Close()
	s.budget.ReleaseForClient()
	s.done.Done()
}

// arm has the wheel looked at when the next resting connection may have to end.
func (s *Server) arm() {
	at, any := s.ends.Next()
	if !any || s.paced || s.armed != 0 && s.armed <= at {
		return
	}
	s.armed = at
	time.AfterFunc(max(0, at-s.clock()), func() { s.ringAt(at) })
}

// ringAt ends the connections that have rested for too long, some at once: a second in which all of them end must not
// stop those at work.
func (s *Server) ringAt(at time.Duration) {
	var out []*conn
	s.mu.Lock()
	if s.armed != at {
		s.mu.Unlock()
		return
	}
	s.armed = 0
	if s.ends.Advance(s.clock(), atOnce, func(t *timingwheel.Timer) { out = append(out, t.Payload.(*conn)) }) {
		s.paced = true
		time.AfterFunc(grain, func() {
			s.mu.Lock()
			s.paced = false
			s.arm()
			s.mu.Unlock()
		})
	}
	s.arm()
	s.mu.Unlock()
	s.endRest(out, telemetry.IdleTimeout)
}

// tidy has the worker pool's idle goroutines ended in a while.
func (s *Server) tidy() {
	if s.tidying {
		return
	}
	s.tidying = true
	time.AfterFunc(tidyIn, func() {
		left := s.workers.Trim()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.tidying = false; left > 0 {
			s.tidy()
		}
	})
}

// slows finds a place among the slow for a connection whose request comes in pieces.
func (s *Server) slows(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out := s.gate.MarkSlow(&c.Member, s.clock()); out != nil {
		o := out.Owner.(*conn)
		o.full = true
		o.cut.Store(true)
		o.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *Server) isWhole(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.MarkComplete(&c.Member)
	c.full = false
}

func (s *Server) isFull(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.full
}
