package frontend

import (
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/testutil"
)

// costlyHead returns a request whose many unusual fields take long to parse.
func costlyHead() string {
	var fields strings.Builder
	for range 700 {
		fields.WriteString("_:\r\n")
	}
	return fmt.Sprintf("GET /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: %s\r\nX-Expires-In-Ms: 1000\r\n%s\r\n",
		newRequestID(), &fields)
}

// Guards against timers and answers that come late because hundreds of connections parse requests before them: another
// goroutine runs between any two of them.
func TestServer_OthersRunBetweenCostlyRequests(t *testing.T) {
	const clients = 64
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	l := testLimits()
	l.MaxRequests, l.MaxClientConnections = clients, clients
	l.EvictableAfter = eventTimeout
	core := newFakeCore(abort)
	var runs, first, last atomic.Int64 // of another goroutine: in all, at the first and at the last request
	core.onArrived = func() {
		first.CompareAndSwap(0, runs.Load())
		last.Store(runs.Load())
	}
	server, address := startServerOf(t, core, l, clients+testDescriptors)
	var connections []*client
	for range clients {
		connections = append(connections, dial(t, address))
	}
	requireConnCount(t, server, clients)
	for _, c := range connections {
		_, err := c.Write([]byte(costlyHead()))
		require.NoError(t, err)
	}
	for len(core.arrived) < clients {
		runs.Add(1)
		runtime.Gosched()
	}
	assert.GreaterOrEqual(t, last.Load()-first.Load(), int64(clients/2))
	for _, c := range connections {
		testutil.Receive(t, core.arrived)
		c.requireStatus(t, 504)
	}
}

// Guards against a client that keeps others from being read by stopping in the middle of its request.
func TestServer_StoppedClientKeepsNoReadTurn(t *testing.T) {
	head := fmt.Sprintf("POST /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: %s\r\nContent-Length: 9\r\n", newRequestID())
	for name, part := range map[string]string{
		"in the head":            head,
		"in the body":            head + "\r\nxxx",
		"before it may continue": head + "Expect: 100-continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, address := startServer(t, abort)
			stopped := dial(t, address)
			_, err := stopped.Write([]byte(part))
			require.NoError(t, err)
			for range 3 {
				other := dial(t, address)
				other.sendRequest()
				other.requireStatus(t, 504)
				other.Close()
			}
			stopped.Close()
		})
	}
}
