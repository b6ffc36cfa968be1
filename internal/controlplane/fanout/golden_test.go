package fanout

// The files under testdata were written by the code at commit 0cdd5b2. They have the wire format that nodes of all
// versions read, so a failure of a test in this file means that the format has changed. When a name changes in the
// code, do not regenerate the files.

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"robincart/internal/testutil/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// goldenMembers returns the servers of the golden lists: two with all fields set, and one with no field set.
func goldenMembers() []Member {
	return []Member{
		{
			ID: "pod-1<&>", HostPort: "10.1.0.1:8080", Locality: "zone-a", Cell: 3, Phase: "ready", Size: 1.5,
			UpSince: 1712998800123,
		},
		{
			ID: "pod-2", HostPort: "[fd00::2]:8081", Locality: "zone-b", Cell: 4, Phase: "draining", Size: 2,
			UpSince: 1712998800456,
		},
		{},
	}
}

// goldenDelta returns two changes: one server drains, and another server is gone.
func goldenDelta() []Member {
	member := goldenMembers()[0]
	member.Phase = "draining"
	return []Member{member, {ID: "pod-2", Phase: "gone"}}
}

func TestMessage_Golden(t *testing.T) {
	for name, want := range map[string]message{
		"whole.json":  {Revision: 41, Complete: true, Members: goldenMembers()},
		"change.json": {Revision: 42, Members: goldenDelta()},
		"empty.json":  {Revision: 43, Complete: true, Members: []Member{}},
	} {
		t.Run(name, func(t *testing.T) { golden.JSON(t, name, want) })
	}
}

func TestStatus_Golden(t *testing.T) {
	for name, want := range map[string]Status{
		"status.json": {
			Revision: 41, Servers: 2, Watchers: 3, Rejected: 4, Snapshots: 5, SecondsSinceSourceSeen: 6.5,
		},
		"status-zero.json": {},
	} {
		t.Run(name, func(t *testing.T) { golden.JSON(t, name, want) })
	}
}

// goldenList returns a list of the golden members at revision 41. It sends no heartbeats.
func goldenList() *List {
	config := DefaultConfig()
	config.HeartbeatInterval = time.Hour
	list := New(config, zap.NewNop())
	list.PublishSnapshot(41, goldenMembers())
	return list
}

// exchange sends a request to the list. The bytes that are read from reader are copied to raw. end closes the
// connection and waits for the end of serveConn.
func exchange(t *testing.T, list *List, request string) (reader io.Reader, raw *bytes.Buffer, end func()) {
	t.Helper()
	client, server := net.Pipe()
	require.NoError(t, client.SetDeadline(time.Now().Add(20*time.Second)))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		defer server.Close()
		list.serveConn(ctx, server)
	}()
	_, err := io.WriteString(client, request)
	require.NoError(t, err)
	raw = &bytes.Buffer{}
	return io.TeeReader(client, raw), raw, func() {
		cancel()
		client.Close()
		<-served
	}
}

func TestServeConn_Watch(t *testing.T) {
	list := goldenList()
	reader, raw, end := exchange(t, list, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n")
	defer end()
	response, err := http.ReadResponse(bufio.NewReader(reader), nil)
	require.NoError(t, err)
	lines := bufio.NewReader(response.Body)
	line, err := lines.ReadBytes('\n')
	require.NoError(t, err)
	golden.Check(t, "whole.json", line)
	list.PublishDelta(goldenDelta())
	line, err = lines.ReadBytes('\n')
	require.NoError(t, err)
	golden.Check(t, "change.json", line)
	golden.Check(t, "watch.http", raw.Bytes())
}

func TestServeConn_Snapshot(t *testing.T) {
	reader, raw, end := exchange(t, goldenList(), "GET /registry/instances HTTP/1.1\r\nHost: a\r\n\r\n")
	defer end()
	_, err := io.ReadAll(reader)
	require.NoError(t, err)
	golden.Check(t, "list.http", raw.Bytes())
}

func TestServeConn_Rejected(t *testing.T) {
	const unchanged = "Content-Length: 0\r\nConnection: close\r\n\r\n"
	for _, test := range []struct {
		name, request, want string
		list                *List
	}{
		{"no snapshot yet", "GET /registry/instances", "503 Service Unavailable\r\nRetry-After: 1\r\n",
			New(DefaultConfig(), zap.NewNop())},
		{"other path", "GET /instances", "404 Not Found\r\n", goldenList()},
		{"other method", "POST /registry/instances", "405 Method Not Allowed\r\nAllow: GET\r\n", goldenList()},
		{"malformed revision", "GET /registry/instances?since=-1", "400 Bad Request\r\n", goldenList()},
	} {
		t.Run(test.name, func(t *testing.T) {
			reader, _, end := exchange(t, test.list, test.request+" HTTP/1.1\r\nHost: a\r\n\r\n")
			defer end()
			got, err := io.ReadAll(reader)
			require.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 "+test.want+unchanged, string(got))
		})
	}
}

func TestFirstUpdate_UpToDate(t *testing.T) {
	first := goldenList().firstUpdate(41)
	assert.Equal(t, "2e\r\n"+`{"revision":41,"complete":false,"members":[]}`+"\n\r\n", string(first.chunk))
	assert.EqualValues(t, 41, first.revision)
	assert.Equal(t, "1\r\n\n\r\n", string(heartbeat))
}
