package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/wire"
	"robincart/internal/testutil"
)

func TestARequestIsServedUnchanged(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 4096)
	echo := newServer(t, func(c net.Conn, q *wire.Request) bool {
		c.Write(wire.Answer(nil, 200, "Content-Type: text/x\r\n", q.Body))
		return true
	})
	p, _ := serving(t, echo)
	for _, text := range []string{"hello", body, ""} {
		r := p.askWith("book", text, map[string]string{"X-Trace-Id": fmt.Sprint("9b1f03aa", len(text))})
		require.NoError(t, r.err)
		assert.Equal(t, 200, r.status)
		assert.Equal(t, text, r.body)
		assert.Equal(t, "text/x", r.header.Get("Content-Type"))
	}
	got := echo.got[0]
	assert.Equal(t, "POST /book/table?k=7", got.Verb+" "+got.Target)
	assert.Equal(t, "9b1f03aa5", got.Header.Get("X-Trace-Id"))
	assert.Equal(t, "5c0f6e1a", got.Header.Get("Idempotency-Key"))
	left, err := strconv.Atoi(got.Header.Get("X-Expires-In-Ms"))
	assert.NoError(t, err)
	assert.True(t, left > 2000 && left <= 3000, left)
	assert.Equal(t, 200, p.ask("find", "").status)
}

func TestAPushbackPromisesAndAnAbortDoesNot(t *testing.T) {
	full, failing := newServer(t, says(503, "")), newServer(t, says(500, ""))
	p, _ := serving(t, full)
	r := p.ask("charge", "x")
	assert.Equal(t, 503, r.status)
	wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	assert.NoError(t, err)
	assert.Greater(t, wait, 0.0)

	p, _ = serving(t, failing, newServer(t, says(500, "")))
	r = p.ask("charge", "x")
	assert.Contains(t, []int{500, 504}, r.status, "it may have run")
	r = p.ask("find", "")
	assert.Equal(t, 503, r.status, "asking again is harmless")
}

func TestAServerThatBreaksOffIsNotSentToTwiceUnlessTheModuleSaysSo(t *testing.T) {
	broken := newServer(t, breaks)
	p, _ := serving(t, broken)
	r := p.ask("charge", "x")
	assert.Contains(t, []int{500, 504}, r.status)
	assert.Equal(t, 1, broken.count())

	good := newServer(t, says(200, "well"))
	p, _ = serving(t, newServer(t, breaks), good)
	for range 10 {
		r = p.ask("find", "")
		assert.Equal(t, 200, r.status)
		assert.Equal(t, "well", r.body)
	}
}

// A server that takes in a little and breaks off has not had the last byte of a large request, but may have had that
// of a small one.
func TestWhatBreaksBeforeTheLastByteNeverRan(t *testing.T) {
	narrow := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 600)
		})
	}}
	ln, err := narrow.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	d := newDiscovery(t, listed("s0", ln.Addr().String(), "ready"))
	p := start(t, configuration(t, d, d.all()...))
	assert.Equal(t, 503, p.ask("charge", strings.Repeat("x", 65536)).status, "it never ran: trying again is harmless")
	assert.Equal(t, 504, p.ask("charge", "x").status, "it may have run")
}

func TestACallerThatLeavesEndsItsPickAtOnce(t *testing.T) {
	left := make(chan time.Time, 1)
	came := make(chan bool, 1)
	slow := newServer(t, func(c net.Conn, q *wire.Request) bool {
		came <- true
		hangs(c, q)
		left <- time.Now()
		return false
	})
	p, _ := serving(t, slow)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	io.WriteString(c, raw("GET /find", "find"))
	testutil.Receive(t, came)
	at := time.Now()
	c.Close()
	assert.WithinDuration(t, at, testutil.Receive(t, left), 2*time.Second)
}

// A connect that takes longer than a drain's grace must not end in a send to the server that drains
// meanwhile.
func TestAServerThatDrainsDuringASlowConnectGetsNothing(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	require.NoError(t, err)
	file.Close()
	defer ln.Close()
	// The listener's queue holds one connection; the next one has to try again after a second.
	filler, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer filler.Close()

	d := newDiscovery(t, listed("slow", ln.Addr().String(), "ready"))
	p := start(t, configuration(t, d, d.all()[0]))
	require.Eventually(t, func() bool { return d.watching() > 0 }, 5*time.Second, 10*time.Millisecond)
	got := make(chan reply, 1)
	go func() { got <- p.ask("charge", "x") }()
	time.Sleep(200 * time.Millisecond)
	d.Tell(listed("slow", ln.Addr().String(), "draining"))
	time.Sleep(100 * time.Millisecond)
	written := make(chan int, 9)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
				n, _ := c.Read(make([]byte, 99))
				written <- n
			}()
		}
	}()
	r := testutil.Receive(t, got)
	assert.Equal(t, 503, r.status, "it never ran, and there is no other server")
	assert.Greater(t, r.took, 500*time.Millisecond, "the connect was not slow: the story has not been told")
	assert.Zero(t, testutil.Receive(t, written))
	assert.Zero(t, testutil.Receive(t, written))
}

func TestTheNodeServesOnWhileDiscoveryIsAway(t *testing.T) {
	old, fresh := newServer(t, says(200, "old")), newServer(t, says(200, "fresh"))
	p, d := serving(t, old)
	require.Eventually(t, func() bool { return d.watching() == 1 }, 5*time.Second, 10*time.Millisecond)
	d.Gone(true)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, "old", p.ask("find", "").body)
	d.Tell(listed("s0", old.addr(), "gone"), listed("s1", fresh.addr(), "ready"))
	assert.Equal(t, "old", p.ask("find", "").body, "nobody has told the node")
	d.Gone(false)
	require.Eventually(t, func() bool { return d.watching() == 2 }, 15*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return p.ask("find", "").body == "fresh" }, time.Second, 10*time.Millisecond)
	n := old.count()
	for range 5 {
		assert.Equal(t, "fresh", p.ask("find", "").body)
	}
	assert.Equal(t, n, old.count())
}

// A SIGHUP used to end the node. EDGE_DISCOVERY, which start sets, names the old discovery all along.
func TestANewConfigurationUnderTrafficMovesTheWatchAndLosesNothing(t *testing.T) {
	old, fresh := newServer(t, says(200, "old")), newServer(t, says(200, "fresh"))
	here, there := newDiscovery(t, listed("s0", old.addr(), "ready")), newDiscovery(t)
	there.Number(2)
	there.Tell(listed("s1", fresh.addr(), "ready"))
	config := configuration(t, here, here.all()...)
	p := start(t, config)
	require.Eventually(t, func() bool { return here.watching() == 1 }, 5*time.Second, 10*time.Millisecond)
	ended := make(chan bool)
	var callers sync.WaitGroup
	var served, pushedBack atomic.Int64
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					r := p.ask("charge", "x")
					assert.NoError(t, r.err)
					if r.status == 503 { // a busy machine makes servers look slow, and a pushback loses nothing
						pushedBack.Add(1)
						continue
					}
					served.Add(1)
					assert.Equal(t, 200, r.status)
				}
			}
		})
	}
	p.reload("{")
	require.Eventually(t, func() bool { return strings.Contains(p.Log(), "configuration rejected") },
		2*time.Second, 10*time.Millisecond)
	assert.Equal(t, "old", p.ask("find", "").body)
	config["discovery"], config["seed"], config["name"] = there.addr(), "2", "n2"
	text, _ := json.Marshal(config)
	for range 5 {
		p.reload(string(text))
	}
	require.Eventually(t, func() bool { return p.ask("find", "").body == "fresh" }, time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return here.open() == 0 && there.open() == 1 }, time.Second, 10*time.Millisecond)
	assert.Contains(t, p.Log(), `"restart_required":["name"]`)
	close(ended)
	callers.Wait()
	assert.Greater(t, served.Load(), 9*pushedBack.Load())
	require.NoError(t, p.Signal(syscall.SIGTERM))
	p.Signal(syscall.SIGHUP)
	p.exits(3 * time.Second)
}

func TestAnOldListAtTheStartCostsNoRequest(t *testing.T) {
	gone := freeAddress(t)
	good := newServer(t, says(200, "well"))
	d := newDiscovery(t)
	d.Gone(true)
	p := start(t, configuration(t, d, listed("left", gone, "ready"), listed("there", good.addr(), "ready")))
	for range 10 {
		assert.Equal(t, 200, p.ask("charge", "x").status)
	}
}

func TestAServerThatMovesIsFollowedUnderItsName(t *testing.T) {
	here, there := newServer(t, says(200, "here")), newServer(t, says(200, "there"))
	p, d := serving(t, here)
	require.Eventually(t, func() bool { return d.watching() == 1 }, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, "here", p.ask("find", "").body)
	d.Tell(listed("s0", there.addr(), "ready"))
	require.Eventually(t, func() bool { return p.ask("find", "").body == "there" }, time.Second, 10*time.Millisecond)
}

func TestAStopAnswersAllThatWasTaken(t *testing.T) {
	slow := newServer(t, after(900*time.Millisecond, says(200, "well")))
	p, _ := serving(t, slow)
	idle, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer idle.Close()
	var all sync.WaitGroup
	ask := func() {
		r := p.ask("charge", "x")
		assert.NoError(t, r.err)
		assert.Equal(t, 200, r.status)
		assert.True(t, r.closes)
	}
	all.Go(ask)
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, p.Signal(syscall.SIGTERM))
	time.Sleep(400 * time.Millisecond)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err, "the front goes on dealing out connections for 0.4 s")
	defer c.Close()
	io.WriteString(c, "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n")
	first, err := bufio.NewReader(c).ReadString('\n')
	assert.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 503 Service Unavailable\r\n", first)
	all.Go(ask)
	all.Wait()
	p.exits(time.Second)
}

// The front goes on dealing out connections for up to 0.4 s, and callers use those that they have.
func TestAStopUnderTrafficLosesNothing(t *testing.T) {
	p, _ := serving(t, newServer(t, after(20*time.Millisecond, says(200, "well"))))
	until := time.Now().Add(700 * time.Millisecond)
	var all sync.WaitGroup
	var served, closed atomic.Int64
	for range 8 {
		all.Go(func() {
			for time.Now().Before(until) {
				r := p.ask("find", "")
				if !assert.NoError(t, r.err) || !assert.Equal(t, 200, r.status) {
					return
				}
				served.Add(1)
				if r.closes {
					closed.Add(1)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	p.stop(2 * time.Second)
	all.Wait()
	assert.Greater(t, served.Load(), int64(80))
	assert.Greater(t, closed.Load(), int64(40), "after the stop each answer closes its connection")
}

func TestAStopAbortsWhatIsStillOutBeforeItIsKilled(t *testing.T) {
	p, _ := serving(t, newServer(t, hangs))
	got := make(chan reply, 1)
	go func() { got <- p.askWith("slow", "x", map[string]string{"X-Expires-In-Ms": "6000"}) }()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	p.stop(3700 * time.Millisecond)
	assert.Greater(t, time.Since(began), 3*time.Second, "an RPC with time left is not cut short")
	assert.Equal(t, 504, testutil.Receive(t, got).status)
}

func TestPastTheBudgetEveryCallerIsAnswered(t *testing.T) {
	slow := newServer(t, after(300*time.Millisecond, says(200, "well")))
	d := newDiscovery(t, listed("s0", slow.addr(), "ready"))
	config := configuration(t, d, d.all()...)
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 48}
	p := start(t, config)
	for range 60 { // connections that nobody uses give way
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		defer c.Close()
	}
	counts := map[int]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for range 60 {
		all.Go(func() {
			r := p.ask("charge", "x")
			mu.Lock()
			defer mu.Unlock()
			assert.NoError(t, r.err)
			assert.Less(t, r.took, 2500*time.Millisecond)
			counts[r.status]++
		})
	}
	all.Wait()
	assert.Equal(t, 60, counts[200]+counts[503], "%v", counts)
	assert.Greater(t, counts[200], 10, "%v", counts)
	assert.Equal(t, counts[200], slow.count(), "what was refused was never sent")
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(files), 48)
	assert.Equal(t, 200, p.ask("charge", "x").status, "afterwards there is room again")
}

// raw is a request as it stands on the wire; without says which headers to leave out, and more are added.
func raw(line, method string, more ...string) string {
	headers := []string{"Host: service.internal", "X-Trace-Id: 9b1f", "X-Qos: " + method, "X-Customer: acme",
		"X-Expires-In-Ms: 1000"}
	for _, m := range more {
		name, value, _ := strings.Cut(m, ":")
		for i, h := range headers {
			if strings.HasPrefix(h, name+":") {
				headers = append(headers[:i], headers[i+1:]...)
				break
			}
		}
		if value != "" {
			headers = append(headers, m)
		}
	}
	return line + " HTTP/1.1\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
}

func TestBadInputIsAnsweredAndNeverSent(t *testing.T) {
	s := newServer(t, says(200, ""))
	p, _ := serving(t, s)
	for text, status := range map[string]int{
		"nonsense\r\n\r\n":                         400,
		"GET /find HTTP/1.1\r\nbad header\r\n\r\n": 400,
		raw("POST /charge", "charge", "Content-Length: 1", "content-length: 2") + "ab":   400,
		raw("POST /charge", "charge", "Content-Length: 1", "Transfer-Encoding: chunked"): 400,
		raw("POST /charge", "charge", "Content-Length: x"):                               400,
		raw("GET /find", "find", "X-Expires-In-Ms:"):                                     400,
		raw("GET /find", "find", "X-Expires-In-Ms: soon"):                                400,
		raw("GET /find", "find", "X-Expires-In-Ms: 1e3"):                                 400,
		raw("GET /find", "find", "X-Trace-Id:"):                                          400,
		raw("GET /find", "find", "X-Customer: nobody"):                                   400,
		raw("GET /find", "find", "X-Customer:"):                                          400,
		raw("GET /find", "book"):                                                         400,
		raw("GET /find", "find", "X-Qos:"):                                               400,
		raw("GET /find", "find", "Content-Length: 1") + "x":                              400,
		raw("POST /book", "book"):                                                        400,
		raw("POST /charge", "charge", "Content-Length: 33554433"):                        413,
		raw("GET /find", "find", "X-Props: "+strings.Repeat("a", 20000)):                 431,
		raw("GET /nowhere", "find"):                                                      404,
		raw("GET /", "find"):                                                             404,
		raw("POST /find", "find"):                                                        405,
		raw("GET /charge", "charge"):                                                     405,
		"POST /health/ready HTTP/1.1\r\nHost: n\r\n\r\n":                                 405,
	} {
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if assert.NoError(t, err, "%.80q", text) {
			assert.Equal(t, status, r.StatusCode, "%.80q", text)
		}
		c.Close()
	}
	assert.Zero(t, s.count())
	assert.Equal(t, 200, p.ask("find", "").status)
}

func TestHalfARequestIsTimedOut(t *testing.T) {
	t.Parallel()
	p, _ := serving(t, newServer(t, says(200, "")))
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer c.Close()
	io.WriteString(c, "GET /find HTT")
	c.SetReadDeadline(time.Now().Add(8 * time.Second))
	text, err := io.ReadAll(c)
	assert.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(text), "HTTP/1.1 408 "), "%q", text)
}

// Connections that bring no whole request must give way: usual callers wait in the listener's queue behind them.
func TestACallerIsServedBehindAFloodThatBringsNoRPC(t *testing.T) {
	s := newServer(t, says(200, "well"))
	d := newDiscovery(t, listed("s0", s.addr(), "ready"))
	config := configuration(t, d, d.all()...)
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 64}
	p := start(t, config)
	for i := range 200 {
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		defer c.Close()
		io.WriteString(c, []string{"", "GET /find HTT", "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"}[i%3])
	}
	r := p.ask("charge", "x")
	assert.Equal(t, 200, r.status)
	assert.Less(t, r.took, 1500*time.Millisecond)
}

// Each is owed an answer or a close within 3 s of connecting, and the usual callers are served meanwhile.
func TestHostileCallersAreRidOfInTime(t *testing.T) {
	t.Parallel()
	p, _ := serving(t, newServer(t, says(200, "well")))
	began := time.Now()
	ends := func(c net.Conn, says string) {
		c.SetReadDeadline(began.Add(3 * time.Second))
		text, err := io.ReadAll(c)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Contains(t, string(text), says)
		c.Close()
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		return c
	}
	var all sync.WaitGroup
	silent, late := dial(), dial()
	all.Go(func() { ends(silent, "") })
	all.Go(func() {
		time.Sleep(1500 * time.Millisecond)
		io.WriteString(late, "GET /find HTT")
		ends(late, " 408 ")
	})
	huge, sent := dial(), 0
	io.WriteString(huge, raw("POST /charge", "charge", "Content-Length: 62914560"))
	huge.SetWriteDeadline(began.Add(3 * time.Second))
	for block := make([]byte, 1<<20); sent < 60; sent++ {
		if _, err := huge.Write(block); err != nil {
			assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			break
		}
	}
	assert.Less(t, sent, 30, "taking it all in would cost the usual callers the core")
	huge.Close()
	assert.Equal(t, 200, p.ask("charge", "x").status)
	all.Wait()
}

func TestBadConfigurationIsOnePlainMessage(t *testing.T) {
	d := newDiscovery(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	with := func(key string, value any) map[string]any {
		c := configuration(t, d)
		c[key] = value
		return c
	}
	for says, config := range map[string]any{
		"configuration":          "no object",
		"listen":                 with("listen", "nowhere"),
		"discovery":              with("discovery", ""),
		"settings are missing":   with("settings", nil),
		"Classes":                with("settings", map[string]any{}),
		"limits.memory_mb":       with("limits", map[string]any{"cores": 1, "sockets": 1024}),
		"limits.sockets":         with("limits", map[string]any{"cores": 1, "memory_mb": 192}),
		"known":                  with("known", []int{1}),
		"address already in use": with("listen", taken.Addr().String()),
	} {
		cmd, log := command(t, config)
		assert.Error(t, cmd.Run(), says)
		assert.Equal(t, 1, cmd.ProcessState.ExitCode(), says)
		assert.Contains(t, log.String(), says)
		assert.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	}
	cmd, log := command(t, configuration(t, d))
	cmd.Env = append(cmd.Env, "EDGE_CONFIG=")
	assert.Error(t, cmd.Run())
	assert.Contains(t, log.String(), "EDGE_CONFIG")
}
