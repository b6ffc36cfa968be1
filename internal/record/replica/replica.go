// Package replica decides what a replica of the controller may say of the store of record in the store's place: what its copy
// holds and answers, and which of many nodes' writes are one. It has no clock, no socket and no database.
package replica

import (
	"fmt"
	"slices"
	"sort"

	"robincart/internal/record/record"
)

// Bounds of what a copy takes and a node may ask.
const (
	MaxEntries        = 100_000  // in a copy: deleted ones count
	MaxBytes          = 64 << 20 // of their names and values
	MaxPendingWrites  = 10_000   // changes that wait for the store
	MaxChangesPerCall = 1000     // in one call of a node
	MaxValueSize      = 4 << 10  // bytes of one of them: sightings and drains are short
)

// ErrTooLarge is a record beyond the bounds; the copy before stays.
var ErrTooLarge = fmt.Errorf("the record has more than %d facts or %d MB", MaxEntries, MaxBytes>>20)

// Copy is the record as it was last read. It is not safe for concurrent use.
type Copy struct {
	meta  record.Meta
	wrote int64 // the highest revision that was written and not read yet: the store stood there
	facts map[record.Key]record.Entry
	order []record.Entry // by revision; nil: to be made again
	bytes int
}

// Meta is where the copy stands; an empty epoch says that nothing was read yet.
func (c *Copy) Meta() record.Meta { return c.meta }

// Len is how many facts it has.
func (c *Copy) Len() int { return len(c.facts) }

// NextRead is what to ask the store for, given where that stands: nothing, what came after a revision, or with whole all of it.
func (c *Copy) NextRead(m record.Meta) (after int64, whole, any bool) {
	switch {
	case m.Epoch != c.meta.Epoch || m.Revision < max(c.meta.Revision, c.wrote):
		return 0, true, true
	case m == c.meta:
		return 0, false, false
	}
	return c.meta.Revision, false, true
}

// Apply puts what was read in force, all of it or nothing. Back tells that the record has another epoch now or went back: whoever was told the copy before
// has to be told so.
func (c *Copy) Apply(p record.Page) (back bool, err error) {
	facts, bytes := map[record.Key]record.Entry{}, 0
	if !p.Complete {
		facts, bytes = c.facts, c.bytes
		fresh, grown := 0, 0
		for _, f := range p.Entries {
			if was, there := facts[f.Key]; there {
				grown -= size(was)
			} else {
				fresh++
			}
			grown += size(f)
		}
		if len(facts)+fresh > MaxEntries || bytes+grown > MaxBytes {
			return false, ErrTooLarge
		}
		if facts == nil {
			facts = map[record.Key]record.Entry{}
		}
	}
	for _, f := range p.Entries {
		bytes += size(f) - size(facts[f.Key])
		facts[f.Key] = f
		if len(facts) > MaxEntries || bytes > MaxBytes {
			return false, ErrTooLarge
		}
	}
	back = c.meta.Epoch != "" && (p.Meta.Epoch != c.meta.Epoch || p.Meta.Revision < max(c.meta.Revision, c.wrote))
	c.meta, c.wrote, c.facts, c.order, c.bytes = p.Meta, 0, facts, nil, bytes
	return back, nil
}

// NoteWritten notes what the store has answered to a write.
func (c *Copy) NoteWritten(f record.Entry) { c.wrote = max(c.wrote, f.Revision) }

func size(f record.Entry) int {
	return len(f.Name) + len(f.Value) + len(f.Writer) + len(f.IdempotencyKey)
}

// IsCurrentFor tells whether the copy can answer one who stands there. One who stands further, or in another epoch, was told so by somebody who may know more.
func (c *Copy) IsCurrentFor(at record.Meta) bool {
	return c.meta.Epoch != "" && (at.Epoch == "" || at.Epoch == c.meta.Epoch && at.Revision <= c.meta.Revision)
}

// Since is what changed after a revision, as a store would say it.
func (c *Copy) Since(after int64, most int) record.Page {
	if c.order == nil {
		c.order = make([]record.Entry, 0, len(c.facts))
		for _, f := range c.facts {
			c.order = append(c.order, f)
		}
		slices.SortFunc(c.order, func(a, b record.Entry) int { return int(a.Revision - b.Revision) })
	}
	from := sort.Search(len(c.order), func(i int) bool { return c.order[i].Revision > after })
	to := min(from+max(most, 1), len(c.order))
	p := record.Page{Meta: c.meta, Entries: slices.Clone(c.order[from:to]), Complete: after == 0 && to == len(c.order)}
	if len(p.Entries) == most { // more may come: this far it is known
		p.Meta.Revision = p.Entries[most-1].Revision
	}
	return p
}

// CheckAllowed tells what a node may not write. It writes what it was told of servers; services, routes and tenants are people's and the leader's.
func CheckAllowed(epoch string, changes []record.Change) error {
	if len(changes) > MaxChangesPerCall {
		return fmt.Errorf("%d changes in one call are more than %d", len(changes), MaxChangesPerCall)
	}
	if len(epoch) > record.MaxNameLength {
		return record.ErrEpochMismatch
	}
	for i := range changes {
		c := &changes[i]
		if err := c.Validate(); err != nil {
			return err
		}
		if len(c.Value) > MaxValueSize {
			return fmt.Errorf("%s %s: %d bytes are more than %d", c.Kind, c.Name, len(c.Value), MaxValueSize)
		}
		if c.Kind != record.KindServer && (c.Kind != record.KindDrain || c.Delete) {
			return fmt.Errorf("%s %s: a node writes sightings of servers and drains, and nothing else", c.Kind, c.Name)
		}
	}
	return nil
}

// Resolve is a change's outcome where the copy knows it: the fact that stands, or what the store would refuse it by. What would be written has to be
// sent to the store, and so has one whose writer has seen more than the copy.
func (c *Copy) Resolve(x *record.Change) (f record.Entry, refused error, known bool) {
	now, there := c.facts[x.Key]
	if !there || x.ExpectedRevision > c.meta.Revision {
		return f, nil, false
	}
	outcome, err := record.Evaluate(&now, x)
	if err == nil && outcome == record.OutcomeWrite {
		return f, nil, false
	}
	return now, err, true
}

// PendingWrite is one change on its way to the store, for all who asked for it.
type PendingWrite struct {
	Change record.Change
	Epoch  string
	Done   chan struct{} // closed when what follows is known
	Entry  record.Entry
	Err    error
}

// Queue merges writes. It is not safe for concurrent use.
type Queue struct {
	jobs   []*PendingWrite
	by     map[record.Key][]*PendingWrite // those that wait and those at the store
	Merged int                            // changes that another's stands for
}

// Len is how many changes wait.
func (q *Queue) Len() int { return len(q.jobs) }

// Add puts a change into the queue, or finds the one there, or at the store already, that says the same. It refuses, with nil, where too many wait.
func (q *Queue) Add(epoch string, c record.Change) *PendingWrite {
	for _, j := range q.by[c.Key] {
		if j.Epoch == epoch && equal(&j.Change, &c) {
			q.Merged++
			return j
		}
	}
	if len(q.jobs) >= MaxPendingWrites {
		return nil
	}
	if q.by == nil {
		q.by = map[record.Key][]*PendingWrite{}
	}
	j := &PendingWrite{Change: c, Epoch: epoch, Done: make(chan struct{})}
	q.jobs, q.by[c.Key] = append(q.jobs, j), append(q.by[c.Key], j)
	return j
}

// Complete takes what the store has answered out.
func (q *Queue) Complete(batch []*PendingWrite) {
	for _, j := range batch {
		k := j.Change.Key
		if q.by[k] = slices.DeleteFunc(q.by[k], func(x *PendingWrite) bool { return x == j }); len(q.by[k]) == 0 {
			delete(q.by, k)
		}
	}
}

// equal tells whether two changes would leave the same behind.
func equal(a, b *record.Change) bool {
	if a.Key != b.Key || a.ExpectedRevision != b.ExpectedRevision || a.Delete != b.Delete {
		return false
	}
	if a.Delete {
		return true
	}
	outcome, err := record.Evaluate(&record.Entry{Key: a.Key, Revision: 1, IdempotencyKey: a.IdempotencyKey, Value: a.Value},
		&record.Change{Key: b.Key, ExpectedRevision: record.AnyRevision, Writer: b.Writer, IdempotencyKey: b.IdempotencyKey, Value: b.Value})
	return err == nil && outcome != record.OutcomeWrite
}

// Next takes the next changes out, so many at most: of one epoch and each key once, in the order in which they came. Drains go before all else and by
// themselves: they wait for nothing that is large.
func (q *Queue) Next(most int) []*PendingWrite {
	if batch := q.next(most, true); len(batch) > 0 {
		return batch
	}
	return q.next(most, false)
}

func (q *Queue) next(most int, drains bool) (batch []*PendingWrite) {
	keys, left := map[record.Key]bool{}, q.jobs[:0:0]
	for _, j := range q.jobs {
		is := (j.Change.Kind == record.KindDrain) == drains
		if is && len(batch) < most && !keys[j.Change.Key] && (len(batch) == 0 || j.Epoch == batch[0].Epoch) {
			batch = append(batch, j)
		} else {
			left = append(left, j)
		}
		keys[j.Change.Key] = true // a later one of the same key waits for the earlier
	}
	if len(batch) > 0 {
		q.jobs = left
	}
	return batch
}
