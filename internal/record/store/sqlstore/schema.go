package sqlstore

import (
	"database/sql"
	"fmt"
	"strings"

	"robincart/internal/record/store"
)

// schemaVersion is the version of the tables that this program reads and writes.
const schemaVersion = 2

// application, in the table record_meta, tells a record from anything else.
const application = "robincart record"

const metaTable = "record_meta"

// dialect is what the two databases do differently.
type dialect struct {
	parameter    func(n int) string // the n-th parameter of a statement, from 1
	integerType  string
	countTables  string // query: how many tables have a name
	lock         string // statement: excludes other writers until the transaction ends; empty: its begin does
	notify       string // statement: notifies of the revision that a transaction writes; empty: none
	isolation    sql.IsolationLevel
	errorMeaning func(error) error // the error of package store that a database error means; nil: unknown
}

// statements are all that are ever sent, beside those of Init.
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

// parameters returns the first parameters of a statement, as a list.
func (d *dialect) parameters(count int) string {
	list := make([]string, count)
	for i := range list {
		list[i] = d.parameter(i + 1)
	}
	return strings.Join(list, ", ")
}

// migrations returns the statements that bring the schema from each version to the next. Those of a released version
// never change.
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
		return fmt.Errorf("%w (schema %d; this program knows %d)", store.ErrSchemaNewer, version, schemaVersion)
	case version < schemaVersion:
		return fmt.Errorf("%w (schema %d; this program writes %d)", store.ErrSchemaOlder, version, schemaVersion)
	}
	return nil
}
