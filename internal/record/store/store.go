// Package store defines the interface of a store of record, the protocol between a node and a store in another process,
// and the client of the controller's replicas.
//
// Package sqlstore implements the interface with databases. Only cmd/robincart-record and the controller link package
// sqlstore, since its database drivers would cost a node 4 MB of memory.
package store

import (
	"context"
	"errors"
	"net/url"
	"strings"
	"time"

	"robincart/internal/record/record"
)

// Errors of a store that an operator may have to resolve.
var (
	ErrForeign     = errors.New("the database does not contain a robincart record")
	ErrSchemaNewer = errors.New("the record was written by a newer version of robincart: use that version, " +
		"or restore a backup made by this version")
	ErrSchemaOlder  = errors.New("the record has an older schema: run robincart record init to migrate it")
	ErrNoRecord     = errors.New("there is no record yet: run robincart record init")
	ErrDamaged      = errors.New("the database is damaged: restore a backup (robincart record import)")
	ErrAccessDenied = errors.New("the database denied access: check user, password and permissions")
	ErrDiskFull     = errors.New("the database's disk is full, and nothing was written: free disk space")
	ErrBusy         = errors.New("the record is locked by another writer")
	ErrReadOnly     = errors.New("the database is read-only") // a standby server, or a database in recovery

	// ErrOutcomeUnknown is returned if the connection ended during the commit of a transaction. The caller may write
	// the same changes again with the same idempotency keys.
	ErrOutcomeUnknown = errors.New("it is unknown whether the change was written")
)

// Store is the interface by which nodes and controllers read and write a record. Every call returns when its context
// ends.
type Store interface {
	// Meta returns the record's position, which is its epoch and revision.
	Meta(ctx context.Context) (record.Meta, error)
	// Since returns the entries whose revision is higher than after, at most limit of them, sorted by revision. The
	// field Complete of the page is set if the page has all entries of the record.
	Since(ctx context.Context, after int64, limit int) (record.Page, error)
	// Write applies all of the changes or none of them. It returns the resulting entries in the order of the changes,
	// and the record's position. The error is record.ErrEpochMismatch if the record has another epoch, a
	// *record.ConflictError if an entry does not have the expected revision, and a *record.StaleError if a newer entry
	// has superseded a change.
	Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error)
	// Wait returns when the record may have changed, or when the timeout has passed.
	Wait(ctx context.Context, timeout time.Duration) error
	// Close releases the store's resources.
	Close() error
}

// Database is a store with the administrative operations of an operator.
type Database interface {
	Store
	// Init creates the record or migrates its schema. It returns a description of each step that it executed or, in a
	// dry run, would execute.
	Init(ctx context.Context, dryRun bool) ([]string, error)
	// Replace replaces all entries and assigns a new epoch.
	Replace(ctx context.Context, entries []record.Entry) (record.Meta, error)
	// Verify checks the record's consistency and returns a description of each fault.
	Verify(ctx context.Context) ([]string, error)
}

// Replica is a store that answers from a copy of another store.
type Replica interface {
	Store
	// CheckFresh returns nil if the copy is recent enough for a node that has read the record up to the position node.
	// It returns record.ErrReplicaBehind if the copy is older and can't be updated.
	CheckFresh(ctx context.Context, node record.Meta) error
	// Watch calls notify with the copy's position when the watch starts and after each change, and with nil as a
	// heartbeat. Watch returns when the context ends, when notify fails (with its error), or when the store was rolled
	// back or changed its epoch (record.ErrRolledBack).
	Watch(ctx context.Context, notify func(*Position) error) error
}

// Position is the position of a replica's copy, and the age of that information.
type Position struct {
	Meta record.Meta `json:"meta"`
	Age  int64       `json:"age_ms"` // milliseconds since the store last confirmed the position
}

// ReplicaClient is a store that is accessed through replicas.
type ReplicaClient interface {
	Store
	// SetPosition sets the epoch and revision up to which the caller has read or written the record. A replica whose
	// copy has another epoch or a lower revision reads the store before it answers the caller's reads. If the replica
	// can't read the store, it returns record.ErrReplicaBehind.
	SetPosition(record.Meta)
	// TakeRollback reports whether a replica has reported a rollback of the record since TakeRollback was last called.
	// If so, the caller has to read the complete record.
	TakeRollback() bool
	// Age returns how long ago the store itself, and not only the replica, confirmed the position of the replica.
	Age() time.Duration
}

// Redact returns a store's address without its password.
func Redact(address string) string {
	parsed, err := url.Parse(address)
	if err != nil {
		scheme, _, _ := strings.Cut(address, ":")
		return scheme + ":..."
	}
	if parsed.User == nil {
		return address
	}
	return parsed.Redacted()
}
