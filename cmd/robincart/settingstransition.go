package main

import (
	"slices"
	"sync"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
)

// settingsTransition applies changes of the settings. Clients learn of a change later than the node, so each replaced
// version of the settings stays in force for a grace period, together with the current version. A method's requests are
// retried only if all of these versions allow the retry.
type settingsTransition struct {
	core *node.Core
	now  func() time.Time

	mu       sync.Mutex
	current  *settings.Instance
	previous []previousSettings
}

// previousSettings are settings that have been replaced, with the time at which their grace period ends.
type previousSettings struct {
	*settings.Instance
	until time.Time
}

// update applies new settings, combined with the previous settings during the grace period. It returns the combined
// settings with each method and tenant at the index of its slot.
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

// apply applies the current settings combined with the earlier settings whose grace period has not ended. The caller
// holds mu.
func (s *settingsTransition) apply() *settings.Instance {
	now := s.now()
	s.previous = slices.DeleteFunc(s.previous, func(p previousSettings) bool { return !now.Before(p.until) })
	combined := s.current
	for _, p := range s.previous {
		combined = combined.DuringTransition(p.Instance)
	}
	return s.core.UpdateSettings(combined)
}
