// Package pgstand stands in for a PostgreSQL server: it speaks the published protocol, version 3, well enough for the real
// client and for the statements of package store, and keeps its rows in SQLite. By order it fails as servers do.
package pgstand

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	_ "modernc.org/sqlite" // keeps the rows

	"robincart/internal/lab/traffic"
)

// CommitFault is what becomes of the next commit.
type CommitFault int

// What can become of a commit.
const (
	CommitWell     CommitFault = iota
	CommitThenCut              // done, and the connection ends before the answer
	CutInstead                 // not done, and the connection ends before the answer
	CommitButLoses             // said to be done and lost, as by a failover to a standby that lags behind
)

// Server is the stand-in.
type Server struct {
	User, Password string

	path string
	ln   *traffic.Listener
	done sync.WaitGroup
	lock chan struct{} // the one advisory lock

	mu      sync.Mutex
	db      *sql.DB
	conns   map[*conn]struct{}
	stalled chan struct{} // closed when it goes on
	refuse  bool
	commit  CommitFault
	commits int // that the fault meets
	code    string
	codes   int
	cutIn   int // statements until a connection is cut; 0: none is
	Commits int
	counts  Counts
}

// Start listens; the rows lie in a file, which outlasts the server.
func Start(addr, path string) (*Server, error) {
	s := &Server{User: "robin", Password: "cart", path: path, conns: map[*conn]struct{}{}, lock: make(chan struct{}, 1)}
	var err error
	if s.db, err = sql.Open("sqlite", "file:"+path+"?_pragma=journal_mode(WAL)&_pragma=busy_timeout(5000)&_pragma=synchronous(OFF)"); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		s.db.Close()
		return nil, err
	}
	s.ln = traffic.Listen(ln)
	s.done.Go(s.accept)
	return s, nil
}

// Address is what a store is opened with.
func (s *Server) Address() string {
	return fmt.Sprintf("postgres://%s:%s@%s/record?sslmode=disable", s.User, s.Password, s.ln.Addr())
}

// Stop ends the server and all connections; what is uncommitted is lost.
func (s *Server) Stop() {
	s.ln.Close()
	s.Stall(false)
	s.Cut()
	s.done.Wait()
	s.db.Close()
}

// Cut ends all connections.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.net.Close()
	}
}

// Stall keeps every statement waiting until it is called again with false.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.stalled == nil {
		s.stalled = make(chan struct{})
	} else if !on && s.stalled != nil {
		close(s.stalled)
		s.stalled = nil
	}
}

// Refuse turns new connections away, with "too many connections".
func (s *Server) Refuse(on bool) { s.set(func() { s.refuse = on }) }

// Commit says what becomes of the next commits of writes.
func (s *Server) Commit(f CommitFault, n int) { s.set(func() { s.commit, s.commits = f, n }) }

// Fail answers the next statements with an error's code.
func (s *Server) Fail(code string, n int) { s.set(func() { s.code, s.codes = code, n }) }

// CutIn cuts a connection at so many statements from now, in the middle of its transaction.
func (s *Server) CutIn(n int) { s.set(func() { s.cutIn = n }) }

// Well takes back every order that nothing has met yet.
func (s *Server) Well() {
	s.Stall(false)
	s.set(func() { s.refuse, s.commits, s.codes, s.cutIn = false, 0, 0, 0 })
}

func (s *Server) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Server) accept() {
	for {
		raw, err := s.ln.Accept()
		if err != nil {
			return
		}
		c := &conn{s: s, net: raw, back: pgproto3.NewBackend(raw, raw)}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.done.Go(func() {
			c.serve()
			c.end()
			raw.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// conn is one session.
type conn struct {
	s    *Server
	net  net.Conn
	back *pgproto3.Backend
	out  sync.Mutex // a notification can come beside an answer

	listens bool // guarded by the server's mutex
	sql     *sql.Conn
	begun   bool // BEGIN was said
	open    bool // and done in SQLite
	wrote   bool
	failed  bool
	locked  bool
	notes   []string
	text    string // of the unnamed statement
	args    []any
}

func (c *conn) send(m ...pgproto3.BackendMessage) error {
	c.out.Lock()
	defer c.out.Unlock()
	for _, x := range m {
		c.back.Send(x)
	}
	return c.back.Flush()
}

func (c *conn) fault(code, text string) {
	c.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text})
}

func (c *conn) login() bool {
	for {
		c.net.SetReadDeadline(time.Now().Add(10 * time.Second))
		m, err := c.back.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte("N")); err != nil {
				return false
			}
			continue
		case *pgproto3.StartupMessage:
			if c.s.refused() {
				c.fault("53300", "sorry, too many clients already")
				return false
			}
			c.send(&pgproto3.AuthenticationCleartextPassword{})
			c.back.SetAuthType(pgproto3.AuthTypeCleartextPassword)
			reply, err := c.back.Receive()
			if p, ok := reply.(*pgproto3.PasswordMessage); err != nil || !ok || m.Parameters["user"] != c.s.User || p.Password != c.s.Password {
				c.fault("28P01", "password authentication failed for user \""+m.Parameters["user"]+"\"")
				return false
			}
			c.net.SetReadDeadline(time.Time{})
			return c.send(&pgproto3.AuthenticationOk{}, &pgproto3.ParameterStatus{Name: "server_version", Value: "17.0 (stand-in)"},
				&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"}, &pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
				&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}}, c.ready()) == nil
		default:
			return false
		}
	}
}

func (s *Server) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuse
}

func (c *conn) ready() *pgproto3.ReadyForQuery {
	switch {
	case c.failed:
		return &pgproto3.ReadyForQuery{TxStatus: 'E'}
	case c.begun:
		return &pgproto3.ReadyForQuery{TxStatus: 'T'}
	}
	return &pgproto3.ReadyForQuery{TxStatus: 'I'}
}

func (c *conn) serve() {
	if !c.login() {
		return
	}
	skip := false // until Sync, after an error
	for {
		m, err := c.back.Receive()
		if err != nil {
			return
		}
		var ok bool
		switch m := m.(type) {
		case *pgproto3.Query:
			if _, alive := c.run(m.String, nil, true); !alive {
				return
			}
			c.send(c.ready())
		case *pgproto3.Parse:
			if c.text = m.Query; !skip {
				c.send(&pgproto3.ParseComplete{})
			}
		case *pgproto3.Bind:
			c.args = nil
			for _, p := range m.Parameters {
				if p == nil {
					c.args = append(c.args, nil)
				} else {
					c.args = append(c.args, string(p))
				}
			}
			if !skip {
				c.send(&pgproto3.BindComplete{})
			}
		case *pgproto3.Describe: // told with the rows
		case *pgproto3.Execute:
			if !skip {
				var alive bool
				if ok, alive = c.run(c.text, c.args, true); !alive {
					return
				}
				skip = !ok
			}
		case *pgproto3.Sync:
			skip = false
			c.send(c.ready())
		case *pgproto3.Flush, *pgproto3.Close:
		case *pgproto3.Terminate:
			return
		default:
			c.fault("0A000", fmt.Sprintf("%T is not known here", m))
			return
		}
	}
}

var place = regexp.MustCompile(`\$(\d+)`)

// run executes one statement. It is not ok after an error, and not alive if the connection has to end.
func (c *conn) run(text string, args []any, describe bool) (ok, alive bool) {
	s := c.s
	s.mu.Lock()
	s.counts.Statements++
	stalled, code := s.stalled, ""
	if s.codes > 0 {
		s.codes--
		code = s.code
	}
	cut := false
	if s.cutIn > 0 {
		s.cutIn--
		cut = s.cutIn == 0
	}
	s.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	if cut {
		return false, false
	}
	word := strings.ToLower(strings.TrimSpace(text))
	tag := func(t string) (bool, bool) {
		c.send(&pgproto3.CommandComplete{CommandTag: []byte(t)})
		return true, true
	}
	wrong := func(code, text string) (bool, bool) {
		c.failed = c.begun
		c.fault(code, text)
		return false, true
	}
	switch {
	case word == "" || strings.HasPrefix(word, "--"):
		c.send(&pgproto3.EmptyQueryResponse{})
		return true, true
	case strings.HasPrefix(word, "rollback"):
		c.end()
		return tag("ROLLBACK")
	case strings.HasPrefix(word, "commit"):
		return c.commit(tag, wrong)
	case c.failed:
		return wrong("25P02", "current transaction is aborted")
	case code != "":
		return wrong(code, "as ordered")
	case strings.HasPrefix(word, "begin"):
		c.begun = true
		return tag("BEGIN")
	case strings.HasPrefix(word, "listen"):
		s.set(func() { c.listens = true })
		return tag("LISTEN")
	case strings.HasPrefix(word, "select pg_notify"):
		note, _ := args[0].(string)
		c.notes = append(c.notes, note)
		c.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("pg_notify"), DataTypeOID: 2278}}},
			&pgproto3.DataRow{Values: [][]byte{{}}})
		return tag("SELECT 1")
	case strings.HasPrefix(word, "select pg_advisory_xact_lock"):
		select {
		case s.lock <- struct{}{}:
			c.locked = true
		case <-time.After(10 * time.Second):
			return wrong("55P03", "lock not available")
		}
		if err := c.begin(true); err != nil {
			return wrong("XX000", err.Error())
		}
		c.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("pg_advisory_xact_lock"), DataTypeOID: 2278}}},
			&pgproto3.DataRow{Values: [][]byte{{}}})
		return tag("SELECT 1")
	}
	if strings.Contains(word, "information_schema.tables") {
		text = "SELECT COUNT(*) FROM sqlite_master WHERE type = 'table' AND name = $1"
	}
	text = place.ReplaceAllString(text, "?$1")
	reads := strings.HasPrefix(word, "select")
	if err := c.begin(!reads); err != nil {
		return wrong("40001", err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if !reads {
		c.wrote = true
		r, err := c.sql.ExecContext(ctx, text, args...)
		if err != nil {
			return wrong("XX000", err.Error())
		}
		n, _ := r.RowsAffected()
		c.done()
		return tag(map[bool]string{true: fmt.Sprintf("INSERT 0 %d", n), false: fmt.Sprintf("UPDATE %d", n)}[strings.HasPrefix(word, "insert")])
	}
	rows, err := c.sql.QueryContext(ctx, text, args...)
	if err != nil {
		return wrong("42601", err.Error())
	}
	defer rows.Close()
	n, err := c.rows(rows, describe)
	if err != nil {
		return wrong("XX000", err.Error())
	}
	rows.Close()
	c.done()
	return tag(fmt.Sprintf("SELECT %d", n))
}

// rows sends a result, in text.
func (c *conn) rows(rows *sql.Rows, describe bool) (n int, err error) {
	cols, err := rows.ColumnTypes()
	if err != nil {
		return 0, err
	}
	d := &pgproto3.RowDescription{}
	for _, k := range cols {
		oid := uint32(25) // text
		if t := k.DatabaseTypeName(); t == "BIGINT" || t == "INTEGER" || strings.Contains(k.Name(), "(") {
			oid = 20 // int8
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(k.Name()), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1})
	}
	if describe {
		c.send(d)
	}
	for rows.Next() {
		values := make([]any, len(cols))
		for i := range values {
			values[i] = new(sql.NullString)
		}
		if err := rows.Scan(values...); err != nil {
			return n, err
		}
		row := &pgproto3.DataRow{}
		for _, v := range values {
			row.Values = append(row.Values, []byte(v.(*sql.NullString).String))
		}
		c.send(row)
		n++
	}
	return n, rows.Err()
}

// begin opens SQLite's transaction at the first statement, which tells whether it is to write.
func (c *conn) begin(writes bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if c.sql == nil {
		var err error
		if c.sql, err = c.s.db.Conn(ctx); err != nil {
			return err
		}
	}
	if c.open {
		return nil
	}
	word := "BEGIN"
	if writes {
		word = "BEGIN IMMEDIATE"
	}
	_, err := c.sql.ExecContext(ctx, word)
	c.open = err == nil
	return err
}

// done ends a statement that stands alone.
func (c *conn) done() {
	if !c.begun {
		c.finish("COMMIT")
	}
}

func (c *conn) finish(word string) error {
	var err error
	if c.open {
		_, err = c.sql.ExecContext(context.Background(), word)
		if err != nil && word == "COMMIT" {
			c.sql.ExecContext(context.Background(), "ROLLBACK")
		}
	}
	if c.locked {
		<-c.s.lock
	}
	c.open, c.begun, c.failed, c.locked, c.wrote = false, false, false, false, false
	return err
}

func (c *conn) commit(tag func(string) (bool, bool), wrong func(string, string) (bool, bool)) (ok, alive bool) {
	if c.failed {
		c.end()
		return tag("ROLLBACK")
	}
	fault := CommitWell
	c.s.set(func() {
		if c.wrote && c.s.commits > 0 {
			c.s.commits--
			fault = c.s.commit
		}
	})
	if fault == CutInstead {
		return false, false
	}
	notes := c.notes
	c.notes = nil
	word := "COMMIT"
	if fault == CommitButLoses {
		word = "ROLLBACK"
	}
	wrote := c.wrote
	if err := c.finish(word); err != nil {
		return wrong("40001", err.Error())
	}
	if fault == CommitThenCut {
		return false, false
	}
	if wrote {
		c.s.tell(notes)
	}
	return tag("COMMIT")
}

// tell sends notifications to all that listen.
func (s *Server) tell(notes []string) {
	s.mu.Lock()
	var to []*conn
	for c := range s.conns {
		if c.listens {
			to = append(to, c)
		}
	}
	s.Commits++
	s.counts.Notices += len(to) * len(notes)
	s.mu.Unlock()
	for _, c := range to {
		for _, n := range notes {
			c.send(&pgproto3.NotificationResponse{PID: 1, Channel: "robincart_record", Payload: n})
		}
	}
}

// end rolls back and gives up what the session holds.
func (c *conn) end() {
	c.finish("ROLLBACK")
	c.notes = nil
	if c.sql != nil {
		c.sql.Close()
		c.sql = nil
	}
}

// Backup copies the rows to a file; Restore puts them back in the place of what is there now.
func (s *Server) Backup(to string) error {
	_, err := s.db.Exec("VACUUM INTO ?", to)
	return err
}

// Restore goes back to a backup, as an operator does with a server that is down.
func (s *Server) Restore(from string) error {
	s.Cut()
	for _, q := range []string{"DELETE FROM record_fact", "DELETE FROM record_meta"} {
		if _, err := s.db.Exec(q); err != nil {
			return err
		}
	}
	c, err := s.db.Conn(context.Background())
	if err != nil {
		return err
	}
	defer c.Close()
	for _, q := range []string{"ATTACH '" + strings.ReplaceAll(from, "'", "''") + "' AS old", "INSERT INTO record_meta SELECT * FROM old.record_meta",
		"INSERT INTO record_fact SELECT * FROM old.record_fact"} {
		if _, err := c.ExecContext(context.Background(), q); err != nil {
			return errors.Join(err, errors.New("restore"))
		}
	}
	_, err = c.ExecContext(context.Background(), "DETACH old")
	return err
}
