package recordserver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// errNotRead is returned to nodes until the first successful read of the store.
var errNotRead = errors.New("this replica has not read the record yet")

// read brings the copy up to date with the store, and wakes the callers that wait for the end of a read.
func (s *Server) read(ctx context.Context) error {
	s.mu.Lock()
	s.readsBegun++
	s.mu.Unlock()
	err := s.readStore(ctx)
	if ctx.Err() == nil {
		s.finishRead(err)
	}
	return err
}

// readStore reads the entries that the copy lacks, and applies them.
func (s *Server) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	position, err := s.upstream.Meta(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	next, needed := s.copy.NextRead(position)
	s.mu.Unlock()
	if !needed {
		return nil
	}
	entries := 0
	page, err := store.ReadRange(ctx, s.upstream, next, s.config.PageSize, func(page record.Page) error {
		entries += len(page.Entries)
		if entries > record.MaxEntries {
			return record.ErrTooLarge
		}
		return nil
	})
	if err != nil {
		return err
	}
	isContinuation := page.Meta.Epoch == position.Epoch && page.Meta.Revision >= position.Revision
	if !next.Complete && !isContinuation { // the store was restored between the calls of Meta and ReadRange
		return record.ErrEpochMismatch
	}
	return s.applyPage(page)
}

// applyPage merges a page into the copy, and wakes the calls that wait for a change or a rollback.
func (s *Server) applyPage(page record.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	rolledBack, err := s.copy.Apply(page)
	if err != nil {
		return err
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if rolledBack {
		s.log.Warn("record store rolled back", zap.String("epoch", page.Meta.Epoch),
			zap.Int64("revision", page.Meta.Revision))
		close(s.rolledBack)
		s.rolledBack = make(chan struct{})
	}
	return nil
}

// finishRead records the result of a read. It logs when the store becomes unavailable and when it recovers.
func (s *Server) finishRead(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.copy.Meta().Revision
	if err != nil {
		if s.storeError == "" {
			s.log.Error("record store unavailable", zap.Error(err), zap.Int64("revision", revision))
		}
		s.storeError = err.Error()
	} else {
		if s.storeError != "" {
			s.log.Info("record store recovered", zap.Int64("revision", revision))
		}
		s.storeError = ""
		s.lastContact = time.Now()
		s.lastSuccessfulRead = s.readsBegun
	}
	close(s.readDone)
	s.readDone = make(chan struct{})
}

// Meta implements store.Store. It returns the copy's position.
func (s *Server) Meta(context.Context) (record.Meta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	meta := s.copy.Meta()
	if meta.Epoch == "" {
		return record.Meta{}, errNotRead
	}
	return meta, nil
}

// Since implements store.Store. It reads from the copy.
func (s *Server) Since(_ context.Context, after int64, limit int) (record.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy.Meta().Epoch == "" {
		return record.Page{}, errNotRead
	}
	return s.copy.Since(after, limit), nil
}

// Wait implements store.Store. It returns when the copy changes, or after the timeout.
func (s *Server) Wait(ctx context.Context, timeout time.Duration) error {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}
