package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/testutil"
)

// The server writes each response twice, the second time after the next request on the connection has arrived. So no
// check of the connection before its reuse can detect the surplus response. Only the settle time protects against
// surplus responses.
func TestPool_ConnectionSettlesAfterResponse(t *testing.T) {
	server := startServer(t, func(s *testServer, number int, c *net.TCPConn) {
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
		for s.read(c) {
			io.WriteString(c, response)
			if !s.read(c) {
				break
			}
			io.WriteString(c, response)
		}
		c.Close()
	})
	f := newFixture(t, server.address, 5)
	f.limits.ResponseSettleTime = time.Hour
	for number := range 3 {
		assert.Equal(t, decide.OK, f.attempt())
		assert.Equal(t, fmt.Sprint(number), string(f.core.response.Body))
	}
	f.limits.ResponseSettleTime = 0 // the connection may be reused at once
	before := server.connCount()
	f.attempt()
	assert.Equal(t, before, server.connCount())
}

func TestPool_ReusesLatestConnection(t *testing.T) {
	server := startServer(t, respond(okResponse))
	f := newFixture(t, server.address, 9)
	var attempts sync.WaitGroup
	for range 3 {
		attempts.Go(func() { f.Exchange(&node.Attempt{Server: f.server}, f.request) })
	}
	attempts.Wait()
	before := server.connCount()
	latest := f.latestIdle()
	for range 10 {
		assert.Equal(t, decide.OK, f.attempt())
		assert.Same(t, latest, f.latestIdle())
	}
	assert.Equal(t, before, server.connCount())
}

// An idle connection that the server has closed or sent bytes on is not reused.
func TestPool_StaleConnectionIsNotReused(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"end":   closeGracefully,
		"reset": closeWithReset,
		"data":  func(c *net.TCPConn) { io.WriteString(c, "HTTP/1.1 408 Slow\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			idle := make(chan struct{}) // closed when the first connection is idle
			server := startServer(t, func(s *testServer, number int, c *net.TCPConn) {
				s.read(c)
				io.WriteString(c, okResponse)
				if number == 0 {
					<-idle
					end(c)
				}
			})
			f := newFixture(t, server.address, 5)
			assert.Equal(t, decide.OK, f.attempt())
			first := f.latestIdle()
			require.NotNil(t, first)
			close(idle)
			eventually(t, func() bool { return f.latestIdle() == nil || first.stale() })
			assert.Equal(t, decide.OK, f.attempt())
			assert.Equal(t, 2, server.connCount())
			assert.Equal(t, 2, server.requestCount())
		})
	}
}

// A connection is not reused after a response that announces the end of the connection, even if the server leaves the
// connection open.
func TestPool_ClosingConnectionIsNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, respond(response))
			f := newFixture(t, server.address, 5)
			assert.Equal(t, decide.OK, f.attempt())
			assert.Equal(t, decide.OK, f.attempt())
			assert.Equal(t, 2, server.connCount())
		})
	}
}

func TestPool_IdleTimeout(t *testing.T) {
	closed := make(chan time.Time, 1)
	server := startServer(t, func(s *testServer, _ int, c *net.TCPConn) {
		s.read(c)
		io.WriteString(c, okResponse)
		s.read(c)
		closed <- time.Now()
	})
	f := newFixture(t, server.address, 5)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	assert.Equal(t, decide.OK, f.attempt())
	start := time.Now()
	closedAt := testutil.Receive(t, closed)
	assert.InDelta(t, testLimits().ServerIdleTimeout.Seconds(), closedAt.Sub(start).Seconds(), 0.2)
}

// If a server becomes unavailable, its idle connections are closed. Its other connections are closed as soon as they
// are not in use.
func TestPool_ServerUnavailable(t *testing.T) {
	closed := make(chan bool, 9)
	server := startServer(t, func(s *testServer, _ int, c *net.TCPConn) {
		s.read(c)
		io.WriteString(c, okResponse)
		closed <- !s.read(c)
	})
	f := newFixture(t, server.address, 5)
	assert.Equal(t, decide.OK, f.attempt())
	f.Exchange(&node.Attempt{Server: f.server, FreshConnection: true}, f.request) // closes the idle connection
	assert.True(t, testutil.Receive(t, closed))
	f.core.unavailable([]*node.Server{f.server})
	assert.True(t, testutil.Receive(t, closed))

	f.attempt()
	inUse := f.getIdle(f.server, server.address) // in use when the server becomes unavailable
	f.core.setGone(true)
	f.putIdle(f.server, inUse)
	assert.True(t, testutil.Receive(t, closed))
	assert.Zero(t, f.idleServers())
}

func TestPool_ServerClosesIdleConnection(t *testing.T) {
	idle := make(chan struct{})
	server := startServer(t, func(s *testServer, _ int, c *net.TCPConn) {
		s.read(c)
		io.WriteString(c, okResponse)
		<-idle
		c.Close()
	})
	f := newFixture(t, server.address, 1)
	assert.Equal(t, decide.OK, f.attempt())
	close(idle)
	// The descriptor is released without a call to the pool. Acquire can't be used for the check, since it would evict
	// the idle connection.
	eventually(t, func() bool { return f.budget.Available() == 1 })
	assert.Zero(t, f.idleServers())
}

func TestPool_EvictsIdleConnections(t *testing.T) {
	first, second := startServer(t, respond(okResponse)), startServer(t, respond(okResponse))
	f := newFixture(t, first.address, 1)
	assert.Equal(t, decide.OK, f.attempt())
	f.server = &node.Server{}
	f.core.setAddress(second.address)
	assert.Equal(t, decide.OK, f.attempt(), "the idle connection to the first server was closed")
	assert.Equal(t, 1, f.idleServers())

	// If there is no idle connection to evict, the request is not sent. That does not count against the server.
	assert.True(t, f.EvictIdle())
	require.True(t, f.budget.Acquire())
	assert.Equal(t, decide.NotSent, f.attempt())
}

// A close with unread bytes resets the connection. Small writes that the kernel still delays would then be lost.
func TestPool_ConnectionsSendSmallWritesAtOnce(t *testing.T) {
	f := newFixture(t, startServer(t, respond(okResponse)).address, 5)
	require.Equal(t, decide.OK, f.attempt())
	noDelay := 0
	err := f.latestIdle().raw.Control(func(descriptor uintptr) {
		noDelay, _ = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	require.NoError(t, err)
	assert.Equal(t, 1, noDelay)
}
