package frontend

import (
	"context"
	"fmt"
	"time"

	"robincart/internal/system/telemetry"
)

// BeginShutdown begins the graceful shutdown: from now on each response closes its connection. New connections are
// still accepted, since the load balancer in front of the nodes learns of the shutdown only later.
func (s *Server) BeginShutdown() { s.stopping.Store(true) }

// SetLameDuck enters or leaves the lame duck mode. In this mode the node reports that it is not ready, still serves
// requests, and closes each connection after its next response. Idle connections are closed when ShutdownAcceptTime has
// passed, so that the load balancer in front of the nodes has time to stop sending.
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

// drainLameDuck closes idle connections, unless the lame duck mode was left or entered again in the meantime. In that
// case lameDuckCount differs from count.
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

// Drain closes idle connections at once, and connections in use when they become idle. It waits until all connections
// are closed. When the context ends, Drain aborts the requests in flight, so that their clients get a response before
// the process ends.
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
	return fmt.Errorf("drain interrupted: expected 0 open client connections, found %d", count)
}

// closeIdleForDrain sends idle connections to the successor process, if there is one, and closes the others.
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

// forceClose closes the remaining connections. Connections with a pending response are closed only after
// ClientWriteTimeout, since on a busy machine the last responses may take long. If the process is killed during this
// wait, no more responses are lost than if all connections had been closed at once. A client that does not read its
// response gets no extra time, since the write of any response is limited to ClientWriteTimeout.
func (s *Server) forceClose(drained <-chan struct{}) {
	s.forceCloseConns(func(c *conn) bool { return !c.state.load().responsePending() })
	select {
	case <-drained:
	case <-time.After(s.limits.ClientWriteTimeout):
		s.forceCloseConns(func(*conn) bool { return true })
	}
}

// forceCloseConns closes the sockets of connections that meet a condition, even if a goroutine is serving a connection.
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

// aborting reports whether a shutdown has begun to abort the requests in flight. After that no request is admitted.
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

// closableConns returns the connections in a closable state. No goroutine serves these connections or is about to serve
// them. The caller must hold s.mu.
func (s *Server) closableConns() []*conn {
	var closable []*conn
	for c := range s.conns {
		if c.state.load().closable() {
			closable = append(closable, c)
		}
	}
	return closable
}

// drainableConns returns the connections to close now. It excludes connections that are younger than EvictableAfter and
// have had no request, because their first request may be on its way and would be lost. drainableConns sets the timers
// of the excluded connections, so that these connections are closed at the age EvictableAfter. The caller must hold
// s.mu.
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
