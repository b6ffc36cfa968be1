package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
	"robincart/internal/testutil"
)

// drain drains a server, and aborts the requests in flight after a timeout.
func drain(s *Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.Drain(ctx)
}

// A client connects right before idle connections are closed, and its first request is on its way. The connection must
// not be closed before the request arrives.
func TestServer_DrainServesNewConnections(t *testing.T) {
	for name, startDraining := range map[string]func(*Server){
		"lame duck": func(s *Server) {
			s.SetLameDuck(true)
			s.drainLameDuck(s.lameDuckCount)
		},
		"shutdown": func(s *Server) { go s.Drain(t.Context()) },
	} {
		t.Run(name, func(t *testing.T) {
			l := testLimits()
			l.EvictableAfter, l.ShutdownAcceptTime = 20*time.Second, time.Hour
			server, core, address := startServerWith(t, l)
			c := dial(t, address)
			requireConnCount(t, server, 1)
			startDraining(server)
			draining := func() bool {
				server.mu.Lock()
				defer server.mu.Unlock()
				return server.draining || server.lameDuckDraining
			}
			require.Eventually(t, draining, eventTimeout, pollInterval)
			c.sendRequest()
			testutil.Receive(t, core.arrived).Orders <- served("well")
			c.requireStatus(t, 200)
			c.requireEnd(t)
		})
	}
}

// The server has already chosen to close a connection when a request arrives on that connection. The event of the
// request is not handled yet.
func TestServer_RequestRacesWithClose(t *testing.T) {
	server, core, _ := startServer(t)
	listener := newListener(t)
	defer listener.Close()
	c := dial(t, listener.Addr().String())
	raw, err := listener.Accept()
	require.NoError(t, err)
	require.True(t, server.budget.AcquireForClient())
	closing := server.newConn(raw)
	require.NotNil(t, closing)
	c.sendRequest()
	readable := func() bool { return socket.StateOf(raw) == socket.StateReadable }
	require.Eventually(t, readable, eventTimeout, pollInterval)
	server.running.Add(1)
	server.mu.Lock()
	server.conns[closing] = struct{}{}
	server.suspend(closing, stateIdle, time.Hour)
	server.mu.Unlock()
	server.closeConns([]*conn{closing}, telemetry.Draining)
	testutil.Receive(t, core.arrived).Orders <- abort
	r := c.receive(t)
	assert.Equal(t, 504, r.StatusCode)
	assert.True(t, r.Close)
}

// When the listener is told to close, the first client's connection is the only one that may be served. The accept loop
// holds the second client's connection, and the connections of the other clients are in the listener's queue.
func TestCloseListeners_ServesQueue(t *testing.T) {
	l := testLimits()
	l.MaxClientConnections, l.EvictableAfter = 1, 20*time.Second
	server, core, address := startServerWith(t, l)
	var clients []*client
	for i := range 5 {
		c := dial(t, address)
		c.sendRequest()
		clients = append(clients, c)
		if i == 0 {
			require.Eventually(t, func() bool { return len(core.arrived) == 1 }, eventTimeout, pollInterval)
		}
	}
	server.BeginShutdown()
	server.CloseListeners()
	ended := make(chan error, 1)
	go func() { ended <- server.Drain(t.Context()) }()
	for _, c := range clients {
		testutil.Receive(t, core.arrived).Orders <- served("well")
		r := c.receive(t)
		assert.Equal(t, 200, r.StatusCode)
		assert.True(t, r.Close)
		c.Close()
	}
	assert.NoError(t, testutil.Receive(t, ended))
	_, err := net.Dial("tcp", address)
	assert.Error(t, err, "the listener is closed at the end")
}

func TestServer_LastResponseWithUnreadInput(t *testing.T) {
	server, core, address := startServer(t)
	server.BeginShutdown()
	c := dial(t, address)
	io.WriteString(c, findRequest("first")+findRequest("second"+strings.Repeat("x", 2000)))
	testutil.Receive(t, core.arrived).Orders <- served("well")
	r := c.receive(t)
	assert.Equal(t, 200, r.StatusCode)
	assert.True(t, r.Close)
	c.requireEnd(t) // a reset could overtake the response
	c.Close()
	requireConnCount(t, server, 0)
	assert.Empty(t, core.arrived)
}

// All connections that may be open are in use, and a new connection waits for capacity. The new connection must not
// delay the end of the process.
func TestDrain_AtConnectionLimit(t *testing.T) {
	server, core, address := startServer(t)
	a, b, partial := dial(t, address), dial(t, address), dial(t, address)
	partial.sendRequest()
	testutil.Receive(t, core.arrived).Orders <- served("")
	partial.receive(t) // a connection without a request would be evicted
	a.sendRequest()
	testutil.Receive(t, core.arrived)
	b.sendRequest()
	testutil.Receive(t, core.arrived)
	io.WriteString(partial, "GET /fi")
	// The waiting connection is dialed last, since a connection that waits for capacity evicts connections without a
	// request.
	waiting := dial(t, address)
	waiting.sendRequest()
	server.BeginShutdown()
	assert.Error(t, drain(server, 20*time.Millisecond))
	for _, c := range []*client{a, b, waiting} {
		c.requireStatus(t, 503) // no attempt was sent, so a retry is harmless
	}
}

func TestDrain_AbortsInFlight(t *testing.T) {
	for name, test := range map[string]struct {
		idempotency decide.Idempotency
		orders      []node.Order
		status      int
	}{
		"sent, non-idempotent":   {decide.NonIdempotent, []node.Order{send}, 504}, // a server may have processed it
		"sent, deduplicated":     {decide.Deduplicated, []node.Order{send}, 504},
		"sent, idempotent":       {decide.Idempotent, []node.Order{send}, 503},
		"unsent, non-idempotent": {decide.NonIdempotent, nil, 503},
	} {
		t.Run(name, func(t *testing.T) {
			server, core, address := startServer(t, test.orders...)
			server.SetTable(&Table{Only: newTestService(core, test.idempotency)})
			c := dial(t, address)
			const headers = "X-Qos: find\r\nX-Trace-Id: t\r\nX-Expires-In-Ms: 1000\r\nIdempotency-Key: k\r\n"
			fmt.Fprintf(c, "%s /find HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n", verbOf(test.idempotency), headers)
			rpc := testutil.Receive(t, core.arrived)
			started := func() bool { return len(core.startedRequests()) == len(test.orders) }
			require.Eventually(t, started, eventTimeout, pollInterval)
			server.BeginShutdown()
			assert.Error(t, drain(server, 50*time.Millisecond))
			r := c.receive(t)
			assert.Equal(t, test.status, r.StatusCode)
			assert.Equal(t, test.status == 503, r.Header.Get("Retry-After") != "")
			assert.True(t, r.Close)
			assert.Same(t, rpc, testutil.Receive(t, core.gone))
		})
	}
}

// startAborting starts a server. When the first RPC arrives, the server aborts the requests in flight.
// ShutdownWriteTime is long enough for the server to write its responses.
func startAborting(t *testing.T, orders ...node.Order) (*Server, *fakeCore, string) {
	l := testLimits()
	l.ShutdownWriteTime = 20 * time.Second
	server, core, address := startServerWith(t, l, orders...)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	core.onArrived = func() {
		go server.Drain(ended)
		<-server.abort
	}
	return server, core, address
}

// A select chooses at random among the cases that are ready, so a single run could pass by chance.
func TestDrain_AbortPrefersResponseToAttempt(t *testing.T) {
	for range 20 {
		server, core, address := startAborting(t, send, served("well"))
		c := dial(t, address)
		c.sendRequest()
		c.requireStatus(t, 200)
		c.Close()
		requireConnCount(t, server, 0)
		assert.Empty(t, core.startedRequests())
		assert.Equal(t, []decide.Result{decide.NotSent}, core.attemptResults(), "the attempt count is released")
	}
}

func TestDrain_AbortOfUnsentRequest(t *testing.T) {
	server, core, address := startAborting(t, send)
	c := dial(t, address)
	io.WriteString(c, findRequest("read before")+findRequest("read after"))
	r := c.receive(t)
	assert.Equal(t, 503, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
	testutil.Receive(t, core.arrived)
	c.Close()
	requireConnCount(t, server, 0)
	assert.Empty(t, core.arrived, "a request that is read after the abort is not started")
	assert.Empty(t, core.startedRequests())
}

// On a busy machine the last responses may take longer than ShutdownWriteTime. A connection with a pending response
// must stay open even after ShutdownWriteTime.
func TestDrain_LateResponse(t *testing.T) {
	l := testLimits()
	l.ShutdownWriteTime = time.Millisecond
	server, core, address := startServerWith(t, l)
	core.onClientGone = func(*node.RPC) { time.Sleep(100 * time.Millisecond) } // delays the response
	idle, c := dial(t, address), dial(t, address)
	idle.sendRequest()
	testutil.Receive(t, core.arrived).Orders <- pushBack
	idle.receive(t)
	c.sendRequest()
	testutil.Receive(t, core.arrived)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Error(t, server.Drain(ended))
	c.requireStatus(t, 503) // no attempt was sent for the request
}
