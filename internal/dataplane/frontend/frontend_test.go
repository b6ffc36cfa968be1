package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
	"robincart/internal/testutil"
)

// fakeCore orders for each RPC what the story says, and notes what it hears.
type fakeCore struct {
	mu       sync.Mutex
	orders   []node.Order
	came     chan *node.RPC
	vanished chan *node.RPC
	done     []decide.Result
	started  []string

	atArrived  func()
	atVanished func(*node.RPC)
}

func (f *fakeCore) Arrived(a node.Arrival) *node.RPC {
	r := &node.RPC{Orders: make(chan node.Order, 9), Deadline: a.Deadline}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.orders {
		r.Orders <- o
	}
	f.came <- r
	if f.atArrived != nil {
		f.atArrived()
	}
	return r
}

func (f *fakeCore) ClientGone(r *node.RPC) {
	if f.atVanished != nil {
		f.atVanished(r)
	}
	f.vanished <- r
}

func (f *fakeCore) AttemptDone(_ *node.Attempt, res decide.Result, _ *node.Response) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = append(f.done, res)
	return true
}

func (f *fakeCore) Start(_ *node.Attempt, q *httpwire.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, q.TraceID)
}

func bounds() limits.Limits {
	return limits.Limits{MaxRequests: 2, OverloadConnections: 1, MaxClientConnections: 3, Wire: httpwire.Sizes{BufferSize: 256, ReadSize: 64, MaxHead: 4096, MaxBody: 4096, MaxChunkLine: 64},
		ClientIdleTimeout: 5 * time.Second, EvictableAfter: 20 * time.Millisecond, FinalReadWindow: 5 * time.Millisecond,
		ClientReadTimeout: 20 * time.Second, OverloadRetryAfter: 500 * time.Millisecond, ClientWriteTimeout: time.Second,
		LingerTimeout: 500 * time.Millisecond, MaxLingerBytes: 1 << 23, LongIdle: time.Second, MaxTimeLeft: time.Hour, RequestIDTTL: time.Minute, MaxRequestIDs: 99, ShutdownWriteTime: 50 * time.Millisecond}
}

// begin serves on a socket until the test ends; then nothing may be left.
func begin(t *testing.T, orders ...node.Order) (*Server, *fakeCore, string) {
	return beginWith(t, bounds(), orders...)
}

func beginWith(t *testing.T, l limits.Limits, orders ...node.Order) (*Server, *fakeCore, string) {
	leaks := goleak.IgnoreCurrent()
	core := &fakeCore{orders: orders, came: make(chan *node.RPC, 99), vanished: make(chan *node.RPC, 99)}
	s := &settings.Instance{MethodNames: []string{"find"}, Settings: decide.Settings{Methods: make([]decide.Method, 1)}}
	watch, err := poller.New()
	require.NoError(t, err)
	f := New(l, limits.NewBudget(9, 0, nil), func() time.Duration { return time.Minute }, zap.NewNop(), watch)
	f.SetTable(&Table{Only: NewService("only", s, core, core, nil)})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.Serve(ln)
	t.Cleanup(func() {
		ln.Close()
		select {
		case <-f.abort:
		default:
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			f.Drain(ctx)
		}
		watch.Close()
		goleak.VerifyNone(t, leaks)
		assert.Equal(t, 9, f.budget.Available(), "each connection's descriptor has come back")
		assert.Zero(t, f.activeRequests.Load())
		assert.Zero(t, f.streamedRequests.Load())
	})
	return f, core, ln.Addr().String()
}

type caller struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *caller {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

var asked atomic.Int64

func (c *caller) ask() { c.askAs(fmt.Sprint("t", asked.Add(1))) }

func (c *caller) askAs(trace string) {
	io.WriteString(c, "GET /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: "+trace+"\r\nX-Expires-In-Ms: 1000\r\n\r\n")
}

func (c *caller) hears(t *testing.T) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	return r
}

// A hostile caller copies the ids of others. Sent on, a copy is turned away by one sound server after another.
func TestAnIDThatIsKnownIsTurnedAwayAndItsOwnerServed(t *testing.T) {
	_, core, addr := begin(t)
	owner, copier := dial(t, addr), dial(t, addr)
	owner.askAs("mine")
	rpc := testutil.Receive(t, core.came)
	copier.askAs("mine")
	assert.Equal(t, 409, copier.hears(t).StatusCode)
	rpc.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("well")}}
	assert.Equal(t, 200, owner.hears(t).StatusCode)
	copier = dial(t, addr)
	copier.askAs("mine")
	assert.Equal(t, 409, copier.hears(t).StatusCode, "nor once it has been answered")
	assert.Empty(t, core.came)
}

func TestIDsAreForgottenInTimeAndInAFlood(t *testing.T) {
	k := newRequestIDs(time.Minute, 3)
	for i := range 100 {
		n, fresh := k.begin(fmt.Sprint("flood", i))
		assert.True(t, fresh)
		k.end(n, time.Second)
	}
	assert.LessOrEqual(t, len(k.recent)+len(k.older), 6)
	_, fresh := k.begin("flood99")
	assert.False(t, fresh)
	open, _ := k.begin("open")
	for i := range 9 {
		n, _ := k.begin(fmt.Sprint("later", i))
		k.end(n, time.Duration(i)*time.Hour)
	}
	_, fresh = k.begin("flood99")
	assert.True(t, fresh)
	_, fresh = k.begin("open")
	assert.False(t, fresh, "one that is open is never forgotten")
	// Another process that takes them over knows them all, and under no other seed.
	heir := newRequestIDs(time.Minute, 3)
	heir.setSeed(k.seed)
	heir.importAll(append(k.export(), 1), time.Second)
	_, fresh = heir.begin("open")
	assert.False(t, fresh)
	_, fresh = heir.begin("later8")
	assert.False(t, fresh)
	_, fresh = heir.begin("another")
	assert.True(t, fresh)
	k.end(open, 9*time.Hour)
}

// following is a large answer's rest.
type following struct {
	io.Reader
	closed chan bool
}

func (f following) Remaining() int64 { return 1 << 24 }
func (f following) Close(whole bool) { f.closed <- whole }

// Small requests have to get through among large answers, and nobody holds a place by reading next to nothing.
func TestLargeAnswersLeavePlacesAndTheirReadersMustRead(t *testing.T) {
	l := bounds()
	l.MaxRequests, l.MaxStreamedRequests, l.MaxClientConnections = 3, 1, 6
	l.ClientStallTimeout, l.MinTransferRate = 300*time.Millisecond, 1<<20
	f, core, addr := beginWith(t, l)
	rest := following{strings.NewReader(strings.Repeat("x", 1<<24)), make(chan bool, 1)}
	large := dial(t, addr)
	large.ask()
	rpc := testutil.Receive(t, core.came)
	rpc.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("begun"), BodyStream: rest}}
	line, err := large.r.ReadString('\n') // the rest is not read, or a byte at a time
	require.NoError(t, err)
	assert.Contains(t, line, "200")
	next := dial(t, addr)
	next.ask()
	assert.Equal(t, 503, next.hears(t).StatusCode, "the next of its class would most likely be as large")
	drip := make([]byte, 1)
	for reading := true; reading; {
		_, err := large.Read(drip)
		select {
		case whole := <-rest.closed:
			assert.False(t, whole)
			reading = false
		case <-time.After(time.Millisecond):
			reading = err == nil
		}
	}
	assert.Eventually(t, func() bool { return f.streamedRequests.Load() == 0 }, 20*time.Second, time.Millisecond)
	for _, counts := range []int64{1, 0} { // until it is seen that they are small
		next.ask()
		small := testutil.Receive(t, core.came)
		assert.Equal(t, counts, f.streamedRequests.Load())
		small.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("well")}}
		assert.Equal(t, 200, next.hears(t).StatusCode)
	}
}

// Who connects right before the node has had its time to empty has its request on the way: the close must not cross it.
func TestANodeThatEmptiesOrEndsServesWhoHasOnlyJustCome(t *testing.T) {
	for name, ends := range map[string]func(f *Server){
		"emptied": func(f *Server) {
			f.SetLameDuck(true)
			f.drainLameDuck(f.lameDuckCount)
		},
		"ended": func(f *Server) { go f.Drain(t.Context()) },
	} {
		l := bounds()
		l.EvictableAfter, l.ShutdownAcceptTime = 20*time.Second, time.Hour
		f, core, addr := beginWith(t, l)
		c := dial(t, addr)
		count := func() (n int, drained bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.conns), f.draining || f.lameDuckDraining
		}
		require.Eventually(t, func() bool { n, _ := count(); return n == 1 }, 20*time.Second, time.Millisecond)
		ends(f)
		require.Eventually(t, func() bool { _, on := count(); return on }, 20*time.Second, time.Millisecond)
		c.ask()
		rpc := testutil.Receive(t, core.came)
		rpc.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("well")}}
		assert.Equal(t, 200, c.hears(t).StatusCode, name)
		_, err := c.r.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "%s: and is its last", name)
	}
}

// Callers hear of new settings later than the node, which takes what either may send until then.
func TestAClassThatChangesItsEffectIsTakenInEitherFormForAWhile(t *testing.T) {
	service := func(r decide.Idempotency) *Service {
		n := &settings.Instance{MethodNames: []string{"a"}}
		n.Methods = []decide.Method{{Idempotency: r}}
		return NewService("", n, nil, nil, nil)
	}
	forms := map[decide.Idempotency]httpwire.Request{decide.Idempotent: {Verb: "GET"}, decide.Deduplicated: {Verb: "POST", IdempotencyKey: "k"}, decide.NonIdempotent: {Verb: "POST"}}
	status := func(v *Service, r decide.Idempotency, now time.Duration) int {
		q := forms[r]
		q.Path, q.Method, q.TraceID, q.HasTimeLeft = "/a", "a", "id", true
		if _, _, bad := v.check(&q, &limits.Limits{}, now); bad != nil {
			return bad.Status
		}
		return 200
	}
	const now, until = time.Second, 4 * time.Second
	for was := range forms {
		for is := range forms {
			v := service(is).KeepFormer(service(was), now, until)
			assert.Equal(t, 200, status(v, was, until-1), "%v to %v", was, is)
			assert.Equal(t, status(service(is), was, now), status(v, was, until), "%v to %v: over", was, is)
			assert.Equal(t, 200, status(v, is, until))
			again := service(is).KeepFormer(v, now, until+1)
			assert.Equal(t, status(service(is), was, now), status(again, was, until), "what is over is not handed on")
			// Settings change once more before callers have heard of the first change.
			for next := range forms {
				again := service(next).KeepFormer(service(is).KeepFormer(service(was), now, until), now+1, until+1)
				assert.Equal(t, 200, status(again, was, until-1), "%v to %v to %v", was, is, next)
				assert.Equal(t, 200, status(again, is, until), "%v to %v to %v", was, is, next)
				gone := service(next).KeepFormer((&Service{methods: map[string]method{}, tenants: map[string]tenant{}}).KeepFormer(service(was), now, until), now+1, until+1)
				assert.Equal(t, 200, status(gone, was, until-1), "%v gone, then %v", was, next)
			}
		}
	}
}

func TestATenantThatLeavesIsServedUntilItsCallersHaveHeardOfIt(t *testing.T) {
	service := func(names ...string) *Service {
		n := &settings.Instance{MethodNames: []string{"a"}, TenantNames: names}
		n.Methods = []decide.Method{{}}
		return NewService("", n, nil, nil, nil)
	}
	q := &httpwire.Request{Verb: "GET", Path: "/a", Method: "a", TraceID: "id", HasTimeLeft: true, Tenant: "old"}
	v := service("new", "other").KeepFormer(service("other", "old"), 1, 9)
	v = service("new").KeepFormer(v, 2, 10)
	_, slot, bad := v.check(q, &limits.Limits{}, 9)
	require.Nil(t, bad)
	assert.Equal(t, 1, slot, "as it was known before")
	_, _, bad = v.check(q, &limits.Limits{}, 10)
	assert.Equal(t, 400, bad.Status)
}

func TestOrdersAreCarriedOutInTurn(t *testing.T) {
	_, core, addr := begin(t, node.Order{Kind: node.OrderSend}, node.Order{Kind: node.OrderSend},
		node.Order{Kind: node.OrderPushBack, RetryAfter: 250 * time.Millisecond})
	c := dial(t, addr)
	c.askAs("t1")
	r := c.hears(t)
	assert.Equal(t, 503, r.StatusCode)
	assert.Equal(t, "0.250", r.Header.Get("Retry-After"))
	assert.False(t, r.Close)
	core.mu.Lock()
	assert.Equal(t, []string{"t1", "t1"}, core.started)
	core.mu.Unlock()
}

// The caller's time runs from when its request had come, and not from when it was read: here at a standing clock, but for that wait. On a
// connection that has only just come it may have lain there since the accept, which is before the caller has its connection.
func TestACallersTimeRunsFromWhenItsRequestHadCome(t *testing.T) {
	_, core, addr := begin(t, node.Order{Kind: node.OrderPushBack})
	connecting := time.Now()
	c := dial(t, addr)
	for i := range 3 {
		time.Sleep(2 * time.Millisecond) // the accept lies before the first request, by less than a connection counts as having just come
		asked := time.Now()
		c.ask()
		c.hears(t)
		deadline := testutil.Receive(t, core.came).Deadline
		since := asked
		if i == 0 {
			since = connecting
		}
		assert.LessOrEqual(t, deadline, time.Minute+time.Second)
		assert.Greater(t, deadline, time.Minute+time.Second-time.Since(since), "request %d", i)
		core.mu.Lock()
		core.orders = []node.Order{{Kind: node.OrderPushBack}}
		core.mu.Unlock()
	}
}

func TestRequestsOnOneConnectionWaitTheirTurn(t *testing.T) {
	_, core, addr := begin(t)
	c := dial(t, addr)
	c.askAs("first")
	c.askAs("second")
	first := testutil.Receive(t, core.came)
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, core.came)
	assert.Empty(t, core.vanished, "more bytes are no farewell")
	first.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("one")}}
	assert.Equal(t, 200, c.hears(t).StatusCode)
	testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderAbort}
	assert.Equal(t, 504, c.hears(t).StatusCode)
}

func TestPicksOrderedForACallerThatLeftAreEndedUnsent(t *testing.T) {
	_, core, addr := begin(t)
	core.atVanished = func(r *node.RPC) { r.Orders <- node.Order{Kind: node.OrderSend} } // ordered as the news came
	c := dial(t, addr)
	c.ask()
	r := testutil.Receive(t, core.came)
	c.Close()
	assert.Same(t, r, testutil.Receive(t, core.vanished))
	assert.Eventually(t, func() bool {
		core.mu.Lock()
		defer core.mu.Unlock()
		return len(core.done) == 1 && core.done[0] == decide.NotSent
	}, time.Second, time.Millisecond)
	assert.Empty(t, core.started)
}

func TestACallerThatIsStillSendingHearsWhyItIsTurnedAway(t *testing.T) {
	_, _, addr := begin(t)
	c := dial(t, addr)
	_, err := io.WriteString(c, "POST /find HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n"+strings.Repeat("x", 4000000))
	assert.NoError(t, err, "a reset would reach the caller before the answer")
	assert.Equal(t, 413, c.hears(t).StatusCode)
}

func TestPastTheLimitARequestIsRefusedAtOnce(t *testing.T) {
	_, core, addr := begin(t)
	a, b, c := dial(t, addr), dial(t, addr), dial(t, addr)
	a.ask()
	b.ask()
	ra, rb := testutil.Receive(t, core.came), testutil.Receive(t, core.came)
	c.ask()
	r := c.hears(t)
	assert.Equal(t, 503, r.StatusCode)
	assert.Equal(t, "0.500", r.Header.Get("Retry-After"))
	assert.Empty(t, core.came, "the module has not taken it")
	ra.Orders <- node.Order{Kind: node.OrderAbort}
	rb.Orders <- node.Order{Kind: node.OrderAbort}
	a.hears(t)
	b.hears(t)
	a.ask()
	testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderAbort}
	assert.Equal(t, 504, a.hears(t).StatusCode, "there is room again")
}

func TestIdleConnectionsGiveWayButNotTheOnesInUse(t *testing.T) {
	_, core, addr := begin(t)
	busy := dial(t, addr)
	busy.ask()
	r := testutil.Receive(t, core.came)
	var idle []*caller
	for range 6 {
		idle = append(idle, dial(t, addr))
	}
	_, err := idle[0].r.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the oldest idle one is closed, and not reset")
	last := idle[5]
	last.ask()
	testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderAbort}
	assert.Equal(t, 504, last.hears(t).StatusCode)
	r.Orders <- node.Order{Kind: node.OrderAbort}
	assert.Equal(t, 504, busy.hears(t).StatusCode)
}

// scarce is a listener of a process that has descriptors for so many connections.
type scarce struct {
	net.Listener
	left func() int
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.left() <= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return s.Listener.Accept()
}

// Whatever holds the other descriptors of the process, callers that rest give way to one that asks, and one in use does not.
func TestIdleConnectionsGiveWayWhereTheProcessHasNoDescriptorLeft(t *testing.T) {
	l := bounds()
	l.ClientIdleTimeout = time.Hour // it gives way for no other reason
	f, core, _ := beginWith(t, l)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f.Serve(&scarce{ln, func() int { return 2 - connections(f) }})
	addr := ln.Addr().String()
	busy := dial(t, addr)
	busy.ask()
	r := testutil.Receive(t, core.came)
	idle := dial(t, addr)
	idle.ask()
	testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderAbort}
	assert.Equal(t, 504, idle.hears(t).StatusCode)
	third := dial(t, addr)
	third.ask()
	testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderAbort}
	assert.Equal(t, 504, third.hears(t).StatusCode)
	_, err = idle.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	r.Orders <- node.Order{Kind: node.OrderAbort}
	assert.Equal(t, 504, busy.hears(t).StatusCode)
}

// A request can be on its way to a connection that the node has just chosen to end, and its event not told yet.
func TestAConnectionThatEndsAnswersTheRequestThatCrossed(t *testing.T) {
	f, core, _ := begin(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c := dial(t, ln.Addr().String())
	raw, err := ln.Accept()
	require.NoError(t, err)
	require.True(t, f.budget.AcquireForClient())
	chosen := f.newConn(raw)
	require.NotNil(t, chosen)
	c.ask()
	require.Eventually(t, func() bool { return socket.StateOf(raw) == socket.StateReadable }, 20*time.Second, time.Millisecond)
	f.running.Add(1)
	f.mu.Lock()
	f.conns[chosen] = struct{}{}
	f.suspend(chosen, stateIdle, time.Hour)
	f.mu.Unlock()
	f.closeConns([]*conn{chosen}, telemetry.Draining)
	testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderAbort}
	r := c.hears(t)
	assert.Equal(t, 504, r.StatusCode)
	assert.True(t, r.Close)
}

// Read to the last byte of its buffer a connection may hold more, of which no event tells again.
func TestARequestThatFillsItsBufferDoesNotHideTheNext(t *testing.T) {
	_, core, addr := begin(t, node.Order{Kind: node.OrderAbort})
	for fill := range 20 {
		c := dial(t, addr)
		head := func(more int) string {
			return fmt.Sprintf("GET /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: t%d\r\nX-Expires-In-Ms: 1000\r\nX: %s\r\n\r\n", asked.Add(1), strings.Repeat("x", more))
		}
		first := head(0)
		first = head(256 - len(first) - 10 + fill) // from just below the buffer's size to just above
		io.WriteString(c, first+head(0)+head(300))
		for range 3 {
			testutil.Receive(t, core.came)
			assert.Equal(t, 504, c.hears(t).StatusCode)
		}
	}
}

// Idle connections are records: no goroutine and no buffer each. Bytes are compared with room to spare, and no times.
func TestThousandsOfIdleConnectionsAreOnlyRecords(t *testing.T) {
	l := bounds()
	// They ask all at once, and none may be pushed back with a close for it, however the machine stalls: not for its wait, and
	// not in a place that is only there to push back.
	l.OverloadRetryAfter, l.OverloadConnections = time.Minute, 0
	l.MaxRequests, l.MaxClientConnections, l.ClientIdleTimeout, l.Wire = 64, 4000, time.Minute, httpwire.Sizes{BufferSize: 2048, ReadSize: 512, MaxHead: 16384, MaxBody: 65536, MaxChunkLine: 256}
	leaks := goleak.IgnoreCurrent()
	core := &fakeCore{orders: []node.Order{{Kind: node.OrderAbort}}, came: make(chan *node.RPC, 4000), vanished: make(chan *node.RPC, 99)}
	s := &settings.Instance{MethodNames: []string{"find"}, Settings: decide.Settings{Methods: make([]decide.Method, 1)}}
	watch, err := poller.New()
	require.NoError(t, err)
	f := New(l, limits.NewBudget(5000, 0, nil), func() time.Duration { return time.Minute }, zap.NewNop(), watch)
	f.SetTable(&Table{Only: NewService("only", s, core, core, nil)})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.Serve(ln)
	const n = 2000
	// The second is of the heap alone, which differs by some 40 bytes between runs, whatever else the machine does.
	const bytesBound, heapBound = 2048, 1850
	raws := make([]net.Conn, n)
	used := func() (heap, stacks int64) {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc), int64(m.StackInuse)
	}
	heap0, stacks0 := used()
	goroutines0 := runtime.NumGoroutine()
	for i := range raws {
		raws[i], err = net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		(&caller{Conn: raws[i]}).ask()
	}
	answer := make([]byte, 4096)
	for _, c := range raws {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err := c.Read(answer)
		require.NoError(t, err)
	}
	resting := func() (n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			if c.state.load() == stateIdle && c.serving.reader == nil {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return resting() == n }, 20*time.Second, time.Millisecond)
	// The worker pool keeps the goroutines that answered, up to one a place, and ends them within two seconds or so. Their
	// stacks are no part of a record: 64 of 8 KiB would be 262 bytes of each. Eventually asks in a goroutine of its own.
	workersEnded := func() bool { return runtime.NumGoroutine()-1 <= goroutines0 }
	require.Eventually(t, workersEnded, 30*time.Second, 10*time.Millisecond, "goroutines of the idle end")
	heap1, stacks1 := used()
	// Both sides of each connection are in this process.
	assert.Less(t, (heap1+stacks1-heap0-stacks0)/n, int64(bytesBound), "bytes a connection, the caller's side included")
	assert.Less(t, (heap1-heap0)/n, int64(heapBound), "bytes of the heap a connection, the caller's side included")
	for _, c := range raws { // half leave by themselves, the rest are told to go
		if c.Close(); len(raws) > n/2 {
			raws = raws[1:]
		}
	}
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.conns) == 0 && f.timers.Len() == 0
	}, 20*time.Second, time.Millisecond, "no record is left of those that closed while idle")
	ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NoError(t, f.Drain(ctx))
	watch.Close()
	goleak.VerifyNone(t, leaks)
}

// Callers that drip hold few of the places: others whose requests come in pieces take theirs, and whole requests never wait.
func TestCallersThatDripGiveWay(t *testing.T) {
	l := bounds()
	l.MaxRequests, l.OverloadConnections, l.MaxClientConnections = 4, 4, 8 // two slow ones
	f, core, addr := beginWith(t, l, node.Order{Kind: node.OrderAbort})
	var drips []*caller
	for i := range 2 {
		c := dial(t, addr)
		io.WriteString(c, "POST /find HTTP/1.1\r\nContent-Length: 60\r\n\r\nx")
		drips = append(drips, c)
		// The first has to be the older one at the gate, too.
		require.Eventually(t, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.admission.SlowCount() == i+1
		}, 20*time.Second, time.Millisecond)
	}
	time.Sleep(40 * time.Millisecond) // past CallerRest
	c := dial(t, addr)
	io.WriteString(c, "GET /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: slow\r\n")
	r := drips[0].hears(t)
	assert.Equal(t, 503, r.StatusCode)
	assert.Equal(t, "0.500", r.Header.Get("Retry-After"))
	io.WriteString(c, "X-Expires-In-Ms: 1000\r\n\r\n")
	testutil.Receive(t, core.came)
	assert.Equal(t, 504, c.hears(t).StatusCode)
	for range 9 {
		c.ask()
		testutil.Receive(t, core.came)
		assert.Equal(t, 504, c.hears(t).StatusCode)
	}
}

func TestHalfARequestIsTimedOutAndABrokenOneIsNot(t *testing.T) {
	l := bounds()
	l.ClientReadTimeout = 100 * time.Millisecond
	_, core, addr := beginWith(t, l)
	c := dial(t, addr)
	io.WriteString(c, "GET /fi")
	assert.Equal(t, 408, c.hears(t).StatusCode)
	c = dial(t, addr)
	io.WriteString(c, "POST /find HTTP/1.1\r\nContent-Length: 3\r\n\r\n")
	assert.Equal(t, 408, c.hears(t).StatusCode, "also when the pieces end where the head does")
	c = dial(t, addr)
	io.WriteString(c, "GET /fi")
	c.Conn.(*net.TCPConn).CloseWrite()
	_, err := c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Empty(t, core.came)
}

// With all connections in use, the next one waits at the door. It must not keep the program from its end.
func TestTheEndComesWhileTheNodeIsFull(t *testing.T) {
	f, core, addr := begin(t)
	a, b, half := dial(t, addr), dial(t, addr), dial(t, addr)
	half.ask()
	testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{}}
	half.hears(t) // one that has brought no whole request yet would give way
	a.ask()
	testutil.Receive(t, core.came)
	b.ask()
	testutil.Receive(t, core.came)
	io.WriteString(half, "GET /fi")
	// Only now: one more at the door ends those that have brought no RPC by then.
	waits := dial(t, addr)
	waits.ask()
	f.BeginShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.Error(t, f.Drain(ctx))
	for _, c := range []*caller{a, b, waits} {
		assert.Equal(t, 503, c.hears(t).StatusCode, "nothing was sent: trying again is harmless")
	}
}

func TestTheEndAbortsWhatIsStillOut(t *testing.T) {
	for _, x := range []struct {
		repeat decide.Idempotency
		orders []node.Order
		status int
	}{
		{decide.NonIdempotent, []node.Order{{Kind: node.OrderSend}}, 504}, // it may have run
		{decide.Deduplicated, []node.Order{{Kind: node.OrderSend}}, 504},
		{decide.Idempotent, []node.Order{{Kind: node.OrderSend}}, 503},
		{decide.NonIdempotent, nil, 503}, // nothing was sent
	} {
		f, core, addr := begin(t, x.orders...)
		n := &settings.Instance{MethodNames: []string{"find"}}
		n.Methods = []decide.Method{{Idempotency: x.repeat}}
		f.SetTable(&Table{Only: NewService("only", n, core, core, nil)})
		c := dial(t, addr)
		io.WriteString(c, verbOf(x.repeat)+" /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: t\r\nX-Expires-In-Ms: 1000\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
		r := testutil.Receive(t, core.came)
		begun := func() bool {
			core.mu.Lock()
			defer core.mu.Unlock()
			return len(core.started) == len(x.orders)
		}
		require.Eventually(t, begun, 20*time.Second, time.Millisecond)
		f.BeginShutdown()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		assert.Error(t, f.Drain(ctx))
		cancel()
		answer := c.hears(t)
		assert.Equal(t, x.status, answer.StatusCode)
		assert.Equal(t, x.status == 503, answer.Header.Get("Retry-After") != "")
		assert.True(t, answer.Close)
		assert.Same(t, r, testutil.Receive(t, core.vanished))
	}
}
