package main

import (
	"bytes"
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

	"robincart/internal/lab/standin"
	"robincart/internal/lab/wire"
)

// TestMain runs the test binary as the program if ROBINCART_TEST_PROGRAM is set, so that the started processes run with
// the race detector, like the tests.
func TestMain(m *testing.M) {
	if os.Getenv("ROBINCART_TEST_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testProgramEnvironment returns the variables that make the test binary run as the program, and exit without delay
// under the race detector.
func testProgramEnvironment() []string {
	return []string{"ROBINCART_TEST_PROGRAM=1", "GORACE=atexit_sleep_ms=0"}
}

func newMember(id, addr, phase string) standin.Member {
	return standin.Member{ID: id, Addr: addr, Zone: "a", Flavor: "m", Phase: phase, Size: 1}
}

// discovery is the lab's stand-in for discovery, with one address.
type discovery struct {
	*standin.Discovery
	address *standin.DiscoveryListener
}

func newDiscovery(t *testing.T, members ...standin.Member) *discovery {
	d := &discovery{Discovery: standin.NewDiscovery(nil, time.Now())}
	d.HeartbeatInterval = 500 * time.Millisecond
	if len(members) > 0 {
		d.Update(members...)
	}
	var err error
	d.address, err = d.Listen(0, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	return d
}

func (d *discovery) addr() string { return d.address.Addr() }

func (d *discovery) members() []standin.Member {
	_, list := d.List()
	return list
}

func (d *discovery) watchesStarted() int { started, _ := d.address.Watches(); return started }
func (d *discovery) openWatches() int    { _, open := d.address.Watches(); return open }

// server is the lab's stand-in for a server. It records the requests and calls the test's handler.
type server struct {
	standin.Server
	mu       sync.Mutex
	requests []*wire.Request
}

type handler func(c net.Conn, q *wire.Request) (again bool)

func newServer(t *testing.T, h handler) *server {
	s := &server{}
	s.Serve = func(c net.Conn, q *wire.Request) bool {
		s.mu.Lock()
		s.requests = append(s.requests, q)
		s.mu.Unlock()
		return h(c, q)
	}
	require.NoError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(s.Stop)
	return s
}

func (s *server) addr() string { return s.Addr() }
func (s *server) count() int   { return s.Got() }

func respond(status int, body string) handler {
	head := ""
	if status == 503 {
		head = wire.NeverRan + ": 1\r\n"
	}
	return func(c net.Conn, _ *wire.Request) bool {
		_, err := c.Write(wire.AppendResponse(nil, status, head, []byte(body)))
		return err == nil
	}
}

func delayed(d time.Duration, h handler) handler {
	return func(c net.Conn, q *wire.Request) bool {
		time.Sleep(d)
		return h(c, q)
	}
}

// resetConnection is a handler that resets the request's connection.
func resetConnection(c net.Conn, _ *wire.Request) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// hang is a handler that does not respond: it waits until the peer closes, for 30 s at most.
func hang(c net.Conn, _ *wire.Request) bool {
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	c.Read(make([]byte, 1))
	return false
}

const testSettings = `{"Classes":[
 {"Name":"find","AimMs":1500,"DeadlineMs":3000,"Credit":1,"Repeat":"repeatable"},
 {"Name":"book","AimMs":1500,"DeadlineMs":3000,"Credit":1,"Repeat":"by_key","DedupScope":"all","WindowMs":10000},
 {"Name":"charge","AimMs":1500,"DeadlineMs":3000,"Credit":1,"Repeat":"once"},
 {"Name":"slow","AimMs":6000,"DeadlineMs":6000,"Credit":1,"Repeat":"once"}],
 "Tenants":[{"Name":"acme","QuotaPerS":1000}],"Zones":["a"],"Instances":1,"RegistryMode":"subscribe",
 "Limits":{"MaxAttempts":4,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterMs":2000,"ConnectTimeoutMs":2500,
 "ConnIdleMs":30000},"Rules":{"MustAskInMs":400}}`

// testNode is a node that runs as a separate process.
type testNode struct {
	*standin.Node
	t    *testing.T
	addr string
}

func freeAddress(t *testing.T) string {
	addr, err := standin.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	return addr
}

// logBuffer collects a program's output.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newCommand(t *testing.T, config any) (*exec.Cmd, *logBuffer) {
	path := filepath.Join(t.TempDir(), "config.json")
	text, err := json.Marshal(config)
	require.NoError(t, err)
	if s, ok := config.(string); ok {
		text = []byte(s)
	}
	require.NoError(t, os.WriteFile(path, text, 0o600))
	cmd, log := exec.Command(os.Args[0]), &logBuffer{}
	cmd.Env = append(os.Environ(), testProgramEnvironment()...)
	cmd.Env = append(cmd.Env, "EDGE_CONFIG="+path)
	cmd.Stderr = log
	return cmd, log
}

func newConfig(t *testing.T, d *discovery, known ...standin.Member) map[string]any {
	if known == nil {
		known = []standin.Member{}
	}
	return map[string]any{"name": "n1", "listen": freeAddress(t), "discovery": d.addr(),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"revision": 1, "complete": true, "members": known},
		"settings": json.RawMessage(testSettings)}
}

func startTestNode(t *testing.T, config map[string]any) *testNode {
	p := newTestNode(t, config)
	require.NoError(t, p.Start(t.Context()))
	return p
}

// newTestNode returns a node that has not started yet.
func newTestNode(t *testing.T, config map[string]any) *testNode {
	addr := config["listen"].(string)
	p := &testNode{t: t, addr: addr, Node: &standin.Node{
		Name:    "n1",
		Addr:    addr,
		Program: os.Args[0],
		Config:  config,
		Dir:     t.TempDir(),
		Env:     append(testProgramEnvironment(), "EDGE_DISCOVERY="+config["discovery"].(string)),
	}}
	t.Cleanup(func() {
		p.Kill()
		assert.NotContains(t, p.Log(), "DATA RACE")
		assert.NotContains(t, p.Log(), "panic:")
	})
	return p
}

// startWithServers starts a node whose initial endpoint list has these servers.
func startWithServers(t *testing.T, servers ...*server) (*testNode, *discovery) {
	var members []standin.Member
	for i, s := range servers {
		members = append(members, newMember(fmt.Sprint("s", i), s.addr(), "ready"))
	}
	d := newDiscovery(t, members...)
	return startTestNode(t, newConfig(t, d, d.members()...)), d
}

func (t *testNode) stop(within time.Duration) {
	t.t.Helper()
	require.NoError(t.t, t.Signal(syscall.SIGTERM))
	t.waitExit(within)
}

// reload replaces the configuration and signals the program.
func (t *testNode) reload(text string) {
	path := filepath.Join(t.Dir, "n1.json")
	require.NoError(t.t, os.WriteFile(path+".new", []byte(text), 0o600))
	require.NoError(t.t, os.Rename(path+".new", path))
	require.NoError(t.t, t.Signal(syscall.SIGHUP))
}

func (t *testNode) waitExit(within time.Duration) {
	t.t.Helper()
	ended, err := t.Wait(within)
	if assert.True(t.t, ended, "the program has not exited within %v", within) {
		assert.NoError(t.t, err, t.Log())
	}
}

type response struct {
	status   int
	header   http.Header
	body     string
	closes   bool
	duration time.Duration
	err      error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

var requestCount atomic.Int64

// nextTraceID returns a unique trace ID.
func nextTraceID() string { return fmt.Sprintf("%016x", requestCount.Add(1)) }

func setHeaders(request *http.Request, headers map[string]string) {
	for name, value := range headers {
		request.Header.Set(name, value)
	}
}

// send sends a request with a client's usual headers.
func (t *testNode) send(method, body string) response { return t.sendWith(method, body, nil) }

func (t *testNode) sendWith(method, body string, header map[string]string) response {
	verb := "POST"
	if method == "find" {
		verb = "GET"
	}
	q, err := http.NewRequest(verb, "http://"+t.addr+"/"+method+"/table?k=7", strings.NewReader(body))
	require.NoError(t.t, err)
	if body == "" {
		q.Body = http.NoBody
	}
	setHeaders(q, map[string]string{
		"X-Trace-Id":      nextTraceID(),
		"X-Qos":           method,
		"X-Customer":      "acme",
		"X-Expires-In-Ms": "3000",
	})
	if method == "book" {
		q.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	setHeaders(q, header)
	began := time.Now()
	r, err := client.Do(q)
	if err != nil {
		return response{err: err}
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return response{r.StatusCode, r.Header, string(text), r.Close, time.Since(began), err}
}
