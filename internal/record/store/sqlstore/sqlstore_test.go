package sqlstore

import (
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/pgstand"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// forEachDatabase runs a test on both databases. With SQLite, the argument postgres of the test is nil.
func forEachDatabase(
	t *testing.T, test func(t *testing.T, open func() store.Database, postgres *pgstand.Server),
) {
	t.Run("sqlite", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "record # 1?.db")
		test(t, func() store.Database { return openDatabase(t, "sqlite:"+path) }, nil)
	})
	t.Run("postgres", func(t *testing.T) {
		postgres := startPostgres(t)
		test(t, func() store.Database { return openDatabase(t, postgres.Address()) }, postgres)
	})
}

func startPostgres(t *testing.T) *pgstand.Server {
	t.Helper()
	postgres, err := pgstand.Start("127.0.0.1:0", filepath.Join(t.TempDir(), "rows"))
	require.NoError(t, err)
	t.Cleanup(postgres.Stop)
	return postgres
}

func openDatabase(t *testing.T, address string) store.Database {
	t.Helper()
	database, err := Open(address)
	require.NoError(t, err)
	t.Cleanup(func() { database.Close() })
	return database
}

// initRecord creates a record and returns the record's position.
func initRecord(t *testing.T, database store.Database) record.Meta {
	t.Helper()
	_, err := database.Init(t.Context(), false)
	require.NoError(t, err)
	meta, err := database.Meta(t.Context())
	require.NoError(t, err)
	return meta
}

// sqlDB returns the connection pool of a database.
func sqlDB(database store.Database) *sql.DB {
	if sqlite, ok := database.(*sqliteDatabase); ok {
		return sqlite.db
	}
	return database.(*postgresDatabase).db
}

// exec executes a statement directly on the database, without the store.
func exec(t *testing.T, database store.Database, statement string) {
	t.Helper()
	_, err := sqlDB(database).Exec(statement)
	require.NoError(t, err)
}

// routeChange returns a change of a route.
func routeChange(name string, expectedRevision int64, idempotencyKey, value string) record.Change {
	return record.Change{
		Key:              record.Key{Kind: record.KindRoute, Name: name},
		ExpectedRevision: expectedRevision,
		Writer:           "test",
		IdempotencyKey:   idempotencyKey,
		WrittenAt:        7,
		Value:            json.RawMessage(value),
	}
}

func TestDatabase_Init(t *testing.T) {
	forEachDatabase(t, func(t *testing.T, open func() store.Database, _ *pgstand.Server) {
		database, ctx := open(), t.Context()
		_, err := database.Meta(ctx)
		assert.ErrorIs(t, err, store.ErrNoRecord)
		steps, err := database.Init(ctx, true)
		assert.NoError(t, err)
		assert.Len(t, steps, 3)
		_, err = database.Meta(ctx)
		assert.ErrorIs(t, err, store.ErrNoRecord, "a dry run creates nothing")

		meta := initRecord(t, database)
		assert.Len(t, meta.Epoch, 24)
		steps, err = database.Init(ctx, false)
		assert.NoError(t, err)
		assert.Empty(t, steps, "a record is created once")
		again, err := database.Meta(ctx)
		assert.NoError(t, err)
		assert.Equal(t, meta, again)

		for version, want := range map[int]error{
			1:                 store.ErrSchemaOlder,
			schemaVersion + 1: store.ErrSchemaNewer,
		} {
			exec(t, database, fmt.Sprint("UPDATE record_meta SET schema_version = ", version))
			_, err = database.Meta(ctx)
			assert.ErrorIs(t, err, want)
			_, err = database.Since(ctx, 0, 9)
			assert.ErrorIs(t, err, want)
			_, _, err = database.Write(ctx, meta.Epoch, nil)
			assert.ErrorIs(t, err, want)
		}
		exec(t, database, fmt.Sprint("UPDATE record_meta SET schema_version = ", schemaVersion+1))
		_, err = database.Init(ctx, false)
		assert.ErrorIs(t, err, store.ErrSchemaNewer)
		exec(t, database, "UPDATE record_meta SET application = 'another', schema_version = 2")
		_, err = database.Meta(ctx)
		assert.ErrorIs(t, err, store.ErrForeign)
	})
}

func TestDatabase_WriteIsAtomic(t *testing.T) {
	forEachDatabase(t, func(t *testing.T, open func() store.Database, _ *pgstand.Server) {
		database, ctx := open(), t.Context()
		epoch := initRecord(t, database).Epoch
		write := func(changes ...record.Change) ([]record.Entry, record.Meta, error) {
			return database.Write(ctx, epoch, changes)
		}
		entries, meta, err := write(routeChange("a", 0, "1", `{"to":"x"}`), routeChange("b", 0, "2", `"ü\n"`))
		require.NoError(t, err)
		assert.EqualValues(t, 2, meta.Revision)
		assert.EqualValues(t, 1, entries[0].Revision)

		_, _, err = write(routeChange("c", 0, "3", "1"), routeChange("a", 0, "4", "2"))
		var conflict *record.ConflictError
		require.ErrorAs(t, err, &conflict)
		assert.JSONEq(t, `{"to":"x"}`, string(conflict.Current.Value), "a conflict has the stored entry")
		page, err := database.Since(ctx, 0, 9)
		require.NoError(t, err)
		assert.True(t, page.Complete)
		assert.Len(t, page.Entries, 2, "none of the rejected changes is written")
		assert.Equal(t, entries, page.Entries)

		deletion := record.Change{
			Key:              record.Key{Kind: record.KindRoute, Name: "b"},
			ExpectedRevision: 2,
			Delete:           true,
			IdempotencyKey:   "6",
		}
		entries, meta, err = write(routeChange("a", 1, "5", `{"to":"y"}`), deletion)
		require.NoError(t, err)
		assert.EqualValues(t, 4, meta.Revision)
		page, err = database.Since(ctx, 2, 9)
		require.NoError(t, err)
		assert.False(t, page.Complete)
		assert.Equal(t, entries, page.Entries, "deletions are included")
		page, err = database.Since(ctx, 0, 1)
		require.NoError(t, err)
		assert.EqualValues(t, 3, page.Meta.Revision, "a page has the position of its last entry")

		repeated, repeatedMeta, err := write(routeChange("a", 1, "5", `{"to":"y"}`))
		assert.NoError(t, err, "a repeated change is already applied")
		assert.Equal(t, meta, repeatedMeta)
		assert.EqualValues(t, 3, repeated[0].Revision)
		_, _, err = database.Write(ctx, "other", []record.Change{routeChange("a", 3, "7", "1")})
		assert.ErrorIs(t, err, record.ErrEpochMismatch)
	})
}

func TestDatabase_ReplaceAndVerify(t *testing.T) {
	forEachDatabase(t, func(t *testing.T, open func() store.Database, _ *pgstand.Server) {
		database, ctx := open(), t.Context()
		epoch := initRecord(t, database).Epoch
		changes := []record.Change{routeChange("a", 0, "1", `{"to":"x"}`), routeChange("b", 0, "2", `"ü\n"`)}
		_, _, err := database.Write(ctx, epoch, changes)
		require.NoError(t, err)
		page, err := database.Since(ctx, 0, 1)
		require.NoError(t, err)

		replaced, err := database.Replace(ctx, page.Entries)
		require.NoError(t, err)
		assert.NotEqual(t, epoch, replaced.Epoch)
		_, _, err = database.Write(ctx, epoch, []record.Change{routeChange("a", 1, "8", "1")})
		assert.ErrorIs(t, err, record.ErrEpochMismatch, "a writer that has not seen the new epoch writes nothing")
		faults, err := database.Verify(ctx)
		assert.NoError(t, err)
		assert.Empty(t, faults)

		exec(t, database, "UPDATE record_fact SET kind = 'nonsense', revision = 99")
		faults, err = database.Verify(ctx)
		assert.NoError(t, err)
		assert.Len(t, faults, 2)
	})
}

func TestDatabase_WriteEndsWait(t *testing.T) {
	forEachDatabase(t, func(t *testing.T, open func() store.Database, _ *pgstand.Server) {
		writer, waiter, ctx := open(), open(), t.Context()
		epoch := initRecord(t, writer).Epoch
		waiter.Wait(ctx, time.Millisecond)
		ended := make(chan error, 1)
		go func() { ended <- waiter.Wait(ctx, 30*time.Second) }()
		for i := range 200 {
			change := routeChange("a", record.AnyRevision, fmt.Sprint(i), fmt.Sprint(i))
			_, _, err := writer.Write(ctx, epoch, []record.Change{change})
			require.NoError(t, err)
			select {
			case err := <-ended:
				assert.NoError(t, err)
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		t.Error("Wait did not end")
	})
}

func TestSQLite_Errors(t *testing.T) {
	t.Run("not a database", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "text")
		require.NoError(t, os.WriteFile(path, []byte(strings.Repeat("this is no database ", 500)), 0o600))
		_, err := openDatabase(t, "sqlite:"+path).Meta(t.Context())
		assert.ErrorIs(t, err, store.ErrForeign)
	})
	t.Run("no folder", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "none", "x")
		_, err := openDatabase(t, "sqlite:"+path).Meta(t.Context())
		assert.ErrorIs(t, err, store.ErrAccessDenied)
	})
	t.Run("damaged", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "damaged")
		database := openDatabase(t, "sqlite:"+path)
		epoch := initRecord(t, database).Epoch
		value := `"` + strings.Repeat("x", 2000) + `"`
		for i := range 300 {
			change := routeChange(fmt.Sprint(i), 0, fmt.Sprint(i), value)
			_, _, err := database.Write(t.Context(), epoch, []record.Change{change})
			require.NoError(t, err)
		}
		require.NoError(t, database.Close())
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		for i := 8192; i < len(content); i++ {
			content[i] ^= 0x5a
		}
		require.NoError(t, os.WriteFile(path, content, 0o600))
		_, err = openDatabase(t, "sqlite:"+path).Since(t.Context(), 0, 1000)
		assert.ErrorIs(t, err, store.ErrDamaged)
	})
}

func TestPostgres_Errors(t *testing.T) {
	postgres := startPostgres(t)
	initRecord(t, openDatabase(t, postgres.Address()))
	t.Run("wrong password", func(t *testing.T) {
		address := strings.Replace(postgres.Address(), "cart", "horse", 1)
		_, err := openDatabase(t, address).Meta(t.Context())
		assert.ErrorIs(t, err, store.ErrAccessDenied)
		assert.NotContains(t, err.Error(), "horse")
	})
	for code, want := range map[string]error{
		"40001": store.ErrBusy,
		"53300": store.ErrBusy,
		"25006": store.ErrReadOnly,
		"53100": store.ErrDiskFull,
		"XX001": store.ErrDamaged,
	} {
		t.Run(code, func(t *testing.T) {
			postgres.Fail(code, 1)
			_, _, err := openDatabase(t, postgres.Address()).Write(t.Context(), "x", nil)
			assert.ErrorIs(t, err, want)
		})
	}
}

func TestOpen_InvalidAddress(t *testing.T) {
	for _, address := range []string{"", "mysql://x", "sqlite:", "postgres://u:secret@[::1"} {
		t.Run(address, func(t *testing.T) {
			_, err := Open(address)
			require.Error(t, err)
			assert.NotContains(t, err.Error(), "secret")
		})
	}
}

// A write whose outcome is unknown is retried with the same idempotency key. It is applied once, whether or not the
// first attempt was committed.
func TestPostgres_CommitOfUnknownOutcome(t *testing.T) {
	postgres := startPostgres(t)
	database := openDatabase(t, postgres.Address())
	epoch := initRecord(t, database).Epoch
	for i, fault := range []pgstand.CommitFault{pgstand.CommitThenCut, pgstand.CutInstead} {
		postgres.Commit(fault, 1)
		changes := []record.Change{routeChange(fmt.Sprint("r", i), 0, fmt.Sprint("m", i), "1")}
		_, _, err := database.Write(t.Context(), epoch, changes)
		require.ErrorIs(t, err, store.ErrOutcomeUnknown)
		entries, meta, err := database.Write(t.Context(), epoch, changes)
		require.NoError(t, err)
		assert.EqualValues(t, i+1, entries[0].Revision)
		assert.EqualValues(t, i+1, meta.Revision)
	}
	for n := 1; n < 7; n++ { // a transaction whose connection ends before the commit writes nothing
		postgres.CutIn(n)
		changes := []record.Change{routeChange(fmt.Sprint("c", n), 0, fmt.Sprint("c", n), "1")}
		for attempt := 0; ; attempt++ {
			_, _, err := database.Write(t.Context(), epoch, changes)
			if err == nil {
				break
			}
			require.Less(t, attempt, 5, err)
		}
	}
	faults, err := database.Verify(t.Context())
	assert.NoError(t, err)
	assert.Empty(t, faults)
	meta, err := database.Meta(t.Context())
	assert.NoError(t, err)
	assert.EqualValues(t, 8, meta.Revision)
}

func BenchmarkWrite(b *testing.B) {
	postgres, err := pgstand.Start("127.0.0.1:0", filepath.Join(b.TempDir(), "rows"))
	require.NoError(b, err)
	defer postgres.Stop()
	for name, address := range map[string]string{
		"sqlite":            "sqlite:" + filepath.Join(b.TempDir(), "r"),
		"postgres stand-in": postgres.Address(),
	} {
		for _, batchSize := range []int{1, 100} {
			b.Run(fmt.Sprintf("%s, %d a transaction", name, batchSize), func(b *testing.B) {
				benchmarkWrite(b, address, batchSize)
			})
		}
	}
}

func benchmarkWrite(b *testing.B, address string, batchSize int) {
	database, err := Open(address)
	require.NoError(b, err)
	defer database.Close()
	ctx := context.Background()
	_, err = database.Init(ctx, false)
	require.NoError(b, err)
	meta, err := database.Meta(ctx)
	require.NoError(b, err)
	for i := 0; b.Loop(); i++ {
		var changes []record.Change
		for k := range batchSize {
			key := fmt.Sprintf("%d.%d.%d", batchSize, i, k)
			changes = append(changes, routeChange(fmt.Sprint(k), record.AnyRevision, key, fmt.Sprint(i)))
		}
		if _, _, err := database.Write(ctx, meta.Epoch, changes); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(batchSize*b.N)/b.Elapsed().Seconds(), "facts/s")
}
