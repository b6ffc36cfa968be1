package endpoints

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/testutil"
)

type update struct {
	entries      []node.Endpoint
	full         bool
	failed       bool
	resetBackoff bool
}

type fakeReceiver chan update

func (c fakeReceiver) UpdateEndpoints(e []node.Endpoint, full bool) {
	c <- update{entries: e, full: full}
}
func (c fakeReceiver) EndpointWatchFailed(f node.WatchFailure) {
	c <- update{failed: true, resetBackoff: f.ResetBackoff}
}

func (c fakeReceiver) next(t *testing.T) update {
	t.Helper()
	select {
	case n := <-c:
		return n
	case <-time.After(5 * time.Second):
		require.Fail(t, "no news came")
		return update{}
	}
}

const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func messageChunk(revision int, complete bool, members ...string) string {
	return chunk(fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`+"\n", revision, complete,
		strings.Join(members, ",")))
}

func memberJSON(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:80","locality":"south","flavor":"m2","cell":3,"phase":%q,`+
		`"size":1.5,"up_since_ms":1800000000000}`, id, phase)
}

func testLimits() limits.Limits {
	return limits.Limits{Wire: httpwire.Sizes{BufferSize: 64, ReadSize: 64, MaxHead: 4096, MaxBody: 4096, MaxChunkLine: 64}, MaxListLine: 1 << 16,
		DiscoveryConnectTimeout: time.Second, FirstUpdateTimeout: 500 * time.Millisecond, MaxUpdateDelay: 5 * time.Second, MaxCallInterval: time.Hour, WatchSilenceTimeout: 200 * time.Millisecond}
}

// startWatcher starts a Watcher at a discovery that writes one text to each call, in turn, and then does as the last
// says.
func startWatcher(t *testing.T, known string, calls ...func(net.Conn)) (fakeReceiver, *Watcher, chan string) {
	return startWatcherWith(t, testLimits(), known, calls...)
}

func startWatcherWith(t *testing.T, l limits.Limits, known string, calls ...func(net.Conn)) (fakeReceiver, *Watcher, chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	asked := make(chan string, 9)
	go func() {
		var held []net.Conn // one that nobody holds is closed by the collector: an end, and no silence
		defer func() {
			for _, c := range held {
				c.Close()
			}
		}()
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			held = append(held, c)
			r := bufio.NewReader(c)
			first, _ := r.ReadString('\n')
			for l := first; l != "\r\n" && l != ""; l, _ = r.ReadString('\n') {
			}
			asked <- strings.TrimSpace(first)
			calls[min(i, len(calls)-1)](c)
		}
	}()
	w := New(ln.Addr().String(), []string{"north", "south"}, l, limits.NewBudget(2, 0, nil), zap.NewNop())
	core := make(fakeReceiver, 9)
	list, err := Parse([]byte(known))
	require.NoError(t, err)
	w.StartWith(core, list)
	core.next(t)
	ctx, end := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { end(); <-done; ln.Close() })
	w.RequestWatch()
	return core, w, asked
}

func send(parts ...string) func(net.Conn) {
	return func(c net.Conn) { io.WriteString(c, strings.Join(parts, "")) }
}

func sendAndClose(parts ...string) func(net.Conn) {
	return func(c net.Conn) { io.WriteString(c, strings.Join(parts, "")); c.Close() }
}

const emptySnapshot = `{"revision":41,"complete":true,"members":[]}`

func TestAWatchTellsTheListAndThenItsChanges(t *testing.T) {
	core, _, asked := startWatcher(t, emptySnapshot, send(responseHead, messageChunk(43, true, memberJSON("a", "ready")), chunk("\n"),
		messageChunk(44, false, memberJSON("a", "draining"))))
	assert.Equal(t, "GET /registry/instances?follow=1&since=41 HTTP/1.1", testutil.Receive(t, asked))
	n := core.next(t)
	assert.True(t, n.full)
	assert.Equal(t, []node.Endpoint{{ID: "a", Addr: "127.0.0.1:80", State: decide.Ready, Zone: 1, Cell: 3, Weight: 1.5, Revision: 43,
		StartedAt: time.UnixMilli(1800000000000)}}, n.entries)
	n = core.next(t)
	assert.False(t, n.full)
	assert.Equal(t, decide.Draining, n.entries[0].State)
}

func TestAChangeOlderThanTheListHeldIsDropped(t *testing.T) {
	core, _, _ := startWatcher(t, emptySnapshot, send(responseHead, messageChunk(40, false, memberJSON("gone long ago", "ready")),
		messageChunk(41, false, memberJSON("known", "ready")), messageChunk(42, false, memberJSON("new", "ready"))))
	assert.Equal(t, update{}, core.next(t), "that it answered is news all the same")
	assert.Equal(t, update{}, core.next(t))
	assert.Equal(t, "new", core.next(t).entries[0].ID)
}

func TestEachWayThatAWatchCanEndIsToldAndTheListStays(t *testing.T) {
	for name, call := range map[string]func(net.Conn){
		"refused":        sendAndClose("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
		"reset":          func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"no answer":      func(net.Conn) {},
		"ended":          sendAndClose(responseHead, "0\r\n\r\n"),
		"broken off":     sendAndClose(responseHead, "ff\r\n{\"rev"),
		"malformed":      send(responseHead, chunk("{\"revision\":}\n")),
		"not chunked":    send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
		"silence":        send(responseHead, chunk("\n")),
		"no message":     send(responseHead, chunk("null\n")),
		"no end":         send(responseHead, chunk("{\"members\":[\""), strings.Repeat(chunk(strings.Repeat("x", 4096)), 20)),
		"two phases":     send(responseHead, messageChunk(42, true, memberJSON("b", "ready"), memberJSON("b", "draining"))),
		"half a message": send(responseHead, messageChunk(41, false), chunk("{\"revision\":42,")),
	} {
		core, w, asked := startWatcher(t, emptySnapshot, call, send(responseHead, messageChunk(50, true, memberJSON("a", "ready"))))
		n := core.next(t)
		if name == "half a message" {
			n = core.next(t)
		}
		silent := name == "no answer" || name == "silence" || name == "half a message"
		assert.Equal(t, update{failed: true, resetBackoff: silent}, n, name)
		w.RequestWatch()
		assert.Contains(t, testutil.Receive(t, asked), "since=41", name)
		assert.Contains(t, testutil.Receive(t, asked), "since=41", name)
		assert.Equal(t, "a", core.next(t).entries[0].ID, "%s: the next watch has a descriptor again", name)
	}
}

func TestEmptyLinesKeepAWatchAlive(t *testing.T) {
	core, _, asked := startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead)
		for range 8 {
			time.Sleep(40 * time.Millisecond)
			io.WriteString(c, chunk("\n"))
		}
		io.WriteString(c, messageChunk(42, false, memberJSON("a", "ready")))
	})
	assert.Equal(t, "a", core.next(t).entries[0].ID)
	assert.Len(t, asked, 1)
}

// Another discovery numbers its lists by itself, and its first word must not wait for the module's pause.
func TestADiscoveryThatHasMovedIsFollowedAtOnce(t *testing.T) {
	fresh, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer fresh.Close()
	ended := make(chan error, 1)
	core, w, asked := startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead+messageChunk(43, true, memberJSON("a", "ready")))
		go func() {
			_, err := io.ReadAll(c)
			ended <- err
		}()
	})
	assert.Equal(t, "a", core.next(t).entries[0].ID)
	testutil.Receive(t, asked)
	w.SetAddress(fresh.Addr().String())
	assert.NoError(t, testutil.Receive(t, ended), "the old watch and its descriptor are given back")
	c, err := fresh.Accept()
	require.NoError(t, err)
	first, _ := bufio.NewReader(c).ReadString('\n')
	assert.Contains(t, first, "since=0")
	io.WriteString(c, responseHead+messageChunk(7, false, memberJSON("b", "ready")))
	assert.Equal(t, "b", core.next(t).entries[0].ID)
	c.Close()
	assert.True(t, core.next(t).failed, "the module asks again in its own time")
	assert.Empty(t, core)
}

// A node that has waited for long since discovery was down must not wait as long for a new one whose first call fails: what that
// tells binds it seconds after the move. Of all that fails while the module waits it makes one call (decide's own test).
func TestAMoveWhileDiscoveryIsDownBeginsThePausesAnew(t *testing.T) {
	core, w, asked := startWatcher(t, emptySnapshot, sendAndClose("no"))
	assert.Equal(t, update{failed: true}, core.next(t))
	testutil.Receive(t, asked)
	here := w.addr
	for range 3 {
		w.SetAddress(freeAddress(t))
		assert.Equal(t, update{failed: true, resetBackoff: true}, core.next(t))
	}
	w.SetAddress(here)
	assert.Contains(t, testutil.Receive(t, asked), "since=0")
	assert.Equal(t, update{failed: true, resetBackoff: true}, core.next(t))
	w.RequestWatch()
	assert.Equal(t, update{failed: true}, core.next(t), "this discovery has had its call")
}

// The bench's calm+brink: a call was on its way when all watches fell silent, and its node listened to nobody for 6 s.
func TestACallThatIsNotAnsweredIsGivenUpInTimeForAnother(t *testing.T) {
	mute := func(net.Conn) {}
	core, w, asked := startWatcher(t, emptySnapshot, sendAndClose("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), mute, mute, send(responseHead, messageChunk(42, false, memberJSON("a", "draining"))))
	first := testutil.Receive(t, asked)
	assert.Equal(t, update{failed: true}, core.next(t))
	w.RequestWatch()
	testutil.Receive(t, asked)
	assert.Equal(t, update{failed: true, resetBackoff: true}, core.next(t))
	w.RequestWatch()
	assert.Equal(t, first, testutil.Receive(t, asked))
	assert.Equal(t, update{failed: true, resetBackoff: true}, core.next(t))
	w.RequestWatch()
	assert.Equal(t, decide.Draining, core.next(t).entries[0].State)
}

// Discovery works through calls in turn: one that stands in its queue must not lose its turn for having been given up, and the next
// must not make the queue longer without end.
func TestACallThatStandsInAQueueIsStillTakenBesideTheNext(t *testing.T) {
	conns := make(chan net.Conn, 9)
	hold := func(c net.Conn) { conns <- c }
	core, w, asked := startWatcher(t, emptySnapshot, hold)
	var stand []net.Conn
	for range 3 {
		testutil.Receive(t, asked)
		stand = append(stand, testutil.Receive(t, conns))
		assert.Equal(t, update{failed: true, resetBackoff: true}, core.next(t), "another call is wanted")
		w.RequestWatch()
	}
	testutil.Receive(t, asked)
	stand = append(stand, testutil.Receive(t, conns))
	left := func(c net.Conn) bool {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
	assert.True(t, left(stand[0]), "two stand at most")
	assert.True(t, left(stand[1]))
	io.WriteString(stand[2], responseHead+messageChunk(42, true, memberJSON("a", "draining")))
	assert.Equal(t, decide.Draining, core.next(t).entries[0].State, "the earlier one is answered first")
	assert.True(t, left(stand[3]), "and the other one leaves the queue")
	io.WriteString(stand[2], messageChunk(43, true, memberJSON("b", "ready")))
	assert.Equal(t, "b", core.next(t).entries[0].ID)
	stand[2].Close()
	assert.True(t, core.next(t).failed, "the watch's end is told, whatever the call was told to be")
	assert.Empty(t, asked)
}

// Each list begins the pauses anew only if its watch lasted: a discovery that ends each watch right behind its list is overrun.
func TestAWatchThatEndsRightBehindItsListDoesNotBeginThePausesAnew(t *testing.T) {
	l := testLimits()
	l.WatchSilenceTimeout = time.Hour
	core, _, _ := startWatcherWith(t, l, emptySnapshot, sendAndClose(responseHead, messageChunk(42, true)))
	core.next(t)
	assert.Equal(t, update{failed: true}, core.next(t))
	core, _, _ = startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead+messageChunk(42, true))
		for range 4 {
			time.Sleep(testLimits().WatchSilenceTimeout / 2)
			io.WriteString(c, chunk("\n"))
		}
		c.Close()
	})
	core.next(t)
	assert.Equal(t, update{failed: true, resetBackoff: true}, core.next(t), "it has lasted")
}

func TestListsMayComeIndentedAndCutAnywhere(t *testing.T) {
	var text bytes.Buffer
	compact := fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s,%s]}`, 50, memberJSON(`a"}{`, "ready"), memberJSON("b", "draining"))
	require.NoError(t, json.Indent(&text, []byte(compact), "\r\n", "    "))
	whole := text.String() + text.String() + "\n\n" + strings.ReplaceAll(text.String(), `50`, `51`)
	var cut strings.Builder
	for i := 0; i < len(whole); i += 7 {
		cut.WriteString(chunk(whole[i:min(i+7, len(whole))]))
	}
	core, _, asked := startWatcher(t, emptySnapshot, send(responseHead, cut.String()))
	for range 3 {
		n := core.next(t)
		assert.True(t, n.full)
		assert.Equal(t, []string{`a"}{`, "b"}, []string{n.entries[0].ID, n.entries[1].ID})
	}
	assert.Len(t, asked, 1)
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func TestDiscoveryThatIsDownAtTheStartIsAFailure(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	w := New(ln.Addr().String(), nil, limits.Limits{DiscoveryConnectTimeout: time.Second, FirstUpdateTimeout: time.Second, MaxUpdateDelay: time.Second}, limits.NewBudget(1, 0, nil), zap.NewNop())
	core := make(fakeReceiver, 2)
	w.receiver = core
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go w.Run(ctx)
	w.RequestWatch()
	assert.Equal(t, update{failed: true}, core.next(t))
}

func TestANodeShortOfDescriptorsDoesNotPutTheListOff(t *testing.T) {
	budget := limits.NewBudget(1, 0, nil)
	require.True(t, budget.Acquire())
	w := New(freeAddress(t), nil, limits.Limits{}, budget, zap.NewNop())
	core := make(fakeReceiver, 2)
	w.receiver = core
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go w.Run(ctx)
	w.RequestWatch()
	assert.Equal(t, update{failed: true, resetBackoff: true}, core.next(t), "discovery has had no call")
}

func TestOneBadEntryCostsNoOther(t *testing.T) {
	l, err := Parse([]byte(`{"revision":1,"complete":true,"members":[` + strings.Join([]string{
		memberJSON("good", "ready"),
		memberJSON("phase", "resting"),
		memberJSON("", "ready"),
		`{"id":"address","host_port":"example.org:80","phase":"ready"}`,
		`{"id":"port","host_port":"127.0.0.1:99999","phase":"ready"}`,
		`{"id":"type","host_port":"127.0.0.1:80","phase":"ready","cell":"three"}`,
		`7`,
		`{"id":"left","phase":"gone"}`,
		`{"id":"bare","host_port":"[::1]:80","phase":"ready","size":-1,"up_since_ms":-1}`,
	}, ",") + `]}`))
	require.NoError(t, err)
	got := l.Entries([]string{"south"}, zap.NewNop())
	assert.Len(t, got, 3)
	assert.Equal(t, "good", got[0].ID)
	assert.Equal(t, node.Endpoint{ID: "left", State: decide.Gone, Zone: -1, Weight: 1, Revision: 1}, got[1])
	assert.Equal(t, node.Endpoint{ID: "bare", Addr: "[::1]:80", Zone: -1, Weight: 1, Revision: 1}, got[2])
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(emptySnapshot))
	f.Add([]byte(`{"revision":1,"members":[` + memberJSON("a", "ready") + `,null,{}]}`))
	f.Add([]byte(`{"revision":-1,"members":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text)
		if err != nil {
			return
		}
		for _, e := range l.Entries([]string{"a"}, zap.NewNop()) {
			if e.ID == "" || !(e.Weight > 0) || e.State != decide.Gone && checkAddress(e.Addr) != nil {
				t.Fatalf("took %+v", e)
			}
		}
	})
}

// Discovery is down, and each watch ends. What stands in the watcher's way between two tries takes every descriptor that it can get.
func TestAWatcherKeepsItsDescriptorFromWatchToWatch(t *testing.T) {
	budget := limits.NewBudget(3, 0, nil)
	w := New(freeAddress(t), nil, testLimits(), budget, zap.NewNop())
	core := make(fakeReceiver, 9)
	w.receiver = core
	ctx, end := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { w.Run(ctx); close(done) }()
	w.RequestWatch()
	assert.Equal(t, update{failed: true}, core.next(t))
	for budget.Acquire() {
	}
	w.RequestWatch()
	assert.Equal(t, update{failed: true}, core.next(t), "it has a descriptor, and discovery is called")
	end()
	<-done
	assert.Equal(t, 1, budget.Available(), "it comes back at the end")
}
