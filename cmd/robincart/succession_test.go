package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// nodeSite is where the processes of one node succeed one another: one listener, one directory, one configuration.
type nodeSite struct {
	t      *testing.T
	file   *os.File
	dir    string
	config map[string]any
	addr   string
}

// siteProcess is one of the processes of a nodeSite.
type siteProcess struct {
	*exec.Cmd
	log    *logBuffer
	admin  string
	config string
	ended  chan error
}

func newNodeSite(t *testing.T, servers ...*server) (*nodeSite, *discovery) {
	d := newDiscovery(t)
	for i, s := range servers {
		d.Tell(newMember(fmt.Sprint("s", i), s.addr(), "ready"))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	file, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	ln.Close()
	t.Cleanup(func() { file.Close() })
	c := newConfig(t, d, d.members()...)
	c["listen"] = ln.Addr().String()
	return &nodeSite{t: t, file: file, dir: t.TempDir(), config: c, addr: ln.Addr().String()}, d
}

// start starts one more process and waits until it accepts clients.
func (n *nodeSite) start() *siteProcess {
	n.t.Helper()
	n.config["admin_addr"] = freeAddress(n.t)
	p := n.launch()
	require.Eventually(n.t, p.ready, 20*time.Second, 5*time.Millisecond, "%s", p.log)
	return p
}

// launch starts one more process, with the configuration as it is.
func (n *nodeSite) launch() *siteProcess {
	n.t.Helper()
	p := &siteProcess{
		admin:  n.config["admin_addr"].(string),
		log:    &logBuffer{},
		ended:  make(chan error, 1),
		config: filepath.Join(n.t.TempDir(), "config.json"),
	}
	text, err := json.Marshal(n.config)
	require.NoError(n.t, err)
	require.NoError(n.t, os.WriteFile(p.config, text, 0o600))
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), testProgramEnvironment()...)
	p.Env = append(p.Env, "EDGE_CONFIG="+p.config, "EDGE_ACCEPT_FD=3", "TMPDIR="+n.dir)
	p.ExtraFiles, p.Stderr = []*os.File{n.file}, p.log
	require.NoError(n.t, p.Start())
	go func() { p.ended <- p.Wait() }()
	n.t.Cleanup(func() {
		p.Process.Kill()
		assert.NotContains(n.t, p.log.String(), "DATA RACE")
		assert.NotContains(n.t, p.log.String(), "panic:")
	})
	return p
}

func (s *siteProcess) ready() bool {
	r, err := http.Get("http://" + s.admin + "/_ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func (s *siteProcess) waitExit(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.ended:
		assert.NoError(t, err, s.log.String())
	case <-time.After(20 * time.Second):
		s.Process.Signal(syscall.SIGQUIT) // for its goroutines' stacks
		<-s.ended
		assert.Fail(t, "the process is still there", s.log.String())
	}
}

// findRequest is a request that is written on a client's own connection.
func findRequest(traceID string) string {
	return "GET /find/x HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + traceID +
		"\r\nX-Qos: find\r\nX-Customer: acme\r\nX-Expires-In-Ms: 3000\r\n\r\n"
}

// trafficCount counts the requests of clients.
type trafficCount struct {
	mu           sync.Mutex
	sent, failed int
}

func (c *trafficCount) add(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if !ok {
		c.failed++
	}
}

// traffic has clients send requests on connections that stay open until stop, which returns how many requests were
// sent and how many of them failed. A client does not retry: it notices every request that is lost.
func (n *nodeSite) traffic(clients int) (stop func() (sent, failed int)) {
	var running sync.WaitGroup
	var count trafficCount
	ctx, cancel := context.WithCancel(context.Background())
	for i := range clients {
		running.Go(func() { n.runClient(ctx, i, &count) })
	}
	return func() (int, int) {
		cancel()
		running.Wait()
		return count.sent, count.failed
	}
}

// runClient sends one request after another on one connection until the context ends.
func (n *nodeSite) runClient(ctx context.Context, client int, count *trafficCount) {
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		count.add(false)
		return
	}
	defer conn.Close()
	buffer := make([]byte, 4096)
	for request := 0; ; request++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(client%5) * 3 * time.Millisecond):
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(conn, findRequest(fmt.Sprintf("%08x%08x", client, request)))
		size, err := conn.Read(buffer)
		ok := err == nil && string(buffer[9:12]) == "200"
		count.add(ok)
		if !ok {
			n.t.Logf("request %d of client %d: %v %.60q", request, client, err, buffer[:size])
		}
		if err != nil {
			return
		}
	}
}

func TestHandover_UnderTraffic(t *testing.T) {
	slow := newServer(t, delayed(20*time.Millisecond, respond(200, "x")))
	l, _ := newNodeSite(t, slow, newServer(t, respond(200, "y")))
	p := l.start()
	stop := l.traffic(20)
	time.Sleep(200 * time.Millisecond)
	for range 3 {
		next := l.start()
		assert.Eventually(t, func() bool {
			return !p.ready()
		}, 20*time.Second, time.Millisecond, "the predecessor is no longer ready")
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, p.Process.Signal(syscall.SIGTERM))
		p.waitExit(t)
		p = next
	}
	time.Sleep(100 * time.Millisecond)
	asked, failed := stop()
	assert.Zero(t, failed)
	assert.Greater(t, asked, 500)
}

func TestHandover_OperatorStateOutlivesProcess(t *testing.T) {
	a, b := newServer(t, respond(200, "a")), newServer(t, respond(200, "b"))
	l, _ := newNodeSite(t, a, b)
	ask := func() response { return (&testNode{t: t, addr: l.addr}).send("find", "") }
	first := l.start()
	assert.Equal(t, 200, callAdmin(t, first.admin, "/_servers/detach", `{"host":"s0"}`))
	second := l.start()
	for range 20 {
		assert.Equal(t, "b", ask().body, "out over an upgrade")
	}
	// While both run either may be commanded.
	assert.Equal(t, 200, callAdmin(t, first.admin, "/_servers/attach", `{"host":"s0"}`))
	assert.Equal(t, 200, callAdmin(t, first.admin, "/_servers/detach", `{"host":"s1"}`))
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
	assert.Equal(t, 200, callAdmin(t, second.admin, "/_lameduck/on", ""))
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.waitExit(t)
	// The state outlives a kill, too.
	second.Process.Kill()
	<-second.ended
	third := l.start()
	got := ask()
	assert.Equal(t, "a", got.body)
	assert.True(t, got.closes, "it is still being emptied")
	assert.Equal(t, before, b.count())
	assert.Equal(t, 200, callAdmin(t, third.admin, "/_lameduck/off", ""))
	assert.False(t, ask().closes)
}

func TestHandover_SuccessorDies(t *testing.T) {
	l, _ := newNodeSite(t, newServer(t, respond(200, "x")))
	first := l.start()
	second := l.start()
	assert.Eventually(t, func() bool { return !first.ready() }, 20*time.Second, time.Millisecond)
	second.Process.Kill()
	<-second.ended
	require.Eventually(t, first.ready, 20*time.Second, 5*time.Millisecond)
	assert.Equal(t, 200, (&testNode{t: t, addr: l.addr}).send("find", "").status)
	third := l.start()
	assert.Eventually(t, func() bool {
		return !first.ready()
	}, 20*time.Second, time.Millisecond, "and it can be followed again")
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.waitExit(t)
	assert.Equal(t, 200, (&testNode{t: t, addr: l.addr}).send("find", "").status)
	require.NoError(t, third.Process.Signal(syscall.SIGTERM))
	third.waitExit(t)
}

// Whatever prevents a handover costs the successor nothing but the predecessor's state.
func TestHandover_SuccessorStartsDespiteObstacles(t *testing.T) {
	slow := newServer(t, delayed(time.Second, respond(200, "x")))
	l, _ := newNodeSite(t, slow)
	sock := handover.SocketPath(l.dir, fmt.Sprint(l.config["name"], " ", l.addr))
	// A foreign socket, which sends what is no state, or one of another version.
	otherVersion := handoverState{Version: handoverVersion + 1, Operators: operatorState{LameDuck: true}}
	for _, state := range []any{"foreign", otherVersion} {
		ln, err := handover.Listen(sock)
		require.NoError(t, err)
		go func() {
			if c, err := ln.AcceptUnix(); err == nil {
				handover.NewLink(c).SendState(state)
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
	// The ID of a request in flight is known to the successor, too.
	connect := func() net.Conn {
		c, err := net.Dial("tcp", l.addr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	ask := func(c net.Conn, id string) int {
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, findRequest(id))
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
	// A predecessor that hangs: its successor serves without it, and takes its place.
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.waitExit(t)
	assert.Equal(t, 200, callAdmin(t, second.admin, "/_servers/detach", `{"host":"s0"}`))
	require.NoError(t, second.Process.Signal(syscall.SIGSTOP))
	third := l.start()
	assert.Contains(t, third.log.String(), "predecessor does not hand over")
	second.Process.Kill()
	assert.Equal(t, 503, ask(connect(), "banned"), "it has read what was kept")
	assert.Equal(t, 200, callAdmin(t, third.admin, "/_servers/attach", `{"host":"s0"}`))
	assert.Equal(t, 200, ask(connect(), "back"))
}

// Operators act in any order and in quick succession: clients notice none of it, and the last command is in force.
func TestHandover_OperatorsActInQuickSuccession(t *testing.T) {
	slow := newServer(t, delayed(5*time.Millisecond, respond(200, "x")))
	l, _ := newNodeSite(t, slow, newServer(t, respond(200, "y")))
	first := l.start()
	asker := &testNode{t: t, addr: l.addr}
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
				r := asker.send("find", "")
				if r.err != nil { // it crossed a close: as HTTP allows, once more on a new connection
					r = asker.send("find", "")
				}
				if r.err != nil || r.status != 200 {
					failed.Add(1)
					t.Logf("%d %v after %v", r.status, r.err, time.Since(begun))
				}
			}
		})
	}
	for i, turn := range []string{"on", "on", "off", "on", "off"} {
		assert.Equal(t, 200, callAdmin(t, first.admin, "/_lameduck/"+turn, ""))
		if i == 1 { // long enough for idle connections to be closed
			time.Sleep(800 * time.Millisecond)
		}
	}
	// A process that can't start changes nothing for the one that serves.
	l.config["admin_addr"] = first.admin
	broken := l.launch()
	require.Error(t, <-broken.ended)
	assert.True(t, first.ready())
	// Configurations one after another, the last of them bad, while a successor starts.
	l.config["admin_addr"] = freeAddress(t)
	second := l.launch()
	reload := func(p *siteProcess) {
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
	assert.Equal(t, 200, callAdmin(t, first.admin, "/_servers/detach", `{"host":"s0"}`))
	assert.Equal(t, 200, callAdmin(t, second.admin, "/_servers/attach", `{"host":"s0"}`))
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.waitExit(t)
	stop()
	all.Wait()
	assert.Zero(t, failed.Load())
	assert.Greater(t, asked.Load(), int64(100))
	r := asker.send("find", "")
	assert.Equal(t, 200, r.status)
	assert.False(t, r.closes)
}

// Whoever holds the listener can make it block for all processes that share it; one that starts a process with it
// often does.
func TestHandover_BlockingListener(t *testing.T) {
	l, _ := newNodeSite(t, newServer(t, respond(200, "x")))
	p := l.start()
	require.NoError(t, syscall.SetNonblock(int(l.file.Fd()), false))
	// The next accept after this one blocks.
	assert.Equal(t, 200, (&testNode{t: t, addr: l.addr}).send("find", "").status)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	p.waitExit(t)
}

// A directory that fails at the start and works later: the process hands over all the same.
func TestHandover_DirectoryAppearsLate(t *testing.T) {
	l, _ := newNodeSite(t, newServer(t, respond(200, "x")))
	l.dir = filepath.Join(l.dir, "later")
	first := l.start()
	c, err := net.Dial("tcp", l.addr)
	require.NoError(t, err)
	defer c.Close()
	ask := func(id string) {
		c.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(c, findRequest(id))
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		require.NoError(t, err, "%s", first.log)
		require.Contains(t, string(buf[:n]), "200")
	}
	ask("a")
	require.NoError(t, os.Mkdir(l.dir, 0o700))
	require.Eventually(t, func() bool {
		return strings.Contains(first.log.String(), "handover socket available")
	}, 10*time.Second, 10*time.Millisecond)
	second := l.start()
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	first.waitExit(t)
	ask("b")
	assert.Contains(t, second.log.String(), "taking over from predecessor")
}
