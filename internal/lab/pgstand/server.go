// Package pgstand stands in for a PostgreSQL server: it speaks the published protocol, version 3, for the real client
// and for the statements of package sqlstore, keeps its rows in SQLite, and fails by order in the ways in which such
// servers do.
//
// A Server owns its listener, its sessions and the database; a session owns one connection with its transaction. There
// is one database, one user and one advisory lock; statements go to SQLite as they are but for their parameters, so it
// knows no SQL that SQLite does not know.
package pgstand

import (
	"database/sql"
	"fmt"
	"net"
	"sync"

	_ "modernc.org/sqlite" // the database's driver

	"robincart/internal/lab/traffic"
)

// The one user.
const (
	user     = "robin"
	password = "cart"
)

// databaseOptions are those of the SQLite file. It need not outlast a crash of the machine.
const databaseOptions = "?_pragma=journal_mode(WAL)&_pragma=busy_timeout(5000)&_pragma=synchronous(OFF)"

// Server is the stand-in.
type Server struct {
	listener     *traffic.Listener
	database     *sql.DB
	running      sync.WaitGroup
	advisoryLock chan struct{} // holds one element while the lock is held

	mu       sync.Mutex
	sessions map[*session]struct{}
	faults   faults
	counts   Counts // but for those of the connections
	Commits  int    // transactions that have written
}

// Start listens and serves. The rows are kept in a file, which outlasts the server.
func Start(addr, path string) (*Server, error) {
	database, err := sql.Open("sqlite", "file:"+path+databaseOptions)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		database.Close()
		return nil, err
	}
	s := &Server{
		listener:     traffic.Listen(listener),
		database:     database,
		sessions:     map[*session]struct{}{},
		advisoryLock: make(chan struct{}, 1),
	}
	s.running.Go(s.accept)
	return s, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Address is the URL by which a store is opened.
func (s *Server) Address() string {
	return fmt.Sprintf("postgres://%s:%s@%s/record?sslmode=disable", user, password, s.Addr())
}

// Stop ends the server and all connections, and waits for its sessions. What was not committed is lost.
func (s *Server) Stop() {
	s.listener.Close()
	s.Stall(false)
	s.Cut()
	s.running.Wait()
	s.database.Close()
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := newSession(s, conn)
		s.mu.Lock()
		s.sessions[c] = struct{}{}
		s.mu.Unlock()
		s.running.Go(func() {
			c.serve()
			c.rollback()
			conn.Close()
			s.mu.Lock()
			delete(s.sessions, c)
			s.mu.Unlock()
		})
	}
}
