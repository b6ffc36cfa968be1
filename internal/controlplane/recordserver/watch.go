package recordserver

import (
	"context"
	"time"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// CheckFresh implements store.Replica. If the node's position is ahead of the copy's position, either the store was
// rolled back or this replica is behind. CheckFresh then waits for a successful read of the store, but no longer than
// FreshnessTimeout.
func (s *Server) CheckFresh(ctx context.Context, node record.Meta) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.FreshnessTimeout)
	defer cancel()
	s.mu.Lock()
	readsBegun := s.readsBegun
	s.mu.Unlock()
	for {
		s.mu.Lock()
		readSinceCall := s.lastSuccessfulRead > readsBegun // a read that began after this call has succeeded
		fresh := readSinceCall || s.copy.IsCurrentFor(node)
		readDone := s.readDone
		s.mu.Unlock()
		if fresh {
			return nil
		}
		s.awaitRead(ctx, readDone)
		if ctx.Err() == nil {
			continue
		}
		if _, err := s.Meta(ctx); err != nil {
			return err
		}
		return record.ErrReplicaBehind
	}
}

// awaitRead requests a read of the store. It waits until a read ends and closes readDone, or until the context ends.
func (s *Server) awaitRead(ctx context.Context, readDone <-chan struct{}) {
	s.readRequested.Set()
	select {
	case <-ctx.Done():
	case <-readDone:
	}
}

// Watch implements store.Replica.
func (s *Server) Watch(ctx context.Context, notify func(*store.Position) error) error {
	s.mu.Lock()
	if s.copy.Meta().Epoch == "" {
		s.mu.Unlock()
		return errNotRead
	}
	position := s.position()
	changed := s.changed
	rolledBack := s.rolledBack
	s.watchers++
	s.mu.Unlock()
	defer s.removeWatcher()

	heartbeat := time.NewTicker(s.config.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		if err := notify(position); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rolledBack:
			return record.ErrRolledBack
		case <-heartbeat.C:
		case <-changed:
		}
		position, changed = s.positionSince(changed)
	}
}

func (s *Server) removeWatcher() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers--
}

// position returns the copy's position. The caller holds the mutex.
func (s *Server) position() *store.Position {
	return &store.Position{Meta: s.copy.Meta(), Age: time.Since(s.lastContact).Milliseconds()}
}

// positionSince returns the position to send to a node, and the channel that is closed at the copy's next change. If
// the copy has not changed since an earlier call returned the channel changed, the position is nil, and the node gets a
// heartbeat. While the store is unavailable, the position is never nil: the node needs the age of the copy, which
// grows.
func (s *Server) positionSince(changed chan struct{}) (*store.Position, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == changed && s.storeError == "" {
		return nil, s.changed
	}
	return s.position(), s.changed
}
