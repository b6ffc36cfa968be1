package pgstand

import (
	"database/sql"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// loginTimeout bounds the time until a client has logged in.
const loginTimeout = 10 * time.Second

// The SQLSTATE codes of the stand-in's errors.
const (
	codeTooManyConnections  = "53300"
	codeInvalidPassword     = "28P01"
	codeNotSupported        = "0A000"
	codeTransactionAborted  = "25P02"
	codeLockNotAvailable    = "55P03"
	codeSerializationFailed = "40001"
	codeSyntaxError         = "42601"
	codeInternalError       = "XX000"
)

// The states of a transaction as ReadyForQuery names them.
const (
	statusIdle          = 'I'
	statusInTransaction = 'T'
	statusFailed        = 'E'
)

// session is one connection.
type session struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend

	sendMutex sync.Mutex // a notification may be sent beside a result
	listening bool       // to notifications; guarded by the server's mutex

	// The unnamed statement.
	statement string
	arguments []any
	skipping  bool // messages until Sync, after an error

	transaction
}

func newSession(server *Server, conn net.Conn) *session {
	return &session{server: server, conn: conn, backend: pgproto3.NewBackend(conn, conn)}
}

func (s *session) send(messages ...pgproto3.BackendMessage) error {
	s.sendMutex.Lock()
	defer s.sendMutex.Unlock()
	for _, message := range messages {
		s.backend.Send(message)
	}
	return s.backend.Flush()
}

func (s *session) sendError(code, message string) {
	s.send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                code,
		Message:             message,
	})
}

// ready is the message that the next statement may be sent.
func (s *session) ready() *pgproto3.ReadyForQuery {
	switch {
	case s.failed:
		return &pgproto3.ReadyForQuery{TxStatus: statusFailed}
	case s.begun:
		return &pgproto3.ReadyForQuery{TxStatus: statusInTransaction}
	}
	return &pgproto3.ReadyForQuery{TxStatus: statusIdle}
}

// serve serves the connection until its end.
func (s *session) serve() {
	if !s.login() {
		return
	}
	for {
		message, err := s.backend.Receive()
		if err != nil || !s.handle(message) {
			return
		}
	}
}

// login receives the startup message and the password. It returns false if the connection ends with it.
func (s *session) login() bool {
	for {
		s.conn.SetReadDeadline(time.Now().Add(loginTimeout))
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.StartupMessage:
			return s.authenticate(message.Parameters["user"])
		default:
			return false
		}
	}
}

// authenticate asks for the password. It returns false if it is wrong.
func (s *session) authenticate(userName string) bool {
	if s.server.refuses() {
		s.sendError(codeTooManyConnections, "sorry, too many clients already")
		return false
	}
	s.send(&pgproto3.AuthenticationCleartextPassword{})
	s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	reply, err := s.backend.Receive()
	given, isPassword := reply.(*pgproto3.PasswordMessage)
	if err != nil || !isPassword || userName != user || given.Password != password {
		s.sendError(codeInvalidPassword, fmt.Sprintf("password authentication failed for user \"%s\"", userName))
		return false
	}
	s.conn.SetReadDeadline(time.Time{})
	err = s.send(
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: "17.0 (stand-in)"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
		&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}},
		s.ready(),
	)
	return err == nil
}

// handle handles one message. It returns false if the connection ends with it.
func (s *session) handle(message pgproto3.FrontendMessage) bool {
	switch message := message.(type) {
	case *pgproto3.Query:
		if s.execute(message.String, nil) == outcomeDisconnect {
			return false
		}
		s.send(s.ready())
	case *pgproto3.Parse:
		s.statement = message.Query
		s.sendUnlessSkipping(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		s.bind(message.Parameters)
		s.sendUnlessSkipping(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		return s.skipping || s.executeStatement()
	case *pgproto3.Sync:
		s.skipping = false
		s.send(s.ready())
	case *pgproto3.Describe, *pgproto3.Flush, *pgproto3.Close: // rows are described where they are sent
	case *pgproto3.Terminate:
		return false
	default:
		s.sendError(codeNotSupported, fmt.Sprintf("%T is not known here", message))
		return false
	}
	return true
}

func (s *session) sendUnlessSkipping(message pgproto3.BackendMessage) {
	if !s.skipping {
		s.send(message)
	}
}

// bind sets the unnamed statement's arguments, which are sent as text.
func (s *session) bind(parameters [][]byte) {
	s.arguments = nil
	for _, parameter := range parameters {
		if parameter == nil {
			s.arguments = append(s.arguments, nil)
		} else {
			s.arguments = append(s.arguments, string(parameter))
		}
	}
}

// executeStatement executes the unnamed statement. It returns false if the connection ends with it.
func (s *session) executeStatement() bool {
	outcome := s.execute(s.statement, s.arguments)
	s.skipping = outcome == outcomeError
	return outcome != outcomeDisconnect
}

// sendRows sends a result as text and returns the number of rows.
func (s *session) sendRows(rows *sql.Rows) (int, error) {
	defer rows.Close()
	columns, err := rows.ColumnTypes()
	if err != nil {
		return 0, err
	}
	s.send(describe(columns))
	count := 0
	for rows.Next() {
		row, err := scanRow(rows, len(columns))
		if err != nil {
			return count, err
		}
		s.send(row)
		count++
	}
	return count, rows.Err()
}
