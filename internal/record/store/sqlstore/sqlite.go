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

const (
	sqliteMaxConnections = 2
	sqlitePollInterval   = 50 * time.Millisecond
	sqlitePrimaryCode    = 0xff // mask that removes the extended part of an error code
)

// sqliteDatabase is a record in an SQLite file.
type sqliteDatabase struct{ *database }

// openSQLite opens a file. SQLite's own lock, which a transaction acquires when it begins, excludes other writers. A
// commit returns after its data is on the disk.
func openSQLite(path string, create bool) (store.Database, error) {
	if path == "" {
		return nil, errors.New("sqlite: the address has no path, expected sqlite:PATH")
	}
	options := url.Values{
		"_txlock": {"immediate"},
		"_pragma": {"journal_mode(WAL)", "synchronous(FULL)", "busy_timeout(2000)", "foreign_keys(1)"},
	}
	if !create {
		options.Set("mode", "rw")
	}
	file := url.URL{Path: path}
	db, err := sql.Open("sqlite", "file:"+file.EscapedPath()+"?"+options.Encode())
	if err != nil {
		return nil, fmt.Errorf("sqlite: %w", err)
	}
	db.SetMaxOpenConns(sqliteMaxConnections)
	return &sqliteDatabase{newDatabase(db, dialect{
		parameter:     func(n int) string { return fmt.Sprintf("?%d", n) },
		integerType:   "INTEGER",
		countTables:   "SELECT COUNT(*) FROM sqlite_master WHERE type = 'table' AND name = ?1",
		isolation:     sql.LevelDefault,
		classifyError: func(err error) error { return classifySQLiteError(err, create) },
	})}, nil
}

// classifySQLiteError returns the error of package store for an error of SQLite, or nil if there is none. If SQLite
// can't open the file, the error is store.ErrNoRecord. If create is set, it is store.ErrAccessDenied, since SQLite
// would have created a missing file.
func classifySQLiteError(err error, create bool) error {
	var sqliteError *sqlite.Error
	if !errors.As(err, &sqliteError) {
		return nil
	}
	switch sqliteError.Code() & sqlitePrimaryCode {
	case lib.SQLITE_NOTADB:
		return store.ErrForeign
	case lib.SQLITE_CORRUPT:
		return store.ErrDamaged
	case lib.SQLITE_CANTOPEN:
		if create {
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
}

// Wait implements store.Store. It polls the file's data version, which changes when another connection commits.
func (s *sqliteDatabase) Wait(ctx context.Context, timeout time.Duration) error {
	connection, err := s.db.Conn(ctx)
	if err != nil {
		return s.wrapError(err)
	}
	defer connection.Close()
	deadline := time.Now().Add(timeout)
	first, err := s.dataVersion(ctx, connection)
	if err != nil {
		return err
	}
	for version := first; version == first && time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(sqlitePollInterval):
		}
		version, err = s.dataVersion(ctx, connection)
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *sqliteDatabase) dataVersion(ctx context.Context, connection *sql.Conn) (int64, error) {
	var version int64
	row := connection.QueryRowContext(ctx, "PRAGMA data_version")
	err := row.Scan(&version)
	return version, s.wrapError(err)
}
