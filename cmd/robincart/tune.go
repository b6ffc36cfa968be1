package main

import (
	"slices"
	"sync"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
)

// tuning puts settings in force one after another. Callers hear of them later than the node does, so those that were in force
// bind beside the new ones for a while, however many there are by then.
type tuning struct {
	core *node.Core
	now  func() time.Time

	mu   sync.Mutex
	last *settings.Instance
	past []past
}

// past are settings that some callers still go by.
type past struct {
	*settings.Instance
	until time.Time
}

// to puts settings in force and returns them with every name at its number.
func (t *tuning) to(n *settings.Instance, known time.Duration) *settings.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.past = append(t.past, past{t.last, t.now().Add(known)})
	t.last = n
	time.AfterFunc(known, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.apply()
	})
	return t.apply()
}

func (t *tuning) apply() *settings.Instance {
	now := t.now()
	t.past = slices.DeleteFunc(t.past, func(p past) bool { return !now.Before(p.until) })
	n := t.last
	for _, p := range t.past {
		n = n.DuringTransition(p.Instance)
	}
	return t.core.UpdateSettings(n)
}
