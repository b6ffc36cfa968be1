package pgstand

import (
	"context"
	"database/sql"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// statementTimeout bounds a statement in SQLite.
	statementTimeout = 20 * time.Second
	// lockTimeout bounds the wait for the advisory lock.
	lockTimeout = 10 * time.Second
)

// The object ids of types.
const (
	oidInt8 = 20
	oidText = 25
	oidVoid = 2278
)

// outcome is what becomes of a statement.
type outcome int

const (
	outcomeOK         outcome = iota
	outcomeError              // an error was sent
	outcomeDisconnect         // the connection has to end
)

// execute executes one statement and sends its result.
func (s *session) execute(text string, arguments []any) outcome {
	fault := s.server.nextStatement()
	if fault.resumed != nil {
		<-fault.resumed
	}
	if fault.cut {
		return outcomeDisconnect
	}
	command := strings.ToLower(strings.TrimSpace(text))
	startsWith := func(words string) bool { return strings.HasPrefix(command, words) }
	switch {
	case command == "" || startsWith("--"):
		s.send(&pgproto3.EmptyQueryResponse{})
		return outcomeOK
	case startsWith("rollback"):
		s.rollback()
		return s.complete("ROLLBACK")
	case startsWith("commit"):
		return s.commit()
	case s.failed:
		return s.fail(codeTransactionAborted, "current transaction is aborted")
	case fault.code != "":
		return s.fail(fault.code, "as ordered")
	case startsWith("begin"):
		s.begun = true
		return s.complete("BEGIN")
	case startsWith("listen"):
		s.listen()
		return s.complete("LISTEN")
	case startsWith("select pg_notify"):
		return s.queueNotification(arguments)
	case startsWith("select pg_advisory_xact_lock"):
		return s.acquireLock()
	case startsWith("select"):
		return s.query(text, arguments)
	default:
		return s.write(text, arguments)
	}
}

// complete ends a statement that has succeeded.
func (s *session) complete(tag string) outcome {
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return outcomeOK
}

// fail ends a statement with an error, which aborts its transaction.
func (s *session) fail(code, message string) outcome {
	s.failed = s.begun
	s.sendError(code, message)
	return outcomeError
}

func (s *session) listen() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.listening = true
}

// queueNotification has the transaction notify at its commit.
func (s *session) queueNotification(arguments []any) outcome {
	payload, _ := arguments[0].(string)
	s.notifications = append(s.notifications, payload)
	return s.completeVoid("pg_notify")
}

// acquireLock acquires the advisory lock until the transaction's end.
func (s *session) acquireLock() outcome {
	select {
	case s.server.advisoryLock <- struct{}{}:
		s.holdsLock = true
	case <-time.After(lockTimeout):
		return s.fail(codeLockNotAvailable, "lock not available")
	}
	if err := s.open(beginWrite); err != nil {
		return s.fail(codeInternalError, err.Error())
	}
	return s.completeVoid("pg_advisory_xact_lock")
}

// completeVoid ends the call of a function without a result.
func (s *session) completeVoid(function string) outcome {
	s.send(
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(function), DataTypeOID: oidVoid}}},
		&pgproto3.DataRow{Values: [][]byte{{}}},
	)
	return s.complete("SELECT 1")
}

// write executes a statement that writes.
func (s *session) write(text string, arguments []any) outcome {
	if err := s.open(beginWrite); err != nil {
		return s.fail(codeSerializationFailed, err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	s.wrote = true
	result, err := s.sqlite.ExecContext(ctx, sqliteText(text), arguments...)
	if err != nil {
		return s.fail(codeInternalError, err.Error())
	}
	rows, _ := result.RowsAffected()
	s.endStatement()
	if strings.HasPrefix(strings.ToLower(strings.TrimSpace(text)), "insert") {
		return s.complete(fmt.Sprintf("INSERT 0 %d", rows))
	}
	return s.complete(fmt.Sprintf("UPDATE %d", rows))
}

// query executes a statement that reads.
func (s *session) query(text string, arguments []any) outcome {
	if err := s.open(beginRead); err != nil {
		return s.fail(codeSerializationFailed, err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	rows, err := s.sqlite.QueryContext(ctx, sqliteText(text), arguments...)
	if err != nil {
		return s.fail(codeSyntaxError, err.Error())
	}
	count, err := s.sendRows(rows)
	if err != nil {
		return s.fail(codeInternalError, err.Error())
	}
	s.endStatement()
	return s.complete(fmt.Sprintf("SELECT %d", count))
}

// parameter is a parameter of a statement in PostgreSQL.
var parameter = regexp.MustCompile(`\$(\d+)`)

// sqliteText is a statement as SQLite knows it.
func sqliteText(text string) string {
	if strings.Contains(strings.ToLower(text), "information_schema.tables") {
		text = "SELECT COUNT(*) FROM sqlite_master WHERE type = 'table' AND name = $1"
	}
	return parameter.ReplaceAllString(text, "?$1")
}

// describe describes the columns of a result. Numbers are those of the store's tables, and of functions.
func describe(columns []*sql.ColumnType) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for _, column := range columns {
		oid := uint32(oidText)
		kind := column.DatabaseTypeName()
		if kind == "BIGINT" || kind == "INTEGER" || strings.Contains(column.Name(), "(") {
			oid = oidInt8
		}
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name:         []byte(column.Name()),
			DataTypeOID:  oid,
			DataTypeSize: -1,
			TypeModifier: -1,
		})
	}
	return description
}

// scanRow reads a row as text.
func scanRow(rows *sql.Rows, columns int) (*pgproto3.DataRow, error) {
	values := make([]sql.NullString, columns)
	destinations := make([]any, columns)
	for i := range values {
		destinations[i] = &values[i]
	}
	if err := rows.Scan(destinations...); err != nil {
		return nil, err
	}
	row := &pgproto3.DataRow{}
	for _, value := range values {
		row.Values = append(row.Values, []byte(value.String))
	}
	return row, nil
}
