package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"bufio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"io"
	"net"
	"net/http"
	"robincart/internal/handover"
	"robincart/internal/testutil"
	"sync/atomic"
)

// A node that shares its CPU runs only a part of the time. The servers hang throughout the node's shutdown, with many
// requests in flight. Each request must be answered before the platform may kill the node.
func TestShutdown_StarvedNodeAnswersAllInFlight(t *testing.T) {
	const (
		clients     = 120
		killAfter   = 3700 * time.Millisecond // after SIGTERM: the longest deadline plus 0.7 s
		stoppedTime = 48 * time.Millisecond
		runningTime = 2 * time.Millisecond
		starveAfter = 3100 * time.Millisecond
	)
	var servers []*server
	for range 16 {
		servers = append(servers, newServer(t, hang))
	}
	p, _ := startWithServers(t, servers...)
	responses := make(chan response, clients)
	var all sync.WaitGroup
	for range clients {
		all.Go(func() { responses <- p.sendWith("slow", "x", map[string]string{"X-Expires-In-Ms": "6000"}) })
	}
	time.Sleep(300 * time.Millisecond)
	term := time.Now()
	assert.NoError(t, p.Signal(syscall.SIGTERM))
	time.Sleep(starveAfter)
	for time.Since(term) < killAfter {
		p.Signal(syscall.SIGSTOP)
		time.Sleep(stoppedTime)
		p.Signal(syscall.SIGCONT)
		time.Sleep(runningTime)
	}
	p.Signal(syscall.SIGKILL)
	all.Wait()
	close(responses)
	counts := map[string]int{}
	for r := range responses {
		if r.err != nil {
			counts["lost"]++
			continue
		}
		counts[fmt.Sprint(r.status)]++
	}
	assert.Equal(t, clients, counts["503"]+counts["504"], "%v", counts)
	assert.Greater(t, counts["504"], clients/2, "%v", counts)
}

// While a process waits for its predecessor, the kernel already accepts clients on the process's listener. These
// clients must be answered even if SIGTERM arrives during that time.
func TestShutdown_SignalBeforeServing(t *testing.T) {
	fixture, _ := newNodeFixture(t, newServer(t, respond(200, "well")))
	// This predecessor sends no state, so the node waits for it.
	predecessor, err := handover.Listen(handover.SocketPath(fixture.dir, "n1 "+fixture.addr))
	require.NoError(t, err)
	defer predecessor.Close()
	fixture.config["admin_addr"] = freeAddress(t)
	p := fixture.launch()
	link, err := predecessor.AcceptUnix()
	require.NoError(t, err)
	defer link.Close()
	send := func(timeLeft string) net.Conn {
		c, err := net.Dial("tcp", fixture.addr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, requestHead("GET /find", "find", "X-Expires-In-Ms: "+timeLeft, "X-Trace-Id: "+nextTraceID()))
		return c
	}
	sentAt := time.Now()
	long, short := send("3000"), send("1000")
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	receive := func(c net.Conn, within time.Duration, want ...int) {
		c.SetReadDeadline(sentAt.Add(within + answerGrace))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if assert.NoError(t, err, p.log) {
			assert.Contains(t, want, r.StatusCode)
		}
	}
	receive(short, time.Second, 200, 503) // the start alone takes its time
	receive(long, 3*time.Second, 200)
	p.waitExit(t)
}

func TestShutdown_AnswersAllAccepted(t *testing.T) {
	slow := newServer(t, delayed(900*time.Millisecond, respond(200, "well")))
	p, _ := startWithServers(t, slow)
	idle, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer idle.Close()
	var all sync.WaitGroup
	sendRequest := func() {
		r := p.send("charge", "x")
		assert.NoError(t, r.err)
		assert.Equal(t, 200, r.status)
		assert.True(t, r.closes)
	}
	all.Go(sendRequest)
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, p.Signal(syscall.SIGTERM))
	time.Sleep(400 * time.Millisecond)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err, "the platform keeps sending connections for 0.4 s")
	defer c.Close()
	io.WriteString(c, "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n")
	first, err := bufio.NewReader(c).ReadString('\n')
	assert.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 503 Service Unavailable\r\n", first)
	all.Go(sendRequest)
	all.Wait()
	p.waitExit(time.Second)
}

// During a shutdown the platform sends new connections to the node for up to 0.4 s, and clients reuse their
// connections.
func TestShutdown_UnderTraffic(t *testing.T) {
	p, _ := startWithServers(t, newServer(t, delayed(20*time.Millisecond, respond(200, "well"))))
	until := time.Now().Add(700 * time.Millisecond)
	var all sync.WaitGroup
	var served, closed atomic.Int64
	for range 8 {
		all.Go(func() {
			for time.Now().Before(until) {
				r := p.send("find", "")
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
	assert.Greater(t, closed.Load(), int64(40), "after the signal each answer closes its connection")
}

func TestShutdown_AbortsInFlightBeforeKill(t *testing.T) {
	p, _ := startWithServers(t, newServer(t, hang))
	got := make(chan response, 1)
	go func() { got <- p.sendWith("slow", "x", map[string]string{"X-Expires-In-Ms": "6000"}) }()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	p.stop(3700 * time.Millisecond)
	assert.Greater(t, time.Since(began), 3*time.Second, "an RPC with time left is not cut short")
	assert.Equal(t, 504, testutil.Receive(t, got).status)
}
