package endpoints

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
)

const (
	responseHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	rejection     = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	emptySnapshot = `{"revision":41,"complete":true,"members":[]}`
)

// update has the arguments of one call of a receiver.
type update struct {
	entries      []node.Endpoint
	full         bool
	failed       bool
	resetBackoff bool
}

// fakeReceiver is a Receiver that sends the arguments of each call to a test.
type fakeReceiver chan update

func (f fakeReceiver) UpdateEndpoints(e []node.Endpoint, full bool) {
	f <- update{entries: e, full: full}
}

func (f fakeReceiver) EndpointWatchFailed(failure node.WatchFailure) {
	f <- update{failed: true, resetBackoff: failure.ResetBackoff}
}

func (f fakeReceiver) next(t *testing.T) update {
	t.Helper()
	select {
	case n := <-f:
		return n
	case <-time.After(5 * time.Second):
		require.Fail(t, "no update was received")
		return update{}
	}
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func messageChunk(revision int, complete bool, members ...string) string {
	return chunk(fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`+"\n", revision, complete,
		strings.Join(members, ",")))
}

func memberJSON(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:80","locality":"south","flavor":"m2","cell":3,"phase":%q,`+
		`"size":1.5,"up_since_ms":1800000000000}`, id, phase)
}

// snapshotOf returns a snapshot of n entries.
func snapshotOf(n int, entry func(i int) string) []byte {
	all := make([]string, n)
	for i := range all {
		all[i] = entry(i)
	}
	return []byte(`{"revision":9,"complete":true,"members":[` + strings.Join(all, ",") + `]}`)
}

func testLimits() limits.Limits {
	return limits.Limits{
		Wire: httpwire.Sizes{
			BufferSize:   64,
			ReadSize:     64,
			MaxHead:      4096,
			MaxBody:      4096,
			MaxChunkLine: 64,
		},
		MaxListLine:             1 << 16,
		DiscoveryConnectTimeout: time.Second,
		FirstMessageTimeout:     500 * time.Millisecond,
		MaxUpdateDelay:          5 * time.Second,
		MaxPollInterval:         time.Hour,
		WatchSilenceTimeout:     200 * time.Millisecond,
	}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// send returns a function that answers a poll and leaves the connection open.
func send(parts ...string) func(net.Conn) {
	return func(c net.Conn) { io.WriteString(c, strings.Join(parts, "")) }
}

// sendAndClose returns a function that answers a poll and closes the connection.
func sendAndClose(parts ...string) func(net.Conn) {
	return func(c net.Conn) {
		io.WriteString(c, strings.Join(parts, ""))
		c.Close()
	}
}

// startWatcher starts a Watcher with a discovery that gives the answers to the polls in their order, and answers all
// further polls with the last answer. known is the list that the node has at the start. The request lines of the polls
// are sent to the returned channel.
func startWatcher(t *testing.T, known string, answers ...func(net.Conn)) (fakeReceiver, *Watcher, chan string) {
	t.Helper()
	return startWatcherWith(t, testLimits(), known, answers...)
}

func startWatcherWith(
	t *testing.T, l limits.Limits, known string, answers ...func(net.Conn),
) (fakeReceiver, *Watcher, chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	requests := make(chan string, 9)
	go answerPolls(listener, requests, answers)
	w := New(listener.Addr().String(), []string{"north", "south"}, l, limits.NewBudget(2, 0, nil), zap.NewNop())
	receiver := make(fakeReceiver, 9)
	list, err := Parse([]byte(known))
	require.NoError(t, err)
	w.SetInitialList(receiver, list)
	receiver.next(t)
	runWatcher(t, w)
	w.RequestWatch()
	return receiver, w, requests
}

// answerPolls answers polls, as startWatcher describes, until the listener is closed.
func answerPolls(listener net.Listener, requests chan<- string, answers []func(net.Conn)) {
	var open []net.Conn // a connection without a reference would be closed by the garbage collector
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for i := 0; ; i++ {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		open = append(open, c)
		requests <- readRequest(c)
		answers[min(i, len(answers)-1)](c)
	}
}

// readRequest reads a request's head and returns its first line.
func readRequest(c net.Conn) string {
	reader := bufio.NewReader(c)
	requestLine, _ := reader.ReadString('\n')
	for line := requestLine; line != "\r\n" && line != ""; {
		line, _ = reader.ReadString('\n')
	}
	return strings.TrimSpace(requestLine)
}

// runWatcher runs a Watcher until the test ends, or until stop is called.
func runWatcher(t *testing.T, w *Watcher) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}
