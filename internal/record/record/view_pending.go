package record

import (
	"encoding/json"
	"slices"
	"strings"
)

// Pending returns the changes to be written next, at most limit of them: drains first, in the order of Kinds.
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

// PendingCount returns the number of queued changes.
func (v *View) PendingCount() int { return len(v.pending) }

// MarkWritten removes a written change from the queue and puts the entry that the store returned for the change into
// the copy. An entry with Revision 0 means that the store wrote nothing, for example because a newer entry superseded
// the change.
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

// Prune queues the deletion of the entry of each server that has left, once the entry was written more than retention
// milliseconds ago. Without deletions the record would keep an entry for every server name that was ever used. The
// entry is not deleted sooner, because it prevents an outdated endpoint list from adding the server again.
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

// queueObservation queues an observation unless the entry in the copy makes it redundant. If the queue is full, the
// observation is dropped; the next endpoint list has the server again.
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

// queueDrain queues a drain, even if the queue is full. If a change with the same value is already queued, that change
// and its idempotency key stay in the queue, since an earlier attempt to write it may have succeeded.
func (v *View) queueDrain(name string, drain Drain) {
	key := drainKey(name)
	value, _ := json.Marshal(drain) // can't fail: a struct of strings and numbers
	queued, ok := v.pending[key]
	if ok && string(queued.Value) == string(value) {
		return
	}
	v.enqueue(Change{Key: key, ExpectedRevision: AnyRevision, Value: value})
}

// enqueue sets a change's writer, idempotency key and time, and queues the change. It replaces an earlier queued change
// to the same entry.
func (v *View) enqueue(change Change) {
	change.Writer = v.writer
	change.IdempotencyKey = v.newIdempotencyKey()
	change.WrittenAt = v.LatestTime
	v.pending[change.Key] = change
}
