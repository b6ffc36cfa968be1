package main

import (
	"slices"
	"sync"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
)

// settingsTransition puts one version of the settings in force after another. Clients learn of a change later than
// the node, so each version that was in force binds beside the new one for a while, however many there are by then.
type settingsTransition struct {
	core *node.Core
	now  func() time.Time

	mu       sync.Mutex
	current  *settings.Instance
	previous []previousSettings
}

// previousSettings are settings that some clients still go by.
type previousSettings struct {
	*settings.Instance
	until time.Time
}

// update puts settings in force, with those before them for the grace, and returns the core's settings, in which
// every name has its slot.
func (s *settingsTransition) update(next *settings.Instance, grace time.Duration) *settings.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous = append(s.previous, previousSettings{s.current, s.now().Add(grace)})
	s.current = next
	time.AfterFunc(grace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply()
	})
	return s.apply()
}

// apply puts in force what binds now. The lock is held.
func (s *settingsTransition) apply() *settings.Instance {
	now := s.now()
	s.previous = slices.DeleteFunc(s.previous, func(p previousSettings) bool { return !now.Before(p.until) })
	combined := s.current
	for _, p := range s.previous {
		combined = combined.DuringTransition(p.Instance)
	}
	return s.core.UpdateSettings(combined)
}
