package sqlstore

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"
	"time"

	"modernc.org/sqlite"
	lib "modernc.org/sqlite/lib"

	"robincart/internal/record/store"
)

// openSQLite opens a file. Writers take turns by SQLite's own lock, taken at a transaction's begin; a commit is on the disk
// before it returns.
func openSQLite(path string, make bool) (store.Database, error) {
	if path == "" {
		return nil, errors.New("sqlite: without a path")
	}
	q := url.Values{"_txlock": {"immediate"}, "_pragma": {"journal_mode(WAL)", "synchronous(FULL)", "busy_timeout(2000)", "foreign_keys(1)"}}
	if !make {
		q.Set("mode", "rw")
	}
	db, err := sql.Open("sqlite", "file:"+(&url.URL{Path: path}).EscapedPath()+"?"+q.Encode())
	if err != nil {
		return nil, fmt.Errorf("sqlite: %w", err)
	}
	db.SetMaxOpenConns(2)
	return &file{newDatabase(db, dialect{
		place:    func(n int) string { return fmt.Sprintf("?%d", n) },
		tables:   "SELECT COUNT(*) FROM sqlite_master WHERE type = 'table' AND name = ?1",
		integer:  "INTEGER",
		snapshot: sql.LevelDefault,
		fault: func(err error) error {
			var e *sqlite.Error
			if !errors.As(err, &e) {
				return nil
			}
			switch e.Code() & 0xff {
			case lib.SQLITE_NOTADB:
				return store.ErrForeign
			case lib.SQLITE_CORRUPT:
				return store.ErrDamaged
			case lib.SQLITE_CANTOPEN:
				if make {
					return store.ErrAccessDenied
				}
				return store.ErrNoRecord
			case lib.SQLITE_PERM, lib.SQLITE_READONLY, lib.SQLITE_AUTH:
				return store.ErrAccessDenied
			case lib.SQLITE_FULL:
				return store.ErrDiskFull
			case lib.SQLITE_BUSY, lib.SQLITE_LOCKED:
				return store.ErrBusy
			}
			return nil
		}})}, nil
}

type file struct{ *database }

// Wait looks at the file's own counter of changes by others.
func (f *file) Wait(ctx context.Context, most time.Duration) error {
	conn, err := f.db.Conn(ctx)
	if err != nil {
		return f.faulty(err)
	}
	defer conn.Close()
	var first int64
	end := time.Now().Add(most)
	for i := 0; ; i++ {
		var version int64
		if err := conn.QueryRowContext(ctx, "PRAGMA data_version").Scan(&version); err != nil {
			return f.faulty(err)
		}
		if i == 0 {
			first = version
		}
		if version != first || time.Now().After(end) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}
