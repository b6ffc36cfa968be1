package frontend

import (
	"time"

	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// pastDeadline is a deadline in the past. It makes a pending read or accept return at once.
var pastDeadline = time.Unix(1, 0)

// longIdleEvictionDivisor limits how many long-idle connections are evicted at once. The limit is the number of all
// connections divided by longIdleEvictionDivisor, plus 1. Thousands of connections may be idle for long in normal
// operation.
const longIdleEvictionDivisor = 16

// evictIdle evicts idle connections to make room for new connections. The clients of evicted connections reconnect when
// they need to. Hundreds of clients may connect and send nothing, send half a request, or probe readiness and stay
// connected. Many such connections may be ahead of a normal client's connection in the listener's queue. All candidates
// are therefore evicted at once.
func (s *Server) evictIdle() {
	now := s.clock()
	var closable []*conn
	s.mu.Lock()
	for _, c := range s.takeEvictionCandidates(now) {
		if c.state.load().closable() {
			closable = append(closable, c)
			continue
		}
		c.managed.evicted = true
		c.cancelRead()
	}
	s.mu.Unlock()
	s.closeConns(closable, telemetry.Evicted)
}

// takeEvictionCandidates removes the connections to evict from their lists and returns them:
//   - all connections that are at least EvictableAfter old and have had no request; the first request of a younger
//     connection may be on its way
//   - the connections that have been idle for LongIdle or more, but no more than longIdleEvictionDivisor allows
//   - all connections whose last request was rejected: clients of other services wait for the capacity that these
//     connections hold
//   - if there is no connection whose last request was rejected, the connection that has been idle longest, provided
//     that it has been idle for EvictableAfter or more
//
// The caller must hold s.mu.
func (s *Server) takeEvictionCandidates(now time.Duration) []*conn {
	total := len(s.conns)
	hasRejected := s.rejected.first() != nil
	candidates := s.withoutRequest.takeWhile(total, nil, func(c *conn) bool {
		return now-c.createdAt >= s.limits.EvictableAfter
	})
	candidates = s.idle.takeWhile(total/longIdleEvictionDivisor+1, candidates, func(c *conn) bool {
		return now-c.managed.idleSince >= s.limits.LongIdle
	})
	candidates = s.rejected.takeWhile(total, candidates, func(*conn) bool { return true })
	if hasRejected {
		return candidates
	}
	return s.idle.takeWhile(1, candidates, func(c *conn) bool {
		return now-c.managed.idleSince >= s.limits.EvictableAfter
	})
}

// closeConns closes connections that no goroutine serves. If a request has arrived on an idle connection in the
// meantime, the request is served, and the connection is closed after its response.
func (s *Server) closeConns(conns []*conn, reason telemetry.Reason) {
	for _, c := range conns {
		s.mu.Lock()
		if c.state.load() == stateIdle && socket.StateOfRaw(c.raw) == socket.StateReadable {
			c.serving.lastResponse = true
			s.wake(c)
		}
		closable := c.state.load().closable()
		s.mu.Unlock()
		if closable {
			s.closeConn(c, reason)
		}
	}
}
