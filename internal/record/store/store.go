// Package store is what a record is kept in, as a node sees it, and the way to one in another process. The databases themselves
// are in sqlstore, which the node does not link: their drivers would cost it 4 MB.
package store

import (
	"context"
	"errors"
	"net/url"
	"strings"
	"time"

	"robincart/internal/record/record"
)

// What can be wrong with a store, for people to act on.
var (
	ErrForeign      = errors.New("this database holds something else than a record of robincart")
	ErrSchemaNewer  = errors.New("the record was written by a newer robincart: start that one, or restore a backup made by this one")
	ErrSchemaOlder  = errors.New("the record has an older schema: run robincart record init to bring it forward")
	ErrNoRecord     = errors.New("there is no record yet: run robincart record init")
	ErrDamaged      = errors.New("the database is damaged: restore a backup (robincart record import)")
	ErrAccessDenied = errors.New("the database refuses this user: check user, password and rights")
	// ErrOutcomeUnknown is a transaction of which nobody knows whether it was done: its connection ended while it was committed.
	// The same changes, with the same marks, may be written again.
	ErrOutcomeUnknown = errors.New("whether the change was written is not known")
	ErrDiskFull       = errors.New("the disk is full: make room, nothing was written")
	ErrBusy           = errors.New("another writer holds the record")
	ErrReadOnly       = errors.New("the database takes no writes now") // a standby, or one in recovery
)

// Store is one record. Every call ends with its context.
type Store interface {
	// Meta is where the record stands.
	Meta(context.Context) (record.Meta, error)
	// Since is what changed after a revision, in the order of revisions, so many facts at most; Whole tells that it is all.
	Since(ctx context.Context, after int64, most int) (record.Page, error)
	// Write does all of the changes or none. A change that loses a race is a *record.Conflict, one that is too old a
	// *record.Stale. The facts stand in the order of the changes.
	Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error)
	// Wait returns when something may have been written, or after a while.
	Wait(ctx context.Context, most time.Duration) error
	// Init makes the record or brings its schema forward. It tells what it did, or with dry set would do.
	Init(ctx context.Context, dry bool) ([]string, error)
	// Replace puts facts in the place of all there are, under a new epoch.
	Replace(ctx context.Context, facts []record.Entry) (record.Meta, error)
	// Verify looks for what should not be, and tells it.
	Verify(context.Context) ([]string, error)
	Close() error
}

// Redact leaves the password out of an address.
func Redact(address string) string {
	u, err := url.Parse(address)
	if err != nil {
		kind, _, _ := strings.Cut(address, ":")
		return kind + ":..."
	}
	if u.User == nil {
		return address
	}
	return u.Redacted()
}

// ReplicaClient is a store that is read through a replica's copy of it.
type ReplicaClient interface {
	Store
	// SetPosition reports the caller's position, so that it is not answered by a replica that is behind it.
	SetPosition(record.Meta)
	// TakeRollback reports, once, that the record was rolled back: the caller has to read the complete record.
	TakeRollback() bool
	// Age returns how long ago the store itself confirmed what the replica returns.
	Age() time.Duration
}
