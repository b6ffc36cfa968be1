package frontend

import (
	"robincart/internal/system/poller"
	"robincart/internal/system/telemetry"
)

// closeConn closes a connection and records the reason, unless the connection was closed before. A connection that was
// handed over to another process stays open there.
func (s *Server) closeConn(c *conn, reason telemetry.Reason) {
	lastState, registration, ok := s.unregister(c)
	if !ok {
		return
	}
	if reason == telemetry.HandedOver {
		s.poller.Detach(c.raw, &registration)
	} else {
		s.poller.Remove(&registration)
	}
	s.recordClose(c, lastState, reason)
	s.socketBuffers.Release(&c.serving.buffers)
	c.Conn.Close()
	s.budget.ReleaseForClient()
	s.running.Done()
}

// unregister removes a connection from the server's connections, lists, timers and admission controller. It returns the
// last state of the connection and the connection's registration with the poller. It returns false if the connection
// was closed before.
func (s *Server) unregister(c *conn) (connState, poller.Registration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastState := c.state.load()
	if lastState == stateClosed {
		return lastState, poller.Registration{}, false
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
	return lastState, c.registration, true
}

// recordClose records that a connection was closed. lastState is the connection's state before the close. recordClose
// also records a violation if a response was pending and the client still waits for that response.
func (s *Server) recordClose(c *conn, lastState connState, reason telemetry.Reason) {
	s.telemetry.Record(telemetry.Event{Kind: telemetry.ClientConnectionClosed, Reason: reason})
	if !lastState.responsePending() || c.shared.clientClosed.Load() {
		return
	}
	if reason == telemetry.PeerClosed || reason == telemetry.WriteFailed {
		return
	}
	if reason == telemetry.ForcedShutdown && lastState == stateWriting {
		return // the response has begun, and its client takes longer than the process has
	}
	s.telemetry.Violation(telemetry.Violation{Rule: telemetry.ClosedUnanswered, Detail: reason.String()})
}
