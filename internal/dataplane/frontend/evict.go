package frontend

import (
	"time"

	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// pastDeadline makes whoever reads from a connection or accepts from a listener return at once.
var pastDeadline = time.Unix(1, 0)

// longIdleEvictionDivisor limits how many connections are evicted at once for being idle for long, to that part of all
// connections: thousands may be idle for long by right.
const longIdleEvictionDivisor = 16

// evictIdle makes room for other connections. Their clients open new ones when they need them. All candidates go at
// once, since a usual client waits in the listener's queue behind hundreds that connect and send nothing, send half a
// request, or ask for readiness and stay.
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

// takeEvictionCandidates takes the connections that are to be evicted off their lists: those that have had no request
// for a while (one that has only just come may have its request on the way), a part of those idle for long, and those
// whose last request was rejected, which would else hold the capacity that clients of other services wait for. Where
// none was rejected the one idle longest is evicted, too. The mutex is held.
func (s *Server) takeEvictionCandidates(now time.Duration) []*conn {
	all := len(s.conns)
	rejecting := s.rejected.first() != nil
	candidates := s.unproven.takeWhile(all, nil, func(c *conn) bool {
		return now-c.createdAt >= s.limits.EvictableAfter
	})
	candidates = s.idle.takeWhile(all/longIdleEvictionDivisor+1, candidates, func(c *conn) bool {
		return now-c.managed.idleSince >= s.limits.LongIdle
	})
	candidates = s.rejected.takeWhile(all, candidates, func(*conn) bool { return true })
	if rejecting {
		return candidates
	}
	return s.idle.takeWhile(1, candidates, func(c *conn) bool {
		return now-c.managed.idleSince >= s.limits.EvictableAfter
	})
}

// closeConns closes connections that no goroutine serves. A request that has arrived on one meanwhile is served as its
// last.
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
