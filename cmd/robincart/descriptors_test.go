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

// discoveryRelay forwards connections from a node to discovery. While it is mute it accepts connections and does not
// respond on them.
type discoveryRelay struct {
	ln        net.Listener
	to        string
	mu        sync.Mutex
	mute      bool
	conns     []net.Conn
	muteCalls int // connections accepted while it was mute
}

func newDiscoveryRelay(t *testing.T, to string) *discoveryRelay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	relay := &discoveryRelay{ln: ln, to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go relay.forward(c)
		}
	}()
	t.Cleanup(func() { ln.Close(); relay.setMute(true); relay.setMute(false) })
	return relay
}

func (d *discoveryRelay) forward(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	if d.mute {
		d.muteCalls++
		return
	}
	upstream, err := net.Dial("tcp", d.to)
	if err != nil {
		c.Close()
		return
	}
	d.conns = append(d.conns, upstream)
	go func() { io.Copy(upstream, c); upstream.Close() }()
	go func() { io.Copy(c, upstream); c.Close() }()
}

// setMute sets whether the relay is mute, and closes all connections.
func (d *discoveryRelay) setMute(mute bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mute = mute
	for _, c := range d.conns {
		c.Close()
	}
	d.conns = nil
}

func (d *discoveryRelay) muteCallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.muteCalls
}

// holdingServer responds to "find" at once, and to all other requests after release is called.
type holdingServer struct {
	*server
	mu       sync.Mutex
	inFlight int
	released chan struct{}
}

func newHoldingServer(t *testing.T) *holdingServer {
	h := &holdingServer{released: make(chan struct{})}
	h.server = newServer(t, func(c net.Conn, q *wire.Request) bool {
		if !strings.HasPrefix(q.Target, "/find") {
			h.mu.Lock()
			h.inFlight++
			h.mu.Unlock()
			<-h.released
		}
		return respond(200, "well")(c, q)
	})
	t.Cleanup(h.release)
	return h
}

func (h *holdingServer) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.released:
	default:
		close(h.released)
	}
}

func totalInFlight(all []*holdingServer) (n int) {
	for _, h := range all {
		h.mu.Lock()
		n += h.inFlight
		h.mu.Unlock()
	}
	return n
}

// idleClient is a client whose connection has carried one request and is then idle, until the test sends another
// request.
type idleClient struct {
	net.Conn
	r *bufio.Reader
}

func newIdleClient(t *testing.T, addr string) *idleClient {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	x := &idleClient{c, bufio.NewReader(c)}
	x.send("GET /find", "find")
	require.Equal(t, 200, x.receive(t))
	return x
}

func (i *idleClient) send(line, class string) {
	io.WriteString(i, requestHead(line, class, "X-Trace-Id: "+nextTraceID(), "X-Expires-In-Ms: 60000"))
}

func (i *idleClient) receive(t *testing.T) int {
	i.SetReadDeadline(time.Now().Add(30 * time.Second))
	r, err := http.ReadResponse(i.r, nil)
	if !assert.NoError(t, err) {
		return 0
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// connectSilently opens connections without sending anything, until the test ends. Up to 300 connections stay open at
// once.
func connectSilently(t *testing.T, addr string) {
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

const longDeadline = `"AimMs":60000,"DeadlineMs":60000`

// All descriptors are in use, by requests whose servers hang and by idle clients. Meanwhile, new clients connect
// without sending anything. The node must still connect to a server for each request, reestablish its watch, and
// respond to operators and requests.
func TestDescriptors_IdleClientsYieldToWatchAndServers(t *testing.T) {
	for _, failure := range []string{"refused", "mute"} {
		t.Run(failure, func(t *testing.T) {
			d := newDiscovery(t)
			var servers []*holdingServer
			for i := range 4 {
				servers = append(servers, newHoldingServer(t))
				d.Update(newMember(fmt.Sprint("s", i), servers[i].addr(), "ready"))
			}
			relay := newDiscoveryRelay(t, d.addr())
			c := newConfig(t, d, d.members()...)
			admin := freeAddress(t)
			c["admin_addr"], c["discovery"] = admin, relay.ln.Addr().String()
			c["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 74}
			settings := strings.Replace(testSettings, `"AimMs":6000,"DeadlineMs":6000`, longDeadline, 1)
			c["settings"] = json.RawMessage(settings)
			p := startTestNode(t, c)
			require.Eventually(t, func() bool { return d.openWatches() == 1 }, 20*time.Second, 10*time.Millisecond)
			// 10 of the 74 sockets are reserved for the admin address. The other 64 suffice for these numbers of
			// requests and client connections.
			const requests, connections = 22, 28
			var clients []*idleClient
			for range connections {
				clients = append(clients, newIdleClient(t, p.addr))
			}
			if failure == "mute" {
				relay.setMute(true)
				require.Eventually(t, func() bool {
					return relay.muteCallCount() > 0
				}, 20*time.Second, time.Millisecond)
			} else {
				d.SetDown(true)
				require.Eventually(t, func() bool {
					return strings.Contains(p.Log(), "endpoint watch lost")
				}, 20*time.Second, time.Millisecond)
			}
			for _, x := range clients[:requests] {
				x.send("POST /slow", "slow")
			}
			assert.Eventually(t, func() bool {
				return totalInFlight(servers) == requests
			}, 20*time.Second, 10*time.Millisecond, "each request has a connection to a server")
			connectSilently(t, p.addr)
			time.Sleep(200 * time.Millisecond) // time for these connections to use up the remaining descriptors
			before := d.watchesStarted()
			if failure == "mute" {
				relay.setMute(false)
			} else {
				d.SetDown(false)
			}
			assert.Eventually(t, func() bool {
				return d.watchesStarted() > before
			}, 20*time.Second, 10*time.Millisecond, "the watch is reestablished")
			assert.Equal(t, 404, callAdmin(t, admin, "/_servers/detach", `{"host":"never"}`))
			assert.Contains(t, []int{200, 503}, p.send("find", "").status)
			assert.Equal(t, requests, totalInFlight(servers), "no request has been aborted meanwhile")
			for _, s := range servers {
				s.release()
			}
			for _, x := range clients[:requests] {
				assert.Equal(t, 200, x.receive(t))
			}
			assert.Eventually(t, func() bool {
				return p.send("find", "").status == 200
			}, 20*time.Second, 10*time.Millisecond)
		})
	}
}

// limitDescriptors makes a node's program start with a limit on its open files.
func limitDescriptors(t *testing.T, p *testNode, files int) {
	path := filepath.Join(t.TempDir(), "limited")
	script := fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %q\n", files, p.Program)
	require.NoError(t, os.WriteFile(path, script, 0o700))
	p.Program = path
}

// checkServesWhenExhausted uses up all of a node's descriptors by idle clients. It checks that requests, the admin
// address, the watch and a reload still work.
func checkServesWhenExhausted(t *testing.T, p *testNode, d *discovery, admin string, config map[string]any) {
	t.Helper()
	connectSilently(t, p.addr)
	time.Sleep(300 * time.Millisecond) // time for these connections to use up all descriptors
	responses := make(chan response, 5)
	for range 5 {
		go func() { responses <- p.send("find", "") }()
	}
	for range 5 {
		assert.Equal(t, 200, testutil.Receive(t, responses).status, "a connection to a server is established")
	}
	assert.Equal(t, 404, callAdmin(t, admin, "/_servers/detach", `{"host":"never"}`))
	before := d.watchesStarted()
	d.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	d.SetDown(false)
	assert.Eventually(t, func() bool {
		return d.watchesStarted() > before
	}, 20*time.Second, 10*time.Millisecond, "the watch is reestablished")
	other := newDiscovery(t)
	other.SetRevision(9)
	other.Update(d.members()...)
	config["discovery"] = other.addr()
	text, err := json.Marshal(config)
	require.NoError(t, err)
	p.reload(string(text))
	assert.Eventually(t, func() bool {
		return other.watchesStarted() > 0
	}, 20*time.Second, 10*time.Millisecond, "the new configuration is read")
	assert.NotContains(t, p.Log(), "configuration rejected")
	assert.Equal(t, 200, p.send("find", "").status)
}

func newNodeWithAdmin(t *testing.T) (p *testNode, d *discovery, admin string, config map[string]any) {
	s := newServer(t, respond(200, "well"))
	d = newDiscovery(t, newMember("s0", s.addr(), "ready"))
	config = newConfig(t, d, d.members()...)
	admin = freeAddress(t)
	config["admin_addr"] = admin
	return newTestNode(t, config), d, admin, config
}

// The configured number of sockets is above the process's limit of open files.
func TestDescriptors_ProcessLimitBelowSettings(t *testing.T) {
	p, d, admin, config := newNodeWithAdmin(t)
	limitDescriptors(t, p, 80)
	require.NoError(t, p.Start(t.Context()))
	checkServesWhenExhausted(t, p, d, admin, config)
	assert.NotContains(t, p.Log(), "descriptors exhausted", "the budget is within the process's limit")
	assert.NotContains(t, p.Log(), "too many open files")
}

// The process's limit of open files falls below the node's budget while the node runs. The node can then neither accept
// clients, nor connect to servers or to discovery, nor open the configuration file.
func TestDescriptors_ProcessLimitFallsWhileServing(t *testing.T) {
	p, d, admin, config := newNodeWithAdmin(t)
	require.NoError(t, p.Start(t.Context()))
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	require.NoError(t, err)
	limit := uint64(len(files) + 24)
	require.NoError(t, unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil))
	checkServesWhenExhausted(t, p, d, admin, config)
	assert.Contains(t, p.Log(), "descriptors exhausted")
}
