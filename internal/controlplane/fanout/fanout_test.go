package fanout

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func begin(t testing.TB, c Config) (*List, string) {
	leaks := goleak.IgnoreCurrent()
	l := New(c, zap.NewNop())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Serve(ctx, ln) }()
	t.Cleanup(func() {
		end()
		<-done
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, leaks)
	})
	return l, ln.Addr().String()
}

// watcher follows as a node does.
type watcher struct {
	c     net.Conn
	lines *bufio.Scanner
	list  map[string]string
	at    int64
	whole int
}

func watch(t testing.TB, addr string, since int64) *watcher {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(60 * time.Second))
	fmt.Fprintf(c, "GET /registry/instances?follow=1&since=%d HTTP/1.1\r\nHost: a\r\n\r\n", since)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, 200, r.StatusCode)
	w := &watcher{c: c, lines: bufio.NewScanner(r.Body), list: map[string]string{}, at: since}
	w.lines.Buffer(nil, 1<<24)
	return w
}

func (w *watcher) read(t testing.TB) message {
	for w.lines.Scan() {
		if len(w.lines.Bytes()) == 0 {
			continue
		}
		var m message
		require.NoError(t, json.Unmarshal(w.lines.Bytes(), &m))
		if m.Complete {
			clear(w.list)
			w.whole++
		}
		for _, x := range m.Members {
			if w.list[x.ID] = x.Phase; x.Phase == "gone" {
				delete(w.list, x.ID)
			}
		}
		assert.GreaterOrEqual(t, m.Revision, w.at)
		w.at = m.Revision
		return m
	}
	require.Fail(t, "the watch ended", w.lines.Err())
	return message{}
}

func (w *watcher) until(t testing.TB, revision int64) {
	for w.at < revision {
		w.read(t)
	}
}

func server(i int, phase string) Member {
	return Member{ID: fmt.Sprint("s", i), HostPort: "127.0.0.1:80", Locality: "a", Phase: phase, Size: 1}
}

func TestWatchersFollowWhateverTheyMissed(t *testing.T) {
	c := DefaultConfig()
	c.History, c.BatchDelay = 64, 0
	l, addr := begin(t, c)
	r, err := http.Get("http://" + addr + "/registry/instances")
	require.NoError(t, err)
	r.Body.Close()
	assert.Equal(t, 503, r.StatusCode, "before anything is known nobody is told that there is nothing")
	var all []Member
	for i := range 50 {
		all = append(all, server(i, "ready"))
	}
	l.PublishSnapshot(100, all)
	a := watch(t, addr, 0)
	a.until(t, 100)
	assert.Len(t, a.list, 50)
	for i := range 30 {
		l.PublishDelta([]Member{server(i, "draining")})
		if i%2 == 0 {
			l.PublishDelta([]Member{server(i, "gone")})
		}
	}
	a.until(t, 145)
	b, late, strange := watch(t, addr, 120), watch(t, addr, 3), watch(t, addr, 9_000_000)
	b.until(t, 145)
	late.read(t)
	strange.at = 0
	strange.read(t)
	assert.Equal(t, 0, b.whole)
	assert.Equal(t, 1, late.whole, "too old a revision is told all of it")
	assert.Equal(t, 1, strange.whole, "and so is one that nobody here has given out")
	assert.Equal(t, late.list, strange.list)
	assert.Equal(t, late.list, a.list)
	assert.Len(t, a.list, 35)
	current := watch(t, addr, 145)
	assert.Empty(t, current.read(t).Members, "one that has all is told so at once")
	resp, err := http.Get("http://" + addr + "/registry/instances")
	require.NoError(t, err)
	defer resp.Body.Close()
	var m message
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&m))
	assert.True(t, m.Complete)
	assert.Len(t, m.Members, 35)
	for path, want := range map[string]int{"/x": 404, "/registry/instances?since=-1": 400, "/registry/instances?since=a": 400} {
		r, err := http.Get("http://" + addr + path)
		require.NoError(t, err)
		r.Body.Close()
		assert.Equal(t, want, r.StatusCode)
	}
}

// One that does not read holds up nobody and costs no backlog.
func TestASlowWatcherHoldsUpNobody(t *testing.T) {
	c := DefaultConfig()
	c.WriteTimeout, c.BatchDelay, c.History = 2*time.Second, 0, 100
	l, addr := begin(t, c)
	l.PublishSnapshot(1, nil)
	slow, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4096)
	fmt.Fprint(slow, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n")
	a := watch(t, addr, 0)
	for i := range 3000 {
		m := server(i%400, "ready")
		m.HostPort = fmt.Sprintf("%0500d:80", i)
		if l.PublishDelta([]Member{m}); i%100 == 99 { // it reads on: where the machine stalls it would else pass for a slow one
			a.until(t, int64(i+2))
		}
	}
	assert.Len(t, a.list, 400)
	l.mu.Lock()
	assert.LessOrEqual(t, len(l.history), 100)
	l.mu.Unlock()
	// The kernel may take some megabytes for it first.
	for n, end := 3001, time.Now().Add(20*time.Second); l.watchers.Load() != 1; n += 50 {
		require.True(t, time.Now().Before(end), "it is let go")
		for i := range 50 {
			m := server(i, "ready")
			m.HostPort = fmt.Sprintf("%0500d:80", n+i)
			l.PublishDelta([]Member{m})
		}
		a.until(t, int64(n+50))
	}
}

func TestMoreThanManyAreToldToComeAgain(t *testing.T) {
	c := DefaultConfig()
	c.MaxWatchers = 2
	l, addr := begin(t, c)
	l.PublishSnapshot(1, nil)
	watch(t, addr, 0)
	watch(t, addr, 0)
	c3, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c3.Close()
	c3.SetDeadline(time.Now().Add(20 * time.Second))
	text, _ := io.ReadAll(c3)
	assert.Contains(t, string(text), "503")
}

// From a change to the last watcher. The watchers share the machine with the list.
func BenchmarkFanOut(b *testing.B) {
	for _, servers := range []int{1000, 20000} {
		for _, watchers := range []int{1, 100, 1000, 5000} {
			b.Run(fmt.Sprintf("%d servers, %d watchers", servers, watchers), func(b *testing.B) {
				l, addr := begin(b, DefaultConfig())
				var all []Member
				for i := range servers {
					all = append(all, server(i, "ready"))
				}
				l.PublishSnapshot(1, all)
				ws := make([]*watcher, watchers)
				var begun sync.WaitGroup
				for lane := range 32 {
					begun.Go(func() {
						for i := lane; i < watchers; i += 32 {
							ws[i] = watch(b, addr, 0)
							ws[i].until(b, 1)
							ws[i].list = map[string]string{}
						}
					})
				}
				begun.Wait()
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					var told sync.WaitGroup
					at := int64(i + 2)
					for _, w := range ws {
						told.Go(func() { w.until(b, at) })
					}
					l.PublishDelta([]Member{server(i%servers, "draining")})
					told.Wait()
				}
				b.StopTimer()
				for _, w := range ws {
					w.c.Close()
				}
			})
		}
	}
}
