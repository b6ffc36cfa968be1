package pgstand

import (
	"context"
	"database/sql"

	"github.com/jackc/pgx/v5/pgproto3"
)

// The statements by which SQLite's transactions begin and end. One that is to write takes the database's lock at once.
const (
	beginRead   = "BEGIN"
	beginWrite  = "BEGIN IMMEDIATE"
	endCommit   = "COMMIT"
	endRollback = "ROLLBACK"
)

// The channel of all notifications, and the process id that they name.
const (
	notificationChannel = "robincart_record"
	notificationPID     = 1
)

// transaction is a session's transaction, and the one in SQLite below it.
type transaction struct {
	begun         bool // by BEGIN
	failed        bool // by an error
	wrote         bool
	holdsLock     bool     // the advisory lock
	notifications []string // to be sent at its commit

	sqlite     *sql.Conn // nil before the first statement
	sqliteOpen bool      // SQLite's transaction has begun
}

// open begins SQLite's transaction, unless that has begun already. Only its first statement shows whether a transaction
// is to write.
func (s *session) open(begin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	if s.sqlite == nil {
		conn, err := s.server.database.Conn(ctx)
		if err != nil {
			return err
		}
		s.sqlite = conn
	}
	if s.sqliteOpen {
		return nil
	}
	_, err := s.sqlite.ExecContext(ctx, begin)
	s.sqliteOpen = err == nil
	return err
}

// endStatement commits a statement that is no part of a transaction.
func (s *session) endStatement() {
	if !s.begun {
		s.finish(endCommit)
	}
}

// finish ends SQLite's transaction and releases the advisory lock.
func (s *session) finish(end string) error {
	var err error
	if s.sqliteOpen {
		_, err = s.sqlite.ExecContext(context.Background(), end)
		if err != nil && end == endCommit {
			s.sqlite.ExecContext(context.Background(), endRollback)
		}
	}
	if s.holdsLock {
		<-s.server.advisoryLock
	}
	s.begun, s.failed, s.wrote, s.holdsLock, s.sqliteOpen = false, false, false, false, false
	return err
}

// commit commits the transaction and sends its notifications.
func (s *session) commit() outcome {
	if s.failed {
		s.rollback()
		return s.complete("ROLLBACK")
	}
	wrote, fault := s.wrote, commitNormal
	if wrote {
		fault = s.server.nextCommit()
	}
	if fault == CutInstead {
		return outcomeDisconnect
	}
	notifications := s.notifications
	s.notifications = nil
	if err := s.finish(endCommit); err != nil {
		return s.fail(codeSerializationFailed, err.Error())
	}
	if fault == CommitThenCut {
		return outcomeDisconnect
	}
	if wrote {
		s.server.publish(notifications)
	}
	return s.complete("COMMIT")
}

// rollback rolls the transaction back and returns its connection to SQLite.
func (s *session) rollback() {
	s.finish(endRollback)
	s.notifications = nil
	if s.sqlite != nil {
		s.sqlite.Close()
		s.sqlite = nil
	}
}

// publish counts a commit and sends its notifications to all sessions that listen.
func (s *Server) publish(notifications []string) {
	s.mu.Lock()
	var listening []*session
	for c := range s.sessions {
		if c.listening {
			listening = append(listening, c)
		}
	}
	s.Commits++
	s.counts.Notices += len(listening) * len(notifications)
	s.mu.Unlock()
	for _, c := range listening {
		for _, payload := range notifications {
			c.send(&pgproto3.NotificationResponse{PID: notificationPID, Channel: notificationChannel, Payload: payload})
		}
	}
}
