package record

// Position returns the highest position up to which this node has read or written the record.
func (v *View) Position() Meta {
	return Meta{Epoch: v.Meta.Epoch, Revision: max(v.Meta.Revision, v.writtenRevision)}
}

// NextRead returns the range of entries to read from a store that is at the position store.
func (v *View) NextRead(store Meta) ReadRange {
	position := v.Position()
	if store.Epoch != position.Epoch || store.Revision < position.Revision {
		return ReadRange{Complete: true}
	}
	return ReadRange{After: v.Meta.Revision}
}

// SizeWith returns how many entries, including deleted ones, the view would have after the page was applied.
func (v *View) SizeWith(page Page) int {
	if page.Complete {
		return len(page.Entries)
	}
	size := len(v.entries)
	for _, entry := range page.Entries {
		if _, known := v.entries[entry.Key]; !known {
			size++
		}
	}
	return size
}

// ApplyPage merges a page read from the store into the copy. Drains that this node knows and the store has lost are
// kept, and queued to be written again.
func (v *View) ApplyPage(page Page, now int64) {
	v.advanceClock(now)
	v.SyncState = v.stateAtPage(page.Meta)
	recorded := v.recordedDrains()
	v.mergeEntries(page)
	inPage := map[Key]bool{}
	for _, entry := range page.Entries {
		inPage[entry.Key] = true
		v.dropImpliedObservation(entry)
	}
	v.adoptLostDrains(recorded, page.Complete, inPage)
	v.reconcileLocalDrains(inPage)
	if v.SyncState != RolledBack {
		v.Meta = page.Meta
		v.writtenRevision = 0
	}
	v.LastContact = now
}

// stateAtPage returns the copy's state after a read that returned a page with the position store.
func (v *View) stateAtPage(store Meta) SyncState {
	switch {
	case v.Meta.Epoch == "":
		return Following
	case store.Epoch != v.Meta.Epoch:
		return EpochChanged
	case store.Revision < v.Position().Revision:
		return RolledBack
	}
	return Following
}

// recordedDrains returns the entries of drains in the copy, by SERVICE/SERVER.
func (v *View) recordedDrains() map[string]Entry {
	drains := map[string]Entry{}
	for key, entry := range v.entries {
		if key.Kind == KindDrain && !entry.Deleted {
			drains[key.Name] = entry
		}
	}
	return drains
}

// mergeEntries merges a page's entries into the copy. If the store was rolled back, an entry in the copy is replaced
// only by an entry with a higher revision.
func (v *View) mergeEntries(page Page) {
	rolledBack := v.SyncState == RolledBack
	if page.Complete && !rolledBack {
		clear(v.entries)
	}
	for _, entry := range page.Entries {
		known, ok := v.entries[entry.Key]
		if rolledBack && ok && known.Revision >= entry.Revision {
			continue
		}
		v.entries[entry.Key] = entry
		if entry.Kind == KindDrain && entry.Revision != known.Revision {
			v.drainChanges++
		}
	}
}

// dropImpliedObservation removes the pending change to a server's entry from the queue if the stored entry makes the
// change redundant. All nodes learn of a server at the same time. If every node wrote its own observation of the
// server, a node far from the store might never be able to write its whole queue of redundant changes within the time
// limit of one call.
func (v *View) dropImpliedObservation(entry Entry) {
	change, queued := v.pending[entry.Key]
	if !queued || entry.Kind != KindServer {
		return
	}
	if change.Delete {
		if entry.Deleted {
			delete(v.pending, entry.Key)
		}
		return
	}
	observation, ok := Entry{Value: change.Value}.observation()
	if ok && observation.impliedBy(entry, change.Value) {
		delete(v.pending, entry.Key)
	}
}

// adoptLostDrains adds to the local drains those that the store has lost, so that they are written again. A drain is
// lost if a complete page has no entry for it or if, in a new epoch, its entry has another idempotency key. A drain
// that was deleted is not lost: the page has a tombstone for it.
func (v *View) adoptLostDrains(recorded map[string]Entry, complete bool, inPage map[Key]bool) {
	for name, entry := range recorded {
		missing := complete && !inPage[entry.Key]
		replaced := v.SyncState == EpochChanged && v.entries[entry.Key].IdempotencyKey != entry.IdempotencyKey
		if !missing && !replaced {
			continue
		}
		if drain, ok := entry.drain(); ok {
			v.addLocalDrain(name, drain)
		}
	}
}

// reconcileLocalDrains removes the local drains that the record already has, and queues the local drains that the
// record lacks.
func (v *View) reconcileLocalDrains(inPage map[Key]bool) {
	for name, drain := range v.localDrains {
		key := drainKey(name)
		entry, exists := v.entries[key]
		stored, ok := entry.drain()
		inStore := v.SyncState == Following || inPage[entry.Key] // if false, the entry may be in the node's copy only
		if exists && ok && inStore && !drain.extends(stored, entry.Revision) {
			if stored.Ended || stored.lastStart() > drain.lastStart() || stored == drain {
				delete(v.localDrains, name)
			}
			delete(v.pending, key)
			continue
		}
		_, queued := v.pending[key]
		if exists && entry.Deleted && v.SyncState == Following && entry.Revision > 0 && !queued {
			delete(v.localDrains, name) // the drain was recorded, and an operator has since deleted it
			continue
		}
		v.queueDrain(name, drain)
	}
}

// MarkSynced ends the state RolledBack or EpochChanged, after the node has written the changes that the store lacked.
// The view then follows the store from the position store. MarkSynced has no effect if changes are still pending and
// the store's revision is lower than the view's.
func (v *View) MarkSynced(store Meta) {
	if len(v.pending) > 0 && store.Revision < v.Meta.Revision {
		return
	}
	v.Meta = store
	v.writtenRevision = 0
	v.SyncState = Following
}

// MarkDisconnected records that the store is unreachable. A view that has never reached a store stays NeverSynced.
func (v *View) MarkDisconnected() {
	if v.SyncState != NeverSynced {
		v.SyncState = Disconnected
	}
}
