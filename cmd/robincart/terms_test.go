package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
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

// Terms of the operators' test, each forced.

// neverUp is an address where no connection comes up: the listener's queue is full, and nobody takes from it.
func neverUp(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	require.NoError(t, err)
	file.Close()
	filler, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { filler.Close(); ln.Close() })
	return ln.Addr().String()
}

// While a connection does not come up its pick is out, and a non-idempotent RPC has no other. When its time is over nothing has been
// sent, and the RPC goes elsewhere, once.
func TestAConnectionThatNeverComesUpCostsNoRequestAndSendsNothingTwice(t *testing.T) {
	good := newServer(t, says(200, "well"))
	d := newDiscovery(t, listed("s0", neverUp(t), "ready"), listed("s1", good.addr(), "ready"))
	c := configuration(t, d, d.all()...)
	c["settings"] = json.RawMessage(strings.Replace(testSettings, `"ConnectTimeoutMs":2500`, `"ConnectTimeoutMs":300`, 1))
	p := start(t, c)
	asked, waited := 0, false
	for asked < 200 && !waited {
		r := p.ask("charge", "x")
		asked++
		if !assert.NoError(t, r.err) || !assert.Equal(t, 200, r.status) {
			return
		}
		waited = r.took >= 300*time.Millisecond
	}
	assert.True(t, waited, "no pick went to where nothing comes up: the story has not been told")
	assert.Equal(t, asked, good.count(), "each was sent once")
}

// The first server answers that it failed, a good while after the request came: what a further one hears of the caller's time is the rest.
func TestAFurtherAttemptTellsItsServerWhatIsLeft(t *testing.T) {
	const pause = 300 * time.Millisecond
	var mu sync.Mutex
	came, told := map[string]int{}, map[string][]int{}
	h := func(c net.Conn, q *wire.Request) bool {
		left, _ := strconv.Atoi(q.Header.Get("X-Expires-In-Ms"))
		id := q.Header.Get("X-Trace-Id")
		mu.Lock()
		came[id]++
		told[id] = append(told[id], left)
		first := came[id] == 1
		mu.Unlock()
		if first {
			return after(pause, says(500, ""))(c, q)
		}
		return says(200, "well")(c, q)
	}
	p, _ := serving(t, newServer(t, h), newServer(t, h))
	for _, class := range []string{"find", "book"} {
		id := "further-" + class
		p.askWith(class, map[string]string{"book": "x"}[class], map[string]string{"X-Trace-Id": id})
		mu.Lock()
		all := told[id]
		mu.Unlock()
		require.GreaterOrEqual(t, len(all), 2, "%s: no further attempt: the story has not been told", class)
		assert.LessOrEqual(t, all[0], 3000)
		for _, left := range all[1:] {
			assert.LessOrEqual(t, left, int((3*time.Second - pause).Milliseconds()), class)
			assert.Positive(t, left)
		}
	}
}

// Discovery refuses, or takes calls and never says a word: the node is ready with the list that its configuration holds, and serves by
// it; with an empty one it is ready, too, and pushes back at once.
func TestANodeIsReadyWhateverDiscoveryDoes(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer mute.Close()
	s := newServer(t, says(200, "well"))
	for name, addr := range map[string]string{"refused": freeAddress(t), "mute": mute.Addr().String()} {
		for want, known := range map[int][]standin.Member{200: {listed("s0", s.addr(), "ready")}, 503: {}} {
			d := newDiscovery(t)
			c := configuration(t, d, known...)
			c["discovery"] = addr
			p := start(t, c) // waits until it is ready
			r := p.ask("find", "")
			assert.NoError(t, r.err, name)
			assert.Equal(t, want, r.status, name)
			q, err := http.Get("http://" + p.addr + "/health/ready")
			if assert.NoError(t, err) {
				q.Body.Close()
				assert.Equal(t, 200, q.StatusCode, name)
			}
		}
	}
}

// BenchmarkThirtyRestartAtOnce starts thirty nodes in one moment on cores that are busy, while discovery is down for 8 s and slow from
// then on, and tells when they were ready and when each had its watch. Not a race-checked run: go test -run - -bench Thirty -benchtime 1x.
func BenchmarkThirtyRestartAtOnce(b *testing.B) {
	const nodes, down, most = 30, 8 * time.Second, 20 * time.Second
	var ended atomic.Bool
	defer ended.Store(true)
	for range 16 {
		go func() {
			for !ended.Load() { // keeps a core busy
			}
		}()
	}
	for range b.N {
		d := standin.NewDiscovery(nil, time.Now())
		d.Every = 500 * time.Millisecond
		d.Tell(listed("s0", "127.0.0.1:1", "ready"))
		door, err := d.Door(0, "127.0.0.1:0")
		require.NoError(b, err)
		_, known := d.List()
		d.Gone(true)
		d.Late(time.Second) // with its empty lines: twice that would be silence
		began := time.Now()
		took := make([]float64, nodes)
		var all sync.WaitGroup
		dir := b.TempDir()
		var started []*standin.Node
		for i := range nodes {
			addr, err := standin.FreeAddress("127.0.0.1")
			require.NoError(b, err)
			n := &standin.Node{Name: fmt.Sprint("n", i), Addr: addr, Program: os.Args[0], Dir: dir, Env: []string{"ROBINCART_TEST_PROGRAM=1"},
				Config: map[string]any{"discovery": door.Addr(), "seed": fmt.Sprint(i), "limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
					"known": map[string]any{"revision": 1, "complete": true, "members": known}, "settings": json.RawMessage(testSettings)}}
			started = append(started, n)
			all.Go(func() {
				ctx, cancel := context.WithTimeout(b.Context(), most)
				defer cancel()
				if err := n.Start(ctx); err != nil {
					b.Error(err)
				}
				took[i] = time.Since(began).Seconds()
			})
		}
		all.Wait()
		time.Sleep(time.Until(began.Add(down)))
		d.Gone(false)
		back := time.Now()
		for last := 0; last < nodes && time.Since(began) < most; time.Sleep(10 * time.Millisecond) {
			_, last = door.Watches()
		}
		watched := time.Since(back).Seconds()
		slices.Sort(took)
		b.ReportMetric(took[nodes/2], "s-median")
		b.ReportMetric(took[nodes*9/10-1], "s-9of10")
		b.ReportMetric(took[nodes-1], "s-most")
		b.ReportMetric(watched, "s-watched-after-return")
		for _, n := range started {
			n.Kill()
		}
		d.Stop()
	}
}
