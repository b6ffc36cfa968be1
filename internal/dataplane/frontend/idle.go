package frontend

import (
	"time"

	"robincart/internal/resources/admission"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// OnEvent is called by the poller's goroutine when something happened on the connection.
func (c *conn) OnEvent(event poller.Event) {
	s := c.server
	c.shared.checkedAt.Store(int64(s.poller.EventTime().Sub(s.started)))
	if event&poller.HungUp != 0 {
		c.shared.clientClosed.Store(true)
		c.notifyClientGone()
	}
	state := s.handleEvent(c)
	if c.gateway != nil { // a gateway may abort the request that is in flight
		c.notifyClientGone()
	}
	if state == stateLingering && !s.discardInput(c) {
		s.closeConn(c, telemetry.LastResponse)
	}
}

// handleEvent wakes an idle connection, and notes the event for a goroutine that serves it. It returns the state in
// which the event found the connection.
func (s *Server) handleEvent(c *conn) connState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := c.state.load()
	switch {
	case state == stateLingering:
	case state == stateIdle:
		s.wake(c)
	case !c.managed.readable:
		c.managed.readable = true
		c.managed.readableAt = s.clock()
	}
	return state
}

// takeReadable reports whether there was an event while a goroutine served the connection, and forgets that.
func (s *Server) takeReadable(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	readable := c.managed.readable
	c.managed.readable = false
	return readable
}

// wake asks for capacity to serve a connection on which something has arrived. The mutex is held.
func (s *Server) wake(c *conn) {
	now := s.clock()
	c.managed.readable = false
	c.serving.queueTimeout = false
	if !c.serving.firstRequest || now-c.createdAt >= s.limits.FinalReadWindow {
		c.serving.arrivedAt = now // else it may have been in the socket while the connection waited for a descriptor
	}
	s.timers.Remove(&c.managed.timer)
	regular := c.managed.hasRequested && now-c.managed.idleSince < s.limits.LongIdle
	if c.managed.list != nil && c.managed.list != &s.unproven {
		c.managed.list.remove(c)
	}
	switch s.admission.Arrive(&c.managed.member, regular, now) {
	case admission.Serve:
		c.state.set(stateReading)
		s.workers.Do(c)
	case admission.Wait:
		c.state.set(stateWaiting)
		s.scheduleAdmit()
	}
}

// suspend leaves a connection to the poller and to its timer, in a state in which no goroutine serves it. The mutex is
// held.
func (s *Server) suspend(c *conn, state connState, timeout time.Duration) {
	c.state.set(state)
	c.managed.idleSince = s.clock()
	switch {
	case c.managed.list != nil: // the unproven stay in theirs
	case c.managed.lastRejected:
		s.rejected.push(c)
	default:
		s.idle.push(c)
	}
	s.timers.Add(&c.managed.timer, c.managed.idleSince+timeout)
	s.armTimers()
}

// setIdle makes a connection idle that a goroutine has served. The mutex is held.
func (s *Server) setIdle(c *conn) {
	c.serving.reader.ReleaseBuffer()
	c.serving.reader = nil
	s.admission.Leave(&c.managed.member)
	timeout := s.limits.ClientIdleTimeout
	if c.serving.firstRequest { // it has sent nothing yet
		timeout = max(0, c.createdAt+s.limits.ClientReadTimeout-s.clock())
	}
	s.suspend(c, stateIdle, timeout)
	s.admitWaiting()
	s.scheduleTrim()
}

// nextStep is what is next for a connection that a goroutine serves.
type nextStep uint8

const (
	stepServe nextStep = iota // something has arrived
	stepIdle                  // it is idle, or another process's: its goroutine has nothing more to do with it
	stepClose
)

// afterResponse finds out what is next for a connection whose last request has its response.
func (s *Server) afterResponse(c *conn) nextStep {
	mayHaveMore := c.serving.reader.FilledBuffer() // the kernel may have more, of which there is no event
	if c.gateway != nil {
		if !c.gateway.releaseBuffers() {
			return stepServe
		}
		mayHaveMore = c.gateway.mayHaveMore()
	}
	for {
		s.mu.Lock()
		reason := s.shutdownReason(c)
		transfer := s.transferOf(c)
		if transfer == nil && reason == telemetry.NoReason && !c.managed.readable && !mayHaveMore {
			s.setIdle(c)
			s.mu.Unlock()
			return stepIdle
		}
		if transfer == nil {
			c.takeArrival()
		}
		s.mu.Unlock()
		if transfer != nil {
			if s.transferConn(c, transfer) {
				return stepIdle
			}
			s.stopTransfer()
			mayHaveMore = true
			continue
		}
		mayHaveMore = false
		switch socket.StateOfRaw(c.raw) {
		case socket.StateReadable:
			c.serving.lastResponse = c.serving.lastResponse || reason != telemetry.NoReason
			return stepServe
		case socket.StateClosed:
			c.serving.closeReason = telemetry.PeerClosed
			return stepClose
		}
		if reason != telemetry.NoReason {
			c.serving.closeReason = reason
			return stepClose
		}
	}
}

// shutdownReason returns why a connection is to be closed now that its last request has its response, or NoReason. The
// mutex is held.
func (s *Server) shutdownReason(c *conn) telemetry.Reason {
	switch {
	case s.draining || s.lameDuckDraining:
		return telemetry.Draining
	case c.managed.evicted:
		return telemetry.Evicted
	}
	return telemetry.NoReason
}

// transferOf returns what sends a connection to another process between two requests, or nil. The mutex is held.
func (s *Server) transferOf(c *conn) TransferFunc {
	if c.managed.evicted || c.serving.lastResponse || c.gateway != nil {
		return nil
	}
	return s.transfer
}

// takeArrival takes over when the bytes arrived that are read next, if there was an event of them. The mutex is held.
func (c *conn) takeArrival() {
	c.serving.arrivedAt = 0
	if c.managed.readable {
		c.serving.arrivedAt = c.managed.readableAt
	}
	c.managed.readable = false
}
