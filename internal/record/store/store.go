// Package store has the interface of a store of record, the protocol by which a node reaches one in another process,
// and the client of the controller's replicas.
//
// It has no database: those are in package sqlstore, which only cmd/robincart-record and the controller link, since
// their drivers would cost a node 4 MB of memory.
package store

import (
	"context"
	"errors"
	"net/url"
	"strings"
	"time"

	"robincart/internal/record/record"
)

// Errors of a store, for an operator to act on.
var (
	ErrForeign     = errors.New("this database holds something else than a record of robincart")
	ErrSchemaNewer = errors.New("the record was written by a newer robincart: start that one, " +
		"or restore a backup made by this one")
	ErrSchemaOlder  = errors.New("the record has an older schema: run robincart record init to bring it forward")
	ErrNoRecord     = errors.New("there is no record yet: run robincart record init")
	ErrDamaged      = errors.New("the database is damaged: restore a backup (robincart record import)")
	ErrAccessDenied = errors.New("the database refuses this user: check user, password and rights")
	ErrDiskFull     = errors.New("the disk is full: make room, nothing was written")
	ErrBusy         = errors.New("another writer holds the record")
	ErrReadOnly     = errors.New("the database takes no writes now") // a standby, or one in recovery

	// ErrOutcomeUnknown is returned for a transaction whose connection ended while it was committed. The same changes,
	// with the same idempotency keys, may be written again.
	ErrOutcomeUnknown = errors.New("whether the change was written is not known")
)

// Store is a record as nodes and controllers use it. Every call returns when its context ends.
type Store interface {
	// Meta returns the record's position.
	Meta(ctx context.Context) (record.Meta, error)
	// Since returns what changed after a revision, at most limit entries in the order of revisions. The page is
	// complete if it has all entries of the record.
	Since(ctx context.Context, after int64, limit int) (record.Page, error)
	// Write applies all of the changes or none, and returns their entries in the same order. The error of a change
	// that loses a race is a *record.ConflictError, that of one that is superseded a *record.StaleError.
	Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error)
	// Wait returns when something may have been written, or after a timeout.
	Wait(ctx context.Context, timeout time.Duration) error
	// Close releases the store's resources.
	Close() error
}

// Database is a store with the operations of an operator.
type Database interface {
	Store
	// Init creates the record or migrates its schema. It returns what it did or, in a dry run, would do.
	Init(ctx context.Context, dryRun bool) ([]string, error)
	// Replace replaces all entries, under a new epoch.
	Replace(ctx context.Context, entries []record.Entry) (record.Meta, error)
	// Verify checks the record's consistency and returns what is wrong.
	Verify(ctx context.Context) ([]string, error)
}

// Replica is a store that answers from a copy of another one.
type Replica interface {
	Store
	// CheckFresh returns nil if the copy can answer a node at a position, else record.ErrReplicaBehind.
	CheckFresh(ctx context.Context, node record.Meta) error
	// Watch calls notify with the copy's position, again whenever that changes, and with nil as a heartbeat. It ends
	// with the context, with notify's error, or with record.ErrRolledBack.
	Watch(ctx context.Context, notify func(*Position) error) error
}

// Position is the position of a copy.
type Position struct {
	Meta record.Meta `json:"meta"`
	Age  int64       `json:"age_ms"` // milliseconds since the store confirmed it
}

// ReplicaClient is a store that is read through a replica.
type ReplicaClient interface {
	Store
	// SetPosition reports the caller's position, so that it is not answered by a replica that is behind it.
	SetPosition(record.Meta)
	// TakeRollback reports, once, that the record was rolled back: the caller has to read the complete record.
	TakeRollback() bool
	// Age returns how long ago the store itself confirmed what the replica returns.
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
