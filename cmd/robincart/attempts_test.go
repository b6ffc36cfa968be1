package main

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/wire"
)

// unconnectableAddress returns an address to which no connection succeeds: the listener's queue is full, and no process
// accepts from it.
func unconnectableAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	require.NoError(t, err)
	file.Close()
	filler, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { filler.Close(); ln.Close() })
	return ln.Addr().String()
}

// An attempt is in flight while its connection is being established. During that time a non-idempotent request gets no
// second attempt. At the connect timeout no byte of the request has been sent, so the request is retried once, on
// another server.
func TestConnect_TimeoutLosesNoRequest(t *testing.T) {
	good := newServer(t, respond(200, "well"))
	d := newDiscovery(t, newMember("s0", unconnectableAddress(t), "ready"), newMember("s1", good.addr(), "ready"))
	c := newConfig(t, d, d.members()...)
	settings := strings.Replace(testSettings, `"ConnectTimeoutMs":2500`, `"ConnectTimeoutMs":300`, 1)
	c["settings"] = json.RawMessage(settings)
	p := startTestNode(t, c)
	sent, timedOut := 0, false
	for sent < 200 && !timedOut {
		r := p.send("charge", "x")
		sent++
		if !assert.NoError(t, r.err) || !assert.Equal(t, 200, r.status) {
			return
		}
		timedOut = r.duration >= 300*time.Millisecond
	}
	assert.True(t, timedOut, "no attempt went to the unconnectable server: the test has checked nothing")
	assert.Equal(t, sent, good.count(), "each request was sent once")
}

// The first server fails some time after the request arrived: the retry carries the client's remaining time.
func TestRetry_CarriesRemainingDeadline(t *testing.T) {
	const pause = 300 * time.Millisecond
	var mu sync.Mutex
	attempts, remaining := map[string]int{}, map[string][]int{}
	h := func(c net.Conn, q *wire.Request) bool {
		left, _ := strconv.Atoi(q.Header.Get("X-Expires-In-Ms"))
		id := q.Header.Get("X-Trace-Id")
		mu.Lock()
		attempts[id]++
		remaining[id] = append(remaining[id], left)
		first := attempts[id] == 1
		mu.Unlock()
		if first {
			return delayed(pause, respond(500, ""))(c, q)
		}
		return respond(200, "well")(c, q)
	}
	p, _ := startWithServers(t, newServer(t, h), newServer(t, h))
	for _, class := range []string{"find", "book"} {
		id := "further-" + class
		p.sendWith(class, map[string]string{"book": "x"}[class], map[string]string{"X-Trace-Id": id})
		mu.Lock()
		all := remaining[id]
		mu.Unlock()
		require.GreaterOrEqual(t, len(all), 2, "%s: no retry: the test has checked nothing", class)
		assert.LessOrEqual(t, all[0], 3000)
		for _, left := range all[1:] {
			assert.LessOrEqual(t, left, int((3*time.Second - pause).Milliseconds()), class)
			assert.Positive(t, left)
		}
	}
}

func TestRetry_BrokenConnectionOnlyWhereIdempotent(t *testing.T) {
	broken := newServer(t, resetConnection)
	p, _ := startWithServers(t, broken)
	r := p.send("charge", "x")
	assert.Contains(t, []int{500, 504}, r.status)
	assert.Equal(t, 1, broken.count())

	good := newServer(t, respond(200, "well"))
	p, _ = startWithServers(t, newServer(t, resetConnection), good)
	for range 10 {
		r = p.send("find", "")
		assert.Equal(t, 200, r.status)
		assert.Equal(t, "well", r.body)
	}
}

// A server that reads a few bytes and resets the connection has not received the last byte of a large request, but may
// have received the last byte of a small request.
func TestRetry_ResetBeforeLastByteNeverRan(t *testing.T) {
	smallBuffers := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 600)
		})
	}}
	ln, err := smallBuffers.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	d := newDiscovery(t, newMember("s0", ln.Addr().String(), "ready"))
	p := startTestNode(t, newConfig(t, d, d.members()...))
	assert.Equal(t, 503, p.send("charge", strings.Repeat("x", 65536)).status, "it never ran, so a retry is safe")
	assert.Equal(t, 504, p.send("charge", "x").status, "it may have run")
}
