package frontend

import (
	"robincart/internal/system/poller"
	"robincart/internal/system/telemetry"
)

// closeConn closes a connection for good, once. One that was handed over lives on in the other process.
func (s *Server) closeConn(c *conn, reason telemetry.Reason) {
	last, registration, ok := s.forget(c)
	if !ok {
		return
	}
	if reason == telemetry.HandedOver {
		s.poller.Detach(c.raw, &registration)
	} else {
		s.poller.Remove(&registration)
	}
	s.recordClose(c, last, reason)
	c.Conn.Close()
	s.budget.ReleaseForClient()
	s.running.Done()
}

// forget takes a connection out of all that the server has of it. It returns the state in which the connection was and
// its registration with the poller; false: somebody else has closed it.
func (s *Server) forget(c *conn) (connState, poller.Registration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := c.state.load()
	if last == stateClosed {
		return last, poller.Registration{}, false
	}
	c.state.set(stateClosed)
	s.timers.Remove(&c.managed.timer)
	if c.managed.list != nil {
		c.managed.list.remove(c)
	}
	s.admission.Leave(&c.managed.member)
	delete(s.conns, c)
	s.admitWaiting()
	s.scheduleTrim()
	return last, c.registration, true
}

// recordClose records that a connection is closed in a state, and a violation if a response was pending whose client
// still waits.
func (s *Server) recordClose(c *conn, last connState, reason telemetry.Reason) {
	s.telemetry.Record(telemetry.Event{Kind: telemetry.ClientConnectionClosed, Reason: reason})
	if !last.responsePending() || c.shared.clientClosed.Load() {
		return
	}
	if reason == telemetry.PeerClosed || reason == telemetry.WriteFailed {
		return
	}
	s.telemetry.Violation(telemetry.Violation{Rule: telemetry.ClosedUnanswered, Detail: reason.String()})
}
