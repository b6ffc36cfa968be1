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
	RolledBack                    // the store has the copy's epoch but a lower revision: a backup was restored
	EpochChanged                  // the record was recreated, restored or imported since the copy was read
	Disconnected                  // the store became unreachable after the copy was read
)

// String returns the state as the status page shows it.
func (s SyncState) String() string {
	return []string{"never reached", "follows", "went back", "another epoch", "lost"}[s]
}

// View is a node's copy of the record, merged with discovery's endpoint lists and the drains of which the node was
// notified. Methods such as ApplyPage, ApplyDiscovery and AddDrain take the inputs; Servers, Entries and Pending return
// the results. Each service has an EndpointList, which StartList creates. Times are in milliseconds since 1970. A View
// is not safe for concurrent use.
type View struct {
	// MaxStaleness is a limit in milliseconds; 0: no limit. If the last contact with the store is longer ago, servers
	// that are known only from the copy get no new requests.
	MaxStaleness int64
	// MaxPending limits the number of pending changes. Drains are queued even if the limit is reached.
	MaxPending int

	Meta        Meta // epoch and revision of the copy
	SyncState   SyncState
	LastContact int64 // time of the last contact with the store
	// LatestTime is the latest time that was passed to the view. An earlier time is replaced by LatestTime, since the
	// machine's clock may be set back.
	LatestTime int64
	Dropped    int // number of observations that were not queued because the queue was full

	writer            string
	newIdempotencyKey func() string

	// writtenRevision is the highest revision that this node has written since it last read from the store, or that a
	// restored snapshot had. The store has reached this revision, even if the node has not read all entries up to it.
	writtenRevision int64

	entries     map[Key]Entry
	lists       map[string]*EndpointList // the current list of each service's name
	localDrains map[string]Drain         // drains that the node keeps even if the store lacks them
	// drainChanges is the number of changes of drains, in the record or in localDrains.
	drainChanges int
	pending      map[Key]Change // changes to be written to the store
	inForce      map[Key]Entry  // services, routes and tenants in force; nil: none compiled yet
}

// NewView returns an empty view. The argument writer is the node's name, which each of its changes contains. The
// function newIdempotencyKey returns a new key each time it is called.
func NewView(writer string, maxPending int, newIdempotencyKey func() string) *View {
	return &View{
		MaxPending:        maxPending,
		writer:            writer,
		newIdempotencyKey: newIdempotencyKey,
		entries:           map[Key]Entry{},
		lists:             map[string]*EndpointList{},
		localDrains:       map[string]Drain{},
		pending:           map[Key]Change{},
	}
}

// DrainChanges returns a number that grows with each change of a drain that the view knows.
func (v *View) DrainChanges() int { return v.drainChanges }

// advanceClock raises LatestTime to now, unless now is earlier, and returns LatestTime.
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
	Drains      map[string]Drain `json:"drains"` // drains known to this node that the store may lack, by SERVICE/SERVER
	// Differences are the services, routes and tenants whose entry in Entries is not in force.
	Differences []ConfigurationDifference `json:"not_in_force,omitempty"`
}

// Snapshot returns a copy of the part of the view that the node saves.
func (v *View) Snapshot() Snapshot {
	return Snapshot{
		Meta:        v.Meta,
		LastContact: v.LastContact,
		LatestTime:  v.LatestTime,
		Entries:     slices.Collect(maps.Values(v.entries)),
		Drains:      maps.Clone(v.localDrains),
		Differences: v.configurationDifferences(),
	}
}

// Restore loads a snapshot into an empty view. The view's state is NeverSynced until the node reaches a store.
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
	v.restoreInForce(snapshot.Differences)
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
