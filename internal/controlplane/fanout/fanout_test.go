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

const (
	eventTimeout = 20 * time.Second
	watchTimeout = 60 * time.Second
)

// startList serves a list until the test ends, and returns its address.
func startList(t testing.TB, config Config) (*List, string) {
	before := goleak.IgnoreCurrent()
	list := New(config, zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		list.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, before)
	})
	return list, listener.Addr().String()
}

// watcher is a client that watches a list, as a node does.
type watcher struct {
	conn      net.Conn
	lines     *bufio.Scanner
	phases    map[string]string // members' phases by ID
	revision  int64
	snapshots int
}

func startWatch(t testing.TB, address string, since int64) *watcher {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(watchTimeout))
	fmt.Fprintf(conn, "GET /registry/instances?follow=1&since=%d HTTP/1.1\r\nHost: a\r\n\r\n", since)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<24)
	return &watcher{conn: conn, lines: lines, phases: map[string]string{}, revision: since}
}

// read reads the next message, applies it to the phases and returns it. It skips heartbeats.
func (w *watcher) read(t testing.TB) message {
	for w.lines.Scan() {
		if len(w.lines.Bytes()) == 0 {
			continue
		}
		var received message
		require.NoError(t, json.Unmarshal(w.lines.Bytes(), &received))
		w.apply(received)
		assert.GreaterOrEqual(t, received.Revision, w.revision)
		w.revision = received.Revision
		return received
	}
	require.Fail(t, "the watch ended", w.lines.Err())
	return message{}
}

func (w *watcher) apply(received message) {
	if received.Complete {
		clear(w.phases)
		w.snapshots++
	}
	for _, member := range received.Members {
		if member.Phase == "gone" {
			delete(w.phases, member.ID)
		} else {
			w.phases[member.ID] = member.Phase
		}
	}
}

func (w *watcher) readUntil(t testing.TB, revision int64) {
	for w.revision < revision {
		w.read(t)
	}
}

func newMember(i int, phase string) Member {
	return Member{ID: fmt.Sprint("s", i), HostPort: "127.0.0.1:80", Locality: "a", Phase: phase, Size: 1}
}

// newLongMember returns a member whose encoding takes half a kilobyte.
func newLongMember(i, address int) Member {
	member := newMember(i, "ready")
	member.HostPort = fmt.Sprintf("%0500d:80", address)
	return member
}

func newMembers(count int) []Member {
	var members []Member
	for i := range count {
		members = append(members, newMember(i, "ready"))
	}
	return members
}

func requireStatus(t *testing.T, want int, url string) {
	t.Helper()
	response, err := http.Get(url)
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, want, response.StatusCode, url)
}

func TestList_WatchersCatchUp(t *testing.T) {
	config := DefaultConfig()
	config.History, config.BatchDelay = 64, 0
	list, address := startList(t, config)
	url := "http://" + address + "/registry/instances"
	requireStatus(t, http.StatusServiceUnavailable, url) // before the first snapshot
	list.PublishSnapshot(100, newMembers(50))
	connected := startWatch(t, address, 0)
	connected.readUntil(t, 100)
	assert.Len(t, connected.phases, 50)
	for i := range 30 {
		list.PublishDelta([]Member{newMember(i, "draining")})
		if i%2 == 0 {
			list.PublishDelta([]Member{newMember(i, "gone")})
		}
	}
	connected.readUntil(t, 145)
	assert.Len(t, connected.phases, 35)

	t.Run("revision in the history", func(t *testing.T) {
		watcher := startWatch(t, address, 120)
		watcher.readUntil(t, 145)
		assert.Equal(t, 0, watcher.snapshots)
	})
	t.Run("revision too old", func(t *testing.T) {
		watcher := startWatch(t, address, 3)
		watcher.read(t)
		assert.Equal(t, 1, watcher.snapshots)
		assert.Equal(t, connected.phases, watcher.phases)
	})
	t.Run("revision that the list never had", func(t *testing.T) {
		watcher := startWatch(t, address, 9_000_000)
		watcher.revision = 0
		watcher.read(t)
		assert.Equal(t, 1, watcher.snapshots)
		assert.Equal(t, connected.phases, watcher.phases)
	})
	t.Run("latest revision", func(t *testing.T) {
		watcher := startWatch(t, address, 145)
		assert.Empty(t, watcher.read(t).Members, "an empty delta is sent at once")
	})
	t.Run("request without a watch", func(t *testing.T) {
		response, err := http.Get(url)
		require.NoError(t, err)
		defer response.Body.Close()
		var received message
		require.NoError(t, json.NewDecoder(response.Body).Decode(&received))
		assert.True(t, received.Complete)
		assert.Len(t, received.Members, 35)
	})
	t.Run("invalid requests", func(t *testing.T) {
		requireStatus(t, http.StatusNotFound, "http://"+address+"/x")
		requireStatus(t, http.StatusBadRequest, url+"?since=-1")
		requireStatus(t, http.StatusBadRequest, url+"?since=a")
	})
}

// A watcher that does not read delays no other watcher, causes no backlog in memory, and is disconnected.
func TestList_SlowWatcher(t *testing.T) {
	config := DefaultConfig()
	config.WriteTimeout, config.BatchDelay, config.History = 2*time.Second, 0, 100
	list, address := startList(t, config)
	list.PublishSnapshot(1, nil)
	slow, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { slow.Close() })
	slow.(*net.TCPConn).SetReadBuffer(4096)
	fmt.Fprint(slow, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n")

	watcher := startWatch(t, address, 0)
	const deltas = 3000
	for i := range deltas {
		list.PublishDelta([]Member{newLongMember(i%400, i)})
		if i%100 == 99 { // if it did not read during the loop, this watcher could be too slow on a busy machine
			watcher.readUntil(t, int64(i+2))
		}
	}
	assert.Len(t, watcher.phases, 400)
	list.mu.Lock()
	assert.LessOrEqual(t, len(list.history), 100)
	list.mu.Unlock()

	// The kernel may buffer some megabytes for the slow watcher before writes to it block.
	revision := int64(deltas + 1)
	for deadline := time.Now().Add(eventTimeout); list.watchers.Load() != 1; {
		require.True(t, time.Now().Before(deadline), "the slow watcher is disconnected in time")
		for i := range 50 {
			list.PublishDelta([]Member{newLongMember(i, int(revision))})
			revision++
		}
		watcher.readUntil(t, revision)
	}
}

func TestServe_MaxWatchers(t *testing.T) {
	config := DefaultConfig()
	config.MaxWatchers = 2
	list, address := startList(t, config)
	list.PublishSnapshot(1, nil)
	startWatch(t, address, 0)
	startWatch(t, address, 0)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(eventTimeout))
	response, _ := io.ReadAll(conn) // the connection may be reset after the answer
	assert.Contains(t, string(response), "503")
}

// BenchmarkFanOut measures the time from a delta until the last watcher has read it. The watchers run on the same
// machine as the list.
func BenchmarkFanOut(b *testing.B) {
	for _, servers := range []int{1000, 20000} {
		for _, watchers := range []int{1, 100, 1000, 5000} {
			b.Run(fmt.Sprintf("%d servers, %d watchers", servers, watchers), func(b *testing.B) {
				benchmarkFanOut(b, servers, watchers)
			})
		}
	}
}

func benchmarkFanOut(b *testing.B, servers, watcherCount int) {
	list, address := startList(b, DefaultConfig())
	list.PublishSnapshot(1, newMembers(servers))
	watchers := startWatches(b, address, watcherCount)
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		var notified sync.WaitGroup
		revision := int64(i + 2)
		for _, watcher := range watchers {
			notified.Go(func() { watcher.readUntil(b, revision) })
		}
		list.PublishDelta([]Member{newMember(i%servers, "draining")})
		notified.Wait()
	}
	b.StopTimer()
	for _, watcher := range watchers {
		watcher.conn.Close()
	}
}

// startWatches starts watchers that have read the snapshot. The phases that the watchers have read are dropped to save
// memory.
func startWatches(b *testing.B, address string, count int) []*watcher {
	const workers = 32
	watchers := make([]*watcher, count)
	var started sync.WaitGroup
	for worker := range workers {
		started.Go(func() {
			for i := worker; i < count; i += workers {
				watchers[i] = startWatch(b, address, 0)
				watchers[i].readUntil(b, 1)
				watchers[i].phases = map[string]string{}
			}
		})
	}
	started.Wait()
	return watchers
}
