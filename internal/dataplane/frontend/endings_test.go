package frontend

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/system/socket"
	"robincart/internal/testutil"
)

// Crossings at the callers' side: what is still owed at the instant in which something ends.

const find = "GET /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: "

func request(trace string) string { return find + trace + "\r\nX-Expires-In-Ms: 1000\r\n\r\n" }

// leaving are the ways in which a caller goes away.
var leaving = map[string]func(*caller){
	"closed":     func(c *caller) { c.Close() },
	"half":       func(c *caller) { c.Conn.(*net.TCPConn).CloseWrite() },
	"reset":      func(c *caller) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	"asked more": func(c *caller) { io.WriteString(c, request("more")); c.Close() },
	"said more":  func(c *caller) { io.WriteString(c, strings.Repeat("x", 8<<10)); c.Close() },
	"flooded":    func(c *caller) { c.flood(); c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
}

// flood sends as much as the kernel takes while nobody reads it.
func (c *caller) flood() {
	c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for b := make([]byte, 1<<16); ; {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

func connections(f *Server) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func TestACallerThatLeavesWhileItsRequestIsOutIsSeenWhateverItSentBefore(t *testing.T) {
	for way, leave := range leaving {
		f, core, addr := begin(t)
		c := dial(t, addr)
		c.askAs(way)
		rpc := testutil.Receive(t, core.came)
		leave(c)
		assert.Same(t, rpc, testutil.Receive(t, core.vanished), way)
		rpc.Orders <- node.Order{Kind: node.OrderSend}
		assert.Eventually(t, func() bool { return connections(f) == 0 && f.activeRequests.Load() == 0 }, 20*time.Second, time.Millisecond, way)
		assert.Empty(t, core.started, way)
		assert.Empty(t, core.came, "%s: and nobody waits for what it had asked next", way)
	}
}

// The listener is not accepted from until the leaver has gone: the kernel has taken its request.
func TestACallerThatLeftInTheListenersQueueIsSentNowhere(t *testing.T) {
	for way, leave := range leaving {
		f, core, _ := begin(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		gone := dial(t, ln.Addr().String())
		gone.askAs("gone")
		leave(gone)
		stays := dial(t, ln.Addr().String())
		stays.askAs("stays")
		f.Serve(ln)
		testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderPushBack}
		assert.Equal(t, 503, stays.hears(t).StatusCode, way)
		assert.Eventually(t, func() bool { return connections(f) == 1 }, 20*time.Second, time.Millisecond, way)
		assert.Empty(t, core.came, way)
		ln.Close()
	}
}

// All places are taken until the leaver, whose request waits for one, has gone.
func TestACallerThatLeftWhileItWaitedForAPlaceIsSentNowhere(t *testing.T) {
	for way, leave := range leaving {
		l := bounds()
		l.MaxRequests, l.OverloadConnections, l.OverloadRetryAfter = 1, 0, 20*time.Second
		f, core, addr := beginWith(t, l)
		first := dial(t, addr)
		first.ask()
		rpc := testutil.Receive(t, core.came)
		gone := dial(t, addr)
		gone.ask()
		waits := func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.admission.WaitingCount() == 1
		}
		require.Eventually(t, waits, 20*time.Second, time.Millisecond, way)
		leave(gone)
		left := func() (n int) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for c := range f.conns {
				if c.shared.clientClosed.Load() {
					n++
				}
			}
			return n
		}
		require.Eventually(t, func() bool { return left() == 1 }, 20*time.Second, time.Millisecond, way)
		rpc.Orders <- node.Order{Kind: node.OrderPushBack}
		assert.Equal(t, 503, first.hears(t).StatusCode, way)
		assert.Eventually(t, func() bool { return connections(f) == 1 }, 20*time.Second, time.Millisecond, way)
		assert.Empty(t, core.came, way)
	}
}

// halt begins the end by force while an RPC arrives, with its answer's time still to come.
func halt(t *testing.T, orders ...node.Order) (*Server, *fakeCore, string) {
	l := bounds()
	l.ShutdownWriteTime = 20 * time.Second
	f, core, addr := beginWith(t, l, orders...)
	now, cancel := context.WithCancel(t.Context())
	cancel()
	core.atArrived = func() {
		go f.Drain(now)
		<-f.abort
	}
	return f, core, addr
}

// Go chooses at random among what is ready, so a single play would not tell.
func TestAnAnswerThatIsThereGoesBeforeTheEndAndAPickDoesNot(t *testing.T) {
	for range 20 {
		f, core, addr := halt(t, node.Order{Kind: node.OrderSend}, node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("well")}})
		c := dial(t, addr)
		c.ask()
		assert.Equal(t, 200, c.hears(t).StatusCode)
		c.Close()
		assert.Eventually(t, func() bool { return connections(f) == 0 }, 20*time.Second, time.Millisecond)
		core.mu.Lock()
		assert.Empty(t, core.started)
		assert.Equal(t, []decide.Result{decide.NotSent}, core.done, "its server's count goes back")
		core.mu.Unlock()
	}
}

func TestWhatTheEndCutsShortIsPushedBackIfNothingWasSent(t *testing.T) {
	f, core, addr := halt(t, node.Order{Kind: node.OrderSend})
	c := dial(t, addr)
	io.WriteString(c, request("read before")+request("read after"))
	r := c.hears(t)
	assert.Equal(t, 503, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
	testutil.Receive(t, core.came)
	c.Close()
	assert.Eventually(t, func() bool { return connections(f) == 0 }, 20*time.Second, time.Millisecond)
	assert.Empty(t, core.came, "a request that is read after the halt is not begun")
	assert.Empty(t, core.started)
}

func TestALastAnswerIsNotLostToWhatItsCallerSentBehindTheRequest(t *testing.T) {
	f, core, addr := begin(t)
	f.BeginShutdown()
	c := dial(t, addr)
	io.WriteString(c, request("first")+request("second"+strings.Repeat("x", 2000)))
	testutil.Receive(t, core.came).Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("well")}}
	r := c.hears(t)
	assert.Equal(t, 200, r.StatusCode)
	assert.True(t, r.Close)
	_, err := c.r.ReadByte()
	assert.Equal(t, io.EOF, err, "a reset could overtake the answer")
	c.Close()
	assert.Eventually(t, func() bool { return connections(f) == 0 }, 20*time.Second, time.Millisecond)
	assert.Empty(t, core.came)
}

// An end that its caller's kernel holds back behind a flood has not reached the node: what is out then is answered, to nobody, and
// nothing that the flood holds is taken for a request.
func TestAFloodBehindARequestBringsNothingAndEndsWithTheAnswer(t *testing.T) {
	f, core, addr := begin(t)
	c := dial(t, addr)
	c.ask()
	rpc := testutil.Receive(t, core.came)
	c.flood()
	c.Close()
	rpc.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("well")}}
	assert.Eventually(t, func() bool { return connections(f) == 0 && f.activeRequests.Load() == 0 }, 20*time.Second, time.Millisecond)
	assert.Empty(t, core.came)
	assert.Empty(t, core.started)
}

// Where a close over unread bytes resets a connection, what the system still held back of small writes would go with it.
func TestNoSmallWriteIsHeldBackHoweverACallersConnectionCame(t *testing.T) {
	f, _, addr := begin(t)
	held := func(raw syscall.RawConn) (n int) {
		raw.Control(func(fd uintptr) { n, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
		return n
	}
	dial(t, addr)
	require.Eventually(t, func() bool { return connections(f) == 1 }, 20*time.Second, time.Millisecond)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	dial(t, ln.Addr().String())
	c, err := socket.Accept(ln) // out of the queue of a listener that ends, and as from another process
	require.NoError(t, err)
	require.NotNil(t, c)
	f.Adopt(c, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Len(t, f.conns, 2)
	for c := range f.conns {
		assert.Equal(t, 1, held(c.raw))
	}
}

// One caller has the only place, the next is in the accept loop's hands, and the last ones are known to the kernel alone when the
// listener is to close.
func TestCallersInTheListenersQueueAreServedAtTheEnd(t *testing.T) {
	l := bounds()
	l.MaxClientConnections, l.EvictableAfter = 1, 20*time.Second
	f, core, addr := beginWith(t, l)
	var callers []*caller
	for i := range 5 {
		c := dial(t, addr)
		c.ask()
		callers = append(callers, c)
		if i == 0 {
			require.Eventually(t, func() bool { return len(core.came) == 1 }, 20*time.Second, time.Millisecond)
		}
	}
	f.BeginShutdown()
	f.CloseListeners()
	ended := make(chan error, 1)
	go func() { ended <- f.Drain(t.Context()) }()
	for _, c := range callers {
		rpc := testutil.Receive(t, core.came)
		rpc.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("well")}}
		r := c.hears(t)
		assert.Equal(t, 200, r.StatusCode)
		assert.True(t, r.Close)
		c.Close()
	}
	assert.NoError(t, testutil.Receive(t, ended))
	_, err := net.Dial("tcp", addr)
	assert.Error(t, err, "the listener is closed in the end")
}

// On a core that others share the last answers may take longer than they are given: a connection that owes one is not closed over it.
func TestAnAnswerThatIsLateAtTheEndByForceIsStillWritten(t *testing.T) {
	l := bounds()
	l.ShutdownWriteTime = time.Millisecond
	f, core, addr := beginWith(t, l)
	core.atVanished = func(*node.RPC) { time.Sleep(100 * time.Millisecond) } // the answer follows it
	rests, c := dial(t, addr), dial(t, addr)
	rests.ask()
	first := testutil.Receive(t, core.came)
	first.Orders <- node.Order{Kind: node.OrderPushBack}
	rests.hears(t)
	c.ask()
	testutil.Receive(t, core.came)
	over, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Error(t, f.Drain(over))
	assert.Equal(t, 503, c.hears(t).StatusCode, "nothing was sent for it")
}
