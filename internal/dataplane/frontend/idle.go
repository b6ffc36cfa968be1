package frontend

import (
	"time"

	"robincart/internal/resources/admission"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// OnEvent handles an event on the connection. The poller's goroutine calls it.
func (c *conn) OnEvent(event poller.Event) {
	s := c.server
	c.shared.checkedAt.Store(int64(s.poller.EventTime().Sub(s.started)))
	if event&poller.HungUp != 0 {
		c.shared.clientClosed.Store(true)
		c.notifyClientGone()
	}
	state := s.handleEvent(c)
	if c.gateway != nil { // the input may be an abort of the request in flight
		c.notifyClientGone()
	}
	if state == stateLingering && !s.discardInput(c) {
		s.closeConn(c, telemetry.LastResponse)
	}
}

// handleEvent wakes an idle connection. If a goroutine serves the connection or is about to serve it, handleEvent
// records the event for that goroutine. It returns the state that the connection had before.
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

// takeReadable reports whether an event was recorded for the goroutine that serves the connection, and clears that
// record.
func (s *Server) takeReadable(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	readable := c.managed.readable
	c.managed.readable = false
	return readable
}

// wake asks the admission controller for capacity to serve a connection on which input has arrived. The caller must
// hold s.mu.
func (s *Server) wake(c *conn) {
	now := s.clock()
	c.managed.readable = false
	c.serving.queueTimeout = false
	// A new connection keeps the time of its accept, because the input may have arrived while the connection waited for
	// a descriptor.
	if !c.serving.firstRequest || now-c.createdAt >= s.limits.FinalReadWindow {
		c.serving.arrivedAt = now
	}
	s.timers.Remove(&c.managed.timer)
	regular := c.managed.hasRequested && now-c.managed.idleSince < s.limits.LongIdle
	if c.managed.list != nil && c.managed.list != &s.withoutRequest {
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

// suspend changes a connection to a state in which no goroutine serves it, and starts the connection's timer. The
// poller reports the next event on the connection. The caller must hold s.mu.
func (s *Server) suspend(c *conn, state connState, timeout time.Duration) {
	c.state.set(state)
	c.managed.idleSince = s.clock()
	switch {
	case c.managed.list != nil: // a connection without a request is already in its list
	case c.managed.lastRejected:
		s.rejected.push(c)
	default:
		s.idle.push(c)
	}
	s.timers.Add(&c.managed.timer, c.managed.idleSince+timeout)
	s.armTimers()
}

// setIdle makes a connection idle after a goroutine has served it. The caller must hold s.mu.
func (s *Server) setIdle(c *conn) {
	s.socketBuffers.ShrinkSend(c.raw, &c.serving.buffers)
	c.serving.reader.ReleaseBuffer()
	c.serving.reader = nil
	s.admission.Leave(&c.managed.member)
	timeout := s.limits.ClientIdleTimeout
	if c.serving.firstRequest { // no request was read yet
		timeout = max(0, c.createdAt+s.limits.ClientReadTimeout-s.clock())
	}
	s.suspend(c, stateIdle, timeout)
	s.admitWaiting()
	s.scheduleTrim()
}

// nextStep is what a goroutine does next with the connection that it serves.
type nextStep uint8

const (
	stepServe nextStep = iota // serve the next request
	stepIdle                  // stop: the connection is idle, or was handed over to another process
	stepClose
)

// afterResponse returns the next step for a connection whose latest request has its response.
func (s *Server) afterResponse(c *conn) nextStep {
	mayHaveMore := c.serving.reader.FilledBuffer() // the kernel may have more input, which the poller will not report
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
			c.takeArrivalTime()
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

// shutdownReason returns the reason to close a connection whose latest request has its response, or NoReason if the
// connection may stay open. The caller must hold s.mu.
func (s *Server) shutdownReason(c *conn) telemetry.Reason {
	switch {
	case s.draining || s.lameDuckDraining:
		return telemetry.Draining
	case c.managed.evicted:
		return telemetry.Evicted
	}
	return telemetry.NoReason
}

// transferOf is called after a request has been served. It returns the function that sends the connection to another
// process, or nil if the connection stays in this process. The caller must hold s.mu.
func (s *Server) transferOf(c *conn) TransferFunc {
	if c.managed.evicted || c.serving.lastResponse || c.gateway != nil {
		return nil
	}
	return s.transfer
}

// takeArrivalTime sets arrivedAt to the time of the recorded event, or to 0 if no event was recorded. It then clears
// the recorded event. The caller must hold s.mu.
func (c *conn) takeArrivalTime() {
	c.serving.arrivedAt = 0
	if c.managed.readable {
		c.serving.arrivedAt = c.managed.readableAt
	}
	c.managed.readable = false
}
