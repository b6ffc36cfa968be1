package record

import (
	"maps"
	"slices"
)

// SyncState is the state of a node's copy relative to its store.
type SyncState int

// The states of a copy.
const (
	NeverSynced  SyncState = iota // no store has been reached since the node started
	Following                     // the copy is up to date with the store
	RolledBack                    // the store, in the same epoch, is older than the copy: a backup was restored
	EpochChanged                  // the store was recreated, restored or imported since the copy was read
	Disconnected                  // the store became unreachable after the copy was read
)

// String returns the state as the status page shows it.
func (s SyncState) String() string {
	return []string{"never reached", "follows", "went back", "another epoch", "lost"}[s]
}

// View is a node's copy of the record, merged with discovery's endpoint lists and the drains that the node was notified
// of. Methods such as ApplyPage, ApplyDiscovery and AddDrain take the inputs; Servers, Entries and Pending return the
// results. A View is not safe for concurrent use.
type View struct {
	MaxStaleness int64 // milliseconds for which servers known only from a disconnected copy are used; 0: no limit
	MaxPending   int   // limit of pending changes other than drains

	Meta        Meta // of the last page that was applied
	SyncState   SyncState
	LastContact int64 // when the store was last reached
	LatestTime  int64 // the latest time passed in, since the machine's clock may be set back
	Dropped     int   // observations that were not queued because the queue was full

	writer            string
	newIdempotencyKey func() string

	// writtenRevision is the highest revision that this node has written, or has restored from a snapshot. The store
	// has reached it, even if the node has not read that far.
	writtenRevision int64

	entries        map[Key]Entry
	discovered     map[string]map[string]Observation // by service and ID
	listedServices map[string]bool                   // those whose complete list has arrived since the start
	localDrains    map[string]Drain                  // of which this node was notified, by name
	pending        map[Key]Change                    // to be written
}

// NewView returns an empty view. Writer is the node's name, under which it writes; newIdempotencyKey returns a new key
// each time it is called.
func NewView(writer string, maxPending int, newIdempotencyKey func() string) *View {
	return &View{
		MaxPending:        maxPending,
		writer:            writer,
		newIdempotencyKey: newIdempotencyKey,
		entries:           map[Key]Entry{},
		discovered:        map[string]map[string]Observation{},
		listedServices:    map[string]bool{},
		localDrains:       map[string]Drain{},
		pending:           map[Key]Change{},
	}
}

// advanceClock updates LatestTime with the time of an input, and returns it.
func (v *View) advanceClock(now int64) int64 {
	v.LatestTime = max(v.LatestTime, now)
	return v.LatestTime
}

// Snapshot is the part of a view that a node saves in a file and restores when it restarts.
type Snapshot struct {
	Meta        Meta             `json:"meta"`
	LastContact int64            `json:"at_ms"`
	LatestTime  int64            `json:"clock_ms"`
	Entries     []Entry          `json:"facts"`
	Drains      map[string]Drain `json:"drains"` // of which this node was notified; they may not be stored yet
}

// Snapshot returns a copy of the view's persistent part.
func (v *View) Snapshot() Snapshot {
	return Snapshot{
		Meta:        v.Meta,
		LastContact: v.LastContact,
		LatestTime:  v.LatestTime,
		Entries:     slices.Collect(maps.Values(v.entries)),
		Drains:      maps.Clone(v.localDrains),
	}
}

// Restore loads a snapshot into an empty view. The copy counts as disconnected until a store has been reached.
func (v *View) Restore(snapshot Snapshot, now int64) {
	v.Meta = snapshot.Meta
	v.LastContact = snapshot.LastContact
	v.LatestTime = max(snapshot.LatestTime, now)
	v.SyncState = NeverSynced
	for _, entry := range snapshot.Entries {
		v.entries[entry.Key] = entry
		v.writtenRevision = max(v.writtenRevision, entry.Revision)
	}
	for name, drain := range snapshot.Drains {
		v.addLocalDrain(name, drain)
	}
}

// Entries returns the entries of a kind that are not deleted, sorted by name.
func (v *View) Entries(kind Kind) []Entry {
	var entries []Entry
	for _, entry := range v.entries {
		if entry.Kind == kind && !entry.Deleted {
			entries = append(entries, entry)
		}
	}
	return SortEntries(entries)
}
