package sqlstore

import (
	"database/sql"
	"fmt"
	"strings"

	"robincart/internal/record/store"
)

// schemaVersion is the version of the tables that this program reads and writes.
const schemaVersion = 2

// application is stored in the table record_meta and identifies the tables as a record of robincart.
const application = "robincart record"

const metaTable = "record_meta"

// dialect has the differences between SQLite and PostgreSQL.
type dialect struct {
	parameter     func(n int) string // the n-th parameter of a statement, from 1
	integerType   string
	countTables   string // query for the number of tables with a given name
	lock          string // statement that excludes other writers until the transaction ends; empty: BEGIN does that
	notify        string // statement that notifies listeners of a written revision; empty: no notification
	isolation     sql.IsolationLevel
	classifyError func(error) error // returns the error of package store for a database error, or nil
}

// statements has the SQL statements that both databases use, except those of Init.
type statements struct {
	selectMeta      string
	selectEntry     string
	selectSince     string
	countRevisions  string
	putEntry        string
	advanceRevision string
	setPosition     string
	deleteEntries   string
}

func newStatements(d *dialect) statements {
	const entryColumns = "revision, deleted, author, mark, at_ms, value"
	parameter := d.parameter
	return statements{
		selectMeta: "SELECT application, schema_version, epoch, revision FROM record_meta",
		selectEntry: "SELECT " + entryColumns + " FROM record_fact" +
			" WHERE kind = " + parameter(1) + " AND name = " + parameter(2),
		selectSince: "SELECT kind, name, " + entryColumns + " FROM record_fact" +
			" WHERE revision > " + parameter(1) + " ORDER BY revision LIMIT " + parameter(2),
		countRevisions: "SELECT COUNT(*), COALESCE(MAX(revision), 0), COUNT(DISTINCT revision) FROM record_fact",
		putEntry: "INSERT INTO record_fact (kind, name, " + entryColumns + ")" +
			" VALUES (" + d.parameters(8) + ")" +
			" ON CONFLICT (kind, name) DO UPDATE SET" +
			" revision = excluded.revision, deleted = excluded.deleted, author = excluded.author," +
			" mark = excluded.mark, at_ms = excluded.at_ms, value = excluded.value",
		advanceRevision: "UPDATE record_meta SET revision = " + parameter(1) +
			" WHERE epoch = " + parameter(2) + " AND revision = " + parameter(3),
		setPosition:   "UPDATE record_meta SET epoch = " + parameter(1) + ", revision = " + parameter(2),
		deleteEntries: "DELETE FROM record_fact",
	}
}

// parameters returns the first count parameters of a statement, separated by commas.
func (d *dialect) parameters(count int) string {
	list := make([]string, count)
	for i := range list {
		list[i] = d.parameter(i + 1)
	}
	return strings.Join(list, ", ")
}

// migrations returns, for each version from 0, the statements that migrate the schema from that version to the next.
// The statements for released versions never change.
func (d *dialect) migrations() [][]string {
	integer := d.integerType
	return [][]string{
		{
			"CREATE TABLE record_meta (application TEXT NOT NULL, schema_version " + integer + " NOT NULL," +
				" epoch TEXT NOT NULL, revision " + integer + " NOT NULL)",
			"CREATE TABLE record_fact (kind TEXT NOT NULL, name TEXT NOT NULL, revision " + integer + " NOT NULL," +
				" deleted " + integer + " NOT NULL, author TEXT NOT NULL, mark TEXT NOT NULL," +
				" at_ms " + integer + " NOT NULL, value TEXT NOT NULL, PRIMARY KEY (kind, name))",
		},
		{"CREATE UNIQUE INDEX record_fact_revision ON record_fact (revision)"},
	}
}

// checkSchema returns an error if this program can't use a version of the schema.
func checkSchema(version int64) error {
	switch {
	case version > schemaVersion:
		return fmt.Errorf("%w (found schema version %d, expected %d)", store.ErrSchemaNewer, version, schemaVersion)
	case version < schemaVersion:
		return fmt.Errorf("%w (found schema version %d, expected %d)", store.ErrSchemaOlder, version, schemaVersion)
	}
	return nil
}
