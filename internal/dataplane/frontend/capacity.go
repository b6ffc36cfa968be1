package frontend

import (
	"time"

	"robincart/internal/resources/admission"
)

const (
	admitInterval = time.Millisecond
	trimInterval  = time.Second
)

// admitWaiting starts a goroutine for each waiting connection that the admission controller now admits or rejects. The
// goroutine serves or rejects the connection's request. The caller must hold s.mu.
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

// scheduleAdmit schedules a call of admitWaiting after admitInterval, so that a connection that has waited too long is
// rejected. The caller must hold s.mu.
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

// scheduleTrim schedules trims of the worker pool every trimInterval, until the pool has no idle goroutine. The caller
// must hold s.mu.
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

// beginRequest counts a request as active until endRequest is called. It returns false if MaxRequests requests are
// already active, because there are not enough descriptors for more.
func (s *Server) beginRequest() bool {
	if s.activeRequests.Add(1) <= int64(s.limits.MaxRequests) {
		return true
	}
	s.activeRequests.Add(-1)
	return false
}

func (s *Server) endRequest() { s.activeRequests.Add(-1) }

// markSlow marks a connection as slow, because its request arrives in pieces. If too many connections are slow,
// markSlow evicts one of them, possibly the given connection.
func (s *Server) markSlow(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if member := s.admission.MarkSlow(&c.managed.member, s.clock()); member != nil {
		evicted := member.Owner.(*conn)
		evicted.managed.evictedAsSlow = true
		evicted.cancelRead()
	}
}

// markComplete undoes markSlow when the request is complete.
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

// markRequested records that a request was read from a connection. Only the goroutine that serves the connection may
// call it.
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

// markRejected records whether the last request of a connection was rejected. Only the goroutine that serves the
// connection may call it.
func (s *Server) markRejected(c *conn, rejected bool) {
	if c.managed.lastRejected == rejected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.managed.lastRejected = rejected
}
