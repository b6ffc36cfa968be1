package frontend

import (
	"net"

	"robincart/internal/system/telemetry"
)

// TransferFunc sends a client's connection to another process; hasRequested is whether it has had a request.
type TransferFunc func(raw net.Conn, hasRequested bool) error

// TransferTo sends connections to another process from now on: idle ones at once, and others after their response.
// With nil they stay again. Clients notice nothing: what they send next is in the socket, which both processes hold.
func (s *Server) TransferTo(transfer TransferFunc) {
	for _, c := range s.beginTransfer(transfer) {
		if !s.transferConn(c, transfer) {
			s.resumeAfterTransfer(c)
		}
	}
}

// beginTransfer sets where connections go, and returns those that are idle, in the state in which nobody else closes
// or serves them.
func (s *Server) beginTransfer(transfer TransferFunc) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfer = transfer
	if transfer == nil {
		return nil
	}
	var idle []*conn
	for _, c := range s.closableConns() {
		if c.state.load() == stateIdle && !c.managed.evicted {
			c.state.set(stateTransferring)
			s.timers.Remove(&c.managed.timer)
			idle = append(idle, c)
		}
	}
	return idle
}

// transferConn sends a connection that no goroutine reads any more to another process, and forgets it.
func (s *Server) transferConn(c *conn, transfer TransferFunc) bool {
	if err := transfer(c.Conn, c.managed.hasRequested); err != nil {
		return false
	}
	s.closeConn(c, telemetry.HandedOver)
	return true
}

// resumeAfterTransfer serves a connection that could not be sent: nobody was notified of what has arrived meanwhile.
func (s *Server) resumeAfterTransfer(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state.load() != stateClosed {
		s.wake(c)
	}
}

// stopTransfer keeps connections here again: the other process has gone.
func (s *Server) stopTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfer = nil
}
