package replica

import (
	"slices"

	"robincart/internal/record/record"
)

// MaxPendingWrites is the maximum length of a Queue.
const MaxPendingWrites = 10_000

// PendingWrite is the write of one change to the store, on behalf of all nodes that requested it.
type PendingWrite struct {
	Change record.Change
	Epoch  string
	Done   chan struct{} // closed once Entry and Err are set
	Entry  record.Entry
	Err    error
}

// Queue holds the changes to be written to the store, and merges equal changes into one write. Its zero value is empty.
// It is not safe for concurrent use.
type Queue struct {
	Merged int // number of changes that were merged with an earlier, equal change

	waiting []*PendingWrite
	byKey   map[record.Key][]*PendingWrite // writes that are queued, or dequeued but not completed
}

// Len returns the number of queued writes, without those that Next has dequeued.
func (q *Queue) Len() int { return len(q.waiting) }

// Add queues a change and returns its PendingWrite. If an equal change is already queued, or has been dequeued but its
// write has not completed, Add returns the existing PendingWrite. If the queue is full, Add returns nil.
func (q *Queue) Add(epoch string, change record.Change) *PendingWrite {
	for _, write := range q.byKey[change.Key] {
		if write.Epoch == epoch && equal(&write.Change, &change) {
			q.Merged++
			return write
		}
	}
	if len(q.waiting) >= MaxPendingWrites {
		return nil
	}
	if q.byKey == nil {
		q.byKey = map[record.Key][]*PendingWrite{}
	}
	write := &PendingWrite{Change: change, Epoch: epoch, Done: make(chan struct{})}
	q.waiting = append(q.waiting, write)
	q.byKey[change.Key] = append(q.byKey[change.Key], write)
	return write
}

// Next dequeues a batch of at most limit writes, in the order in which they were added. The writes of a batch have the
// same epoch and different keys. Drains are dequeued first, in batches that contain only drains, so that a drain does
// not wait for a large batch of other writes.
func (q *Queue) Next(limit int) []*PendingWrite {
	if batch := q.take(limit, true); len(batch) > 0 {
		return batch
	}
	return q.take(limit, false)
}

// take dequeues the next batch of drains or, if drains is false, the next batch of other writes.
func (q *Queue) take(limit int, drains bool) []*PendingWrite {
	var batch, remaining []*PendingWrite
	seen := map[record.Key]bool{} // of two writes with the same key, the later stays queued
	for _, write := range q.waiting {
		key := write.Change.Key
		fits := len(batch) < limit && (len(batch) == 0 || write.Epoch == batch[0].Epoch)
		if fits && !seen[key] && (key.Kind == record.KindDrain) == drains {
			batch = append(batch, write)
		} else {
			remaining = append(remaining, write)
		}
		seen[key] = true
	}
	if len(batch) > 0 {
		q.waiting = remaining
	}
	return batch
}

// Complete removes dequeued writes for which the store has returned a result. If an equal change is added later, it is
// queued as a new write.
func (q *Queue) Complete(batch []*PendingWrite) {
	for _, write := range batch {
		key := write.Change.Key
		remaining := slices.DeleteFunc(q.byKey[key], func(other *PendingWrite) bool { return other == write })
		if len(remaining) == 0 {
			delete(q.byKey, key)
			continue
		}
		q.byKey[key] = remaining
	}
}

// equal reports whether two changes are to the same entry and have the same effect.
func equal(a, b *record.Change) bool {
	if a.Key != b.Key || a.ExpectedRevision != b.ExpectedRevision || a.Delete != b.Delete {
		return false
	}
	if a.Delete {
		return true
	}
	written := record.Entry{Key: a.Key, Revision: 1, IdempotencyKey: a.IdempotencyKey, Value: a.Value}
	repeated := *b
	repeated.ExpectedRevision = record.AnyRevision
	outcome, err := record.Evaluate(&written, &repeated)
	return err == nil && outcome != record.OutcomeWrite
}
