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
	last *settings.Node
	past []past
}

// past are settings that some callers still go by.
type past struct {
	*settings.Node
	until time.Time
}

// to puts settings in force and returns them with every name at its number.
func (t *tuning) to(n *settings.Node, known time.Duration) *settings.Node {
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

func (t *tuning) apply() *settings.Node {
	now := t.now()
	t.past = slices.DeleteFunc(t.past, func(p past) bool { return !now.Before(p.until) })
	n := t.last
	for _, p := range t.past {
		n = n.Between(p.Node)
	}
	return t.core.Retune(n)
}
