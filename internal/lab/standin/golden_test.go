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

// A list, and a watch's changes, are told so.
func TestMessage_Golden(t *testing.T) {
	var read struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}
	require.NoError(t, json.Unmarshal(labtest.ReadGolden(t, "list.json"), &read))
	assert.Equal(t, int64(301), read.Revision)
	assert.True(t, read.Complete)
	assert.Equal(t, goldenMembers(), read.Members)
	labtest.RequireGolden(t, "list.json", message(read.Revision, read.Complete, read.Members))
	labtest.RequireGolden(t, "empty-change.json", message(302, false, nil))
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
	labtest.RequireGolden(t, "node.json", written)
}

// answerOnce takes one connection, returns what comes on it up to so many bytes, and answers.
func answerOnce(ln net.Listener, size int, answer string) []byte {
	c, err := ln.Accept()
	if err != nil {
		return nil
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, size)
	n, _ := io.ReadFull(c, got)
	io.WriteString(c, answer)
	return got[:n]
}

// An operator's call on a server.
func TestNode_GoldenOperatorCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	golden := labtest.ReadGolden(t, "operator-call.http")
	asked := make(chan []byte, 1)
	go func() { asked <- answerOnce(ln, len(golden), "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n") }()
	n := &Node{Config: map[string]any{"admin_addr": ln.Addr().String()}}
	assert.Equal(t, 409, n.Call("/_servers/detach", "s0-1"))
	labtest.RequireGolden(t, "operator-call.http", <-asked)
}

// What servers answer: to a request, to one that they turn away, to one that no caller of the lab sent, and their
// report.
func TestServer_GoldenAnswers(t *testing.T) {
	s := &Server{Kind: Kind{Cores: 1}, Index: 501, Log: &judge.Ledger{}, Begin: time.Now()}
	require.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Stop()
	ask := func(request string) []byte {
		c, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = io.WriteString(c, request)
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		answer, err := io.ReadAll(c)
		require.NoError(t, err)
		return answer
	}
	const known = "GET /find HTTP/1.1\r\nHost: lab\r\n" +
		"X-Trace-Id: 0000000000000901\r\nX-Qos: find\r\nX-Expires-In-Ms: 1000\r\n\r\n"
	labtest.RequireGolden(t, "answer.http", ask(known))
	labtest.RequireGolden(t, "stranger.http", ask("GET /find HTTP/1.1\r\nHost: lab\r\n\r\n"))
	labtest.RequireGolden(t, "report.http", ask("GET /stats HTTP/1.1\r\nHost: lab\r\n\r\n"))
	s.Drain(time.Now().Add(-time.Second))
	labtest.RequireGolden(t, "turned-away.http", ask(known))
}
