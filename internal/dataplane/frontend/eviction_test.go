package frontend

import (
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/testutil"
)

func TestServer_EvictsIdleConnections(t *testing.T) {
	_, core, address := startServer(t)
	busy := dial(t, address)
	busy.sendRequest()
	rpc := testutil.Receive(t, core.arrived)
	var idle []*client
	for range 6 {
		idle = append(idle, dial(t, address))
	}
	idle[0].requireEnd(t) // the oldest connection is closed, without a reset
	last := idle[5]
	last.sendRequest()
	testutil.Receive(t, core.arrived).Orders <- abort
	last.requireStatus(t, 504)
	rpc.Orders <- abort
	busy.requireStatus(t, 504) // a connection in use is not evicted
}

// limitedListener is a listener of a process with a limited number of descriptors.
type limitedListener struct {
	net.Listener
	available func() int
}

func (l *limitedListener) Accept() (net.Conn, error) {
	if l.available() <= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// The descriptors of the process are exhausted, for any reason. The server must then evict an idle connection to accept
// a new connection, and must not evict a connection in use.
func TestServer_EvictsWhenDescriptorsExhausted(t *testing.T) {
	l := testLimits()
	l.ClientIdleTimeout = time.Hour // so that idle connections are closed by evictions only
	server, core, _ := startServerWith(t, l)
	listener := newListener(t)
	defer listener.Close()
	server.Serve(&limitedListener{listener, func() int { return 2 - connCount(server) }})
	address := listener.Addr().String()
	busy := dial(t, address)
	busy.sendRequest()
	rpc := testutil.Receive(t, core.arrived)
	idle := dial(t, address)
	idle.sendRequest()
	testutil.Receive(t, core.arrived).Orders <- abort
	idle.requireStatus(t, 504)

	third := dial(t, address)
	third.sendRequest()
	testutil.Receive(t, core.arrived).Orders <- abort
	third.requireStatus(t, 504)
	idle.requireEnd(t)
	rpc.Orders <- abort
	busy.requireStatus(t, 504)
}

// Clients that send slowly may hold only a part of the capacity. If that part is in use and another request arrives in
// pieces, one of the slow clients is evicted. Requests that arrive complete never wait for that part of the capacity.
func TestServer_EvictsSlowClients(t *testing.T) {
	const maxSlow = 2
	l := testLimits()
	l.MaxRequests, l.OverloadConnections, l.MaxClientConnections = 2*maxSlow, 4, 8
	server, core, address := startServerWith(t, l, abort)
	var slow []*client
	for i := range maxSlow {
		c := dial(t, address)
		io.WriteString(c, "POST /find HTTP/1.1\r\nContent-Length: 60\r\n\r\nx")
		slow = append(slow, c)
		// Wait until the connection counts as slow, so that the admission controller, too, counts the first connection
		// as the older one.
		counted := func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			return server.admission.SlowCount() == i+1
		}
		require.Eventually(t, counted, eventTimeout, pollInterval)
	}
	time.Sleep(2 * l.EvictableAfter)
	c := dial(t, address)
	request := findRequest("slow")
	half := len(request) / 2
	io.WriteString(c, request[:half])
	r := slow[0].receive(t)
	assert.Equal(t, 503, r.StatusCode)
	assert.Equal(t, "0.500", r.Header.Get("Retry-After"))
	io.WriteString(c, request[half:])
	testutil.Receive(t, core.arrived)
	c.requireStatus(t, 504)
	for range 9 {
		c.sendRequest()
		testutil.Receive(t, core.arrived)
		c.requireStatus(t, 504)
	}
}

// memoryInUse returns the sizes of the live heap and of the goroutines' stacks, in bytes.
func memoryInUse() (heap, stacks int64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}

// idleMemoryLimits returns limits under which thousands of clients can send a request at once without any request being
// rejected for lack of capacity, since such a rejection would close the connection. The maximum wait for capacity is
// long enough even if the machine stalls. At most MaxRequests connections are served at once, since a request beyond
// MaxRequests would be rejected.
func idleMemoryLimits() limits.Limits {
	l := testLimits()
	l.OverloadRetryAfter = time.Minute
	l.OverloadConnections = 0
	l.MaxRequests = 64
	l.MaxClientConnections = 4000
	l.ClientIdleTimeout = time.Minute
	l.Wire = httpwire.Sizes{BufferSize: 2048, ReadSize: 512, MaxHead: 16384, MaxBody: 65536, MaxChunkLine: 256}
	return l
}

// idleConnCount returns the number of idle connections that have no reader.
func idleConnCount(s *Server) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state.load() == stateIdle && c.serving.reader == nil {
			count++
		}
	}
	return count
}

// dialAndExchange opens connections and exchanges one request and response over each.
func dialAndExchange(t *testing.T, address string, conns []net.Conn) {
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		conns[i] = conn
		(&client{Conn: conn}).sendRequest()
	}
	response := make([]byte, 4096)
	for _, conn := range conns {
		conn.SetReadDeadline(time.Now().Add(eventTimeout))
		_, err := conn.Read(response)
		require.NoError(t, err)
	}
}

// An idle connection must use only the memory of its conn struct, without a goroutine or a buffer. The test compares
// numbers of bytes with limits that include a margin. It compares no durations.
func TestServer_IdleConnectionMemory(t *testing.T) {
	const (
		count    = 2000
		maxBytes = 2048 // per connection; both of its ends are in this process
		// maxHeapBytes limits the part of maxBytes that is in the heap. The measured part varies by about 40 bytes
		// between runs, no matter how busy the machine is.
		maxHeapBytes      = 1850
		descriptors       = 5000
		workersEndTimeout = 30 * time.Second
	)
	leaks := goleak.IgnoreCurrent()
	core := &fakeCore{
		orders:  []node.Order{abort},
		arrived: make(chan *node.RPC, 2*count),
		gone:    make(chan *node.RPC, 99),
	}
	server := newTestServer(t, idleMemoryLimits(), limits.NewBudget(descriptors, 0, nil))
	server.SetTable(&Table{Only: newTestService(core, decide.Idempotent)})
	listener := newListener(t)
	server.Serve(listener)
	conns := make([]net.Conn, count)

	heapBefore, stacksBefore := memoryInUse()
	goroutinesBefore := runtime.NumGoroutine()
	dialAndExchange(t, listener.Addr().String(), conns)
	allIdle := func() bool { return idleConnCount(server) == count }
	require.Eventually(t, allIdle, eventTimeout, pollInterval)
	// The worker pool keeps the goroutines that served the requests, and ends these goroutines within about two
	// seconds. The test waits for that, since their stacks are not memory of the connections: 64 stacks of 8 KiB would
	// add 262 bytes per connection. The function below subtracts 1 for the goroutine in which Eventually calls it.
	workersEnded := func() bool { return runtime.NumGoroutine()-1 <= goroutinesBefore }
	require.Eventually(t, workersEnded, workersEndTimeout, 10*time.Millisecond, "idle workers end")
	heap, stacks := memoryInUse()
	assert.Less(t, (heap+stacks-heapBefore-stacksBefore)/count, int64(maxBytes), "bytes per connection")
	assert.Less(t, (heap-heapBefore)/count, int64(maxHeapBytes), "bytes of the heap per connection")

	for _, conn := range conns {
		conn.Close()
	}
	noneLeft := func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.conns) == 0 && server.timers.Len() == 0
	}
	require.Eventually(t, noneLeft, eventTimeout, pollInterval, "expected no record or timer of a closed connection")
	listener.Close()
	assert.NoError(t, drain(server, eventTimeout))
	server.poller.Close()
	goleak.VerifyNone(t, leaks)
}
