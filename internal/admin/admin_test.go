package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"robincart/internal/protocol/httpwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fake knows one server, and notes what it is told.
type fake struct {
	mu      sync.Mutex
	heard   []string
	failing bool // nothing can be kept
}

func (f *fake) note(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = append(f.heard, what)
}
func (f *fake) Ready() bool            { return true }
func (f *fake) Detach(id string) error { f.note("out " + id); return f.outcome(id) }
func (f *fake) Attach(id string) error { f.note("back " + id); return f.outcome(id) }

func (f *fake) outcome(id string) error {
	if f.failing {
		return &NotPersistedError{Cause: syscall.ENOSPC}
	}
	if id != "s1" {
		return ErrNeverListed
	}
	return nil
}
func (f *fake) ExclusionReason(string) string { return "" }
func (f *fake) SetLameDuck(on bool) error {
	f.note(fmt.Sprint("lame ", on))
	if f.failing {
		return &NotPersistedError{Cause: syscall.ENOSPC}
	}
	return nil
}

func begin(t *testing.T, l Limits) (*Server, *fake) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fake{}
	s := Serve(ln, f, l, zap.NewNop())
	t.Cleanup(s.Close)
	return s, f
}

// call is the status of one call, written whole on a connection of its own.
func call(t *testing.T, s *Server, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	all, err := io.ReadAll(c)
	require.NoError(t, err)
	status := 0
	if _, err := fmt.Sscanf(string(all), "HTTP/1.1 %d", &status); err != nil {
		assert.Empty(t, all)
	}
	return status
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// What can't be kept is refused, though it is in force, and the answer says so.
func TestACallThatCannotBeKeptIsRefused(t *testing.T) {
	s, f := begin(t, DefaultLimits())
	f.failing = true
	for _, text := range []string{post(PathDetach, `{"host":"s1"}`), post(PathAttach, `{"host":"s1"}`), post(PathLameDuckOn, ""), post(PathLameDuckOff, "")} {
		assert.Equal(t, 503, call(t, s, text), "%.40q", text)
	}
	assert.Equal(t, []string{"out s1", "back s1", "lame true", "lame false"}, f.heard)
	assert.ErrorContains(t, &NotPersistedError{Cause: syscall.ENOSPC}, "in force")
	assert.ErrorIs(t, &NotPersistedError{Cause: syscall.ENOSPC}, syscall.ENOSPC)
}

func TestEachCallIsDoneOrRefused(t *testing.T) {
	s, f := begin(t, DefaultLimits())
	for _, x := range []struct {
		text   string
		status int
		heard  string
	}{
		{"GET /_ready HTTP/1.1\r\nHost: n\r\n\r\n", 200, ""},
		{"HEAD /_ready HTTP/1.1\r\nHost: n\r\n\r\n", 200, ""},
		{post(PathDetach, `{"host":"s1"}`), 200, "out s1"},
		{post(PathDetach, `{"host":"s1","why":"disk"}`), 200, "out s1"},
		{"POST /_servers/detach HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"hos\r\n8\r\nt\":\"s1\"}\r\n0\r\n\r\n", 200, "out s1"},
		{post(PathAttach, `{"host":"s1"}`), 200, "back s1"},
		{post(PathAttach, `{"host":"nobody"}`), 404, "back nobody"},
		{post(PathLameDuckOn, ""), 200, "lame true"},
		{post(PathLameDuckOff, "{}"), 200, "lame false"},
		{post(PathDetach, `{"host":""}`), 400, ""},
		{post(PathDetach, `{"host":7}`), 400, ""},
		{post(PathDetach, `{"host":"s1"}{"host":"s2"}`), 400, ""},
		{post(PathDetach, `{"host":`), 400, ""},
		{post(PathDetach, ""), 400, ""},
		{post(PathDetach, strings.Repeat("x", 1<<20)), 413, ""},
		{post("/_servers/drop", `{"host":"s1"}`), 404, ""},
		{post(PathReady, ""), 405, ""},
		{"GET /_lameduck/on HTTP/1.1\r\nHost: n\r\n\r\n", 405, ""},
		{"nonsense\r\n\r\n", 400, ""},
		{"GET /" + strings.Repeat("x", 1<<20) + " HTTP/1.1\r\n\r\n", 431, ""},
	} {
		f.heard = nil
		if n := len(x.text); n > 1<<19 { // it is answered and closed with the rest unread: only that it ends can be relied on
			x.text = x.text[:12<<10]
		}
		assert.Equal(t, x.status, call(t, s, x.text), "%.80q", x.text)
		if x.heard == "" {
			assert.Empty(t, f.heard, "%.80q", x.text)
		} else {
			assert.Equal(t, []string{x.heard}, f.heard)
		}
	}
}

// Whatever a caller sends, at most one call is done, and only one whose body names its server.
func FuzzCall(f *testing.F) {
	f.Add([]byte(post(PathDetach, `{"host":"s1"}`)))
	f.Add([]byte(post(PathAttach, `{"host":"s1"} x`)))
	f.Add([]byte(post(PathLameDuckOn, "")))
	f.Add([]byte(post(PathDetach, `{"HOST":null,"host":{}}`)))
	f.Fuzz(func(t *testing.T, text []byte) {
		q, err := httpwire.NewReader(bytes.NewReader(text), DefaultLimits().Wire).ReadRequest()
		if err != nil {
			return
		}
		node := &fake{}
		s := &Server{node: node, log: zap.NewNop()}
		status, _, _ := s.call(q)
		if done := len(node.heard); done > 1 || done == 1 && status != 200 && status != 404 || done == 0 && status == 200 && q.Path != PathReady {
			t.Fatalf("%q: %d, %q", text, status, node.heard)
		}
	})
}

func TestCallersThatFinishNothingKeepNobodyOut(t *testing.T) {
	l := DefaultLimits()
	l.MaxConnections = 3
	s, _ := begin(t, l)
	var idle []net.Conn
	for i := range 20 {
		c, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		defer c.Close()
		io.WriteString(c, "POST /_servers/detach HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"[:i%3*20])
		idle = append(idle, c)
		if i%5 == 4 {
			r, err := http.Post("http://"+s.Addr()+PathDetach, "application/json", bytes.NewBufferString(`{"host":"s1"}`))
			require.NoError(t, err)
			r.Body.Close()
			assert.Equal(t, 200, r.StatusCode)
		}
	}
	for _, c := range idle[:15] { // these had to give way
		c.SetDeadline(time.Now().Add(10 * time.Second))
		_, err := c.Read(make([]byte, 1))
		assert.Error(t, err)
		assert.False(t, errors.Is(err, os.ErrDeadlineExceeded), "still open")
	}
	s.mu.Lock()
	assert.LessOrEqual(t, len(s.conns), l.MaxConnections)
	s.mu.Unlock()
}
