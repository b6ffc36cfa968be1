// Package record defines the data model and the write rules of the store of record. The store is a database for state
// that must outlive a node's process: drained servers, the servers that discovery listed, and the services, routes and
// tenants that operators configured in the store.
//
// Evaluate decides whether a change replaces the stored entry; every store calls Evaluate in the transaction that
// writes the change. View is a node's copy of the record: it merges the store's entries, discovery's endpoint lists and
// the drains of which the node was notified, and queues the changes that the node has to write. The package also
// defines how entries and changes are encoded when they are stored or transmitted. It does no I/O, starts no goroutine
// and reads no clock: callers pass times in milliseconds since 1970.
package record

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Kind is the type of object that an entry describes.
type Kind string

// The kinds of entries.
const (
	KindTenant  Kind = "tenant"  // named SERVICE/TENANT
	KindService Kind = "service" // a pool of servers
	KindRoute   Kind = "route"
	KindServer  Kind = "server" // named SERVICE/SERVER; the value is an Observation
	KindDrain   Kind = "drain"  // named SERVICE/SERVER; the value is a Drain
)

// Kinds lists all kinds in the order in which a node writes its queued changes to the store: drains first.
var Kinds = []Kind{KindDrain, KindService, KindTenant, KindRoute, KindServer}

// Limits of a change's fields, in bytes.
const (
	MaxNameLength = 512
	MaxValueSize  = 64 << 10
)

// Limits of a record that a follower copies into memory. They are ten times what the largest fleet needs, counting the
// entries of servers that left recently. If a store's record exceeds a limit, the follower stops reading from the store
// and keeps the copy that it has.
const (
	MaxEntries = 100_000  // number of entries, including deleted ones
	MaxBytes   = 64 << 20 // total size of names and values, in bytes
)

// Key identifies an entry.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func drainKey(name string) Key { return Key{Kind: KindDrain, Name: name} }

// Entry is one stored object. WrittenAt is the time of the write by the writer's clock, in milliseconds since 1970.
// Writers' clocks may differ, so the order of writes follows from Revision only.
type Entry struct {
	Key
	Revision int64  `json:"revision"`          // assigned by the store; unique to each write
	Deleted  bool   `json:"deleted,omitempty"` // a tombstone, which tells followers of the deletion
	Writer   string `json:"by"`
	// IdempotencyKey is the key of the change that was written last. It shows a writer that got no answer whether its
	// change was written.
	IdempotencyKey string          `json:"mark"`
	WrittenAt      int64           `json:"at_ms"`
	Value          json.RawMessage `json:"value,omitempty"`
}

// drain decodes the value of an entry of KindDrain. It returns false if the entry is deleted or can't be decoded.
func (e Entry) drain() (Drain, bool) {
	var drain Drain
	if e.Deleted || json.Unmarshal(e.Value, &drain) != nil {
		return Drain{}, false
	}
	return drain, true
}

// observation decodes the value of an entry of KindServer. It returns false if the entry is deleted or can't be
// decoded.
func (e Entry) observation() (Observation, bool) {
	var observation Observation
	if e.Deleted || json.Unmarshal(e.Value, &observation) != nil {
		return Observation{}, false
	}
	return observation, true
}

// SortEntries sorts entries in place: by kind, in the order of Kinds, then by name. It returns the slice that it
// sorted.
func SortEntries(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int {
		byKind := cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind))
		return cmp.Or(byKind, strings.Compare(a.Name, b.Name))
	})
	return entries
}

// Meta is a position of the record: the record's state after the write to which the store assigned Revision. Positions
// of different epochs can't be compared.
type Meta struct {
	Epoch    string `json:"epoch"` // assigned anew when the record is created, restored or imported
	Revision int64  `json:"revision"`
}

// Page is the result of a read: the entries that changed after a revision or, if Complete is set, all entries.
type Page struct {
	Meta     Meta    `json:"Meta"`
	Complete bool    `json:"Whole"`
	Entries  []Entry `json:"Facts"`
}

// ReadRange is the range of entries that a follower of a record has to read next.
type ReadRange struct {
	After    int64 // read the entries whose revision is higher than After
	Complete bool  // read all entries; they replace the follower's copy
}

// Errors that concern the whole record, not a single change.
var (
	// ErrTooLarge is returned by a follower if the store's record exceeds MaxEntries or MaxBytes.
	ErrTooLarge = fmt.Errorf("the record has more than %d entries or %d MB", MaxEntries, MaxBytes>>20)

	// ErrEpochMismatch rejects a write or a read whose epoch differs from the store's: the record was restored,
	// imported or recreated since the caller read it. The caller has to read the record again before it writes.
	ErrEpochMismatch = errors.New("the record's epoch does not match: the record was restored, imported or recreated")

	// ErrRolledBack ends a watch on a replica whose store was rolled back to an older revision or changed its epoch.
	// The follower has to read the complete record, even if the store's revision has since risen above the highest
	// revision that the follower has read.
	ErrRolledBack = errors.New("the record was rolled back or its epoch changed: read the complete record again")

	// ErrReplicaBehind is returned by a replica whose copy of the record is older than the caller's copy, if the
	// replica can't update its copy because the store is unreachable.
	ErrReplicaBehind = errors.New("this replica's copy of the record is older than the caller's, " +
		"and the store is unreachable")
)
