package endpoints

import (
	"bufio"
	"bytes"
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
	"robincart/internal/resources/limits"
	"robincart/internal/testutil"
)

func TestWatcher_SnapshotThenDelta(t *testing.T) {
	receiver, _, requests := startWatcher(t, emptySnapshot, send(
		responseHead,
		messageChunk(43, true, memberJSON("a", "ready")),
		chunk("\n"),
		messageChunk(44, false, memberJSON("a", "draining")),
	))
	assert.Equal(t, "GET /registry/instances?follow=1&since=41 HTTP/1.1", testutil.Receive(t, requests))
	got := receiver.next(t)
	assert.True(t, got.full)
	assert.Equal(t, []node.Endpoint{{
		ID: "a", Addr: "127.0.0.1:80", State: decide.Ready, Zone: 1, Cell: 3, Weight: 1.5, Revision: 43,
		StartedAt: time.UnixMilli(1800000000000),
	}}, got.entries)
	got = receiver.next(t)
	assert.False(t, got.full)
	assert.Equal(t, decide.Draining, got.entries[0].State)
}

func TestWatcher_OutdatedDelta(t *testing.T) {
	receiver, _, _ := startWatcher(t, emptySnapshot, send(
		responseHead,
		messageChunk(40, false, memberJSON("gone long ago", "ready")),
		messageChunk(41, false, memberJSON("known", "ready")),
		messageChunk(42, false, memberJSON("new", "ready")),
	))
	assert.Equal(t, update{}, receiver.next(t), "that discovery answered is reported all the same")
	assert.Equal(t, update{}, receiver.next(t))
	assert.Equal(t, "new", receiver.next(t).entries[0].ID)
}

// However a watch fails, the failure is reported, and the next poll goes on from the current revision.
func TestWatcher_WatchFailures(t *testing.T) {
	endless := []string{responseHead, chunk("{\"members\":[\""), strings.Repeat(chunk(strings.Repeat("x", 4096)), 20)}
	for name, answer := range map[string]func(net.Conn){
		"rejected":       sendAndClose(rejection),
		"reset":          func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"no answer":      func(net.Conn) {},
		"ended":          sendAndClose(responseHead, "0\r\n\r\n"),
		"broken off":     sendAndClose(responseHead, "ff\r\n{\"rev"),
		"malformed":      send(responseHead, chunk("{\"revision\":}\n")),
		"not chunked":    send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
		"silence":        send(responseHead, chunk("\n")),
		"no message":     send(responseHead, chunk("null\n")),
		"no end":         send(endless...),
		"two phases":     send(responseHead, messageChunk(42, true, memberJSON("b", "ready"), memberJSON("b", "draining"))),
		"half a message": send(responseHead, messageChunk(41, false), chunk("{\"revision\":42,")),
	} {
		t.Run(name, func(t *testing.T) {
			receiver, w, requests := startWatcher(t, emptySnapshot, answer,
				send(responseHead, messageChunk(50, true, memberJSON("a", "ready"))))
			got := receiver.next(t)
			if name == "half a message" {
				got = receiver.next(t)
			}
			silent := name == "no answer" || name == "silence" || name == "half a message"
			assert.Equal(t, update{failed: true, resetBackoff: silent}, got)
			w.RequestWatch()
			assert.Contains(t, testutil.Receive(t, requests), "since=41")
			assert.Contains(t, testutil.Receive(t, requests), "since=41")
			assert.Equal(t, "a", receiver.next(t).entries[0].ID, "the next watch has a descriptor again")
		})
	}
}

func TestWatcher_EmptyLinesKeepWatchAlive(t *testing.T) {
	receiver, _, requests := startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead)
		for range 8 {
			time.Sleep(40 * time.Millisecond)
			io.WriteString(c, chunk("\n"))
		}
		io.WriteString(c, messageChunk(42, false, memberJSON("a", "ready")))
	})
	assert.Equal(t, "a", receiver.next(t).entries[0].ID)
	assert.Len(t, requests, 1)
}

// Another discovery counts its revisions by itself, and must not wait for the core's backoff.
func TestWatcher_DiscoveryMoves(t *testing.T) {
	next, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { next.Close() })
	ended := make(chan error, 1)
	receiver, w, requests := startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead+messageChunk(43, true, memberJSON("a", "ready")))
		go func() {
			_, err := io.ReadAll(c)
			ended <- err
		}()
	})
	assert.Equal(t, "a", receiver.next(t).entries[0].ID)
	testutil.Receive(t, requests)
	w.SetAddress(next.Addr().String())
	assert.NoError(t, testutil.Receive(t, ended), "the old watch and its descriptor are given back")
	c, err := next.Accept()
	require.NoError(t, err)
	requestLine, _ := bufio.NewReader(c).ReadString('\n')
	assert.Contains(t, requestLine, "since=0")
	io.WriteString(c, responseHead+messageChunk(7, false, memberJSON("b", "ready")))
	assert.Equal(t, "b", receiver.next(t).entries[0].ID)
	c.Close()
	assert.True(t, receiver.next(t).failed, "the next poll is up to the core")
	assert.Empty(t, receiver)
}

// A node whose backoff has grown while discovery was down must not wait as long for a new one whose first poll fails:
// the new one's changes bind the node seconds after the move. However many polls fail while the core waits, it starts
// one (decide's own test).
func TestWatcher_DiscoveryMovesWhileDown(t *testing.T) {
	receiver, w, requests := startWatcher(t, emptySnapshot, sendAndClose("no"))
	assert.Equal(t, update{failed: true}, receiver.next(t))
	testutil.Receive(t, requests)
	first := w.addr
	for range 3 {
		w.SetAddress(freeAddress(t))
		assert.Equal(t, update{failed: true, resetBackoff: true}, receiver.next(t))
	}
	w.SetAddress(first)
	assert.Contains(t, testutil.Receive(t, requests), "since=0")
	assert.Equal(t, update{failed: true, resetBackoff: true}, receiver.next(t))
	w.RequestWatch()
	assert.Equal(t, update{failed: true}, receiver.next(t), "this discovery was polled before")
}

// Seen in the bench's calm+brink: a poll was pending when all watches fell silent, and its node had no watch for 6 s.
func TestWatcher_UnansweredPoll(t *testing.T) {
	mute := func(net.Conn) {}
	receiver, w, requests := startWatcher(t, emptySnapshot, sendAndClose(rejection), mute, mute,
		send(responseHead, messageChunk(42, false, memberJSON("a", "draining"))))
	first := testutil.Receive(t, requests)
	assert.Equal(t, update{failed: true}, receiver.next(t))
	w.RequestWatch()
	testutil.Receive(t, requests)
	assert.Equal(t, update{failed: true, resetBackoff: true}, receiver.next(t))
	w.RequestWatch()
	assert.Equal(t, first, testutil.Receive(t, requests))
	assert.Equal(t, update{failed: true, resetBackoff: true}, receiver.next(t))
	w.RequestWatch()
	assert.Equal(t, decide.Draining, receiver.next(t).entries[0].State)
}

// Discovery answers polls in turn: one that waits in its queue must not lose its turn for being late, and further ones
// must not make the queue longer without end.
func TestWatcher_QueuedPollBesideTheNext(t *testing.T) {
	conns := make(chan net.Conn, 9)
	receiver, w, requests := startWatcher(t, emptySnapshot, func(c net.Conn) { conns <- c })
	var polls []net.Conn
	for range 3 {
		testutil.Receive(t, requests)
		polls = append(polls, testutil.Receive(t, conns))
		assert.Equal(t, update{failed: true, resetBackoff: true}, receiver.next(t), "another poll is needed")
		w.RequestWatch()
	}
	testutil.Receive(t, requests)
	polls = append(polls, testutil.Receive(t, conns))
	closed := func(c net.Conn) bool {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
	assert.True(t, closed(polls[0]), "two polls at most")
	assert.True(t, closed(polls[1]))
	io.WriteString(polls[2], responseHead+messageChunk(42, true, memberJSON("a", "draining")))
	assert.Equal(t, decide.Draining, receiver.next(t).entries[0].State, "the earlier one is answered first")
	assert.True(t, closed(polls[3]), "and the other one leaves the queue")
	io.WriteString(polls[2], messageChunk(43, true, memberJSON("b", "ready")))
	assert.Equal(t, "b", receiver.next(t).entries[0].ID)
	polls[2].Close()
	assert.True(t, receiver.next(t).failed, "the watch's end is reported, though its poll was reported as unanswered")
	assert.Empty(t, requests)
}

// A snapshot resets the backoff only if its watch lasted: a discovery that ends each watch right behind its snapshot
// is overloaded.
func TestWatcher_ShortWatchKeepsBackoff(t *testing.T) {
	l := testLimits()
	l.WatchSilenceTimeout = time.Hour
	receiver, _, _ := startWatcherWith(t, l, emptySnapshot, sendAndClose(responseHead, messageChunk(42, true)))
	receiver.next(t)
	assert.Equal(t, update{failed: true}, receiver.next(t))
	receiver, _, _ = startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead+messageChunk(42, true))
		for range 4 {
			time.Sleep(testLimits().WatchSilenceTimeout / 2)
			io.WriteString(c, chunk("\n"))
		}
		c.Close()
	})
	receiver.next(t)
	assert.Equal(t, update{failed: true, resetBackoff: true}, receiver.next(t), "it has lasted")
}

func TestWatcher_IndentedMessagesInAnyChunks(t *testing.T) {
	var text bytes.Buffer
	compact := fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s,%s]}`, 50,
		memberJSON(`a"}{`, "ready"), memberJSON("b", "draining"))
	require.NoError(t, json.Indent(&text, []byte(compact), "\r\n", "    "))
	messages := text.String() + text.String() + "\n\n" + strings.ReplaceAll(text.String(), `50`, `51`)
	var chunks strings.Builder
	for i := 0; i < len(messages); i += 7 {
		chunks.WriteString(chunk(messages[i:min(i+7, len(messages))]))
	}
	receiver, _, requests := startWatcher(t, emptySnapshot, send(responseHead, chunks.String()))
	for range 3 {
		got := receiver.next(t)
		assert.True(t, got.full)
		assert.Equal(t, []string{`a"}{`, "b"}, []string{got.entries[0].ID, got.entries[1].ID})
	}
	assert.Len(t, requests, 1)
}

func TestWatcher_DiscoveryDownAtStart(t *testing.T) {
	l := limits.Limits{
		DiscoveryConnectTimeout: time.Second,
		FirstMessageTimeout:     time.Second,
		MaxUpdateDelay:          time.Second,
	}
	w := New(freeAddress(t), nil, l, limits.NewBudget(1, 0, nil), zap.NewNop())
	receiver := make(fakeReceiver, 2)
	w.SetReceiver(receiver)
	runWatcher(t, w)
	w.RequestWatch()
	assert.Equal(t, update{failed: true}, receiver.next(t))
}

func TestWatcher_NoDescriptor(t *testing.T) {
	budget := limits.NewBudget(1, 0, nil)
	require.True(t, budget.Acquire())
	w := New(freeAddress(t), nil, limits.Limits{}, budget, zap.NewNop())
	receiver := make(fakeReceiver, 2)
	w.SetReceiver(receiver)
	runWatcher(t, w)
	w.RequestWatch()
	assert.Equal(t, update{failed: true, resetBackoff: true}, receiver.next(t), "discovery was not polled")
}

// Discovery is down, and each poll fails. Other connections take every descriptor that they can get meanwhile.
func TestWatcher_KeepsDescriptorBetweenPolls(t *testing.T) {
	budget := limits.NewBudget(3, 0, nil)
	w := New(freeAddress(t), nil, testLimits(), budget, zap.NewNop())
	receiver := make(fakeReceiver, 9)
	w.SetReceiver(receiver)
	stop := runWatcher(t, w)
	w.RequestWatch()
	assert.Equal(t, update{failed: true}, receiver.next(t))
	for free := true; free; {
		free = budget.Acquire()
	}
	w.RequestWatch()
	assert.Equal(t, update{failed: true}, receiver.next(t), "it has a descriptor, and discovery is polled")
	stop()
	assert.Equal(t, 1, budget.Available(), "it comes back at the end")
}

// Deltas can't bring more servers than a service may have: past that, a snapshot is requested.
func TestWatcher_TurnoverRequestsSnapshot(t *testing.T) {
	const batch = 1000
	w := New("", nil, limits.Limits{}, limits.NewBudget(1, 0, nil), zap.NewNop())
	w.revision = 50
	parse := func(phase string) *List {
		list, err := Parse(snapshotOf(batch, func(i int) string { return memberJSON(fmt.Sprint("a", i), phase) }))
		require.NoError(t, err)
		return list
	}
	ready, gone := parse("ready"), parse("gone")
	require.NoError(t, w.checkTurnover(ready))
	ready.Complete, gone.Complete = false, false
	for range 100 {
		require.NoError(t, w.checkTurnover(gone), "servers that are gone do not count")
	}
	accepted := 0
	err := w.checkTurnover(ready)
	for err == nil {
		accepted++
		err = w.checkTurnover(ready)
	}
	var turnover *IncompleteTurnoverError
	assert.ErrorAs(t, err, &turnover)
	assert.Equal(t, MaxMembers/batch-1, accepted)
	assert.Zero(t, w.revision, "the next poll requests a snapshot")
	require.NoError(t, w.checkTurnover(ready), "the count begins anew")
}
