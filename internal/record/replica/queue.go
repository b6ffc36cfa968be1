package replica

import (
	"slices"

	"robincart/internal/record/record"
)

// MaxPendingWrites is the limit of the writes that wait for the store.
const MaxPendingWrites = 10_000

// PendingWrite is one change on its way to the store, for all nodes that asked for it.
type PendingWrite struct {
	Change record.Change
	Epoch  string
	Done   chan struct{} // closed once Entry and Err are set
	Entry  record.Entry
	Err    error
}

// Queue holds the writes that wait for the store, and merges equal ones. Its zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	Merged int // changes that were merged with an earlier one

	waiting []*PendingWrite
	byKey   map[record.Key][]*PendingWrite // those that wait and those that were taken but not completed
}

// Len returns how many writes wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Add queues a change. If an equal one waits, or was taken but not completed, it returns that. If the queue is full it
// returns nil.
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

// Next takes the next writes, at most limit: of one epoch, each key once, in the order in which they were added. Drains
// come first and by themselves, so that they do not wait for a large batch.
func (q *Queue) Next(limit int) []*PendingWrite {
	if batch := q.take(limit, true); len(batch) > 0 {
		return batch
	}
	return q.take(limit, false)
}

// take takes the next writes that are drains, or those that are not.
func (q *Queue) take(limit int, drains bool) []*PendingWrite {
	var batch, left []*PendingWrite
	seen := map[record.Key]bool{} // a later write of a key waits for the earlier one
	for _, write := range q.waiting {
		key := write.Change.Key
		fits := len(batch) < limit && (len(batch) == 0 || write.Epoch == batch[0].Epoch)
		if fits && !seen[key] && (key.Kind == record.KindDrain) == drains {
			batch = append(batch, write)
		} else {
			left = append(left, write)
		}
		seen[key] = true
	}
	if len(batch) > 0 {
		q.waiting = left
	}
	return batch
}

// Complete removes writes that were taken and that the store has answered.
func (q *Queue) Complete(batch []*PendingWrite) {
	for _, write := range batch {
		key := write.Change.Key
		left := slices.DeleteFunc(q.byKey[key], func(other *PendingWrite) bool { return other == write })
		if len(left) == 0 {
			delete(q.byKey, key)
			continue
		}
		q.byKey[key] = left
	}
}

// equal reports whether two changes of one key have the same effect.
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
