package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/testutil"
)

func TestServer_ClientLeavesInFlight(t *testing.T) {
	for way, leave := range leaveFuncs {
		t.Run(way, func(t *testing.T) {
			server, core, address := startServer(t)
			c := dial(t, address)
			c.sendRequest()
			rpc := testutil.Receive(t, core.arrived)
			leave(c)
			assert.Same(t, rpc, testutil.Receive(t, core.gone))
			rpc.Orders <- send
			requireIdle(t, server)
			assert.Empty(t, core.startedRequests())
			assert.Empty(t, core.arrived, "the next request of a client that has left is not served")
		})
	}
}

// The client sends a request and closes its connection while the connection is still in the listener's queue.
func TestServer_ClientLeftInListenQueue(t *testing.T) {
	for way, leave := range leaveFuncs {
		t.Run(way, func(t *testing.T) {
			server, core, _ := startServer(t)
			listener := newListener(t)
			t.Cleanup(func() { listener.Close() })
			gone := dial(t, listener.Addr().String())
			gone.sendRequest()
			leave(gone)
			waiting := dial(t, listener.Addr().String())
			waiting.sendRequest()
			server.Serve(listener)
			testutil.Receive(t, core.arrived).Orders <- pushBack
			waiting.requireStatus(t, 503)
			requireConnCount(t, server, 1)
			assert.Empty(t, core.arrived)
		})
	}
}

// The client closes its connection while its request waits for capacity.
func TestServer_ClientLeftWhileWaiting(t *testing.T) {
	for way, leave := range leaveFuncs {
		t.Run(way, func(t *testing.T) {
			l := testLimits()
			l.MaxRequests, l.OverloadConnections, l.OverloadRetryAfter = 1, 0, 20*time.Second
			server, core, address := startServerWith(t, l)
			first := dial(t, address)
			first.sendRequest()
			rpc := testutil.Receive(t, core.arrived)
			gone := dial(t, address)
			gone.sendRequest()
			waiting := func() bool {
				server.mu.Lock()
				defer server.mu.Unlock()
				return server.admission.WaitingCount() == 1
			}
			require.Eventually(t, waiting, eventTimeout, pollInterval)
			leave(gone)
			require.Eventually(t, func() bool { return closedClientCount(server) == 1 }, eventTimeout, pollInterval)
			rpc.Orders <- pushBack
			first.requireStatus(t, 503)
			requireConnCount(t, server, 1)
			assert.Empty(t, core.arrived)
		})
	}
}

// closedClientCount returns the number of connections whose client is known to have closed its end of the connection.
func closedClientCount(s *Server) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.shared.clientClosed.Load() {
			count++
		}
	}
	return count
}

// The client sends a request, floods the connection with further bytes and closes the connection. The client's kernel
// sends the close only after the flood, so the node does not notice the close. The request in flight gets a response
// that nobody reads. No byte of the flood is read as a request.
func TestServer_FloodAfterRequest(t *testing.T) {
	server, core, address := startServer(t)
	c := dial(t, address)
	c.sendRequest()
	rpc := testutil.Receive(t, core.arrived)
	c.flood()
	c.Close()
	rpc.Orders <- served("well")
	requireIdle(t, server)
	assert.Empty(t, core.arrived)
	assert.Empty(t, core.startedRequests())
}
