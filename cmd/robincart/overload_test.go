package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOverload_EveryClientIsAnswered(t *testing.T) {
	slow := newServer(t, delayed(300*time.Millisecond, respond(200, "well")))
	d := newDiscovery(t, newMember("s0", slow.addr(), "ready"))
	config := newConfig(t, d, d.members()...)
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 48}
	p := startTestNode(t, config)
	for range 60 { // idle connections, which the node closes when it needs descriptors
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		defer c.Close()
	}
	counts := map[int]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for range 60 {
		all.Go(func() {
			r := p.send("charge", "x")
			mu.Lock()
			defer mu.Unlock()
			assert.NoError(t, r.err)
			assert.Less(t, r.duration, 2500*time.Millisecond)
			counts[r.status]++
		})
	}
	all.Wait()
	assert.Equal(t, 60, counts[200]+counts[503], "%v", counts)
	assert.Greater(t, counts[200], 10, "%v", counts)
	assert.Equal(t, counts[200], slow.count(), "rejected requests were never sent")
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(files), 48)
	assert.Equal(t, 200, p.send("charge", "x").status, "the node serves again after the overload")
}

// The node must close connections without a complete request, so that it can accept later clients, which wait in the
// listener's queue.
func TestOverload_ClientServedAfterIdleFlood(t *testing.T) {
	s := newServer(t, respond(200, "well"))
	d := newDiscovery(t, newMember("s0", s.addr(), "ready"))
	config := newConfig(t, d, d.members()...)
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 64}
	p := startTestNode(t, config)
	for i := range 200 {
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		defer c.Close()
		io.WriteString(c, []string{"", "GET /find HTT", "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"}[i%3])
	}
	r := p.send("charge", "x")
	assert.Equal(t, 200, r.status)
	assert.Less(t, r.duration, 1500*time.Millisecond)
}

// A client that sends nothing, half a request or a huge body must get an answer, or its connection must be closed,
// within 3 s after the connect. Other clients must be served during this time.
func TestOverload_HostileClientsAreClosedInTime(t *testing.T) {
	t.Parallel()
	p, _ := startWithServers(t, newServer(t, respond(200, "well")))
	began := time.Now()
	checkClosed := func(c net.Conn, want string) {
		c.SetReadDeadline(began.Add(3 * time.Second))
		text, err := io.ReadAll(c)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Contains(t, string(text), want)
		c.Close()
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		return c
	}
	var all sync.WaitGroup
	silent, late := dial(), dial()
	all.Go(func() { checkClosed(silent, "") })
	all.Go(func() {
		time.Sleep(1500 * time.Millisecond)
		io.WriteString(late, "GET /find HTT")
		checkClosed(late, " 408 ")
	})
	huge, sent := dial(), 0
	io.WriteString(huge, requestHead("POST /charge", "charge", "Content-Length: 62914560"))
	huge.SetWriteDeadline(began.Add(3 * time.Second))
	for block := make([]byte, 1<<20); sent < 60; sent++ {
		if _, err := huge.Write(block); err != nil {
			assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			break
		}
	}
	assert.Less(t, sent, 30, "reading the whole body would take the CPU core from other clients")
	huge.Close()
	assert.Equal(t, 200, p.send("charge", "x").status)
	all.Wait()
}
