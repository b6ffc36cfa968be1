package standin

import (
	"time"

	"robincart/internal/lab/judge"
)

// warmup is how a server does since its start. It is guarded by the server's mutex.
type warmup struct {
	startedAt  time.Time // zero: it needs no warmup
	overloaded bool
	sent       []sentWork // over the last FallFor
	sentSum    float64    // of sent, in seconds
}

// sentWork is the work of one request.
type sentWork struct {
	at      time.Time
	seconds float64 // on a core of speed 1
}

// Cold makes it warm up from now on.
func (s *Server) Cold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmup = warmup{startedAt: time.Now()}
}

// speed is what one core does now, in seconds of work a second.
func (s *Server) speed(now time.Time) float64 {
	speed := s.Speed * thousand / float64(s.slowdown.Load())
	s.mu.Lock()
	startedAt := s.warmup.startedAt
	s.mu.Unlock()
	if s.SlowStartDuration <= 0 || startedAt.IsZero() {
		return speed
	}
	if progress := now.Sub(startedAt).Seconds() / s.SlowStartDuration.Seconds(); progress < 1 {
		speed *= s.SlowStartFraction + (1-s.SlowStartFraction)*progress
	}
	return speed
}

// overload counts the work of a request that was received. It returns whether the server, as it warms up, is
// overloaded by it or was before.
func (s *Server) overload(seconds float64, now time.Time) bool {
	if s.OverloadMultiple == 0 || s.SlowStartDuration == 0 {
		return false
	}
	speed := s.speed(now) * float64(s.Cores)
	s.mu.Lock()
	w := &s.warmup
	if w.startedAt.IsZero() || now.Sub(w.startedAt) > s.SlowStartDuration || w.overloaded {
		defer s.mu.Unlock()
		return w.overloaded
	}
	w.add(sentWork{at: now, seconds: seconds}, s.OverloadWindow)
	w.overloaded = w.sentSum > s.OverloadMultiple*speed*s.OverloadWindow.Seconds()
	overloaded, startedAt := w.overloaded, w.startedAt
	s.mu.Unlock()
	if !overloaded {
		return false
	}
	if s.Log != nil {
		s.Log.AddOverload(judge.Overload{
			Server: s.Index,
			Up:     startedAt.Sub(s.Begin),
			At:     now.Sub(s.Begin),
			Window: s.OverloadWindow,
		})
	}
	s.Refuse()
	return true
}

// add adds work, and forgets what was sent before the window.
func (w *warmup) add(work sentWork, window time.Duration) {
	w.sent = append(w.sent, work)
	w.sentSum += work.seconds
	for len(w.sent) > 0 && work.at.Sub(w.sent[0].at) > window {
		w.sentSum -= w.sent[0].seconds
		w.sent = w.sent[1:]
	}
}
