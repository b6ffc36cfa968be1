package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"robincart/internal/lab/wire"
	"robincart/internal/testutil"
)

// Callers that bring nothing hold what descriptors they can get, while discovery is down, too.

// way is between a node and its discovery. While it is mute calls are taken and nothing is said.
type way struct {
	ln   net.Listener
	to   string
	mu   sync.Mutex
	mute bool
	held []net.Conn
	came int // calls while it was mute
}

func newWay(t *testing.T, to string) *way {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &way{ln: ln, to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.take(c)
		}
	}()
	t.Cleanup(func() { ln.Close(); w.set(true); w.set(false) })
	return w
}

func (w *way) take(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = append(w.held, c)
	if w.mute {
		w.came++
		return
	}
	on, err := net.Dial("tcp", w.to)
	if err != nil {
		c.Close()
		return
	}
	w.held = append(w.held, on)
	go func() { io.Copy(on, c); on.Close() }()
	go func() { io.Copy(c, on); c.Close() }()
}

// set ends what there is, too.
func (w *way) set(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = mute
	for _, c := range w.held {
		c.Close()
	}
	w.held = nil
}

func (w *way) calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.came
}

// holder answers "find" at once and all else when it is released.
type holder struct {
	*server
	mu   sync.Mutex
	now  int
	free chan struct{}
}

func newHolder(t *testing.T) *holder {
	h := &holder{free: make(chan struct{})}
	h.server = newServer(t, func(c net.Conn, q *wire.Request) bool {
		if !strings.HasPrefix(q.Target, "/find") {
			h.mu.Lock()
			h.now++
			h.mu.Unlock()
			<-h.free
		}
		return says(200, "well")(c, q)
	})
	t.Cleanup(h.release)
	return h
}

func (h *holder) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.free:
	default:
		close(h.free)
	}
}

func holding(all []*holder) (n int) {
	for _, h := range all {
		h.mu.Lock()
		n += h.now
		h.mu.Unlock()
	}
	return n
}

// resting is a caller that has been served once and says no more.
type resting struct {
	net.Conn
	r *bufio.Reader
}

func rest(t *testing.T, addr string) *resting {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	x := &resting{c, bufio.NewReader(c)}
	x.ask("GET /find", "find")
	require.Equal(t, 200, x.hears(t))
	return x
}

func (x *resting) ask(line, class string) {
	io.WriteString(x, raw(line, class, fmt.Sprintf("X-Trace-Id: %016x", asked.Add(1)), "X-Expires-In-Ms: 60000"))
}

func (x *resting) hears(t *testing.T) int {
	x.SetReadDeadline(time.Now().Add(30 * time.Second))
	r, err := http.ReadResponse(x.r, nil)
	if !assert.NoError(t, err) {
		return 0
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// silent connects again and again and says nothing, until the test ends. Each stays open.
func silent(t *testing.T, addr string) {
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var open []net.Conn
		for {
			select {
			case <-end:
				for _, c := range open {
					c.Close()
				}
				return
			case <-time.After(4 * time.Millisecond):
			}
			if c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
				open = append(open, c)
			}
			if len(open) > 300 {
				open[0].Close()
				open = open[1:]
			}
		}
	}()
	t.Cleanup(func() { close(end); <-done })
}

const patient = `"AimMs":60000,"DeadlineMs":60000`

// Every descriptor is taken, by requests whose servers hang and by callers that rest, and silent ones come without end. Servers get a
// connection for each request all the same, discovery its watch, operators their answer, and each request its own.
func TestIdleCallersLeaveTheWatchAndServersTheirConnections(t *testing.T) {
	for _, down := range []string{"refused", "mute"} {
		t.Run(down, func(t *testing.T) {
			d := newDiscovery(t)
			var servers []*holder
			for i := range 4 {
				servers = append(servers, newHolder(t))
				d.Tell(listed(fmt.Sprint("s", i), servers[i].addr(), "ready"))
			}
			between := newWay(t, d.addr())
			c := configuration(t, d, d.all()...)
			admin := freeAddress(t)
			c["admin_addr"], c["discovery"] = admin, between.ln.Addr().String()
			c["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 74}
			c["settings"] = json.RawMessage(strings.Replace(testSettings, `"AimMs":6000,"DeadlineMs":6000`, patient, 1))
			p := start(t, c)
			require.Eventually(t, func() bool { return d.open() == 1 }, 20*time.Second, 10*time.Millisecond)
			const requests, connections = 22, 28 // what 64 sockets beside the operators' leave callers
			var callers []*resting
			for range connections {
				callers = append(callers, rest(t, p.addr))
			}
			if down == "mute" {
				between.set(true)
				require.Eventually(t, func() bool { return between.calls() > 0 }, 20*time.Second, time.Millisecond)
			} else {
				d.Gone(true)
				require.Eventually(t, func() bool { return strings.Contains(p.Log(), "endpoint watch lost") }, 20*time.Second, time.Millisecond)
			}
			for _, x := range callers[:requests] {
				x.ask("POST /slow", "slow")
			}
			assert.Eventually(t, func() bool { return holding(servers) == requests }, 20*time.Second, 10*time.Millisecond, "each has a connection to a server")
			silent(t, p.addr)
			time.Sleep(200 * time.Millisecond) // for some hundreds of them to have found the places that are left
			before := d.watching()
			if down == "mute" {
				between.set(false)
			} else {
				d.Gone(false)
			}
			assert.Eventually(t, func() bool { return d.watching() > before }, 20*time.Second, 10*time.Millisecond, "the watch is back")
			assert.Equal(t, 404, calls(t, admin, "/_servers/detach", `{"host":"never"}`))
			assert.Contains(t, []int{200, 503}, p.ask("find", "").status)
			assert.Equal(t, requests, holding(servers), "nobody has been given up meanwhile")
			for _, s := range servers {
				s.release()
			}
			for _, x := range callers[:requests] {
				assert.Equal(t, 200, x.hears(t))
			}
			assert.Eventually(t, func() bool { return p.ask("find", "").status == 200 }, 20*time.Second, 10*time.Millisecond)
		})
	}
}

// limited is a program that starts this one with so many descriptors and no more.
func limited(t *testing.T, p *program, files int) {
	path := filepath.Join(t.TempDir(), "limited")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %q\n", files, p.Program), 0o700))
	p.Program = path
}

// crowded has a node's every place taken by callers that rest, with silent ones behind them, and asks for what has to work all the same.
func crowded(t *testing.T, p *program, d *discovery, admin string, config map[string]any) {
	t.Helper()
	silent(t, p.addr)
	time.Sleep(300 * time.Millisecond) // for them to take what there is
	out := make(chan reply, 5)
	for range 5 {
		go func() { out <- p.ask("find", "") }()
	}
	for range 5 {
		assert.Equal(t, 200, testutil.Receive(t, out).status, "a connection to a server comes up")
	}
	assert.Equal(t, 404, calls(t, admin, "/_servers/detach", `{"host":"never"}`))
	before := d.watching()
	d.Gone(true)
	time.Sleep(300 * time.Millisecond)
	d.Gone(false)
	assert.Eventually(t, func() bool { return d.watching() > before }, 20*time.Second, 10*time.Millisecond, "the watch comes back")
	there := newDiscovery(t)
	there.Number(9)
	there.Tell(d.all()...)
	config["discovery"] = there.addr()
	text, err := json.Marshal(config)
	require.NoError(t, err)
	p.reload(string(text))
	assert.Eventually(t, func() bool { return there.watching() > 0 }, 20*time.Second, 10*time.Millisecond, "the new configuration is read")
	assert.NotContains(t, p.Log(), "can't be used")
	assert.Equal(t, 200, p.ask("find", "").status)
}

func crowd(t *testing.T) (p *program, d *discovery, admin string, config map[string]any) {
	s := newServer(t, says(200, "well"))
	d = newDiscovery(t, listed("s0", s.addr(), "ready"))
	config = configuration(t, d, d.all()...)
	admin = freeAddress(t)
	config["admin_addr"] = admin
	return prepared(t, config), d, admin, config
}

// The settings speak of more descriptors than the process may have.
func TestAProcessLimitBelowTheSettingsIsKeptTo(t *testing.T) {
	p, d, admin, config := crowd(t)
	limited(t, p, 80)
	require.NoError(t, p.Start(t.Context()))
	crowded(t, p, d, admin, config)
	assert.NotContains(t, p.Log(), "no descriptor left", "the budget knows it")
	assert.NotContains(t, p.Log(), "too many open files")
}

// The limit falls while the node runs, below what it counts on: opening fails, for callers, servers, discovery and the file alike.
func TestANodeWhoseProcessLimitFallsMakesRoomAndServesOn(t *testing.T) {
	p, d, admin, config := crowd(t)
	require.NoError(t, p.Start(t.Context()))
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	require.NoError(t, err)
	few := uint64(len(files) + 24)
	require.NoError(t, unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: few, Max: few}, nil))
	crowded(t, p, d, admin, config)
	assert.Contains(t, p.Log(), "no descriptor left", "the story has been told")
}
