// Package record holds the rules of the store of record, the database in which a fleet's nodes keep what must outlast
// a process: drained servers, the servers that discovery listed, and the services, routes and tenants that operators
// configured there.
//
// Evaluate decides what a change may do to an entry; every store calls it inside its transaction. View merges what the
// store, discovery and a node's own memory know, and queues what the node has to write. The package owns the stored
// and transmitted forms of entries and changes. It does no I/O, starts no goroutine and reads no clock: times are
// handed in as milliseconds since 1970.
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
	KindServer  Kind = "server" // named SERVICE/SERVER; its value is an Observation
	KindDrain   Kind = "drain"  // named SERVICE/SERVER; its value is a Drain
)

// Kinds lists all kinds in the order in which entries are written: drains come first.
var Kinds = []Kind{KindDrain, KindService, KindTenant, KindRoute, KindServer}

// Limits of a change's fields, in bytes.
const (
	MaxNameLength = 512
	MaxValueSize  = 64 << 10
)

// Limits of a record that is copied into memory, ten times what the largest fleet needs with all servers that left
// lately. A follower does not follow a store beyond them, and keeps the copy that it has.
const (
	MaxEntries = 100_000  // deleted ones included
	MaxBytes   = 64 << 20 // of names and values
)

// Key identifies an entry.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func drainKey(name string) Key { return Key{Kind: KindDrain, Name: name} }

// Entry is one stored object. WrittenAt, in milliseconds since 1970 by the writer's clock, is for people to read;
// revisions alone order entries.
type Entry struct {
	Key
	Revision       int64           `json:"revision"`          // assigned by the store; unique to this write
	Deleted        bool            `json:"deleted,omitempty"` // a tombstone, so that followers learn of the deletion
	Writer         string          `json:"by"`
	IdempotencyKey string          `json:"mark"` // of the last write: a writer without an answer looks for it here
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

// SortEntries sorts entries in place by kind, in the order of Kinds, and name. It returns its argument.
func SortEntries(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int {
		byKind := cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind))
		return cmp.Or(byKind, strings.Compare(a.Name, b.Name))
	})
	return entries
}

// Meta is the position of a record. A position orders reads and writes within its epoch only.
type Meta struct {
	Epoch    string `json:"epoch"` // replaced whenever the record is created, restored or imported
	Revision int64  `json:"revision"`
}

// Page is the result of a read: the entries that changed after a revision or, if Complete is set, all entries.
type Page struct {
	Meta     Meta    `json:"Meta"`
	Complete bool    `json:"Whole"`
	Entries  []Entry `json:"Facts"`
}

// ReadRange is what a follower of a record has to read next.
type ReadRange struct {
	After    int64 // entries with a higher revision
	Complete bool  // read the complete record, in place of what the follower has
}

// Errors of a record as a whole.
var (
	// ErrTooLarge is returned by a follower whose store has more than MaxEntries or MaxBytes.
	ErrTooLarge = fmt.Errorf("the record has more than %d entries or %d MB", MaxEntries, MaxBytes>>20)

	// ErrEpochMismatch rejects a write or a read that continues another epoch of the record than the store's: the
	// record was restored, imported or created anew in between. Read it again before writing.
	ErrEpochMismatch = errors.New("the record has another epoch: it was restored, imported or created anew")

	// ErrRolledBack ends a watch on a replica whose store went back to an older revision or to another epoch. The
	// follower has to read the complete record, even if the revisions assigned since exceed those it has seen.
	ErrRolledBack = errors.New("the record was rolled back or has another epoch: read it again completely")

	// ErrReplicaBehind is returned by a replica whose copy is older than the caller's while the store that could
	// bring it up to date is unreachable.
	ErrReplicaBehind = errors.New("this replica's copy of the record is older than the caller's, " +
		"and the store is unreachable")
)
