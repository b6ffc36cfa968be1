package sqlstore

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strconv"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// database implements store.Database, except Wait, for both SQLite and PostgreSQL.
type database struct {
	db         *sql.DB
	dialect    dialect
	statements statements
}

func newDatabase(db *sql.DB, d dialect) *database {
	return &database{db: db, dialect: d, statements: newStatements(&d)}
}

// wrapError wraps a database error together with the error of package store that corresponds to it. If there is no such
// error, it returns the database error unchanged.
func (d *database) wrapError(err error) error {
	if err == nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return err
	}
	if known := d.dialect.classifyError(err); known != nil {
		return fmt.Errorf("%w (%w)", known, err)
	}
	return err
}

// querier is a database or a transaction.
type querier interface {
	QueryRowContext(ctx context.Context, query string, args ...any) *sql.Row
}

// readMeta returns the record's position and the version of its schema.
func (d *database) readMeta(ctx context.Context, q querier) (record.Meta, int64, error) {
	var meta record.Meta
	var version int64
	var stored string
	row := q.QueryRowContext(ctx, d.statements.selectMeta)
	err := row.Scan(&stored, &version, &meta.Epoch, &meta.Revision)
	if errors.Is(err, sql.ErrNoRows) {
		return meta, 0, store.ErrForeign
	}
	if err != nil {
		return meta, 0, d.wrapError(err)
	}
	if stored != application {
		return meta, 0, store.ErrForeign
	}
	return meta, version, nil
}

// readCurrentMeta returns the record's position. It returns an error if the schema's version is not schemaVersion.
func (d *database) readCurrentMeta(ctx context.Context, q querier) (record.Meta, error) {
	meta, version, err := d.readMeta(ctx, q)
	if err != nil {
		return meta, err
	}
	return meta, checkSchema(version)
}

// exists reports whether there is a record in the database.
func (d *database) exists(ctx context.Context) (bool, error) {
	var tables int
	row := d.db.QueryRowContext(ctx, d.dialect.countTables, metaTable)
	err := row.Scan(&tables)
	return tables > 0, d.wrapError(err)
}

// Meta implements store.Store.
func (d *database) Meta(ctx context.Context) (record.Meta, error) {
	exists, err := d.exists(ctx)
	if err != nil {
		return record.Meta{}, err
	}
	if !exists {
		return record.Meta{}, store.ErrNoRecord
	}
	return d.readCurrentMeta(ctx, d.db)
}

// entryRow receives the columns of an entry that a query returns.
type entryRow struct {
	entry   record.Entry
	deleted int64
	value   string
}

// targets returns the scan targets for an entry's columns, in the order in which the statements select the columns.
func (r *entryRow) targets() []any {
	entry := &r.entry
	return []any{&entry.Revision, &r.deleted, &entry.Writer, &entry.IdempotencyKey, &entry.WrittenAt, &r.value}
}

func (r *entryRow) decode() record.Entry {
	r.entry.Deleted = r.deleted != 0
	if r.value != "" {
		r.entry.Value = []byte(r.value)
	}
	return r.entry
}

// Since implements store.Store.
func (d *database) Since(ctx context.Context, after int64, limit int) (record.Page, error) {
	tx, err := d.db.BeginTx(ctx, &sql.TxOptions{ReadOnly: true, Isolation: d.dialect.isolation})
	if err != nil {
		return record.Page{}, d.wrapError(err)
	}
	defer tx.Rollback()
	meta, err := d.readCurrentMeta(ctx, tx)
	if err != nil {
		return record.Page{}, err
	}
	entries, err := d.readSince(ctx, tx, after, limit)
	if err != nil {
		return record.Page{}, d.wrapError(err)
	}
	page := record.Page{Meta: meta, Complete: after == 0 && len(entries) < limit, Entries: entries}
	if len(entries) == limit { // more entries may follow: the page's position is its last entry's
		page.Meta.Revision = entries[limit-1].Revision
	}
	return page, nil
}

func (d *database) readSince(ctx context.Context, tx *sql.Tx, after int64, limit int) ([]record.Entry, error) {
	rows, err := tx.QueryContext(ctx, d.statements.selectSince, after, limit)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	var entries []record.Entry
	for rows.Next() {
		var row entryRow
		key := []any{&row.entry.Kind, &row.entry.Name}
		if err := rows.Scan(append(key, row.targets()...)...); err != nil {
			return nil, err
		}
		entries = append(entries, row.decode())
	}
	return entries, rows.Err()
}

// beginWrite begins a transaction that excludes other writers.
func (d *database) beginWrite(ctx context.Context) (*sql.Tx, error) {
	tx, err := d.db.BeginTx(ctx, nil)
	if err != nil {
		return nil, d.wrapError(err)
	}
	if d.dialect.lock == "" {
		return tx, nil
	}
	if _, err := tx.ExecContext(ctx, d.dialect.lock); err != nil {
		tx.Rollback()
		return nil, d.wrapError(err)
	}
	return tx, nil
}

// Write implements store.Store.
func (d *database) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	tx, err := d.beginWrite(ctx)
	if err != nil {
		return nil, record.Meta{}, err
	}
	defer tx.Rollback()
	before, err := d.readCurrentMeta(ctx, tx)
	if err != nil {
		return nil, before, err
	}
	if before.Epoch != epoch {
		return nil, before, record.ErrEpochMismatch
	}
	meta := before
	var entries []record.Entry
	for i := range changes {
		entry, err := d.apply(ctx, tx, &changes[i], meta.Revision+1)
		if err != nil {
			return nil, before, err
		}
		meta.Revision = max(meta.Revision, entry.Revision)
		entries = append(entries, entry)
	}
	if meta == before {
		return entries, meta, nil
	}
	if err := d.advanceRevision(ctx, tx, before, meta.Revision); err != nil {
		return nil, meta, err
	}
	return entries, meta, d.commit(tx)
}

// apply applies a change in a transaction and returns the resulting entry. If the change is written, the entry gets the
// given revision.
func (d *database) apply(
	ctx context.Context, tx *sql.Tx, change *record.Change, revision int64,
) (record.Entry, error) {
	current, err := d.readEntry(ctx, tx, change.Key)
	if err != nil {
		return record.Entry{}, d.wrapError(err)
	}
	outcome, err := record.Evaluate(current, change)
	if err != nil {
		return record.Entry{}, err
	}
	if outcome != record.OutcomeWrite {
		if current == nil {
			return record.Entry{Key: change.Key}, nil
		}
		return *current, nil
	}
	entry := record.Entry{
		Key:            change.Key,
		Revision:       revision,
		Deleted:        change.Delete,
		Writer:         change.Writer,
		IdempotencyKey: change.IdempotencyKey,
		WrittenAt:      change.WrittenAt,
	}
	if !change.Delete {
		entry.Value = change.Value
	}
	return entry, d.putEntry(ctx, tx, entry)
}

// readEntry returns the entry with a key, or nil if there is none.
func (d *database) readEntry(ctx context.Context, tx *sql.Tx, key record.Key) (*record.Entry, error) {
	row := entryRow{entry: record.Entry{Key: key}}
	result := tx.QueryRowContext(ctx, d.statements.selectEntry, string(key.Kind), key.Name)
	err := result.Scan(row.targets()...)
	if errors.Is(err, sql.ErrNoRows) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	entry := row.decode()
	return &entry, nil
}

func (d *database) putEntry(ctx context.Context, tx *sql.Tx, entry record.Entry) error {
	deleted := int64(0)
	if entry.Deleted {
		deleted = 1
	}
	_, err := tx.ExecContext(ctx, d.statements.putEntry, string(entry.Kind), entry.Name, entry.Revision, deleted,
		entry.Writer, entry.IdempotencyKey, entry.WrittenAt, string(entry.Value))
	return d.wrapError(err)
}

// advanceRevision sets the record's revision by compare-and-set, and notifies listeners if the database can. The lock
// of the transaction alone does not suffice: if a proxy or a failover loses the lock, two writers must not assign the
// same revision to two changes.
func (d *database) advanceRevision(ctx context.Context, tx *sql.Tx, from record.Meta, revision int64) error {
	result, err := tx.ExecContext(ctx, d.statements.advanceRevision, revision, from.Epoch, from.Revision)
	if err != nil {
		return d.wrapError(err)
	}
	affected, err := result.RowsAffected()
	if err != nil || affected != 1 {
		return fmt.Errorf("expected the record at revision %d of epoch %s, but another writer has changed it: %w",
			from.Revision, from.Epoch, errors.Join(err, record.ErrEpochMismatch))
	}
	if d.dialect.notify == "" {
		return nil
	}
	_, err = tx.ExecContext(ctx, d.dialect.notify, strconv.FormatInt(revision, 10))
	return d.wrapError(err)
}

// commit commits a transaction. If the commit fails without an answer from the database, the error is
// store.ErrOutcomeUnknown.
func (d *database) commit(tx *sql.Tx) error {
	err := tx.Commit()
	if err == nil {
		return nil
	}
	known := d.dialect.classifyError(err)
	if known != nil && !errors.Is(known, store.ErrOutcomeUnknown) {
		return fmt.Errorf("%w (%w)", known, err)
	}
	return fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, err)
}

// Close implements store.Store.
func (d *database) Close() error { return d.db.Close() }
