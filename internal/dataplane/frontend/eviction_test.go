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
	idle[0].requireEnd(t) // the oldest one, and not by a reset
	last := idle[5]
	last.sendRequest()
	testutil.Receive(t, core.arrived).Orders <- abort
	last.requireStatus(t, 504)
	rpc.Orders <- abort
	busy.requireStatus(t, 504) // one in use is not evicted
}

// limitedListener is a listener of a process that has descriptors for so many connections.
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

// Whatever holds the other descriptors of the process, an idle connection is evicted for a new one, and one in use is
// not.
func TestServer_EvictsWhenDescriptorsExhausted(t *testing.T) {
	l := testLimits()
	l.ClientIdleTimeout = time.Hour // it is evicted for no other reason
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

// Clients that send slowly hold little of the capacity: others whose requests come in pieces take it over, and complete
// requests never wait for it.
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
		// The first has to be the older one at the admission, too.
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

// memoryInUse returns the bytes of the heap that are alive, and those of stacks.
func memoryInUse() (heap, stacks int64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}

// idleMemoryLimits are limits under which thousands of clients may send a request at once, and none is rejected with a
// close: not for its wait, however the machine stalls, and not with capacity that is only there to reject.
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

// idleConnCount returns the number of connections that are a record only.
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

// dialAndExchange opens connections, each with one request and its response behind it.
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

// Idle connections are records: no goroutine and no buffer each. Bytes are compared with room to spare, and no times.
func TestServer_IdleConnectionMemory(t *testing.T) {
	const (
		count         = 2000
		maxBytes      = 2048 // a connection; both of its sides are in this process
		maxHeapBytes  = 1850 // of these; that differs by some 40 bytes between runs, whatever else the machine does
		descriptors   = 5000
		workersEndFor = 30 * time.Second
	)
	leaks := goleak.IgnoreCurrent()
	core := &fakeCore{orders: []node.Order{abort}, arrived: make(chan *node.RPC, 2*count), gone: make(chan *node.RPC, 99)}
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
	// The worker pool keeps the goroutines that served the requests, and ends them within two seconds or so. Their
	// stacks are no part of a record: 64 of 8 KiB would be 262 bytes of each. Eventually calls in a goroutine of its own.
	workersEnded := func() bool { return runtime.NumGoroutine()-1 <= goroutinesBefore }
	require.Eventually(t, workersEnded, workersEndFor, 10*time.Millisecond, "idle workers end")
	heap, stacks := memoryInUse()
	assert.Less(t, (heap+stacks-heapBefore-stacksBefore)/count, int64(maxBytes), "bytes a connection")
	assert.Less(t, (heap-heapBefore)/count, int64(maxHeapBytes), "bytes of the heap a connection")

	for _, conn := range conns {
		conn.Close()
	}
	noneLeft := func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.conns) == 0 && server.timers.Len() == 0
	}
	require.Eventually(t, noneLeft, eventTimeout, pollInterval, "no record is left of clients that closed")
	listener.Close()
	assert.NoError(t, drain(server, eventTimeout))
	server.poller.Close()
	goleak.VerifyNone(t, leaks)
}
