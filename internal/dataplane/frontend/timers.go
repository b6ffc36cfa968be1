package frontend

import (
	"time"

	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// maxTimersAtOnce limits how many connections are closed in one batch, so that many timers that end at once do not
// delay the active connections.
const maxTimersAtOnce = 64

// armTimers schedules expireTimers for the time at which the next timer ends. The caller must hold s.mu.
func (s *Server) armTimers() {
	next, ok := s.timers.Next()
	if !ok || s.timersPaused {
		return
	}
	if s.timersDue != 0 && s.timersDue <= next {
		return
	}
	s.timersDue = next
	time.AfterFunc(max(0, next-s.clock()), func() { s.expireTimers(next) })
}

// expireTimers closes the connections whose timers have ended, unless armTimers has scheduled expireTimers for another
// time in the meantime.
func (s *Server) expireTimers(due time.Duration) {
	s.mu.Lock()
	if s.timersDue != due {
		s.mu.Unlock()
		return
	}
	s.timersDue = 0
	var expired []*conn
	more := s.timers.Advance(s.clock(), maxTimersAtOnce, func(t *timingwheel.Timer) {
		expired = append(expired, t.Payload.(*conn))
	})
	if more {
		s.timersPaused = true
		time.AfterFunc(timerGranularity, s.resumeTimers)
	}
	s.armTimers()
	s.mu.Unlock()
	s.closeConns(expired, telemetry.IdleTimeout)
}

func (s *Server) resumeTimers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timersPaused = false
	s.armTimers()
}
