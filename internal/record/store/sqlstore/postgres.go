package sqlstore

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/stdlib"

	"robincart/internal/record/store"
)

const channel = "robincart_record"

// openPostgres prepares a pool of connections and, for Wait, one that listens. Statements are not prepared on the server,
// so that a pooler in between may be.
func openPostgres(address string, dial pgconn.DialFunc) (store.Database, error) {
	c, err := pgx.ParseConfig(address)
	if err != nil {
		var p *pgconn.ParseConfigError
		if errors.As(err, &p) { // its text holds the address
			return nil, fmt.Errorf("postgres: the address %q can't be read", store.Redact(address))
		}
		return nil, fmt.Errorf("postgres: %w", err)
	}
	c.DefaultQueryExecMode = pgx.QueryExecModeExec
	if dial != nil {
		c.DialFunc = dial
	}
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = 3 * time.Second
	}
	db := stdlib.OpenDB(*c)
	db.SetMaxOpenConns(2)
	db.SetConnMaxIdleTime(time.Minute)
	return &server{database: newDatabase(db, dialect{
		place: func(n int) string { return fmt.Sprintf("$%d", n) },
		// One number for all records of one database: who writes waits for the one before. The compare and set of the
		// revision holds where the lock does not.
		lock:     "SELECT pg_advisory_xact_lock(7275051002)",
		notify:   "SELECT pg_notify('" + channel + "', $1)",
		tables:   "SELECT COUNT(*) FROM information_schema.tables WHERE table_schema = current_schema() AND table_name = $1",
		integer:  "BIGINT",
		snapshot: sql.LevelRepeatableRead,
		fault: func(err error) error {
			var e *pgconn.PgError
			if !errors.As(err, &e) {
				return nil
			}
			switch {
			case strings.HasPrefix(e.Code, "28"), e.Code == "42501", e.Code == "3D000":
				return store.ErrAccessDenied
			case e.Code == "53100":
				return store.ErrDiskFull
			case e.Code == "40001", e.Code == "40P01", e.Code == "55P03", e.Code == "53300":
				return store.ErrBusy
			case e.Code == "25006":
				return store.ErrReadOnly
			case strings.HasPrefix(e.Code, "XX"):
				return store.ErrDamaged
			case strings.HasPrefix(e.Code, "08"), strings.HasPrefix(e.Code, "57P"):
				return store.ErrOutcomeUnknown
			}
			return errOther
		}}), config: c}, nil
}

var errOther = errors.New("the database refused")

type server struct {
	*database
	config *pgx.ConnConfig

	mu     sync.Mutex
	listen *pgx.Conn
}

// Wait waits for a NOTIFY, or for a while where none comes: a notification can be lost with its connection, and who polls
// behind it loses nothing.
func (s *server) Wait(ctx context.Context, most time.Duration) error {
	s.mu.Lock()
	c := s.listen
	s.listen = nil
	s.mu.Unlock()
	if c == nil {
		var err error
		if c, err = pgx.ConnectConfig(ctx, s.config); err != nil {
			return s.faulty(err)
		}
		if _, err := c.Exec(ctx, "LISTEN "+channel); err != nil {
			c.Close(context.Background())
			return s.faulty(err)
		}
		// What was written before the LISTEN has not been told.
		s.keep(c)
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	_, err := c.WaitForNotification(wait)
	switch {
	case err == nil, wait.Err() != nil && ctx.Err() == nil && !c.IsClosed():
		s.keep(c)
		return nil
	case wait.Err() != nil && ctx.Err() == nil:
		c.Close(context.Background())
		return nil
	}
	end, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	c.Close(end)
	return s.faulty(err)
}

func (s *server) keep(c *pgx.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listen = c
}

func (s *server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listen != nil {
		end, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		s.listen.Close(end)
		s.listen = nil
	}
	return s.database.Close()
}
