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

const (
	notifyChannel             = "robincart_record"
	postgresConnectTimeout    = 3 * time.Second // unless the address sets a timeout
	postgresCloseTimeout      = time.Second
	postgresMaxConnections    = 2 // in addition to the connection that listens for notifications
	postgresMaxConnectionIdle = time.Minute
)

// postgresDatabase is a record in a PostgreSQL database.
type postgresDatabase struct {
	*database
	config *pgx.ConnConfig

	mu       sync.Mutex
	listener *pgx.Conn // listens to notifyChannel; nil: not open, or in use by Wait
}

// openPostgres returns a database with a pool of connections; Wait opens one more to listen. Statements are not
// prepared on the server, since a connection pooler may be between the client and the server.
func openPostgres(address string, dial pgconn.DialFunc) (store.Database, error) {
	config, err := pgx.ParseConfig(address)
	if err != nil {
		var parseError *pgconn.ParseConfigError
		if errors.As(err, &parseError) { // the error's text contains the password
			return nil, fmt.Errorf("postgres: the address %q is invalid", store.Redact(address))
		}
		return nil, fmt.Errorf("postgres: %w", err)
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	if dial != nil {
		config.DialFunc = dial
	}
	if config.ConnectTimeout == 0 {
		config.ConnectTimeout = postgresConnectTimeout
	}
	db := stdlib.OpenDB(*config)
	db.SetMaxOpenConns(postgresMaxConnections)
	db.SetConnMaxIdleTime(postgresMaxConnectionIdle)
	return &postgresDatabase{database: newDatabase(db, postgresDialect()), config: config}, nil
}

func postgresDialect() dialect {
	return dialect{
		parameter:   func(n int) string { return fmt.Sprintf("$%d", n) },
		integerType: "BIGINT",
		countTables: "SELECT COUNT(*) FROM information_schema.tables" +
			" WHERE table_schema = current_schema() AND table_name = $1",
		// The lock is the same for all records of a database. If a writer loses the lock, the compare-and-set of the
		// revision still excludes other writers.
		lock:          "SELECT pg_advisory_xact_lock(7275051002)",
		notify:        "SELECT pg_notify('" + notifyChannel + "', $1)",
		isolation:     sql.LevelRepeatableRead,
		classifyError: classifyPostgresError,
	}
}

// SQLSTATE codes, and the prefixes that the codes of a class have in common.
const (
	classConnectionException  = "08"
	classInvalidAuthorization = "28"
	classOperatorIntervention = "57P"
	classInternalError        = "XX"
	codeReadOnlyTransaction   = "25006"
	codeInvalidCatalogName    = "3D000"
	codeSerializationFailure  = "40001"
	codeDeadlockDetected      = "40P01"
	codeInsufficientPrivilege = "42501"
	codeDiskFull              = "53100"
	codeTooManyConnections    = "53300"
	codeLockNotAvailable      = "55P03"
)

// errRejected classifies an error from the database for which package store has no error of its own.
var errRejected = errors.New("the database rejected the operation")

// classifyPostgresError returns the error of package store for an error from PostgreSQL, or errRejected if package
// store has none. It returns nil if err did not come from the database.
func classifyPostgresError(err error) error {
	var answer *pgconn.PgError
	if !errors.As(err, &answer) {
		return nil
	}
	switch answer.Code {
	case codeInsufficientPrivilege, codeInvalidCatalogName:
		return store.ErrAccessDenied
	case codeDiskFull:
		return store.ErrDiskFull
	case codeSerializationFailure, codeDeadlockDetected, codeLockNotAvailable, codeTooManyConnections:
		return store.ErrBusy
	case codeReadOnlyTransaction:
		return store.ErrReadOnly
	}
	switch {
	case strings.HasPrefix(answer.Code, classInvalidAuthorization):
		return store.ErrAccessDenied
	case strings.HasPrefix(answer.Code, classInternalError):
		return store.ErrDamaged
	case strings.HasPrefix(answer.Code, classConnectionException),
		strings.HasPrefix(answer.Code, classOperatorIntervention):
		return store.ErrOutcomeUnknown
	}
	return errRejected
}

// Wait implements store.Store. It returns when a notification arrives or the timeout has passed. Notifications are lost
// when the connection ends, so a caller has to poll as well.
func (p *postgresDatabase) Wait(ctx context.Context, timeout time.Duration) error {
	listener := p.takeListener()
	if listener == nil {
		listener, err := p.listen(ctx)
		if err != nil {
			return p.wrapError(err)
		}
		p.putListener(listener)
		return nil // there were no notifications of writes before LISTEN
	}
	waiting, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := listener.WaitForNotification(waiting)
	timedOut := waiting.Err() != nil && ctx.Err() == nil
	switch {
	case err == nil, timedOut && !listener.IsClosed():
		p.putListener(listener)
		return nil
	case timedOut:
		listener.Close(context.Background())
		return nil
	}
	closeListener(listener)
	return p.wrapError(err)
}

// listen returns a new connection that listens to notifyChannel.
func (p *postgresDatabase) listen(ctx context.Context) (*pgx.Conn, error) {
	connection, err := pgx.ConnectConfig(ctx, p.config)
	if err != nil {
		return nil, err
	}
	if _, err := connection.Exec(ctx, "LISTEN "+notifyChannel); err != nil {
		connection.Close(context.Background())
		return nil, err
	}
	return connection, nil
}

func (p *postgresDatabase) takeListener() *pgx.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener := p.listener
	p.listener = nil
	return listener
}

func (p *postgresDatabase) putListener(listener *pgx.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
}

func closeListener(listener *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), postgresCloseTimeout)
	defer cancel()
	listener.Close(ctx)
}

// Close implements store.Store.
func (p *postgresDatabase) Close() error {
	if listener := p.takeListener(); listener != nil {
		closeListener(listener)
	}
	return p.database.Close()
}
