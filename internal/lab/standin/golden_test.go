package standin

import (
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/labtest"
	"robincart/internal/testutil/golden"
)

// The golden files were written by the text at 0cdd5b2. Nodes read these forms; they must never be written anew to
// follow a rename.

func goldenMembers() []Member {
	return []Member{
		{
			ID:      "s0-1",
			Addr:    "127.0.0.1:101",
			Zone:    "zone-102",
			Flavor:  "lab",
			Cell:    103,
			Phase:   "ready",
			Size:    1.5,
			UpSince: 104,
		},
		{ID: "s0-2", Addr: "127.0.0.1:201", Phase: "draining"},
	}
}

// A snapshot, and a delta.
func TestEncodeList_Golden(t *testing.T) {
	var read struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}
	require.NoError(t, json.Unmarshal(golden.Read(t, "list.json"), &read))
	assert.Equal(t, int64(301), read.Revision)
	assert.True(t, read.Complete)
	assert.Equal(t, goldenMembers(), read.Members)
	golden.Check(t, "list.json", encodeList(read.Revision, read.Complete, read.Members))
	golden.Check(t, "empty-change.json", encodeList(302, false, nil))
}

func TestMember_GoldenShowsEveryField(t *testing.T) {
	labtest.RequireEveryFieldSet(t, "json", goldenMembers()[0])
}

func TestMember_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "json", Member{}) }

// A node's configuration, with what a process that starts again knows from before.
func TestNode_GoldenConfiguration(t *testing.T) {
	config := map[string]any{
		"discovery": "127.0.0.1:402",
		"seed":      "0000000000000007",
		"settings":  map[string]any{"Stage": 1},
	}
	n := &Node{Name: "n7", Addr: "127.0.0.1:401", Dir: t.TempDir(), Config: config}
	n.SetKnownServers(goldenMembers())
	n.Configure(func(config map[string]any) { config["admin_addr"] = "127.0.0.1:403" })
	require.NoError(t, n.Write())
	written, err := os.ReadFile(filepath.Join(n.Dir, "n7.json"))
	require.NoError(t, err)
	golden.Check(t, "node.json", written)
}

// respondOnce accepts one connection, returns the first bytes received on it, and responds.
func respondOnce(ln net.Listener, size int, response string) []byte {
	conn, err := ln.Accept()
	if err != nil {
		return nil
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	received := make([]byte, size)
	n, _ := io.ReadFull(conn, received)
	io.WriteString(conn, response)
	return received[:n]
}

// An operator's call on a server.
func TestNode_GoldenOperatorCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	want := golden.Read(t, "operator-call.http")
	received := make(chan []byte, 1)
	go func() {
		received <- respondOnce(ln, len(want), "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
	}()
	n := &Node{Config: map[string]any{"admin_addr": ln.Addr().String()}}
	assert.Equal(t, 409, n.OperatorCall("/_servers/detach", "s0-1"))
	golden.Check(t, "operator-call.http", <-received)
}

// A server's responses: to a request, to one that no client of the lab sent and to one that it rejects, and its load
// report.
func TestServer_GoldenAnswers(t *testing.T) {
	s := &Server{ServerConfig: ServerConfig{Cores: 1}, Index: 501, Log: &judge.Ledger{}, Begin: time.Now()}
	require.NoError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(s.Stop)
	send := func(request string) []byte {
		conn, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		response, err := io.ReadAll(conn)
		require.NoError(t, err)
		return response
	}
	const known = "GET /find HTTP/1.1\r\nHost: lab\r\n" +
		"X-Trace-Id: 0000000000000901\r\nX-Qos: find\r\nX-Expires-In-Ms: 1000\r\n\r\n"
	golden.Check(t, "answer.http", send(known))
	golden.Check(t, "stranger.http", send("GET /find HTTP/1.1\r\nHost: lab\r\n\r\n"))
	golden.Check(t, "report.http", send("GET /stats HTTP/1.1\r\nHost: lab\r\n\r\n"))
	s.Drain(time.Now().Add(-time.Second))
	golden.Check(t, "turned-away.http", send(known))
}
