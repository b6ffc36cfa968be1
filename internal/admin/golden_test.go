package admin

// testdata/calls.txt holds operators' calls and their responses, byte for byte as they are sent on the connection. The
// code at commit 0cdd5b2 wrote the file with the same calls as in this test. If the test fails after a rename, the
// calls have changed for operators' tools. Never regenerate the file to follow a rename.

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

// scriptedNode is a node with preset results that records the last command.
type scriptedNode struct {
	notReady        bool
	exclusionReason string
	failure         error
	command         string
}

func (s *scriptedNode) Ready() bool                   { return !s.notReady }
func (s *scriptedNode) ExclusionReason(string) string { return s.exclusionReason }

func (s *scriptedNode) Detach(server string) error {
	s.command = "detach " + server
	return s.failure
}

func (s *scriptedNode) Attach(server string) error {
	s.command = "attach " + server
	return s.failure
}

func (s *scriptedNode) SetLameDuck(on bool) error {
	s.command = fmt.Sprint("lame ", on)
	return s.failure
}

// exchange sends one call and returns the whole response.
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
	notPersisted := &NotPersistedError{Cause: syscall.ENOSPC}
	exclusionReason := "the list does not have it now"
	var transcript strings.Builder
	for _, test := range []struct {
		name    string
		node    scriptedNode
		request string
		command string // the command that the node receives
	}{
		{"ready", scriptedNode{}, get("/_ready"), ""},
		{"ready, head only", scriptedNode{}, "HEAD /_ready HTTP/1.1\r\nHost: n\r\n\r\n", ""},
		{"not ready", scriptedNode{notReady: true}, get("/_ready"), ""},
		{"detach", scriptedNode{}, post("/_servers/detach", server), "detach server-1"},
		{"detach, never listed", scriptedNode{failure: ErrNeverListed},
			post("/_servers/detach", server), "detach server-1"},
		{"detach, not kept", scriptedNode{failure: notPersisted},
			post("/_servers/detach", server), "detach server-1"},
		{"attach", scriptedNode{}, post("/_servers/attach", server), "attach server-1"},
		{"attach, kept out", scriptedNode{exclusionReason: exclusionReason},
			post("/_servers/attach", server), "attach server-1"},
		{"attach, never listed", scriptedNode{failure: ErrNeverListed},
			post("/_servers/attach", server), "attach server-1"},
		{"lame duck on", scriptedNode{}, post("/_lameduck/on", ""), "lame true"},
		{"lame duck on, not kept", scriptedNode{failure: notPersisted}, post("/_lameduck/on", ""), "lame true"},
		{"lame duck off", scriptedNode{}, post("/_lameduck/off", ""), "lame false"},
		{"no host", scriptedNode{}, post("/_servers/detach", `{"server":"server-1"}`), ""},
		{"empty host", scriptedNode{}, post("/_servers/detach", `{"host":""}`), ""},
		{"more than an object", scriptedNode{}, post("/_servers/detach", server+server), ""},
		{"unknown call", scriptedNode{}, post("/_servers/drop", server), ""},
		{"wrong method for ready", scriptedNode{}, post("/_ready", ""), ""},
		{"wrong method for a change", scriptedNode{}, get("/_lameduck/on"), ""},
		{"not HTTP", scriptedNode{}, "nonsense\r\n\r\n", ""},
	} {
		answer := exchange(t, &test.node, test.request)
		assert.Equal(t, test.command, test.node.command, test.name)
		fmt.Fprintf(&transcript, "=== %s\n%s\n--- answer\n%s\n", test.name, test.request, answer)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "calls.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(want), transcript.String())
}
