package recordserver

import (
	"context"
	"errors"
	"fmt"

	"robincart/internal/record/record"
	"robincart/internal/record/replica"
	"robincart/internal/record/store"
)

// Write implements store.Store. If the outcome of a change is known from the copy, Write returns that outcome. It
// writes the other changes to the store; a change that several nodes request is written once. Unlike a store, Write may
// apply some changes of a call and not the others. A node can safely retry all of them with the same idempotency keys.
func (s *Server) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	if err := replica.CheckAllowed(epoch, changes); err != nil {
		return nil, record.Meta{}, err
	}
	submitted, err := s.submit(epoch, changes)
	if err != nil {
		return nil, record.Meta{}, err
	}
	s.writeRequested.Set()
	entries, err := submitted.await(ctx)
	if err != nil {
		return nil, record.Meta{}, err
	}
	return entries, s.awaitCopy(ctx, epoch, entries), nil
}

// submission holds the changes of one call of Write. A change's index is also its index in entries and in writes.
type submission struct {
	entries []record.Entry          // an element is set once the outcome of its change is known
	writes  []*replica.PendingWrite // an element is nil if the outcome of its change is known from the copy
	err     error                   // the first error of a change
}

// submit returns a submission of the changes. It queues a write of each change whose outcome is not known from the
// copy.
func (s *Server) submit(epoch string, changes []record.Change) (*submission, error) {
	submitted := &submission{
		entries: make([]record.Entry, len(changes)),
		writes:  make([]*replica.PendingWrite, len(changes)),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range changes {
		if resolution, known := s.resolve(epoch, &changes[i]); known {
			s.answered++
			submitted.entries[i] = resolution.Entry
			if submitted.err == nil {
				submitted.err = resolution.Err
			}
			continue
		}
		submitted.writes[i] = s.queue.Add(epoch, changes[i])
		if submitted.writes[i] == nil {
			return nil, fmt.Errorf("%w: the limit of %d pending changes is reached",
				store.ErrBusy, replica.MaxPendingWrites)
		}
	}
	return submitted, nil
}

// resolve returns the outcome of a change if the copy has the given epoch and the outcome is known from the copy. The
// caller holds the mutex.
func (s *Server) resolve(epoch string, change *record.Change) (replica.Resolution, bool) {
	if epoch != s.copy.Meta().Epoch {
		return replica.Resolution{}, false
	}
	return s.copy.Resolve(change)
}

// await waits until the store has answered all writes. It returns the entries, or the first error of a change.
func (s *submission) await(ctx context.Context) ([]record.Entry, error) {
	for i, write := range s.writes {
		if write == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, ctx.Err())
		case <-write.Done:
		}
		s.entries[i] = write.Entry
		if s.err == nil {
			s.err = write.Err
		}
	}
	return s.entries, s.err
}

// awaitCopy waits until the copy has the entries, but no longer than FreshnessTimeout. It returns the copy's position.
// Without the wait the replica would be behind the node that wrote the entries.
func (s *Server) awaitCopy(ctx context.Context, epoch string, entries []record.Entry) record.Meta {
	ctx, cancel := context.WithTimeout(ctx, s.config.FreshnessTimeout)
	defer cancel()
	var revision int64
	for _, entry := range entries {
		revision = max(revision, entry.Revision)
	}
	for {
		s.mu.Lock()
		meta := s.copy.Meta()
		readDone := s.readDone
		s.mu.Unlock()
		if ctx.Err() != nil || meta.Epoch != epoch || meta.Revision >= revision {
			return meta
		}
		s.awaitRead(ctx, readDone)
	}
}

// writeBatch writes the next batch of the queue to the store. It returns false if there was no batch to write.
func (s *Server) writeBatch(ctx context.Context) bool {
	s.mu.Lock()
	batch := s.queue.Next(s.batchSize)
	s.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	err := s.send(ctx, batch)
	s.adaptBatchSize(len(batch), err)

	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Complete(batch)
	s.written += len(batch)
	for _, write := range batch {
		if s.copy.Meta().Epoch == write.Epoch {
			s.copy.NoteWritten(write.Entry)
		}
		close(write.Done)
	}
	return true
}

// adaptBatchSize halves the batch size after a timeout and doubles it after a full batch. If the latency of the store
// is high, a batch that is too large would time out on every retry, and would lock the store until the timeout.
func (s *Server) adaptBatchSize(written int, err error) {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		s.batchSize = max(written/2, 1)
	case err == nil && written == s.batchSize:
		s.batchSize = min(2*s.batchSize, s.config.MaxBatch)
	}
}

// send writes a batch in one transaction. If the store rejects one of the changes, send writes each change in its own
// transaction, so that the other changes succeed.
func (s *Server) send(ctx context.Context, batch []*replica.PendingWrite) error {
	err := s.sendTransaction(ctx, batch)
	_, rejected := record.Rejection(err)
	if !rejected || len(batch) == 1 {
		return err
	}
	for i := range batch {
		s.sendTransaction(ctx, batch[i:i+1]) // sets the error of the pending write
	}
	return nil
}

// sendTransaction writes a batch in one transaction, and sets the entry or the error of each pending write.
func (s *Server) sendTransaction(ctx context.Context, batch []*replica.PendingWrite) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	changes := make([]record.Change, len(batch))
	for i, write := range batch {
		changes[i] = write.Change
	}
	entries, _, err := s.upstream.Write(ctx, batch[0].Epoch, changes)
	for i, write := range batch {
		write.Err = err
		if err == nil {
			write.Entry = entries[i]
		}
	}
	return err
}

// failPendingWrites completes all pending writes with the error of a failed read of the store. The nodes retry them.
func (s *Server) failPendingWrites(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		batch := s.queue.Next(replica.MaxPendingWrites)
		if len(batch) == 0 {
			return
		}
		for _, write := range batch {
			write.Err = err
			close(write.Done)
		}
		s.queue.Complete(batch)
	}
}
