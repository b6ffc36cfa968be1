package frontend

import (
	"context"
	"fmt"
	"time"

	"robincart/internal/system/telemetry"
)

// BeginShutdown begins the graceful shutdown: each response closes its connection from now on. New connections are
// still accepted, since the front that distributes them learns of the shutdown only later.
func (s *Server) BeginShutdown() { s.stopping.Store(true) }

// SetLameDuck enters or leaves the lame duck mode. In it the node reports that it is not ready, serves what arrives
// all the same, and closes each connection with its response; idle ones are closed once the front has had time to
// stop sending.
func (s *Server) SetLameDuck(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lameDuck.Load() == on {
		return
	}
	s.lameDuck.Store(on)
	s.lameDuckCount++
	s.lameDuckDraining = false
	if !on {
		return
	}
	count := s.lameDuckCount
	time.AfterFunc(s.limits.ShutdownAcceptTime, func() { s.drainLameDuck(count) })
}

// drainLameDuck closes idle connections, unless the lame duck mode has been left since it was entered with a count.
func (s *Server) drainLameDuck(count int) {
	s.mu.Lock()
	var idle []*conn
	if s.lameDuckCount == count {
		s.lameDuckDraining = true
		idle = s.drainableConns()
	}
	s.mu.Unlock()
	s.closeConns(idle, telemetry.Draining)
}

// Drain closes idle connections, and those in use as they become idle, and waits for the last. When the context ends
// the requests in flight are aborted: the end of the process would leave them without any response.
func (s *Server) Drain(ctx context.Context) error {
	s.closeIdleForDrain()
	drained := make(chan struct{})
	go func() {
		s.running.Wait()
		s.workers.Close()
		close(drained)
	}()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	count := len(s.conns)
	s.mu.Unlock()
	close(s.abort)
	select {
	case <-drained:
	case <-time.After(s.limits.ShutdownWriteTime):
		s.forceClose(drained)
	}
	return fmt.Errorf("%d connections were still in use", count)
}

// closeIdleForDrain sends idle connections to the process that takes them over, if there is one, and closes the rest.
func (s *Server) closeIdleForDrain() {
	s.mu.Lock()
	transfer := s.transfer
	s.mu.Unlock()
	if transfer != nil {
		s.TransferTo(transfer)
	}
	s.mu.Lock()
	s.draining = true
	idle := s.drainableConns()
	s.mu.Unlock()
	s.closeConns(idle, telemetry.Draining)
}

// forceClose closes what is left, but first only connections without a pending response: on a busy machine the last
// responses may take long, and whoever kills the process costs them no more than a close would. A client that reads
// nothing has the time that a response has.
func (s *Server) forceClose(drained <-chan struct{}) {
	s.forceCloseConns(func(c *conn) bool { return !c.state.load().responsePending() })
	select {
	case <-drained:
	case <-time.After(s.limits.ClientWriteTimeout):
		s.forceCloseConns(func(*conn) bool { return true })
	}
}

// forceCloseConns closes the sockets of connections, whoever serves them.
func (s *Server) forceCloseConns(condition func(*conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if condition(c) {
			s.recordClose(c, c.state.load(), telemetry.ForcedShutdown)
			c.Close()
		}
	}
}

// aborting reports whether the requests in flight are being aborted; no further one is begun then.
func (s *Server) aborting() bool {
	select {
	case <-s.abort:
		return true
	default:
		return false
	}
}

// closesConns reports whether each response closes its connection.
func (s *Server) closesConns() bool { return s.stopping.Load() || s.lameDuck.Load() }

// closableConns returns the connections that no goroutine serves. The mutex is held.
func (s *Server) closableConns() []*conn {
	var closable []*conn
	for c := range s.conns {
		if c.state.load().closable() {
			closable = append(closable, c)
		}
	}
	return closable
}

// drainableConns returns the connections that are to be closed now. One that has only just come has its first request
// on the way, which the close would cross: its timer ends it a little later. The mutex is held.
func (s *Server) drainableConns() []*conn {
	var drainable []*conn
	for _, c := range s.closableConns() {
		evictableAt := c.createdAt + s.limits.EvictableAfter
		if !c.managed.hasRequested && evictableAt > s.clock() {
			s.timers.Add(&c.managed.timer, evictableAt)
		} else {
			drainable = append(drainable, c)
		}
	}
	s.armTimers()
	return drainable
}
