package recordserver

import (
	"context"
	"time"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// CheckFresh implements store.Replica. If the node is further than the copy the store is read first: it may have been
// rolled back, or this replica may be the one that is behind.
func (s *Server) CheckFresh(ctx context.Context, node record.Meta) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.FreshnessTimeout)
	defer cancel()
	s.mu.Lock()
	readsBegun := s.readsBegun
	s.mu.Unlock()
	for {
		s.mu.Lock()
		wasReadSince := s.lastGoodRead > readsBegun // by a read that began after this call
		fresh := wasReadSince || s.copy.IsCurrentFor(node)
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

// awaitRead requests a read of the store and waits until one ends, as readDone says, or the context does.
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

// position returns the copy's position. The mutex is held.
func (s *Server) position() *store.Position {
	return &store.Position{Meta: s.copy.Meta(), Age: time.Since(s.lastContact).Milliseconds()}
}

// positionSince returns the position to notify of, nil if there is nothing new since a state of the changed channel,
// and that channel's state now. While the store is unavailable the position's age grows, and nodes have to know it.
func (s *Server) positionSince(changed chan struct{}) (*store.Position, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == changed && s.storeError == "" {
		return nil, s.changed
	}
	return s.position(), s.changed
}
