package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/handover"
)

// place is where processes of one node follow one another: one listener, one directory, one file.
type place struct {
	t      *testing.T
	file   *os.File
	dir    string
	config map[string]any
	addr   string
}

// started is one of them.
type started struct {
	*exec.Cmd
	log    *logged
	admin  string
	config string
	ended  chan error
}

func newPlace(t *testing.T, servers ...*server) (*place, *discovery) {
	d := newDiscovery(t)
	for i, s := range servers {
		d.Tell(listed(fmt.Sprint("s", i), s.addr(), "ready"))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	file, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	ln.Close()
	t.Cleanup(func() { file.Close() })
	c := configuration(t, d, d.all()...)
	c["listen"] = ln.Addr().String()
	return &place{t: t, file: file, dir: t.TempDir(), config: c, addr: ln.Addr().String()}, d
}

// start starts one more and waits until it takes callers.
func (l *place) start() *started {
	l.t.Helper()
	l.config["admin_addr"] = freeAddress(l.t)
	p := l.begin()
	require.Eventually(l.t, p.ready, 20*time.Second, 5*time.Millisecond, "%s", p.log)
	return p
}

// begin starts one more, by the configuration as it is.
func (l *place) begin() *started {
	l.t.Helper()
	p := &started{admin: l.config["admin_addr"].(string), log: &logged{}, ended: make(chan error, 1), config: filepath.Join(l.t.TempDir(), "config.json")}
	text, err := json.Marshal(l.config)
	require.NoError(l.t, err)
	require.NoError(l.t, os.WriteFile(p.config, text, 0o600))
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "ROBINCART_TEST_PROGRAM=1", "GORACE=atexit_sleep_ms=0", "EDGE_CONFIG="+p.config, "EDGE_ACCEPT_FD=3", "TMPDIR="+l.dir)
	p.ExtraFiles, p.Stderr = []*os.File{l.file}, p.log
	require.NoError(l.t, p.Start())
	go func() { p.ended <- p.Wait() }()
	l.t.Cleanup(func() {
		p.Process.Kill()
		assert.NotContains(l.t, p.log.String(), "DATA RACE")
		assert.NotContains(l.t, p.log.String(), "panic:")
	})
	return p
}

func (s *started) ready() bool {
	r, err := http.Get("http://" + s.admin + "/_ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func (s *started) exits(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.ended:
		assert.NoError(t, err, s.log.String())
	case <-time.After(20 * time.Second):
		s.Process.Signal(syscall.SIGQUIT) // it says where it stands
		<-s.ended
		assert.Fail(t, "the process is still there", s.log.String())
	}
}

// traffic keeps callers at work on connections that stay open until stop, which returns how many requests were not served.
// Each asks once: what a request crosses is told.
func (l *place) traffic(callers int) (stop func() (asked, failed int)) {
	var all sync.WaitGroup
	var mu sync.Mutex
	n, bad := 0, 0
	end := make(chan struct{})
	for i := range callers {
		all.Go(func() {
			c, err := net.Dial("tcp", l.addr)
			if err != nil {
				mu.Lock()
				bad++
				mu.Unlock()
				return
			}
			defer c.Close()
			buf := make([]byte, 4096)
			for k := 0; ; k++ {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(i%5) * 3 * time.Millisecond):
				}
				c.SetDeadline(time.Now().Add(20 * time.Second))
				fmt.Fprintf(c, "GET /find/x HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %08x%08x\r\nX-Qos: find\r\nX-Customer: acme\r\nX-Expires-In-Ms: 3000\r\n\r\n", i, k)
				got, err := c.Read(buf)
				mu.Lock()
				n++
				if err != nil || string(buf[9:12]) != "200" {
					bad++
					l.t.Logf("request %d of caller %d: %v %.60q", k, i, err, buf[:got])
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	return func() (int, int) {
		close(end)
		all.Wait()
		return n, bad
	}
}

func TestProcessesFollowOneAnotherUnderTrafficAndNoCallerNotices(t *testing.T) {
	slow := newServer(t, after(20*time.Millisecond, says(200, "x")))
	l, _ := newPlace(t, slow, newServer(t, says(200, "y")))
	p := l.start()
	stop := l.traffic(20)
	time.Sleep(200 * time.Millisecond)
	for range 3 {
		next := l.start()
		assert.Eventually(t, func() bool { return !p.ready() }, 20*time.Second, time.Millisecond, "the one before says that it takes none")
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, p.Process.Signal(syscall.SIGTERM))
		p.exits(t)
		p = next
	}
	time.Sleep(100 * time.Millisecond)
	asked, failed := stop()
	assert.Zero(t, failed)
	assert.Greater(t, asked, 500)
}

func TestBansAndEmptyingOutliveTheProcessThatWasTold(t *testing.T) {
	a, b := newServer(t, says(200, "a")), newServer(t, says(200, "b"))
	l, _ := newPlace(t, a, b)
	ask := func() reply { return (&program{t: t, addr: l.addr}).ask("find", "") }
	first := l.start()
	assert.Equal(t, 200, calls(t, first.admin, "/_servers/detach", `{"host":"s0"}`))
	second := l.start()
	for range 20 {
		assert.Equal(t, "b", ask().body, "out over an upgrade")
	}
	// While both are there either may be told.
	assert.Equal(t, 200, calls(t, first.admin, "/_servers/attach", `{"host":"s0"}`))
	assert.Equal(t, 200, calls(t, first.admin, "/_servers/detach", `{"host":"s1"}`))
	twice := func() bool {
		first, then := ask().body, ask().body
		return first == "a" && then == "a"
	}
	assert.Eventually(t, twice, 20*time.Second, 5*time.Millisecond)
	before := b.count()
	for range 20 {
		assert.Equal(t, "a", ask().body)
	}
	assert.Equal(t, before, b.count())
	assert.Equal(t, 200, calls(t, second.admin, "/_lameduck/on", ""))
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.exits(t)
	// Killed outright, too, it is followed by one that knows.
	second.Process.Kill()
	<-second.ended
	third := l.start()
	got := ask()
	assert.Equal(t, "a", got.body)
	assert.True(t, got.closes, "it is still being emptied")
	assert.Equal(t, before, b.count())
	assert.Equal(t, 200, calls(t, third.admin, "/_lameduck/off", ""))
	assert.False(t, ask().closes)
}

func TestASuccessorThatDiesLeavesTheProcessBeforeAtWork(t *testing.T) {
	l, _ := newPlace(t, newServer(t, says(200, "x")))
	first := l.start()
	second := l.start()
	assert.Eventually(t, func() bool { return !first.ready() }, 20*time.Second, time.Millisecond)
	second.Process.Kill()
	<-second.ended
	require.Eventually(t, first.ready, 20*time.Second, 5*time.Millisecond)
	assert.Equal(t, 200, (&program{t: t, addr: l.addr}).ask("find", "").status)
	third := l.start()
	assert.Eventually(t, func() bool { return !first.ready() }, 20*time.Second, time.Millisecond, "and it can be followed again")
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.exits(t)
	assert.Equal(t, 200, (&program{t: t, addr: l.addr}).ask("find", "").status)
	require.NoError(t, third.Process.Signal(syscall.SIGTERM))
	third.exits(t)
}

// What can hinder a replacement costs the successor nothing but what it would have been told.
func TestASuccessorStartsWhateverIsInItsWay(t *testing.T) {
	slow := newServer(t, after(time.Second, says(200, "x")))
	l, _ := newPlace(t, slow)
	sock := handover.SocketPath(l.dir, fmt.Sprint(l.config["name"], " ", l.addr))
	// Somebody else's socket, who says what is no state, or one of another form.
	for _, says := range []any{"foreign", handoverState{Version: handoverVersion + 1, Operators: operatorState{LameDuck: true}}} {
		ln, err := handover.Listen(sock)
		require.NoError(t, err)
		go func() {
			if c, err := ln.AcceptUnix(); err == nil {
				handover.NewLink(c).SendState(says)
			}
		}()
		require.NoError(t, os.WriteFile(sock+".said", []byte("torn"), 0o600))
		p := l.start()
		assert.Contains(t, p.log.String(), "predecessor does not hand over")
		assert.Contains(t, p.log.String(), "set aside")
		p.Process.Kill()
		<-p.ended
		ln.Close()
	}
	first := l.start()
	// An id that is open there is known to the next one, too.
	connect := func() net.Conn {
		c, err := net.Dial("tcp", l.addr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	ask := func(c net.Conn, id string) int {
		c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "GET /find/x HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s\r\nX-Qos: find\r\nX-Customer: acme\r\nX-Expires-In-Ms: 3000\r\n\r\n", id)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		return r.StatusCode
	}
	rests, uses := connect(), connect()
	assert.Equal(t, 200, ask(rests, "before"))
	out := make(chan int, 1)
	go func() { out <- ask(uses, "open") }()
	require.Eventually(t, func() bool { return slow.count() == 2 }, 20*time.Second, time.Millisecond)
	second := l.start()
	require.Eventually(t, func() bool { return !first.ready() }, 20*time.Second, time.Millisecond)
	assert.Equal(t, 409, ask(rests, "open"), "this connection goes over after what is open")
	assert.Equal(t, 200, <-out)
	assert.Equal(t, 2, slow.count())
	// One that stands still, then: the next one serves without it, and is the one that counts.
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.exits(t)
	assert.Equal(t, 200, calls(t, second.admin, "/_servers/detach", `{"host":"s0"}`))
	require.NoError(t, second.Process.Signal(syscall.SIGSTOP))
	third := l.start()
	assert.Contains(t, third.log.String(), "predecessor does not hand over")
	second.Process.Kill()
	assert.Equal(t, 503, ask(connect(), "banned"), "it has read what was kept")
	assert.Equal(t, 200, calls(t, third.admin, "/_servers/attach", `{"host":"s0"}`))
	assert.Equal(t, 200, ask(connect(), "back"))
}

// What staff do comes in any order and in quick turns: callers see none of it, and the last word is in force.
func TestWhatStaffDoInQuickTurnsLosesNothing(t *testing.T) {
	l, _ := newPlace(t, newServer(t, after(5*time.Millisecond, says(200, "x"))), newServer(t, says(200, "y")))
	first := l.start()
	asker := &program{t: t, addr: l.addr}
	var all sync.WaitGroup
	var asked, failed atomic.Int64
	begun := time.Now()
	end, stop := context.WithCancel(t.Context())
	defer all.Wait()
	defer stop()
	for range 10 {
		all.Go(func() {
			for end.Err() == nil {
				asked.Add(1)
				r := asker.ask("find", "")
				if r.err != nil { // it crossed a close: as the protocol has it, once more on a new connection
					r = asker.ask("find", "")
				}
				if r.err != nil || r.status != 200 {
					failed.Add(1)
					t.Logf("%d %v after %v", r.status, r.err, time.Since(begun))
				}
			}
		})
	}
	for i, turn := range []string{"on", "on", "off", "on", "off"} {
		assert.Equal(t, 200, calls(t, first.admin, "/_lameduck/"+turn, ""))
		if i == 1 { // long enough for what rests to be ended
			time.Sleep(800 * time.Millisecond)
		}
	}
	// A process that can't start changes nothing for the one that serves.
	l.config["admin_addr"] = first.admin
	broken := l.begin()
	require.Error(t, <-broken.ended)
	assert.True(t, first.ready())
	// Files one after another, the last of them bad, while a successor begins.
	l.config["admin_addr"] = freeAddress(t)
	second := l.begin()
	reload := func(p *started) {
		good, err := os.ReadFile(p.config)
		require.NoError(t, err)
		for i := range 6 {
			text := good
			if i%2 == 1 {
				text = good[:len(good)/2]
			}
			require.NoError(t, os.WriteFile(p.config, text, 0o600))
			p.Process.Signal(syscall.SIGHUP)
		}
	}
	reload(first)
	require.Eventually(t, second.ready, 20*time.Second, 5*time.Millisecond, "%s", second.log)
	reload(second)
	assert.Equal(t, 200, calls(t, first.admin, "/_servers/detach", `{"host":"s0"}`))
	assert.Equal(t, 200, calls(t, second.admin, "/_servers/attach", `{"host":"s0"}`))
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.exits(t)
	stop()
	all.Wait()
	assert.Zero(t, failed.Load())
	assert.Greater(t, asked.Load(), int64(100))
	r := asker.ask("find", "")
	assert.Equal(t, 200, r.status)
	assert.False(t, r.closes)
}

// Whoever holds the listener can make it block, for all who share it; one that starts another process by it often does.
func TestAListenerThatBlocksHoldsUpNoEnd(t *testing.T) {
	l, _ := newPlace(t, newServer(t, says(200, "x")))
	p := l.start()
	require.NoError(t, syscall.SetNonblock(int(l.file.Fd()), false))
	// The next accept after this one blocks.
	assert.Equal(t, 200, (&program{t: t, addr: l.addr}).ask("find", "").status)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	p.exits(t)
}

// A folder that fails at a start and works later: the process hands over all the same.
func TestAProcessWhoseFolderComesLateHandsOver(t *testing.T) {
	l, _ := newPlace(t, newServer(t, says(200, "x")))
	l.dir = filepath.Join(l.dir, "later")
	first := l.start()
	c, err := net.Dial("tcp", l.addr)
	require.NoError(t, err)
	defer c.Close()
	ask := func(id string) {
		c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(c, "GET /find/x HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s\r\nX-Qos: find\r\nX-Customer: acme\r\nX-Expires-In-Ms: 3000\r\n\r\n", id)
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		require.NoError(t, err, "%s", first.log)
		require.Contains(t, string(buf[:n]), "200")
	}
	ask("a")
	require.NoError(t, os.Mkdir(l.dir, 0o700))
	require.Eventually(t, func() bool { return strings.Contains(first.log.String(), "handover socket available") }, 10*time.Second, 10*time.Millisecond)
	second := l.start()
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.exits(t)
	ask("b")
	assert.Contains(t, second.log.String(), "taking over from predecessor")
}
