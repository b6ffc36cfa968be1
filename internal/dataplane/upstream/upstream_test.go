package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/testutil"
)

// fakeCore says where the one server is, and notes how picks end.
type fakeCore struct {
	mu      sync.Mutex
	addr    string
	gone    bool
	refuses bool
	left    time.Duration
	leaves  func([]*node.Server)
	results []decide.Result
	answer  *node.Response
	atHold  func()
}

func (c *fakeCore) Address(*node.Server) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, !c.gone
}
func (c *fakeCore) Ready(*node.Server) bool {
	_, ready := c.Address(nil)
	return ready
}
func (c *fakeCore) Bind(*node.Attempt, node.Canceler) bool {
	if c.atHold != nil {
		c.atHold()
	}
	return true
}
func (c *fakeCore) Begin(_ *node.Attempt, by node.Canceler) bool {
	time.AfterFunc(c.left, by.Cancel) // late ones must find nothing to break
	return !c.refuses
}
func (c *fakeCore) TimeLeft(*node.Attempt) time.Duration        { return c.left }
func (c *fakeCore) OnServersUnavailable(f func([]*node.Server)) { c.leaves = f }
func (c *fakeCore) BodyReceived(*node.Attempt, time.Duration)   {}
func (c *fakeCore) AttemptDone(_ *node.Attempt, r decide.Result, a *node.Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	c.answer = a
	return true
}

// standIn is a server that does as told with each connection, counted from 0.
type standIn struct {
	net.Listener
	mu    sync.Mutex
	conns int
	heard []string
}

func serve(t *testing.T, each func(s *standIn, i int, c *net.TCPConn)) *standIn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &standIn{Listener: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			i := s.conns
			s.conns++
			s.mu.Unlock()
			go each(s, i, c.(*net.TCPConn))
		}
	}()
	return s
}

// read takes one request in.
func (s *standIn) read(c net.Conn) bool {
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 {
		s.heard = append(s.heard, string(buf[:n]))
	}
	return err == nil
}

func (s *standIn) count() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, len(s.heard)
}

// answers serves every request of a connection with the same words.
func answers(text string) func(*standIn, int, *net.TCPConn) {
	return func(s *standIn, _ int, c *net.TCPConn) {
		for s.read(c) {
			io.WriteString(c, text)
		}
		c.Close()
	}
}

func bounds() limits.Limits {
	return limits.Limits{Wire: httpwire.Sizes{BufferSize: 512, ReadSize: 64, MaxHead: 4096, MaxBody: 1 << 16, MaxChunkLine: 64},
		ResponseReadTimeout: 50 * time.Millisecond, ConnectTimeout: 200 * time.Millisecond, ServerIdleTimeout: 300 * time.Millisecond, SweepInterval: 20 * time.Millisecond}
}

type story struct {
	*Pool
	core   *fakeCore
	budget *limits.Budget
	server *node.Server
	q      *httpwire.Request
}

var watched = sync.OnceValue(func() *poller.Poller {
	l, err := poller.New()
	if err != nil {
		panic(err)
	}
	return l
})

func begin(addr string, descriptors int) *story {
	core := &fakeCore{addr: addr, left: 2 * time.Second}
	b := limits.NewBudget(descriptors, 0, nil)
	return &story{Pool: NewPool(core, bounds(), b, watched()), core: core, budget: b, server: &node.Server{},
		q: &httpwire.Request{Verb: "GET", Target: "/find?k=1", Host: "h", TraceID: "t1", Method: "find"}}
}

func (s *story) pick() decide.Result {
	s.Exchange(&node.Attempt{Server: s.server}, s.q)
	return s.core.results[len(s.core.results)-1]
}

const okText = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/x\r\n\r\nhi"

func TestOutcomesAreThoseOfTheTable(t *testing.T) {
	head := "Content-Length: 0\r\n\r\n"
	for text, want := range map[string]decide.Result{
		okText:                       decide.OK,
		"HTTP/1.1 500 No\r\n" + head: decide.Failed,
		"HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\n" + head: decide.Rejected,
		"HTTP/1.1 504 No\r\nX-Never-Ran: 1\r\n" + head: decide.Rejected,
		// Without the mark it may have run, whatever the number seems to say.
		"HTTP/1.1 503 No\r\n" + head:                       decide.Failed,
		"HTTP/1.1 503 No\r\nX-Never-Ran: 0\r\n" + head:     decide.Failed,
		"HTTP/1.1 500 No\r\nX-Never-Ran: 1\r\n" + head:     decide.Failed,
		"HTTP/1.1 302 No\r\n" + head:                       decide.Failed,
		"nonsense\r\n\r\n":                                 decide.Failed,
		"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n": decide.Failed,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi":   decide.Failed,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n":     decide.Failed,
		"HTTP/1.1 200 OK\r\nContent-Le":                    decide.Failed,
	} {
		s := begin(serve(t, answers(text)).Addr().String(), 5)
		assert.Equal(t, want, s.pick(), "%q", text)
		if want == decide.OK {
			assert.Equal(t, &node.Response{ContentType: "text/x", Body: []byte("hi")}, s.core.answer)
		} else {
			assert.Nil(t, s.core.answer)
		}
	}
}

// The stand-in writes each answer twice, the second time when the next request on the connection has come, so late that no look
// at the connection finds it before.
func TestASecondAnswerIsNotTakenForTheNextRequests(t *testing.T) {
	server := serve(t, func(s *standIn, i int, c *net.TCPConn) {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", i)
		for s.read(c) {
			io.WriteString(c, answer)
			if !s.read(c) {
				break
			}
			io.WriteString(c, answer)
		}
		c.Close()
	})
	s := begin(server.Addr().String(), 5)
	s.limits.ResponseSettleTime = time.Hour
	for i := range 3 {
		assert.Equal(t, decide.OK, s.pick())
		assert.Equal(t, fmt.Sprint(i), string(s.core.answer.Body))
	}
	s.limits.ResponseSettleTime = 0 // it has rested
	conns, _ := server.count()
	s.pick()
	again, _ := server.count()
	assert.Equal(t, conns, again)
}

func TestAServerThatMovesDuringAConnectIsNotSentToWhereItWas(t *testing.T) {
	was, is := serve(t, answers(okText)), serve(t, answers(okText))
	s := begin(was.Addr().String(), 5)
	s.core.atHold = func() {
		s.core.mu.Lock()
		defer s.core.mu.Unlock()
		s.core.addr = is.Addr().String()
	}
	assert.Equal(t, decide.NotSent, s.pick())
	_, sent := was.count()
	assert.Zero(t, sent)
	assert.Equal(t, 5, s.budget.Available())
	assert.Equal(t, decide.OK, s.pick())
	_, sent = is.count()
	assert.Equal(t, 1, sent)
}

func TestAnAnswerAheadOfASlowOneDoesNotHurryIt(t *testing.T) {
	server := serve(t, func(s *standIn, _ int, c *net.TCPConn) {
		for s.read(c) {
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			time.Sleep(120 * time.Millisecond)
			io.WriteString(c, okText)
		}
		c.Close()
	})
	s := begin(server.Addr().String(), 5)
	for range 3 {
		assert.Equal(t, decide.OK, s.pick())
		time.Sleep(70 * time.Millisecond) // past the time for the rest of the answer before
	}
	conns, _ := server.count()
	assert.Equal(t, 1, conns)
}

func TestBrokenAfterTheLastByteIsAResetAndNothingIsSentAgain(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"end":         func(c *net.TCPConn) { c.Close() },
		"half answer": func(c *net.TCPConn) { io.WriteString(c, okText[:len(okText)-1]); c.Close() },
	} {
		server := serve(t, func(s *standIn, _ int, c *net.TCPConn) { s.read(c); end(c) })
		s := begin(server.Addr().String(), 5)
		assert.Equal(t, decide.Reset, s.pick(), name)
		_, requests := server.count()
		assert.Equal(t, 1, requests, name)
	}
}

// brokenPipe takes some bytes and breaks.
type brokenPipe struct {
	net.Conn
	takes int
}

func (b *brokenPipe) Write(p []byte) (int, error) {
	n := min(len(p), b.takes)
	if b.takes -= n; n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}
func (b *brokenPipe) Read([]byte) (int, error) { return 0, io.EOF }

func TestBrokenBeforeTheLastByteNeverRan(t *testing.T) {
	s := begin("", 5)
	s.q.Verb, s.q.Body = "POST", []byte("0123456789")
	whole := len(s.q.AppendHead(nil, "", time.Second)) + 10
	for takes, want := range map[int]decide.Result{0: decide.ConnectFailed, whole - 1: decide.ConnectFailed,
		whole: decide.Reset} {
		raw := &brokenPipe{takes: takes}
		s.core.left = time.Second
		o := (&exchange{pool: s.Pool, attempt: &node.Attempt{}, request: s.q}).roundTrip(s.newConn(raw, ""))
		got, again := o.result, o.reusable
		assert.Equal(t, want, got, "broken after %d of %d bytes", takes, whole)
		assert.False(t, again)
	}
}

func TestARefusedConnectionNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	assert.Equal(t, decide.ConnectFailed, begin(ln.Addr().String(), 5).pick())
}

// The process has no descriptor left, whatever the budget says: its server is not to blame for that.
func TestAConnectThatFailsForWantOfDescriptorsIsNoFaultOfTheServer(t *testing.T) {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE} {
		s := begin("127.0.0.1:1", 5)
		s.dialer.Control = func(string, string, syscall.RawConn) error { return os.NewSyscallError("socket", e) }
		assert.Equal(t, decide.NotSent, s.pick(), e)
		assert.Equal(t, 5, s.budget.Available())

		s = begin(serve(t, answers(okText)).Addr().String(), 5)
		fails := 3
		s.dialer.Control = func(string, string, syscall.RawConn) error {
			if fails--; fails >= 0 {
				return os.NewSyscallError("socket", e)
			}
			return nil
		}
		assert.Equal(t, decide.OK, s.pick(), "others may give way meanwhile")
	}
}

func TestAPickThatIsGivenUpReturnsAtOnceAndClosesItsConnection(t *testing.T) {
	closed := make(chan bool, 1)
	server := serve(t, func(s *standIn, _ int, c *net.TCPConn) { s.read(c); closed <- !s.read(c) })
	s := begin(server.Addr().String(), 1)
	s.core.left = 50 * time.Millisecond
	began := time.Now()
	assert.Equal(t, decide.Reset, s.pick(), "the core knows why")
	assert.Less(t, time.Since(began), 10*time.Second)
	assert.True(t, testutil.Receive(t, closed))
	conns, _ := server.count()
	assert.Equal(t, 1, conns)
	assert.True(t, s.budget.Acquire(), "its descriptor is free")
}

// A pick's end can come when its connection serves another already.
func TestABreakThatComesLateHitsNobodyElse(t *testing.T) {
	server := serve(t, answers(okText))
	s := begin(server.Addr().String(), 1)
	s.core.left = time.Hour
	for range 50 {
		x := &exchange{pool: s.Pool, attempt: &node.Attempt{Server: s.server}, request: s.q}
		x.Run()
		x.Cancel()
	}
	for _, r := range s.core.results {
		assert.Equal(t, decide.OK, r)
	}
	conns, _ := server.count()
	assert.Equal(t, 1, conns)
}

func TestACoreThatSaysNoLeavesTheConnectionUnused(t *testing.T) {
	server := serve(t, answers(okText))
	s := begin(server.Addr().String(), 5)
	s.core.refuses = true
	assert.Equal(t, decide.NotSent, s.pick())
	s.core.refuses = false
	assert.Equal(t, decide.OK, s.pick())
	conns, requests := server.count()
	assert.Equal(t, 1, conns, "the connection that was made is kept")
	assert.Equal(t, 1, requests)
	s.core.gone = true
	assert.Equal(t, decide.NotSent, s.pick(), "a server that has left is not even called")
}

func TestConnectionsAreUsedAgainTheLastOneFirst(t *testing.T) {
	server := serve(t, answers(okText))
	s := begin(server.Addr().String(), 9)
	var at sync.WaitGroup
	for range 3 {
		at.Go(func() { s.Exchange(&node.Attempt{Server: s.server}, s.q) })
	}
	at.Wait()
	before, _ := server.count()
	s.mu.Lock()
	last := s.idle.latest(s.server)
	s.mu.Unlock()
	for range 10 {
		assert.Equal(t, decide.OK, s.pick())
		assert.Same(t, last, s.idle.latest(s.server))
	}
	after, _ := server.count()
	assert.Equal(t, before, after)
}

func TestAConnectionThatTheServerClosedIsNotWrittenTo(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"end":      func(c *net.TCPConn) { c.Close() },
		"reset":    func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"chatting": func(c *net.TCPConn) { io.WriteString(c, "HTTP/1.1 408 Slow\r\n\r\n") },
	} {
		server := serve(t, func(s *standIn, i int, c *net.TCPConn) {
			s.read(c)
			io.WriteString(c, okText)
			if i == 0 {
				time.Sleep(10 * time.Millisecond)
				end(c)
			}
		})
		s := begin(server.Addr().String(), 5)
		assert.Equal(t, decide.OK, s.pick())
		time.Sleep(30 * time.Millisecond)
		assert.Equal(t, decide.OK, s.pick(), name)
		conns, requests := server.count()
		assert.Equal(t, []int{2, 2}, []int{conns, requests}, name)
	}
}

func TestAConnectionThatIsToEndIsNotUsedAgain(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		server := serve(t, answers(text)) // says so, and leaves it open
		s := begin(server.Addr().String(), 5)
		assert.Equal(t, decide.OK, s.pick())
		assert.Equal(t, decide.OK, s.pick())
		conns, _ := server.count()
		assert.Equal(t, 2, conns, text)
	}
}

func TestIdleConnectionsAreClosedBeforeTheServerDoes(t *testing.T) {
	closed := make(chan time.Time, 1)
	server := serve(t, func(s *standIn, _ int, c *net.TCPConn) {
		s.read(c)
		io.WriteString(c, okText)
		s.read(c)
		closed <- time.Now()
	})
	s := begin(server.Addr().String(), 5)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go s.Run(ctx)
	assert.Equal(t, decide.OK, s.pick())
	start := time.Now()
	at := testutil.Receive(t, closed)
	assert.InDelta(t, 0.3, at.Sub(start).Seconds(), 0.2)
}

func TestAServerThatLeavesLosesItsIdleConnectionsAndThoseThatFallIdleLater(t *testing.T) {
	closed := make(chan bool, 9)
	server := serve(t, func(s *standIn, _ int, c *net.TCPConn) {
		s.read(c)
		io.WriteString(c, okText)
		closed <- !s.read(c)
	})
	s := begin(server.Addr().String(), 5)
	s.limits.ServerIdleTimeout = time.Hour
	assert.Equal(t, decide.OK, s.pick())
	s.Exchange(&node.Attempt{Server: s.server, FreshConnection: true}, s.q) // the module does not trust the idle one
	assert.True(t, testutil.Receive(t, closed))
	s.core.leaves([]*node.Server{s.server})
	assert.True(t, testutil.Receive(t, closed))
	s.pick() // under way when the word comes
	s.core.mu.Lock()
	s.core.gone = true
	s.core.mu.Unlock()
	last := s.getIdle(s.server, s.core.addr)
	s.putIdle(s.server, last)
	assert.True(t, testutil.Receive(t, closed))
	assert.Empty(t, s.idle.byServer)
}

func TestAnIdleConnectionThatTheServerClosesGoesAtOnce(t *testing.T) {
	server := serve(t, func(s *standIn, _ int, c *net.TCPConn) {
		s.read(c)
		io.WriteString(c, okText)
		time.Sleep(20 * time.Millisecond)
		c.Close()
	})
	s := begin(server.Addr().String(), 1)
	assert.Equal(t, decide.OK, s.pick())
	require.Eventually(t, func() bool { return s.budget.Acquire() }, 20*time.Second, time.Millisecond, "its descriptor is free without a look")
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Empty(t, s.idle.byServer)
}

func TestPastTheBudgetIdleConnectionsGoFirst(t *testing.T) {
	a, b := serve(t, answers(okText)), serve(t, answers(okText))
	s := begin(a.Addr().String(), 1)
	assert.Equal(t, decide.OK, s.pick())
	s.server, s.core.addr = &node.Server{}, b.Addr().String()
	assert.Equal(t, decide.OK, s.pick(), "the idle connection to the first server made room")
	assert.Len(t, s.idle.byServer, 1)

	// With none idle the pick has not been sent, and no server is to blame.
	assert.True(t, s.EvictIdle())
	require.True(t, s.budget.Acquire())
	assert.Equal(t, decide.NotSent, s.pick())
}

func TestALargeBodyGoesOutWhole(t *testing.T) {
	got := make(chan string, 1)
	server := serve(t, func(s *standIn, _ int, c *net.TCPConn) {
		r := httpwire.NewReader(c, bounds().Wire)
		q, err := r.ReadRequest()
		if assert.NoError(t, err) {
			got <- string(q.Body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
		}
	})
	s := begin(server.Addr().String(), 5)
	body := strings.Repeat("0123456789abcdef", 4096)
	s.q.Verb, s.q.Body = "POST", []byte(body)
	assert.Equal(t, decide.OK, s.pick())
	assert.Equal(t, body, testutil.Receive(t, got))
	assert.Equal(t, body, string(s.core.answer.Body))
}

// Bytes go on coming, and the answer's end does not: its pick ends all the same, in time for another.
func TestAnAnswerThatNeverEndsIsGivenUpInTime(t *testing.T) {
	for name, parts := range map[string][2]string{
		"headers":   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"a header":  {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"no length": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", "x"},
		"ahead":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		server := serve(t, func(s *standIn, _ int, c *net.TCPConn) {
			s.read(c)
			io.WriteString(c, parts[0])
			for {
				if _, err := io.WriteString(c, parts[1]); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
		s := begin(server.Addr().String(), 1)
		done := make(chan decide.Result, 1)
		go func() { done <- s.pick() }()
		assert.Equal(t, decide.Failed, testutil.Receive(t, done), name)
		assert.Equal(t, 1, s.budget.Available(), name)
	}
}

// A body without a length, where its head tells so, ends with its connection: by an end it is whole, by a reset it is cut, however much of it had come. The
// large ones are passed on while they come.
func TestAnAnswerWithoutLengthIsWholeAtAnEndAndCutAtAReset(t *testing.T) {
	ends := map[string]func(*net.TCPConn){
		"end":   func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for _, head := range []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		for _, size := range []int{0, 2, 40_000, 200_000} {
			for name, end := range ends {
				now := make(chan struct{})
				server := serve(t, func(s *standIn, _ int, c *net.TCPConn) {
					s.read(c)
					io.WriteString(c, head+strings.Repeat("x", size))
					<-now
					end(c)
				})
				s := begin(server.Addr().String(), 5)
				s.limits.Wire.MaxStream, s.limits.Wire.StreamPrefix = 1<<20, 4<<10
				s.limits.ResponseReadTimeout, s.limits.ResponseStallTimeout, s.limits.ClientStallTimeout = 20*time.Second, 20*time.Second, 20*time.Second
				s.core.left = 20 * time.Second
				over := make(chan decide.Result, 1)
				go func() { over <- s.pick() }()
				what := fmt.Sprintf("%q %d %s", head, size, name)
				if size < 1<<16 {
					close(now)
					want := map[string]decide.Result{"end": decide.OK, "reset": decide.Reset}[name]
					assert.Equal(t, want, testutil.Receive(t, over), what)
					continue
				}
				answer := func() *node.Response {
					s.core.mu.Lock()
					defer s.core.mu.Unlock()
					return s.core.answer
				}
				require.Eventually(t, func() bool { return answer() != nil }, 20*time.Second, time.Millisecond, what)
				close(now)
				got, err := len(answer().Body), error(nil)
				for piece := make([]byte, 1<<12); err == nil; {
					var n int
					n, err = answer().BodyStream.Read(piece)
					got += n
				}
				if name == "end" {
					assert.Equal(t, io.EOF, err, what)
					assert.Equal(t, size, got, what)
				} else {
					assert.NotErrorIs(t, err, io.EOF, what)
				}
				answer().BodyStream.Close(name == "end")
				testutil.Receive(t, over)
			}
		}
	}
}

// What the system held back of small writes would be lost where a close over unread bytes resets their connection.
func TestNoSmallWriteToAServerIsHeldBack(t *testing.T) {
	s := begin(serve(t, answers(okText)).Addr().String(), 5)
	require.Equal(t, decide.OK, s.pick())
	on := 0
	s.idle.latest(s.server).raw.Control(func(fd uintptr) { on, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
	assert.Equal(t, 1, on)
}
