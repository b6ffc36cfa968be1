package frontend

import (
	"net"

	"robincart/internal/system/telemetry"
)

// TransferFunc sends a client's connection to another process. hasRequested is true if a request was read from the
// connection.
type TransferFunc func(netConn net.Conn, hasRequested bool) error

// TransferTo sends connections to another process from now on: idle connections at once, and other connections after
// their next response. If transfer is nil, connections are no longer sent to another process. Clients do not notice a
// transfer, because the bytes that they send next arrive in the socket, which both processes hold.
func (s *Server) TransferTo(transfer TransferFunc) {
	for _, c := range s.beginTransfer(transfer) {
		if !s.transferConn(c, transfer) {
			s.resumeAfterTransfer(c)
		}
	}
}

// beginTransfer sets the transfer function and returns the idle connections. It sets these connections to
// stateTransferring, in which no other goroutine closes or serves them.
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

// transferConn sends a connection to another process, and closes the connection in this process. No other goroutine may
// read from the connection. It returns false if the connection could not be sent.
func (s *Server) transferConn(c *conn, transfer TransferFunc) bool {
	if err := transfer(c.Conn, c.managed.hasRequested); err != nil {
		return false
	}
	s.closeConn(c, telemetry.HandedOver)
	return true
}

// resumeAfterTransfer serves a connection that could not be sent. It does not wait for an event, since the poller does
// not repeat an event that occurred during the transfer.
func (s *Server) resumeAfterTransfer(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state.load() != stateClosed {
		s.wake(c)
	}
}

// stopTransfer stops sending connections to the other process, because that process is gone. From now on this process
// serves its connections itself.
func (s *Server) stopTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfer = nil
}
