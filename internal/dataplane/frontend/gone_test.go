package frontend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/dataplane/upstream"
	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/testutil"
)

// A caller that has left gets no attempt, first or further, whoever is late to tell of it. The poller, which hears callers leave, is held up
// here from before the caller leaves, as on a core with thousands of other things to do; the core, which is told by it, says yes to
// everything. All sockets are real.

// relay is a node without its module: the test orders each pick and lets it go, and the real pool carries it out.
type relay struct {
	*fakeCore
	*upstream.Pool
	f       *Server
	addr    string // callers connect here
	server  net.Addr
	starts  chan func()
	results chan decide.Result
	heard   chan string // what reaches the server, a read each
	answers chan string // what it says to that
	atHold  func()
}

func (r *relay) Start(p *node.Attempt, q *httpwire.Request) {
	r.starts <- func() { r.Pool.Start(p, q) }
}

func (r *relay) AttemptDone(_ *node.Attempt, res decide.Result, _ *node.Response) bool {
	r.results <- res
	return false
}
func (r *relay) Address(*node.Server) (string, bool) { return r.server.String(), true }
func (r *relay) Ready(*node.Server) bool             { return true }
func (r *relay) Bind(*node.Attempt, node.Canceler) bool {
	if r.atHold != nil {
		r.atHold()
	}
	return true
}
func (r *relay) Begin(*node.Attempt, node.Canceler) bool   { return true }
func (r *relay) TimeLeft(*node.Attempt) time.Duration      { return time.Second }
func (r *relay) BodyReceived(*node.Attempt, time.Duration) {}
func (r *relay) OnServersUnavailable(func([]*node.Server)) {}

func (r *relay) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for b := make([]byte, 1<<16); ; {
				n, err := c.Read(b)
				if err != nil {
					return
				}
				r.heard <- string(b[:n])
				text, ok := <-r.answers
				if !ok {
					return
				}
				io.WriteString(c, text)
			}
		}()
	}
}

func relayed(t *testing.T, l limits.Limits, way *Gateway) *relay {
	leaks := goleak.IgnoreCurrent()
	l.Wire.MaxStream, l.MaxStreamedRequests, l.ConnectTimeout = 1<<20, 1, 5*time.Second
	r := &relay{fakeCore: &fakeCore{came: make(chan *node.RPC, 99), vanished: make(chan *node.RPC, 99)},
		starts: make(chan func(), 99), results: make(chan decide.Result, 99), heard: make(chan string, 99), answers: make(chan string, 99)}
	back, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.server = back.Addr()
	go r.serve(back)
	watch, err := poller.New()
	require.NoError(t, err)
	budget := limits.NewBudget(99, 0, nil)
	r.Pool = upstream.NewPool(r, l, budget, nil)
	r.f = New(l, budget, func() time.Duration { return time.Minute }, zap.NewNop(), watch)
	s := &settings.Instance{MethodNames: []string{"find", "put"}, Settings: decide.Settings{Methods: []decide.Method{{}, {Idempotency: decide.NonIdempotent}}}}
	r.f.SetTable(&Table{Only: NewService("only", s, r, r, nil)})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.f.ServeGateways(ln, way)
	r.addr = ln.Addr().String()
	t.Cleanup(func() {
		ln.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		r.f.Drain(ctx)
		close(r.answers) // who still waits for one hears an end
		r.Pool.Close()
		back.Close()
		watch.Close()
		goleak.VerifyNone(t, leaks)
	})
	return r
}

// one is the only connection there is.
func (r *relay) one(t *testing.T) *conn {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	require.Len(t, r.f.conns, 1)
	for c := range r.f.conns {
		return c
	}
	return nil
}

// hasEnded tells what the kernel knows, of which nobody may have told the node.
func hasEnded(raw syscall.RawConn) (ended bool) {
	raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, _ := unix.Poll(p, 0)
		ended = n > 0
	})
	return ended
}

func unread(raw syscall.RawConn) (n int) {
	raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return n
}

// stall is a watcher that holds its poller up.
type stall struct {
	c       net.Conn
	entered chan struct{}
	release chan struct{}
}

func (s *stall) OnEvent(poller.Event) {
	close(s.entered)
	<-s.release
}

func newStall(t *testing.T, l *poller.Poller) *stall {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	in, err := ln.Accept()
	require.NoError(t, err)
	raw, err := in.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	s := &stall{c, make(chan struct{}), make(chan struct{})}
	place, err := l.Add(raw, s, true)
	require.NoError(t, err)
	t.Cleanup(func() {
		s.goOn()
		l.Remove(&place)
		in.Close()
		c.Close()
	})
	return s
}

// trigger has the poller held up once it comes to it.
func (s *stall) trigger() { s.c.Write([]byte{1}) }

func (s *stall) goOn() {
	select {
	case <-s.release:
	default:
		close(s.release)
	}
}

// held holds the server's poller up at once.
func (r *relay) held(t *testing.T) {
	s := newStall(t, r.f.poller)
	s.trigger()
	testutil.Receive(t, s.entered)
}

// frontEnd is a protocol that callers speak, with what they say in it and how they leave.
type frontEnd struct {
	way  *Gateway
	find string // a whole request
	put  string // the first of a request whose body is larger than what is read whole
	away map[string]func(*caller)
}

func fronts() map[string]frontEnd {
	asks := func(verb, class string, more ...string) []byte {
		return gatewayAsks(1, append([]string{"REQUEST_METHOD", verb, "REQUEST_URI", "/" + class, "HTTP_X_QOS", class, "HTTP_X_TRACE_ID", "t1", "HTTP_X_EXPIRES_IN_MS", "1000"}, more...)...)
	}
	whole := asks("POST", "put", "CONTENT_LENGTH", "9000")
	head := whole[:len(whole)-len(fcgi.AppendStreamEnd(nil, fcgi.TypeStdin, 1))]
	gateways := maps.Clone(leaving)
	gateways["asked more"] = func(c *caller) { c.Write(gatewayAsks(2, "REQUEST_METHOD", "GET")); c.Close() }
	gateways["aborted"] = func(c *caller) { c.Write(fcgi.AppendAbort(nil, 1)) }
	gateways["aborted amid more"] = func(c *caller) {
		c.Write(append(fcgi.AppendAbort(nil, 1), gatewayAsks(2, "REQUEST_METHOD", "GET")...))
	}
	return map[string]frontEnd{
		"HTTP": {nil, request("t1"), "POST /put HTTP/1.1\r\nX-Qos: put\r\nX-Trace-Id: t1\r\nX-Expires-In-Ms: 1000\r\nContent-Length: 9000\r\n\r\n" +
			strings.Repeat("b", 5000), leaving},
		"FastCGI": {&Gateway{}, string(asks("GET", "find")), string(fcgi.AppendStream(head, fcgi.TypeStdin, 1, bytes.Repeat([]byte("b"), 5000))), gateways},
	}
}

// order has a pick ordered and returns what lets it go.
func (r *relay) order(t *testing.T, rpc *node.RPC) func() {
	rpc.Orders <- node.Order{Kind: node.OrderSend, Attempt: &node.Attempt{Server: &node.Server{}}}
	return testutil.Receive(t, r.starts)
}

const failedText = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

func TestNoAttemptBeginsForACallerThatHasLeftHoweverLateTheNodeHearsOfIt(t *testing.T) {
	for name, front := range fronts() {
		for way, leave := range front.away {
			// Each has what is ordered wait until the kernel knows that the caller has left.
			for moment, play := range map[string]func(r *relay, t *testing.T, rpc *node.RPC, goes func()){
				"first": func(r *relay, t *testing.T, rpc *node.RPC, goes func()) {
					start := r.order(t, rpc)
					goes()
					start()
				},
				"body": func(r *relay, t *testing.T, rpc *node.RPC, goes func()) {
					start := r.order(t, rpc)
					goes()
					start()
				},
				"further": func(r *relay, t *testing.T, rpc *node.RPC, goes func()) {
					r.answers <- failedText
					r.order(t, rpc)()
					assert.Equal(t, decide.Failed, testutil.Receive(t, r.results))
					testutil.Receive(t, r.heard)
					start := r.order(t, rpc)
					goes()
					start()
				},
				"second copy": func(r *relay, t *testing.T, rpc *node.RPC, goes func()) {
					r.order(t, rpc)()
					testutil.Receive(t, r.heard)
					start := r.order(t, rpc)
					goes()
					start()
				},
				"connect": func(r *relay, t *testing.T, rpc *node.RPC, goes func()) {
					in, on := make(chan struct{}), make(chan struct{})
					r.atHold = func() { close(in); <-on }
					r.order(t, rpc)()
					testutil.Receive(t, in)
					goes()
					close(on)
				},
			} {
				t.Run(fmt.Sprint(name, "/", moment, "/", way), func(t *testing.T) {
					r := relayed(t, bounds(), front.way)
					c := dial(t, r.addr)
					if moment == "body" {
						io.WriteString(c, front.put)
					} else {
						io.WriteString(c, front.find)
					}
					rpc := testutil.Receive(t, r.came)
					before := r.one(t)
					play(r, t, rpc, func() {
						r.held(t)
						was := unread(before.raw)
						leave(c)
						gone := func() bool { return hasEnded(before.raw) }
						if strings.HasPrefix(way, "aborted") {
							gone = func() bool { return unread(before.raw) > was }
						}
						require.Eventually(t, gone, 20*time.Second, time.Millisecond)
					})
					select {
					case res := <-r.results:
						assert.Equal(t, decide.NotSent, res)
					case text := <-r.heard:
						t.Fatalf("the server got %.40q", text)
					case <-time.After(20 * time.Second):
						t.Fatal("nothing came of the pick")
					}
					assert.Same(t, rpc, testutil.Receive(t, r.vanished), "the poller has told nothing yet")
					if strings.HasPrefix(way, "aborted") && moment != "body" {
						b := make([]byte, 99)
						n, err := c.Read(b)
						assert.NoError(t, err)
						assert.Contains(t, string(b[:n]), string(fcgi.AppendEnd(nil, 1, 1, fcgi.StatusComplete)), "a gateway's connection goes on")
						c.Close()
					} else {
						assert.Eventually(t, func() bool { return connections(r.f) == 0 }, 20*time.Second, time.Millisecond)
					}
					assert.Empty(t, r.heard)
					assert.Empty(t, r.came, "and nobody waits for what it had asked next")
				})
			}
		}
	}
}

// The first one's attempt is out as the caller leaves, and is answered before the node hears of that.
func TestARequestBehindAnotherIsNotBegunForACallerThatHasLeft(t *testing.T) {
	for way, leave := range leaving {
		r := relayed(t, bounds(), nil)
		c := dial(t, r.addr)
		io.WriteString(c, request("first")+request("second")+request("third"))
		rpc := testutil.Receive(t, r.came)
		r.order(t, rpc)()
		assert.Contains(t, testutil.Receive(t, r.heard), "first")
		r.held(t)
		raw := r.one(t).raw
		leave(c)
		require.Eventually(t, func() bool { return hasEnded(raw) }, 20*time.Second, time.Millisecond)
		rpc.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{Body: []byte("well")}}
		for more := true; more; {
			select {
			case rpc := <-r.came: // it is taken, and looked after before its first byte
				r.order(t, rpc)()
				assert.Same(t, rpc, testutil.Receive(t, r.vanished), way)
			case <-time.After(time.Millisecond):
				more = connections(r.f) > 0
			}
		}
		assert.Empty(t, r.heard, way)
		r.answers <- failedText
	}
}

// Its request and its end lie in the socket as the connection comes from another process, or out of a listener's queue.
func TestAConnectionThatIsTakenOverFromACallerThatHasLeftBringsNoAttempt(t *testing.T) {
	for way, leave := range leaving {
		r := relayed(t, bounds(), nil)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		c := dial(t, ln.Addr().String())
		in, err := ln.Accept()
		require.NoError(t, err)
		ln.Close()
		c.ask()
		leave(c)
		raw, err := in.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		require.Eventually(t, func() bool { return hasEnded(raw) }, 20*time.Second, time.Millisecond)
		r.f.Adopt(in, true)
		assert.Eventually(t, func() bool { return connections(r.f) == 0 }, 20*time.Second, time.Millisecond, way)
		assert.Empty(t, r.came, way)
	}
}

// A gateway's word that it gives its request up comes with the request itself: no event tells of it, and nothing lies in the kernel.
func TestAnAbortThatComesWithItsRequestIsSeen(t *testing.T) {
	front := fronts()["FastCGI"]
	l := bounds()
	l.ClientCheckInterval = time.Hour // no look at the kernel
	r := relayed(t, l, front.way)
	c := dial(t, r.addr)
	io.WriteString(c, front.find+string(fcgi.AppendAbort(nil, 1)))
	rpc := testutil.Receive(t, r.came)
	rpc.Orders <- node.Order{Kind: node.OrderSend, Attempt: &node.Attempt{Server: &node.Server{}}}
	select {
	case start := <-r.starts:
		start()
		assert.Equal(t, decide.NotSent, testutil.Receive(t, r.results))
	case rpc := <-r.vanished:
		r.vanished <- rpc
	}
	assert.Same(t, rpc, testutil.Receive(t, r.vanished))
	b := make([]byte, 99)
	n, err := c.Read(b)
	assert.NoError(t, err)
	assert.Contains(t, string(b[:n]), string(fcgi.AppendEnd(nil, 1, 1, fcgi.StatusComplete)))
	assert.Empty(t, r.heard)
}

// The kernel tells of a request, and the poller is held up before it passes that on; its caller leaves meanwhile. What the poller says then
// is as old as the kernel's word, not as new as its own.
func TestAPollerThatIsHeldUpWithAnEventInItsHandsMakesTheNodeLook(t *testing.T) {
	l := bounds()
	l.ClientCheckInterval = 50 * time.Millisecond
	r := relayed(t, l, nil)
	c := dial(t, r.addr)
	require.Eventually(t, func() bool { return connections(r.f) == 1 }, 20*time.Second, time.Millisecond)
	raw := r.one(t).raw
	first, before, behind := newStall(t, r.f.poller), newStall(t, r.f.poller), newStall(t, r.f.poller)
	first.trigger()
	testutil.Receive(t, first.entered)
	// The kernel keeps the order in which they come.
	before.trigger()
	c.ask()
	require.Eventually(t, func() bool { return unread(raw) > 0 }, 20*time.Second, time.Millisecond)
	behind.trigger()
	first.goOn()
	testutil.Receive(t, before.entered)
	c.Close()
	require.Eventually(t, func() bool { return hasEnded(raw) }, 20*time.Second, time.Millisecond)
	time.Sleep(2 * l.ClientCheckInterval)
	before.goOn()
	testutil.Receive(t, behind.entered)
	rpc := testutil.Receive(t, r.came)
	r.order(t, rpc)()
	assert.Equal(t, decide.NotSent, testutil.Receive(t, r.results))
	assert.Same(t, rpc, testutil.Receive(t, r.vanished))
	assert.Empty(t, r.heard)
}
