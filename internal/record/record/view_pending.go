package record

import (
	"encoding/json"
	"slices"
	"strings"
)

// Pending returns the changes to be written next, drains first, and at most limit of them.
func (v *View) Pending(limit int) []Change {
	byKind := map[Kind][]Change{}
	for key, change := range v.pending {
		byKind[key.Kind] = append(byKind[key.Kind], change)
	}
	var changes []Change
	for _, kind := range Kinds {
		slices.SortFunc(byKind[kind], func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
		changes = append(changes, byKind[kind]...)
	}
	return changes[:min(limit, len(changes))]
}

// PendingCount returns how many changes are to be written.
func (v *View) PendingCount() int { return len(v.pending) }

// UnrecordedDrains returns how many drains are queued and not yet in the store.
func (v *View) UnrecordedDrains() int {
	count := 0
	for key := range v.pending {
		if key.Kind == KindDrain {
			count++
		}
	}
	return count
}

// MarkWritten removes a change from the queue and updates the copy with the entry that the store returned for it. An
// entry with Revision 0 means that the store wrote nothing, for example because a newer entry superseded the change.
func (v *View) MarkWritten(change Change, entry Entry) {
	queued, ok := v.pending[change.Key]
	if ok && queued.IdempotencyKey == change.IdempotencyKey {
		delete(v.pending, change.Key)
	}
	if entry.Revision <= 0 {
		return
	}
	v.writtenRevision = max(v.writtenRevision, entry.Revision)
	known, ok := v.entries[entry.Key]
	if !ok || known.Revision < entry.Revision {
		v.entries[entry.Key] = entry
	}
}

// Prune queues the deletion of entries of servers that left more than retention milliseconds ago. Without it the record
// would keep an entry for every server name that was ever used. Until it is deleted, the entry keeps an old endpoint
// list from adding the server again.
func (v *View) Prune(now, retention int64) {
	now = v.advanceClock(now)
	for key, entry := range v.entries {
		if len(v.pending) >= v.MaxPending {
			return
		}
		if key.Kind != KindServer || now-entry.WrittenAt <= retention {
			continue
		}
		observation, ok := entry.observation()
		if !ok || observation.Phase != PhaseGone {
			continue
		}
		if _, queued := v.pending[key]; !queued {
			v.enqueue(Change{Key: key, ExpectedRevision: entry.Revision, Delete: true})
		}
	}
}

// queueObservation queues an observation unless the copy already implies it. If the queue is full the observation is
// dropped; the next endpoint list has it again.
func (v *View) queueObservation(observation Observation) {
	key := Key{Kind: KindServer, Name: observation.Service + "/" + observation.ID}
	value, _ := json.Marshal(observation) // can't fail: a struct of strings and numbers
	if entry, ok := v.entries[key]; ok && observation.impliedBy(entry, value) {
		return
	}
	if _, queued := v.pending[key]; !queued && len(v.pending) >= v.MaxPending {
		v.Dropped++
		return
	}
	v.enqueue(Change{Key: key, ExpectedRevision: AnyRevision, Value: value})
}

// queueDrain queues a drain, even if the queue is full. If a change with the same value is already queued it stays,
// with its idempotency key, since an earlier attempt may have been written.
func (v *View) queueDrain(name string, drain Drain) {
	key := drainKey(name)
	value, _ := json.Marshal(drain) // can't fail: a struct of strings and numbers
	queued, ok := v.pending[key]
	if ok && string(queued.Value) == string(value) {
		return
	}
	v.enqueue(Change{Key: key, ExpectedRevision: AnyRevision, Value: value})
}

// enqueue sets a change's writer, idempotency key and time, and queues it in place of an earlier change of the same
// key.
func (v *View) enqueue(change Change) {
	change.Writer = v.writer
	change.IdempotencyKey = v.newIdempotencyKey()
	change.WrittenAt = v.LatestTime
	v.pending[change.Key] = change
}
