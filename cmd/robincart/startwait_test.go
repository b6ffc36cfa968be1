package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/handover"
	"robincart/internal/lab/wire"
)

// answerGrace is how long after its time a request may still be answered.
const answerGrace = 500 * time.Millisecond

// startRequest is a request that a client sends to a node that starts.
type startRequest struct {
	timeLeft time.Duration
	body     string
}

// send sends the request over a connection.
func (s startRequest) send(t *testing.T, conn net.Conn) {
	t.Helper()
	verb, method := "GET", "find"
	if s.body != "" {
		verb, method = "POST", "book"
	}
	_, err := fmt.Fprintf(conn, "%s /%s HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\n"+
		"Idempotency-Key: k\r\nX-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", verb, method, nextTraceID(), method,
		s.timeLeft.Milliseconds(), len(s.body), s.body)
	require.NoError(t, err)
}

// receive returns the status of the answer, which has to come in the request's time and answerGrace.
func (s startRequest) receive(t *testing.T, conn net.Conn, sentAt time.Time) (status int) {
	t.Helper()
	conn.SetReadDeadline(sentAt.Add(s.timeLeft + answerGrace))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if !assert.NoError(t, err, "no answer in %v and %v", s.timeLeft, answerGrace) {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// dialOnceAccepted connects to a node that starts, as soon as the node's machine accepts a connection.
func dialOnceAccepted(t *testing.T, addr string) net.Conn {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			t.Cleanup(func() { conn.Close() })
			return conn
		}
	}
	require.FailNow(t, "no connection accepted in 20 s")
	return nil
}

// newSilentListener returns the address of a listener that accepts connections and sends nothing.
func newSilentListener(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// newStoreProgram returns the path of a store program that does not listen.
func newStoreProgram(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "robincart-record")
	require.NoError(t, os.WriteFile(path, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	return path
}

// A restarted node listened, and then waited for its store or a folder while requests timed out in its queue.
func TestStart_RequestsDoNotWaitForStoreOrFolder(t *testing.T) {
	program := buildStoreProgram(t)
	s := newServer(t, respond(200, "ok"))
	service := serviceTOML("first", s, 0.5, "  [[service.tenant]]\n  name = \"acme\"\n")
	record := func(store string) string { return fmt.Sprintf("[record]\nstore = %q\n", store) }
	for name, test := range map[string]struct{ program, text string }{
		"store that does not answer": {program, record("postgres://r:c@" + newSilentListener(t) + "/record?sslmode=disable")},
		"replica of the controller":  {program, record("controllers:" + newSilentListener(t))},
		"store program":              {newStoreProgram(t), record("sqlite:" + filepath.Join(t.TempDir(), "record.db"))},
		"operator state":             {program, fmt.Sprintf("[admin]\nlisten = %q\nkept = %q\n", freeAddress(t), t.TempDir())},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("ROBINCART_RECORD", test.program)
			started := make(chan *testNode, 1)
			node := newServicesNode(t, test.text+service)
			go func() {
				assert.NoError(t, node.Start(t.Context()))
				started <- node
			}()
			conn := dialOnceAccepted(t, node.addr)
			request, sentAt := startRequest{timeLeft: 300 * time.Millisecond}, time.Now()
			request.send(t, conn)
			assert.Contains(t, []int{200, 503}, request.receive(t, conn, sentAt))
			<-started
		})
	}
}

// The same wait of a node that the platform starts.
func TestStart_RequestsDoNotWaitForUnreadableState(t *testing.T) {
	s := newServer(t, respond(200, "ok"))
	d := newDiscovery(t, newMember("s0", s.addr(), "ready"))
	node := newTestNode(t, newConfig(t, d, d.members()...))
	require.NoError(t, os.Mkdir(handover.SocketPath(node.Dir, "n1 "+node.addr)+operatorStateSuffix, 0o700))
	node.Env = append(node.Env, "TMPDIR="+node.Dir)
	ended := make(chan error, 1)
	go func() { ended <- node.Start(t.Context()) }()
	conn := dialOnceAccepted(t, node.addr)
	request, sentAt := startRequest{timeLeft: 300 * time.Millisecond}, time.Now()
	request.send(t, conn)
	assert.Contains(t, []int{200, 503}, request.receive(t, conn, sentAt))
	require.NoError(t, <-ended)
}

// Where the platform holds the listener, requests wait in its queue during the start: they are pushed back meanwhile.
func TestStart_InheritedQueueIsPushedBackDuringSlowStart(t *testing.T) {
	for name, slowDown := range map[string]func(t *testing.T, path string){
		"unreadable state": func(t *testing.T, path string) {
			require.NoError(t, os.Mkdir(path+operatorStateSuffix, 0o700))
		},
		"predecessor that hangs": func(t *testing.T, path string) {
			listener, err := handover.Listen(path)
			require.NoError(t, err)
			t.Cleanup(func() { listener.Close() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, respond(200, "ok"))
			n, _ := newNodeFixture(t, s)
			n.config["admin_addr"] = freeAddress(t)
			slowDown(t, handover.SocketPath(n.dir, "n1 "+n.addr))
			n.launch()
			request := startRequest{timeLeft: 300 * time.Millisecond}
			for range 20 { // spread over the start
				conn, err := net.Dial("tcp", n.addr)
				require.NoError(t, err)
				sentAt := time.Now()
				request.send(t, conn)
				assert.Contains(t, []int{200, 503}, request.receive(t, conn, sentAt))
				conn.Close()
				time.Sleep(50 * time.Millisecond)
			}
			conn, err := net.Dial("tcp", n.addr)
			require.NoError(t, err)
			defer conn.Close()
			assert.Eventually(t, func() bool { // once it is ready, on a connection that was rejected before
				sentAt := time.Now()
				request.send(t, conn)
				return request.receive(t, conn, sentAt) == 200
			}, 20*time.Second, 100*time.Millisecond)
		})
	}
}

// A request's wait in the listener's queue counted as no time: servers were told more than the client had left.
func TestStart_TimeInListenerQueueCounts(t *testing.T) {
	const queued = 1200 * time.Millisecond
	const slack = 150 * time.Millisecond // of the time that a server is told
	s := newServer(t, respond(200, "ok"))
	n, _ := newNodeFixture(t, s)
	requests := map[string]startRequest{
		"short":   {timeLeft: 3 * time.Second},
		"long":    {timeLeft: 2500 * time.Millisecond, body: strings.Repeat("x", 40<<10)},
		"expired": {timeLeft: time.Second},
	}
	conns := map[string]net.Conn{}
	sentAt := time.Now()
	for name, request := range requests {
		conn, err := net.Dial("tcp", n.addr)
		require.NoError(t, err)
		defer conn.Close()
		request.send(t, conn)
		conns[name] = conn
	}
	time.Sleep(queued)
	n.start()
	assert.Equal(t, 200, requests["short"].receive(t, conns["short"], sentAt))
	assert.Equal(t, 200, requests["long"].receive(t, conns["long"], sentAt))
	conns["expired"].SetReadDeadline(time.Now().Add(answerGrace))
	response, err := http.ReadResponse(bufio.NewReader(conns["expired"]), nil)
	require.NoError(t, err)
	assert.Contains(t, []int{503, 504}, response.StatusCode)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Len(t, s.requests, 2, "the expired request is not forwarded")
	for _, forwarded := range s.requests {
		told, err := strconv.Atoi(forwarded.Header.Get(wire.HeaderTimeLeft))
		require.NoError(t, err)
		sent := 3000
		if len(forwarded.Body) > 0 {
			sent = 2500
		}
		assert.LessOrEqual(t, time.Duration(told)*time.Millisecond,
			time.Duration(sent)*time.Millisecond-queued+slack, "%d bytes", len(forwarded.Body))
	}
}
