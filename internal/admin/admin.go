// Package admin serves the operators' second address: a call a connection, which takes servers out and back or empties
// the node. It is apart from the callers' door, so that a node which is full there still hears its operators.
package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
)

// The calls.
const (
	PathReady       = "/_ready"
	PathDetach      = "/_servers/detach"
	PathAttach      = "/_servers/attach"
	PathLameDuckOn  = "/_lameduck/on"
	PathLameDuckOff = "/_lameduck/off"
)

// Node is what the calls act on. None of them may wait for a peer. A call that changes something returns ErrNeverListed where it names a
// server that was never listed, and a NotKeptError where what it says is in force but would be forgotten by a process that follows.
type Node interface {
	Ready() bool                          // this process takes callers
	Detach(server string) error           // nothing more to a server
	Attach(server string) error           // it may serve again
	ExclusionReason(server string) string // what keeps it out all the same
	SetLameDuck(on bool) error            // empty the node, or let it work again
}

// ErrNeverListed is of a call that names a server which no list ever had.
var ErrNeverListed = errors.New("no such server was ever listed")

// NotPersistedError is of a call that is in force and could not be written down.
type NotPersistedError struct{ Cause error }

func (e *NotPersistedError) Error() string {
	return "it is in force, and not kept: a process that follows a kill would not know it; it is tried again, and this call may be, too: " + e.Cause.Error()
}

func (e *NotPersistedError) Unwrap() error { return e.Cause }

// refusal is the answer to a call that has failed.
func refusal(err error) (status int, body []byte) {
	if errors.Is(err, ErrNeverListed) {
		return http.StatusNotFound, says(err.Error())
	}
	return http.StatusServiceUnavailable, says(err.Error())
}

// Limits bound what callers may cost.
type Limits struct {
	MaxConnections int           // at once
	CallTimeout    time.Duration // from the connect to the call's last byte
	WriteTimeout   time.Duration // for the answer
	// Linger is for what follows a call that could not be read.
	Linger time.Duration
	Wire   httpwire.Sizes
}

// DefaultLimits leave a caller who waits one second a place, whatever others do.
func DefaultLimits() Limits {
	return Limits{MaxConnections: 8, CallTimeout: 5 * time.Second, WriteTimeout: time.Second, Linger: 200 * time.Millisecond,
		Wire: httpwire.Sizes{BufferSize: 1 << 10, ReadSize: 512, MaxHead: 8 << 10, MaxBody: 8 << 10, MaxChunkLine: 64}}
}

// Descriptors is how many the address needs at most: the listener, the connections, and one that is taken before another
// gives way.
func (l Limits) Descriptors() int { return l.MaxConnections + 2 }

// Server is the address.
type Server struct {
	node   Node
	limits Limits
	log    *zap.Logger
	ln     net.Listener

	mu    sync.Mutex
	conns []net.Conn // the one that came first is first
	ended bool
	done  sync.WaitGroup
}

// Serve answers calls on a listener until Close.
func Serve(ln net.Listener, node Node, l Limits, log *zap.Logger) *Server {
	s := &Server{node: node, limits: l, log: log, ln: ln}
	s.done.Go(s.accept)
	return s
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends it; a call that is being answered is.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	s.ended = true
	for _, c := range s.conns {
		c.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("taking an operator's connection failed", zap.Error(err))
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			c.Close()
			continue
		}
		// Those that finish no call must not keep out one that does: the oldest gives way.
		if len(s.conns) >= s.limits.MaxConnections {
			s.conns[0].Close()
			s.conns = s.conns[1:]
		}
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.done.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, o := range s.conns {
			if o == c {
				s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
				break
			}
		}
	}()
	c.SetReadDeadline(time.Now().Add(s.limits.CallTimeout))
	q, err := httpwire.NewReader(socket.ShortageConn{Conn: c}, s.limits.Wire).ReadRequest()
	a := &httpwire.ClientResponse{}
	if err != nil {
		refusal, ok := httpwire.ErrorResponse(err)
		if !ok {
			return // it left, or its time is over
		}
		a = &refusal
	} else {
		a.Status, a.Allow, a.Body = s.call(q)
	}
	a.Close, a.ContentType = true, "application/json"
	c.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	body := a.Body
	if q != nil && q.Verb == "HEAD" {
		body = nil
	}
	socket.Write(c, append(a.AppendHead(nil), body...))
	if half, ok := c.(*net.TCPConn); ok && err != nil && half.CloseWrite() == nil {
		// Closed with bytes unread, the connection would be reset and the answer lost with it.
		c.SetReadDeadline(time.Now().Add(s.limits.Linger))
		io.CopyN(io.Discard, c, int64(s.limits.Wire.MaxHead+s.limits.Wire.MaxBody))
	}
}

// call does one call. Each may be repeated with the same end.
func (s *Server) call(q *httpwire.Request) (status int, allow string, body []byte) {
	want := "POST"
	if q.Path == PathReady {
		want = "GET"
	}
	switch q.Path {
	case PathReady, PathDetach, PathAttach, PathLameDuckOn, PathLameDuckOff:
	default:
		return http.StatusNotFound, "", says("no such call")
	}
	if q.Verb != want && !(want == "GET" && q.Verb == "HEAD") {
		return http.StatusMethodNotAllowed, want, says("this call is a " + want)
	}
	switch q.Path {
	case PathReady:
		if !s.node.Ready() {
			return http.StatusServiceUnavailable, "", says("not ready")
		}
		return http.StatusOK, "", says("ready")
	case PathLameDuckOn, PathLameDuckOff:
		on := q.Path == PathLameDuckOn
		err := s.node.SetLameDuck(on)
		s.log.Info("the node is emptied", zap.Bool("on", on), zap.NamedError("not kept", err))
		if err != nil {
			status, body := refusal(err)
			return status, "", body
		}
		if on {
			return http.StatusOK, "", says("emptying")
		}
		return http.StatusOK, "", says("at work")
	}
	var of struct {
		Host *string `json:"host"`
	}
	d := json.NewDecoder(bytes.NewReader(q.Body))
	if err := d.Decode(&of); err != nil || of.Host == nil || *of.Host == "" {
		return http.StatusBadRequest, "", says(`the body has to be {"host":"ID"}`)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return http.StatusBadRequest, "", says("something follows the body's object")
	}
	do, done := s.node.Detach, "out"
	if q.Path == PathAttach {
		do, done = s.node.Attach, "back"
	}
	if err := do(*of.Host); err != nil {
		s.log.Info("an operator's call on a server is refused", zap.String("call", q.Path), zap.String("server", *of.Host), zap.Error(err))
		status, body := refusal(err)
		return status, "", body
	}
	s.log.Info("a server is taken "+done+" by an operator", zap.String("server", *of.Host))
	if why := s.node.ExclusionReason(*of.Host); q.Path == PathAttach && why != "" {
		done += "; " + why // a ban is one of the words that a server has to be free of
	}
	return http.StatusOK, "", says(done)
}

func says(text string) []byte {
	b, err := json.Marshal(map[string]string{"said": text})
	if err != nil {
		return nil
	}
	return append(b, '\n')
}
