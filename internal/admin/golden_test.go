package admin

// testdata/calls.txt holds operators' calls and the answers to them, byte for byte as they stand on the connection. It
// was written by the code at commit 0cdd5b2, by the same calls as in this test. A test that fails here after a rename
// tells that the calls have changed for operators' tools. Never write the file anew to follow a rename.

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// scripted is a node whose outcomes are set, and which notes what it is told.
type scripted struct {
	notReady bool
	keptBy   string // what keeps a server out
	failure  error
	told     string
}

func (s *scripted) Ready() bool                   { return !s.notReady }
func (s *scripted) ExclusionReason(string) string { return s.keptBy }

func (s *scripted) Detach(server string) error {
	s.told = "detach " + server
	return s.failure
}

func (s *scripted) Attach(server string) error {
	s.told = "attach " + server
	return s.failure
}

func (s *scripted) SetLameDuck(on bool) error {
	s.told = fmt.Sprint("lame ", on)
	return s.failure
}

// exchange sends one call and returns all that is answered.
func exchange(t *testing.T, node Node, request string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := Serve(listener, node, DefaultLimits(), zap.NewNop())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Addr())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	return string(answer)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: n\r\n\r\n" }

func TestGolden_CallsAndAnswers(t *testing.T) {
	const server = `{"host":"server-1"}`
	notKept := &NotPersistedError{Cause: syscall.ENOSPC}
	keptBy := "the list does not have it now"
	var transcript strings.Builder
	for _, test := range []struct {
		name    string
		node    scripted
		request string
		told    string // to the node
	}{
		{"ready", scripted{}, get("/_ready"), ""},
		{"ready, head only", scripted{}, "HEAD /_ready HTTP/1.1\r\nHost: n\r\n\r\n", ""},
		{"not ready", scripted{notReady: true}, get("/_ready"), ""},
		{"detach", scripted{}, post("/_servers/detach", server), "detach server-1"},
		{"detach, never listed", scripted{failure: ErrNeverListed}, post("/_servers/detach", server), "detach server-1"},
		{"detach, not kept", scripted{failure: notKept}, post("/_servers/detach", server), "detach server-1"},
		{"attach", scripted{}, post("/_servers/attach", server), "attach server-1"},
		{"attach, kept out", scripted{keptBy: keptBy}, post("/_servers/attach", server), "attach server-1"},
		{"attach, never listed", scripted{failure: ErrNeverListed}, post("/_servers/attach", server), "attach server-1"},
		{"lame duck on", scripted{}, post("/_lameduck/on", ""), "lame true"},
		{"lame duck on, not kept", scripted{failure: notKept}, post("/_lameduck/on", ""), "lame true"},
		{"lame duck off", scripted{}, post("/_lameduck/off", ""), "lame false"},
		{"no host", scripted{}, post("/_servers/detach", `{"server":"server-1"}`), ""},
		{"empty host", scripted{}, post("/_servers/detach", `{"host":""}`), ""},
		{"more than an object", scripted{}, post("/_servers/detach", server+server), ""},
		{"unknown call", scripted{}, post("/_servers/drop", server), ""},
		{"wrong method for ready", scripted{}, post("/_ready", ""), ""},
		{"wrong method for a change", scripted{}, get("/_lameduck/on"), ""},
		{"not HTTP", scripted{}, "nonsense\r\n\r\n", ""},
	} {
		answer := exchange(t, &test.node, test.request)
		assert.Equal(t, test.told, test.node.told, test.name)
		fmt.Fprintf(&transcript, "=== %s\n%s\n--- answer\n%s\n", test.name, test.request, answer)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "calls.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(want), transcript.String())
}
