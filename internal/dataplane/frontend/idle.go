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

// connList holds connections in an order, linked through themselves.
type connList struct{ head conn }

func (r *connList) init() { r.head.older, r.head.newer = &r.head, &r.head }

func (r *connList) push(c *conn) {
	c.list = r
	c.older, c.newer = r.head.older, &r.head
	c.older.newer, r.head.older = c, c
}

func (r *connList) drop(c *conn) {
	c.older.newer, c.newer.older = c.newer, c.older
	c.older, c.newer, c.list = nil, nil, nil
}

func (r *connList) first() *conn {
	if r.head.newer == &r.head {
		return nil
	}
	return r.head.newer
}

// OnEvent is the poller's word of what happened on a connection.
func (c *conn) OnEvent(e poller.Event) {
	f := c.server
	c.checkedAt.Store(int64(f.poller.EventTime().Sub(f.started)))
	if e&poller.HungUp != 0 {
		c.clientClosed.Store(true)
		c.notifyClientGone()
	}
	f.mu.Lock()
	state := c.state.load()
	switch state {
	case stateLingering:
	case stateIdle:
		f.wake(c)
	default:
		if !c.readable {
			c.readable, c.readableAt = true, f.clock()
		}
	}
	f.mu.Unlock()
	if c.gateway != nil { // a gateway may give up what is out
		c.notifyClientGone()
	}
	if state == stateLingering && !f.discardInput(c) {
		f.close(c, telemetry.LastResponse)
	}
}

// takeReadable tells whether something has come while a connection was served, and forgets that.
func (s *Server) takeReadable(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := c.readable
	c.readable = false
	return was
}

// startLinger takes in what a caller is still sending after its last answer: closed with bytes unread, the connection would be
// reset and the answer lost with it. It holds no place and no goroutine meanwhile.
func (s *Server) startLinger(c *conn) bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	s.mu.Lock()
	s.admission.Leave(&c.Member)
	c.lingerBytes, c.reader = s.limits.MaxLingerBytes, nil
	s.park(c, stateLingering, s.limits.LingerTimeout)
	s.admitWaiting()
	s.mu.Unlock()
	// Also what has come by now, of which no event may tell again.
	return s.discardInput(c)
}

var discardBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// discardInput takes in what has come, and tells whether to wait for more. The bytes are bounded: a body without end, sent at
// full speed, would take the core from all others.
func (s *Server) discardInput(c *conn) bool {
	b := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(b)
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
		c.lingerBytes -= n
		more := c.lingerBytes > 0 && c.state.load() != stateClosed
		s.mu.Unlock()
		if !more {
			return false
		}
	}
}

// wake asks for a place for a connection on which something has come. What follows is called with the mutex held.
func (s *Server) wake(c *conn) {
	now := s.clock()
	c.readable, c.queueTimeout = false, false
	if !c.firstRequest || now-c.createdAt >= s.limits.FinalReadWindow { // else it may have lain in the socket while a place was looked for
		c.arrivedAt = now
	}
	s.timers.Remove(&c.timer)
	regular := c.hasRequested && now-c.idleSince < s.limits.LongIdle
	if c.list != nil && c.list != &s.unproven {
		c.list.drop(c)
	}
	switch s.admission.Arrive(&c.Member, regular, now) {
	case admission.Serve:
		c.state.set(stateReading)
		s.workers.Do(c)
	case admission.Wait:
		c.state.set(stateWaiting)
		s.scheduleAdmit()
	}
}

// scheduleAdmit has the gate asked in a while: who waits too long has to be told.
func (s *Server) scheduleAdmit() {
	if !s.admitScheduled {
		s.admitScheduled = true
		time.AfterFunc(admitInterval, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.admitScheduled = false
			s.admitWaiting()
		})
	}
}

// admitWaiting lets those in whose turn it is.
func (s *Server) admitWaiting() {
	for s.admission.WaitingCount() > 0 {
		m, verdict := s.admission.Next(s.clock())
		if m == nil {
			s.scheduleAdmit()
			return
		}
		c := m.Owner.(*conn)
		c.queueTimeout = verdict == admission.Reject
		c.state.set(stateReading)
		s.workers.Do(c)
	}
}

// park lets a connection stand, for so long at most.
func (s *Server) park(c *conn, state connState, most time.Duration) {
	c.state.set(state)
	c.idleSince = s.clock()
	if c.list == nil {
		if c.lastRejected {
			s.rejected.push(c)
		} else {
			s.idle.push(c)
		}
	}
	s.timers.Add(&c.timer, c.idleSince+most)
	s.armTimers()
}

// nextStep is what comes next for a connection that has just been answered.
type nextStep uint8

const (
	stepServe  nextStep = iota // something has come
	stepIdle             // it rests, and its goroutine has nothing more to do with it
	stepClose
)

// afterResponse finds what comes next for a connection that has just been answered.
func (s *Server) afterResponse(c *conn) nextStep {
	more := c.reader.FilledBuffer()
	if c.gateway != nil {
		if !c.gateway.releaseBuffers() {
			return stepServe
		}
		more = c.gateway.mayHaveMore()
	}
	for {
		s.mu.Lock()
		drains := s.draining || s.lameDuckDraining
		ends := c.evicted || drains
		if pass := s.transfer; pass != nil && !c.evicted && !c.lastResponse && c.gateway == nil {
			s.mu.Unlock()
			if s.transferConn(c, pass) {
				return stepIdle
			}
			s.mu.Lock()
			s.transfer, more = nil, true // the other process has gone
			s.mu.Unlock()
			continue
		}
		if !c.readable && !more && !ends {
			c.reader.ReleaseBuffer()
			c.reader = nil
			s.setIdle(c)
			s.mu.Unlock()
			return stepIdle
		}
		if c.arrivedAt = 0; c.readable {
			c.arrivedAt = c.readableAt
		}
		c.readable, more = false, false
		s.mu.Unlock()
		switch socket.StateOfRaw(c.raw) {
		case socket.StateReadable:
			c.lastResponse = c.lastResponse || ends
			return stepServe
		case socket.StateClosed:
			c.closeReason = telemetry.PeerClosed
			return stepClose
		}
		if ends {
			c.closeReason = telemetry.Evicted
			if drains {
				c.closeReason = telemetry.Draining
			}
			return stepClose
		}
	}
}

// setIdle lets a served connection rest. The mutex is held.
func (s *Server) setIdle(c *conn) {
	s.admission.Leave(&c.Member)
	most := s.limits.ClientIdleTimeout
	if c.firstRequest { // it has said nothing yet
		most = max(0, c.createdAt+s.limits.ClientReadTimeout-s.clock())
	}
	s.park(c, stateIdle, most)
	s.admitWaiting()
	s.scheduleTrim()
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
	s.timers.Remove(&c.timer)
	if c.list != nil {
		c.list.drop(c)
	}
	s.admission.Leave(&c.Member)
	delete(s.conns, c)
	place := c.registration
	s.admitWaiting()
	s.scheduleTrim()
	s.mu.Unlock()
	if lives {
		s.poller.Detach(c.raw, &place)
	} else {
		s.poller.Remove(&place)
	}
	s.recordClose(c, last, why)
	c.Conn.Close()
	s.budget.ReleaseForClient()
	s.running.Done()
}

// armTimers has the wheel looked at when the next resting connection may have to end.
func (s *Server) armTimers() {
	at, any := s.timers.Next()
	if !any || s.timersPaused || s.timersDue != 0 && s.timersDue <= at {
		return
	}
	s.timersDue = at
	time.AfterFunc(max(0, at-s.clock()), func() { s.expireTimers(at) })
}

// expireTimers ends the connections that have rested for too long, some at once: a second in which all of them end must not
// stop those at work.
func (s *Server) expireTimers(at time.Duration) {
	var out []*conn
	s.mu.Lock()
	if s.timersDue != at {
		s.mu.Unlock()
		return
	}
	s.timersDue = 0
	if s.timers.Advance(s.clock(), maxTimersAtOnce, func(t *timingwheel.Timer) { out = append(out, t.Payload.(*conn)) }) {
		s.timersPaused = true
		time.AfterFunc(timerGranularity, func() {
			s.mu.Lock()
			s.timersPaused = false
			s.armTimers()
			s.mu.Unlock()
		})
	}
	s.armTimers()
	s.mu.Unlock()
	s.closeConns(out, telemetry.IdleTimeout)
}

// scheduleTrim has the worker pool's idle goroutines ended in a while.
func (s *Server) scheduleTrim() {
	if s.trimScheduled {
		return
	}
	s.trimScheduled = true
	time.AfterFunc(trimInterval, func() {
		left := s.workers.Trim()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.trimScheduled = false; left > 0 {
			s.scheduleTrim()
		}
	})
}

// markSlow finds a place among the slow for a connection whose request comes in pieces.
func (s *Server) markSlow(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out := s.admission.MarkSlow(&c.Member, s.clock()); out != nil {
		o := out.Owner.(*conn)
		o.evictedAsSlow = true
		o.readCanceled.Store(true)
		o.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *Server) markComplete(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.MarkComplete(&c.Member)
	c.evictedAsSlow = false
}

func (s *Server) wasEvictedAsSlow(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.evictedAsSlow
}
