package sqlstore

import (
	"context"
	"database/sql"
	"fmt"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// verifyPageSize is the number of entries that Verify reads in one call.
const verifyPageSize = 1000

// Init implements store.Database.
func (d *database) Init(ctx context.Context, dryRun bool) ([]string, error) {
	version, err := d.readSchemaVersion(ctx)
	if err != nil {
		return nil, err
	}
	if version > schemaVersion {
		return nil, checkSchema(version)
	}
	tx, err := d.db.BeginTx(ctx, nil)
	if err != nil {
		return nil, d.wrapError(err)
	}
	defer tx.Rollback()
	steps, err := d.migrate(ctx, tx, version)
	if err != nil {
		return nil, d.wrapError(err)
	}
	if dryRun {
		return steps, nil // all steps were executed; the deferred call rolls them back
	}
	return steps, d.commit(tx)
}

// readSchemaVersion returns the version of the record's schema, 0 if there is no record.
func (d *database) readSchemaVersion(ctx context.Context) (int64, error) {
	exists, err := d.exists(ctx)
	if err != nil || !exists {
		return 0, err
	}
	_, version, err := d.readMeta(ctx, d.db)
	return version, err
}

// migrate migrates the schema from a version to schemaVersion, or creates the record if the version is 0. It returns a
// description of each step that it executed.
func (d *database) migrate(ctx context.Context, tx *sql.Tx, version int64) ([]string, error) {
	var steps []string
	migrations := d.dialect.migrations()
	for from := version; from < schemaVersion; from++ {
		for _, statement := range migrations[from] {
			if _, err := tx.ExecContext(ctx, statement); err != nil {
				return nil, err
			}
		}
		steps = append(steps, fmt.Sprintf("migrate the schema from version %d to %d", from, from+1))
	}
	if version == schemaVersion {
		return steps, nil
	}
	if version > 0 {
		update := "UPDATE record_meta SET schema_version = " + d.dialect.parameter(1)
		_, err := tx.ExecContext(ctx, update, int64(schemaVersion))
		return steps, err
	}
	steps = append(steps, "create the record with a new epoch")
	insert := "INSERT INTO record_meta (application, schema_version, epoch, revision) VALUES (" +
		d.dialect.parameters(4) + ")"
	_, err := tx.ExecContext(ctx, insert, application, int64(schemaVersion), newEpoch(), int64(0))
	return steps, err
}

// Replace implements store.Database. It omits deleted entries: no follower has these entries in a copy of the new
// epoch.
func (d *database) Replace(ctx context.Context, entries []record.Entry) (record.Meta, error) {
	tx, err := d.beginWrite(ctx)
	if err != nil {
		return record.Meta{}, err
	}
	defer tx.Rollback()
	if _, _, err := d.readMeta(ctx, tx); err != nil {
		return record.Meta{}, err
	}
	if _, err := tx.ExecContext(ctx, d.statements.deleteEntries); err != nil {
		return record.Meta{}, d.wrapError(err)
	}
	meta := record.Meta{Epoch: newEpoch()}
	for _, entry := range entries {
		if entry.Deleted {
			continue
		}
		meta.Revision++
		entry.Revision = meta.Revision
		if err := d.putEntry(ctx, tx, entry); err != nil {
			return record.Meta{}, err
		}
	}
	if _, err := tx.ExecContext(ctx, d.statements.setPosition, meta.Epoch, meta.Revision); err != nil {
		return record.Meta{}, d.wrapError(err)
	}
	return meta, d.commit(tx)
}

// Verify implements store.Database.
func (d *database) Verify(ctx context.Context) ([]string, error) {
	faults, err := d.verifyRevisions(ctx)
	if err != nil {
		return nil, err
	}
	for page, err := range store.Pages(ctx, d.Since, 0, verifyPageSize) {
		if err != nil {
			return faults, err
		}
		for _, entry := range page.Entries {
			if err := entry.Validate(); err != nil {
				faults = append(faults, fmt.Sprintf("revision %d: %v", entry.Revision, err))
			}
		}
	}
	return faults, nil
}

// verifyRevisions checks that no two entries have the same revision, and that no entry has a revision above the
// record's revision. A command prints the returned descriptions, in which entries are called facts.
func (d *database) verifyRevisions(ctx context.Context) ([]string, error) {
	meta, err := d.Meta(ctx)
	if err != nil {
		return nil, err
	}
	var count, highest, distinct int64
	row := d.db.QueryRowContext(ctx, d.statements.countRevisions)
	if err := row.Scan(&count, &highest, &distinct); err != nil {
		return nil, d.wrapError(err)
	}
	var faults []string
	if highest > meta.Revision {
		finding := fmt.Sprintf("a fact has revision %d, above the record's revision %d", highest, meta.Revision)
		faults = append(faults, finding)
	}
	if distinct != count {
		faults = append(faults, fmt.Sprintf("%d facts have only %d different revisions", count, distinct))
	}
	return faults, nil
}
