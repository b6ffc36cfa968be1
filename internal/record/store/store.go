// Package store defines the interface of a store of record, the protocol between a node and a store in another process,
// and the client of the controller's replicas.
//
// The databases are in package sqlstore. Only cmd/robincart-record and the controller link it, since its drivers would
// cost a node 4 MB of memory.
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
	ErrReadOnly     = errors.New("the database is read-only") // a standby, or one in recovery

	// ErrOutcomeUnknown is returned if the connection ended during the commit of a transaction. The same changes may be
	// written again with the same idempotency keys.
	ErrOutcomeUnknown = errors.New("it is unknown whether the change was written")
)

// Store is the interface by which nodes and controllers read and write a record. Every call returns when its context
// ends.
type Store interface {
	// Meta returns the record's position.
	Meta(ctx context.Context) (record.Meta, error)
	// Since returns the entries that changed after a revision, at most limit of them, sorted by revision. The page is
	// complete if it has all entries of the record.
	Since(ctx context.Context, after int64, limit int) (record.Page, error)
	// Write applies all of the changes or none, and returns their entries in the same order. Its error is a
	// *record.ConflictError if an entry does not have the expected revision, and a *record.StaleError if a newer entry
	// has superseded a change.
	Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error)
	// Wait returns when the record may have changed, or after a timeout.
	Wait(ctx context.Context, timeout time.Duration) error
	// Close releases the store's resources.
	Close() error
}

// Database is a store with the administrative operations of an operator.
type Database interface {
	Store
	// Init creates the record or migrates its schema. It returns the steps that it did or, in a dry run, would do.
	Init(ctx context.Context, dryRun bool) ([]string, error)
	// Replace replaces all entries and assigns a new epoch.
	Replace(ctx context.Context, entries []record.Entry) (record.Meta, error)
	// Verify checks the record's consistency and returns a description of each fault.
	Verify(ctx context.Context) ([]string, error)
}

// Replica is a store that answers from a copy of another store.
type Replica interface {
	Store
	// CheckFresh returns nil if the copy is recent enough for a node that has read up to a position, else
	// record.ErrReplicaBehind.
	CheckFresh(ctx context.Context, node record.Meta) error
	// Watch calls notify with the copy's position at the start and after each change, and with nil as a heartbeat. It
	// returns when the context ends, with notify's error, or with record.ErrRolledBack.
	Watch(ctx context.Context, notify func(*Position) error) error
}

// Position is the position of a copy.
type Position struct {
	Meta record.Meta `json:"meta"`
	Age  int64       `json:"age_ms"` // milliseconds since the store confirmed it
}

// ReplicaClient is a store that is accessed through a replica.
type ReplicaClient interface {
	Store
	// SetPosition sets the caller's position. Replicas whose copy is older do not answer the caller.
	SetPosition(record.Meta)
	// TakeRollback reports whether the record was rolled back since the last call. If so, the caller has to read the
	// complete record.
	TakeRollback() bool
	// Age returns the time since the store itself confirmed the replica's position.
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
