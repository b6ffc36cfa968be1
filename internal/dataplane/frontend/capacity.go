package frontend

import (
	"time"

	"robincart/internal/resources/admission"
)

const (
	admitInterval = time.Millisecond
	trimInterval  = time.Second
)

// admitWaiting serves the waiting connections whose turn it is. The mutex is held.
func (s *Server) admitWaiting() {
	for s.admission.WaitingCount() > 0 {
		member, verdict := s.admission.Next(s.clock())
		if member == nil {
			s.scheduleAdmit()
			return
		}
		c := member.Owner.(*conn)
		c.serving.queueTimeout = verdict == admission.Reject
		c.state.set(stateReading)
		s.workers.Do(c)
	}
}

// scheduleAdmit has admitWaiting called in a while: a connection that waits too long has to be rejected. The mutex
// is held.
func (s *Server) scheduleAdmit() {
	if s.admitScheduled {
		return
	}
	s.admitScheduled = true
	time.AfterFunc(admitInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admitScheduled = false
		s.admitWaiting()
	})
}

// scheduleTrim has the idle goroutines of the worker pool ended in a while. The mutex is held.
func (s *Server) scheduleTrim() {
	if s.trimScheduled {
		return
	}
	s.trimScheduled = true
	time.AfterFunc(trimInterval, func() {
		idle := s.workers.Trim()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.trimScheduled = false
		if idle > 0 {
			s.scheduleTrim()
		}
	})
}

// beginRequest counts a request as active, until endRequest. It returns false if as many are active as the node has
// descriptors for.
func (s *Server) beginRequest() bool {
	if s.activeRequests.Add(1) <= int64(s.limits.MaxRequests) {
		return true
	}
	s.activeRequests.Add(-1)
	return false
}

func (s *Server) endRequest() { s.activeRequests.Add(-1) }

// markSlow counts a connection whose request arrives in pieces as slow. Where there are too many slow ones one of them
// is evicted, which may be this one.
func (s *Server) markSlow(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if member := s.admission.MarkSlow(&c.managed.member, s.clock()); member != nil {
		slowest := member.Owner.(*conn)
		slowest.managed.evictedAsSlow = true
		slowest.cancelRead()
	}
}

// markComplete ends what markSlow began: the request is complete.
func (s *Server) markComplete(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.MarkComplete(&c.managed.member)
	c.managed.evictedAsSlow = false
}

func (s *Server) wasEvictedAsSlow(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.managed.evictedAsSlow
}

// markRequested notes that a connection has had a request, which only its own goroutine does.
func (s *Server) markRequested(c *conn) {
	if c.managed.hasRequested {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.managed.hasRequested = true
	if c.managed.list != nil {
		c.managed.list.remove(c)
	}
}

// markRejected notes whether the last request of a connection was rejected, which only its own goroutine does.
func (s *Server) markRejected(c *conn, rejected bool) {
	if c.managed.lastRejected == rejected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.managed.lastRejected = rejected
}
