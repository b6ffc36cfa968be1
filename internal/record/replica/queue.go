package replica

import (
	"slices"

	"robincart/internal/record/record"
)

// MaxPendingWrites is the maximum number of writes that wait for the store.
const MaxPendingWrites = 10_000

// PendingWrite is a change that is queued for the store, on behalf of all nodes that requested it.
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
	byKey   map[record.Key][]*PendingWrite // writes that wait, or were taken but not completed
}

// Len returns how many writes wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Add queues a change and returns its write. If an equal change waits, or was taken but not completed, Add returns that
// one's write instead. If the queue is full it returns nil.
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

// Next takes a batch of at most limit writes from the queue, in the order in which they were added. A batch has writes
// of one epoch only, and one write per key. Drains are taken first, in batches of their own, so that they do not wait
// for a large batch.
func (q *Queue) Next(limit int) []*PendingWrite {
	if batch := q.take(limit, true); len(batch) > 0 {
		return batch
	}
	return q.take(limit, false)
}

// take takes the next batch of drains or, if drains is false, the next batch of other writes.
func (q *Queue) take(limit int, drains bool) []*PendingWrite {
	var batch, remaining []*PendingWrite
	seen := map[record.Key]bool{} // a later write of a key waits for the earlier one
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

// Complete removes writes that were taken and that the store has answered. Later equal changes are queued anew.
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
