package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
)

const (
	eventTimeout = 20 * time.Second // for events that are immediate on a machine that is not busy
	pollInterval = time.Millisecond
	drainTimeout = 200 * time.Millisecond

	testDescriptors = 9
	coreTime        = time.Minute // constant time of the cores' clock
)

// fakeCore sends the same commands for each RPC, and records the calls of its methods. fakeCore is also the
// AttemptStarter.
type fakeCore struct {
	arrived chan *node.RPC
	gone    chan *node.RPC

	onArrived    func()
	onClientGone func(*node.RPC)

	mu      sync.Mutex
	orders  []node.Order
	results []decide.Result
	started []string // IDs of the requests whose attempts were started
}

func newFakeCore(orders ...node.Order) *fakeCore {
	const many = 99
	return &fakeCore{orders: orders, arrived: make(chan *node.RPC, many), gone: make(chan *node.RPC, many)}
}

func (f *fakeCore) Arrived(arrival node.Arrival) *node.RPC {
	rpc := &node.RPC{Orders: make(chan node.Order, 9), Deadline: arrival.Deadline}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, order := range f.orders {
		rpc.Orders <- order
	}
	f.arrived <- rpc
	if f.onArrived != nil {
		f.onArrived()
	}
	return rpc
}

func (f *fakeCore) ClientGone(rpc *node.RPC) {
	if f.onClientGone != nil {
		f.onClientGone(rpc)
	}
	f.gone <- rpc
}

func (f *fakeCore) AttemptDone(_ *node.Attempt, result decide.Result, _ *node.Response) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
	return true
}

func (f *fakeCore) Start(_ *node.Attempt, request *httpwire.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, request.TraceID)
}

func (f *fakeCore) startedRequests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.started...)
}

func (f *fakeCore) attemptResults() []decide.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]decide.Result(nil), f.results...)
}

func served(body string) node.Order {
	return node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte(body)}}
}

var (
	abort    = node.Order{Kind: node.OrderAbort}
	pushBack = node.Order{Kind: node.OrderPushBack}
	send     = node.Order{Kind: node.OrderSend}
)

func testLimits() limits.Limits {
	return limits.Limits{
		MaxRequests:          2,
		OverloadConnections:  1,
		MaxClientConnections: 3,
		Wire: httpwire.Sizes{
			BufferSize:   256,
			ReadSize:     64,
			MaxHead:      4096,
			MaxBody:      4096,
			MaxChunkLine: 64,
		},
		ClientIdleTimeout:  5 * time.Second,
		EvictableAfter:     20 * time.Millisecond,
		FinalReadWindow:    5 * time.Millisecond,
		ClientReadTimeout:  20 * time.Second,
		OverloadRetryAfter: 500 * time.Millisecond,
		ClientWriteTimeout: time.Second,
		LingerTimeout:      500 * time.Millisecond,
		MaxLingerBytes:     1 << 23,
		LongIdle:           time.Second,
		MaxTimeLeft:        time.Hour,
		RequestIDTTL:       time.Minute,
		MaxRequestIDs:      99,
		ShutdownWriteTime:  50 * time.Millisecond,
	}
}

// newTestService returns a service whose method "find" has the given idempotency.
func newTestService(core *fakeCore, idempotency decide.Idempotency) *Service {
	instance := &settings.Instance{MethodNames: []string{"find"}}
	instance.Methods = []decide.Method{{Idempotency: idempotency}}
	return NewService("only", instance, core, core, nil)
}

func newTestServer(t testing.TB, l limits.Limits, budget *limits.Budget) *Server {
	p, err := poller.New()
	require.NoError(t, err)
	return New(l, budget, func() time.Duration { return coreTime }, zap.NewNop(), p)
}

func newListener(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// startServer starts a server that serves until the test ends, and returns its address. At the end of the test no
// goroutine, descriptor or active request may be left.
func startServer(t *testing.T, orders ...node.Order) (*Server, *fakeCore, string) {
	return startServerWith(t, testLimits(), orders...)
}

func startServerWith(t *testing.T, l limits.Limits, orders ...node.Order) (*Server, *fakeCore, string) {
	leaks := goleak.IgnoreCurrent()
	core := newFakeCore(orders...)
	server := newTestServer(t, l, limits.NewBudget(testDescriptors, 0, nil))
	server.SetTable(&Table{Only: newTestService(core, decide.Idempotent)})
	listener := newListener(t)
	server.Serve(listener)
	t.Cleanup(func() {
		listener.Close()
		if !server.aborting() { // otherwise the test has drained the server
			ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
			defer cancel()
			server.Drain(ctx)
		}
		server.poller.Close()
		goleak.VerifyNone(t, leaks)
		assert.Equal(t, testDescriptors, server.budget.Available(), "the descriptor of each connection is released")
		assert.Zero(t, server.activeRequests.Load())
		assert.Zero(t, server.streamedRequests.Load())
	})
	return server, core, listener.Addr().String()
}

func connCount(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func requireConnCount(t *testing.T, s *Server, count int) {
	t.Helper()
	require.Eventually(t, func() bool { return connCount(s) == count }, eventTimeout, pollInterval)
}

// requireIdle waits until no connection is left and no request is active.
func requireIdle(t *testing.T, s *Server) {
	t.Helper()
	idle := func() bool { return connCount(s) == 0 && s.activeRequests.Load() == 0 }
	require.Eventually(t, idle, eventTimeout, pollInterval)
}

// client is the client's end of a connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, address string) *client {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetReadDeadline(time.Now().Add(eventTimeout))
	return &client{conn, bufio.NewReader(conn)}
}

var lastRequestID atomic.Int64

func newRequestID() string { return fmt.Sprint("t", lastRequestID.Add(1)) }

// findRequest returns a request for the method "find".
func findRequest(id string) string {
	return "GET /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: " + id + "\r\nX-Expires-In-Ms: 1000\r\n\r\n"
}

// sendRequest sends a request with a new ID.
func (c *client) sendRequest() { c.sendRequestWithID(newRequestID()) }

func (c *client) sendRequestWithID(id string) { io.WriteString(c, findRequest(id)) }

func (c *client) receive(t *testing.T) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	response.Body = io.NopCloser(strings.NewReader(string(body)))
	return response
}

func (c *client) requireStatus(t *testing.T, status int) {
	t.Helper()
	require.Equal(t, status, c.receive(t).StatusCode)
}

// requireEnd checks that the server closes the connection without a reset.
func (c *client) requireEnd(t *testing.T) {
	t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// halfClose closes the sending side of the connection.
func (c *client) halfClose() { c.Conn.(*net.TCPConn).CloseWrite() }

// reset closes the connection with a reset.
func (c *client) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// flood sends bytes for 50 ms. While the node does not read, these bytes fill the kernel's buffers.
func (c *client) flood() {
	c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for buffer := make([]byte, 1<<16); ; {
		if _, err := c.Write(buffer); err != nil {
			return
		}
	}
}

// leaveFuncs are the ways in which a client closes its connection, by name.
var leaveFuncs = map[string]func(*client){
	"closed":      func(c *client) { c.Close() },
	"half-closed": func(c *client) { c.halfClose() },
	"reset":       func(c *client) { c.reset() },
	"sent another request": func(c *client) {
		io.WriteString(c, findRequest("another"))
		c.Close()
	},
	"sent garbage": func(c *client) {
		io.WriteString(c, strings.Repeat("x", 8<<10))
		c.Close()
	},
	"flooded": func(c *client) {
		c.flood()
		c.reset()
	},
}
