package endpoints

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/resources/limits"
	"robincart/internal/testutil"
)

// answerCutAt returns a function that answers a poll with the first bytes of a message, in parts, and closes the
// connection.
func answerCutAt(message string, cut, partSize int) func(net.Conn) {
	return func(c net.Conn) {
		io.WriteString(c, responseHead)
		for part := range slices.Chunk([]byte(message[:cut]), partSize) {
			io.WriteString(c, chunk(string(part)))
		}
		c.Close()
	}
}

func TestWatchReader_CutAnywhereAppliesReceivedDrains(t *testing.T) {
	entries := []string{
		memberJSON("stays", "ready"), memberJSON(`a"}]{`, "draining"), memberJSON("b", "gone"),
		`{"id":"other","phase":"draining","more":{"list":[{"x":1}]},"host_port":"127.0.0.1:80"}`,
		memberJSON("c", "draining"),
	}
	leaving := []string{"", `a"}]{`, "b", "other", "c"}
	message := fmt.Sprintf(`{"revision":50,"complete":true,"members":[%s]}`, strings.Join(entries, " , "))
	for cut := 1; cut < len(message); cut += 3 {
		var want []string
		for i, entry := range entries {
			if end := strings.Index(message, entry) + len(entry); end <= cut && leaving[i] != "" {
				want = append(want, leaving[i])
			}
		}
		receiver, _, _ := startWatcher(t, emptySnapshot, answerCutAt(message, cut, 1+cut%200))
		var got []string
		for {
			next := receiver.next(t)
			if next.failed {
				break
			}
			assert.False(t, next.full)
			for _, e := range next.entries {
				assert.NotEqual(t, decide.Ready, e.State)
				got = append(got, e.ID)
			}
		}
		require.Equal(t, want, got, "cut at %d", cut)
	}
}

func TestWatchReader_IncompleteMessageIsNotAppliedIfOutdated(t *testing.T) {
	for name, head := range map[string]string{
		"delta not newer than the list": `{"revision":41,"complete":false,"members":[`,
		"malformed":                     `{"revision":"x","complete":true,"members":[`,
		"entries of another key":        `{"revision":50,"complete":true,"servers":[`,
	} {
		t.Run(name, func(t *testing.T) {
			text := head + memberJSON("a", "draining") + ","
			receiver, _, _ := startWatcher(t, emptySnapshot, answerCutAt(text, len(text), len(text)))
			assert.True(t, receiver.next(t).failed)
		})
	}
}

func TestWatchReader_IncompleteDeltaOfUnknownRevision(t *testing.T) {
	part := `{"complete":false,"members":[` + memberJSON("a", "draining") + ","
	t.Run("first message", func(t *testing.T) {
		receiver, _, _ := startWatcher(t, emptySnapshot, answerCutAt(part, len(part), len(part)))
		assert.Equal(t, "a", receiver.next(t).entries[0].ID, "it answers a poll with this node's revision")
	})
	// Guards against requests to a server whose drain stood in a change that was cut before its revision.
	t.Run("later message", func(t *testing.T) {
		receiver, w, requests := startWatcher(t, emptySnapshot,
			sendAndClose(responseHead, messageChunk(42, true), chunk(part)),
			send(responseHead, messageChunk(43, true, memberJSON("a", "ready"))))
		assert.True(t, receiver.next(t).full)
		drained := receiver.next(t)
		require.Len(t, drained.entries, 1, "it follows the message before")
		assert.Equal(t, decide.Draining, drained.entries[0].State)
		assert.False(t, drained.full)
		assert.True(t, receiver.next(t).failed)
		assert.Contains(t, testutil.Receive(t, requests), "since=41")
		w.RequestWatch()
		assert.Contains(t, testutil.Receive(t, requests), "since=0", "a snapshot corrects it if it was outdated")
		assert.True(t, receiver.next(t).full)
	})
}

// Guards against a server that stays drained after an old change whose revision arrived behind its entries.
func TestWatchReader_OutdatedPartIsCorrectedBySnapshot(t *testing.T) {
	rest := make(chan bool)
	receiver, w, requests := startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead+messageChunk(42, true, memberJSON("a", "ready"))+
			chunk(`{"complete":false,"members":[`+memberJSON("a", "draining")))
		go func() {
			<-rest
			io.WriteString(c, chunk(`],"revision":40}`+"\n"))
		}()
	}, send(responseHead, messageChunk(42, true, memberJSON("a", "ready"))))
	testutil.Receive(t, requests)
	assert.True(t, receiver.next(t).full)
	assert.Equal(t, decide.Draining, receiver.next(t).entries[0].State)
	close(rest)
	assert.Empty(t, receiver.next(t).entries, "the entries of an outdated change are not applied")
	assert.True(t, receiver.next(t).failed)
	w.RequestWatch()
	assert.Contains(t, testutil.Receive(t, requests), "since=0")
	assert.True(t, receiver.next(t).full)
}

// Guards against snapshots that are requested though a change that stalled has arrived whole.
func TestWatchReader_StalledDeltaOfUnknownRevisionNeedsNoSnapshot(t *testing.T) {
	rest := make(chan bool)
	receiver, w, requests := startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead+messageChunk(42, true)+
			chunk(`{"complete":false,"members":[`+memberJSON("a", "draining")))
		go func() {
			<-rest
			io.WriteString(c, chunk(`],"revision":43}`+"\n"))
			c.Close()
		}()
	}, send(responseHead, messageChunk(43, false)))
	testutil.Receive(t, requests)
	assert.True(t, receiver.next(t).full)
	assert.Equal(t, "a", receiver.next(t).entries[0].ID)
	close(rest)
	assert.Equal(t, "a", receiver.next(t).entries[0].ID)
	assert.True(t, receiver.next(t).failed)
	w.RequestWatch()
	assert.Contains(t, testutil.Receive(t, requests), "since=43")
}

func TestWatchReader_StalledMessageIsAppliedTwice(t *testing.T) {
	rest := make(chan bool)
	receiver, w, requests := startWatcher(t, emptySnapshot, func(c net.Conn) {
		io.WriteString(c, responseHead+chunk(
			`{"revision":50,"complete":true,"members":[`+memberJSON("a", "draining")+","+memberJSON("b", "ready")))
		go func() {
			<-rest
			io.WriteString(c, chunk("]}\n"))
		}()
	})
	testutil.Receive(t, requests)
	part := receiver.next(t)
	assert.False(t, part.full)
	assert.Equal(t, []string{"a"}, []string{part.entries[0].ID}, "servers that are ready wait for the whole list")
	time.Sleep(3 * incompleteMessageWait)
	assert.Empty(t, receiver, "nothing is applied again")
	w.mu.Lock()
	assert.Equal(t, int64(41), w.revision)
	w.mu.Unlock()
	close(rest)
	whole := receiver.next(t)
	assert.True(t, whole.full)
	assert.Len(t, whole.entries, 2)
	assert.Empty(t, requests, "the poll is not repeated")
}

// shortageConn is a connection whose first reads fail because the machine lacks memory.
type shortageConn struct {
	net.Conn
	failures int
}

func (c *shortageConn) Read(to []byte) (int, error) {
	if c.failures > 0 {
		c.failures--
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ENOMEM)}
	}
	return c.Conn.Read(to)
}

// Guards against requests to a server whose drain discovery has written, where a read failed for want of memory.
func TestWatchReader_ReadIsRepeatedDuringMemoryShortage(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	requests := make(chan string, 9)
	go answerPolls(listener, requests, []func(net.Conn){
		send(responseHead, messageChunk(42, false, memberJSON("a", "draining"))),
	})
	w := New(listener.Addr().String(), []string{"south"}, testLimits(), limits.NewBudget(2, 0, nil), zap.NewNop())
	w.SetDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &shortageConn{Conn: conn, failures: 3}, err
	})
	receiver := make(fakeReceiver, 9)
	w.SetReceiver(receiver)
	runWatcher(t, w)
	w.RequestWatch()
	got := receiver.next(t)
	require.False(t, got.failed)
	require.Len(t, got.entries, 1)
	assert.Equal(t, decide.Draining, got.entries[0].State)
}
