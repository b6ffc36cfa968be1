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

// The test binary is the program, too, so that what is started is checked for races like the tests.
func TestMain(m *testing.M) {
	if os.Getenv("ROBINCART_TEST_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func listed(id, addr, phase string) standin.Member {
	return standin.Member{ID: id, Addr: addr, Zone: "a", Flavor: "m", Phase: phase, Size: 1}
}

// discovery is the lab's, with one door.
type discovery struct {
	*standin.Discovery
	door *standin.Door
}

func newDiscovery(t *testing.T, members ...standin.Member) *discovery {
	d := &discovery{Discovery: standin.NewDiscovery(nil, time.Now())}
	d.Every = 500 * time.Millisecond
	if len(members) > 0 {
		d.Tell(members...)
	}
	var err error
	d.door, err = d.Door(0, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	return d
}

func (d *discovery) addr() string { return d.door.Addr() }

func (d *discovery) all() []standin.Member {
	_, list := d.List()
	return list
}

func (d *discovery) watching() int { begun, _ := d.door.Watches(); return begun }
func (d *discovery) open() int     { _, last := d.door.Watches(); return last }

// server is one of the lab's with a handler of the test's, which keeps what it got.
type server struct {
	standin.Server
	mu  sync.Mutex
	got []*wire.Request
}

type handler func(c net.Conn, q *wire.Request) (again bool)

func newServer(t *testing.T, h handler) *server {
	s := &server{}
	s.Serve = func(c net.Conn, q *wire.Request) bool {
		s.mu.Lock()
		s.got = append(s.got, q)
		s.mu.Unlock()
		return h(c, q)
	}
	require.NoError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(s.Stop)
	return s
}

func (s *server) addr() string { return s.Addr() }
func (s *server) count() int   { return s.Got() }

func says(status int, body string) handler {
	head := ""
	if status == 503 {
		head = wire.NeverRan + ": 1\r\n"
	}
	return func(c net.Conn, _ *wire.Request) bool {
		_, err := c.Write(wire.Answer(nil, status, head, []byte(body)))
		return err == nil
	}
}

func after(d time.Duration, h handler) handler {
	return func(c net.Conn, q *wire.Request) bool {
		time.Sleep(d)
		return h(c, q)
	}
}

// breaks takes the request in and resets its connection.
func breaks(c net.Conn, _ *wire.Request) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// hangs waits until the other end has gone.
func hangs(c net.Conn, _ *wire.Request) bool {
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

// program is one started node.
type program struct {
	*standin.Node
	t    *testing.T
	addr string
}

func freeAddress(t *testing.T) string {
	addr, err := standin.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	return addr
}

// logged is what a program has written so far.
type logged struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func command(t *testing.T, config any) (*exec.Cmd, *logged) {
	path := filepath.Join(t.TempDir(), "config.json")
	text, err := json.Marshal(config)
	require.NoError(t, err)
	if s, ok := config.(string); ok {
		text = []byte(s)
	}
	require.NoError(t, os.WriteFile(path, text, 0o600))
	cmd, log := exec.Command(os.Args[0]), &logged{}
	cmd.Env = append(os.Environ(), "ROBINCART_TEST_PROGRAM=1", "EDGE_CONFIG="+path, "GORACE=atexit_sleep_ms=0")
	cmd.Stderr = log
	return cmd, log
}

func configuration(t *testing.T, d *discovery, known ...standin.Member) map[string]any {
	if known == nil {
		known = []standin.Member{}
	}
	return map[string]any{"name": "n1", "listen": freeAddress(t), "discovery": d.addr(),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"revision": 1, "complete": true, "members": known},
		"settings": json.RawMessage(testSettings)}
}

func start(t *testing.T, config map[string]any) *program {
	p := prepared(t, config)
	require.NoError(t, p.Start(t.Context()))
	return p
}

// prepared is a node that is still to start.
func prepared(t *testing.T, config map[string]any) *program {
	p := &program{t: t, addr: config["listen"].(string), Node: &standin.Node{Name: "n1", Addr: config["listen"].(string), Program: os.Args[0],
		Config: config, Dir: t.TempDir(), Env: []string{"ROBINCART_TEST_PROGRAM=1", "GORACE=atexit_sleep_ms=0",
			"EDGE_DISCOVERY=" + config["discovery"].(string)}}}
	t.Cleanup(func() {
		p.Kill()
		assert.NotContains(t, p.Log(), "DATA RACE")
		assert.NotContains(t, p.Log(), "panic:")
	})
	return p
}

// serving starts a node that knows these servers from the start.
func serving(t *testing.T, servers ...*server) (*program, *discovery) {
	var members []standin.Member
	for i, s := range servers {
		members = append(members, listed(fmt.Sprint("s", i), s.addr(), "ready"))
	}
	d := newDiscovery(t, members...)
	return start(t, configuration(t, d, d.all()...)), d
}

func (p *program) stop(within time.Duration) {
	p.t.Helper()
	require.NoError(p.t, p.Signal(syscall.SIGTERM))
	p.exits(within)
}

// reload replaces the configuration and tells the program.
func (p *program) reload(text string) {
	path := filepath.Join(p.Dir, "n1.json")
	require.NoError(p.t, os.WriteFile(path+".new", []byte(text), 0o600))
	require.NoError(p.t, os.Rename(path+".new", path))
	require.NoError(p.t, p.Signal(syscall.SIGHUP))
}

func (p *program) exits(within time.Duration) {
	p.t.Helper()
	err, ended := p.Wait(within)
	if assert.True(p.t, ended, "the program is still there") {
		assert.NoError(p.t, err, p.Log())
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	closes bool
	took   time.Duration
	err    error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

var asked atomic.Int64

// ask sends a request as a caller does.
func (p *program) ask(method, body string) reply { return p.askWith(method, body, nil) }

func (p *program) askWith(method, body string, header map[string]string) reply {
	verb := "POST"
	if method == "find" {
		verb = "GET"
	}
	q, err := http.NewRequest(verb, "http://"+p.addr+"/"+method+"/table?k=7", strings.NewReader(body))
	require.NoError(p.t, err)
	if body == "" {
		q.Body = http.NoBody
	}
	for k, v := range map[string]string{"X-Trace-Id": fmt.Sprintf("%016x", asked.Add(1)), "X-Qos": method, "X-Customer": "acme",
		"X-Expires-In-Ms": "3000"} {
		q.Header.Set(k, v)
	}
	if method == "book" {
		q.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	for k, v := range header {
		q.Header.Set(k, v)
	}
	began := time.Now()
	r, err := client.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return reply{r.StatusCode, r.Header, string(text), r.Close, time.Since(began), err}
}
