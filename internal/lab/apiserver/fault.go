package apiserver

import (
	"maps"
	"slices"
	"time"
)

// BreakWatches ends all watches.
func (s *Server) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		w.cancel()
	}
}

// Replay sends the last n events of a resource to each of its watches once more, the oldest first, as they were.
func (s *Server) Replay(resource string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.stores[resource].events
	events = slices.Clone(events[max(0, len(events)-n):])
	for w := range s.watches {
		if w.resource.name != resource {
			continue
		}
		select {
		case w.replays <- events:
		default:
		}
	}
}

// Compact forgets the history: a watch from an older revision gets 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stored := range s.stores {
		stored.events, stored.compactedTo = nil, s.revision
	}
}

// Hang keeps every request and watch waiting, or ends that.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.resumed == nil:
		s.resumed = make(chan struct{})
	case !on && s.resumed != nil:
		close(s.resumed)
		s.resumed = nil
	}
}

// Limit answers the next n requests with 429.
func (s *Server) Limit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = n
}

// Fail answers the next n requests with 500.
func (s *Server) Fail(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = n
}

// DelayEvents delays a resource's events, so that the events of several resources arrive out of order.
func (s *Server) DelayEvents(resource string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores[resource].eventDelay = by
}

// backup is a server's state at one moment.
type backup struct {
	revision int64
	stores   map[string]*store
}

// Backup copies the present state. Restore goes back to it, as an operator who restores etcd does.
func (s *Server) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &backup{revision: s.revision, stores: map[string]*store{}}
	for resource, stored := range s.stores {
		b.stores[resource] = &store{
			objects:     maps.Clone(stored.objects),
			events:      slices.Clone(stored.events),
			compactedTo: stored.compactedTo,
		}
	}
	s.backup = b
}

// Restore goes back to the backup, if there is one, with its resource versions, and ends all watches.
func (s *Server) Restore() {
	s.mu.Lock()
	if s.backup != nil {
		s.revision = s.backup.revision
		for resource, old := range s.backup.stores {
			stored := s.stores[resource]
			stored.objects = maps.Clone(old.objects)
			stored.events = slices.Clone(old.events)
			stored.compactedTo = old.compactedTo
		}
	}
	s.mu.Unlock()
	s.BreakWatches()
}
