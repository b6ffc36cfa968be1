package frontend

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/testutil"
)

// newSmallListener returns a listener whose connections have small receive buffers.
func newSmallListener(t *testing.T) net.Listener {
	const receiveBuffer = 4 << 10
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// queuedRequest is a request that is larger than the receive buffer and waits in the listener's queue.
type queuedRequest struct {
	body         int // bytes
	writtenLater int // bytes of the body that the client writes only after the accept
}

const (
	queuedFor      = 400 * time.Millisecond
	writesAfter    = 200 * time.Millisecond // from the accept to the rest of the body
	queueTolerance = 100 * time.Millisecond
)

// deadlineOf serves a queued request and returns the deadline that the core is told.
func (q queuedRequest) deadlineOf(t *testing.T) time.Duration {
	l := testLimits()
	l.Wire.MaxBody, l.Wire.MaxStream, l.Wire.StreamPrefix = 64<<10, 1<<20, 16<<10
	l.MaxStreamedRequests, l.BodyMemory, l.MinTransferRate = 1, 1<<20, 1<<10
	server, core, _ := startServerWith(t, l, pushBack)
	server.SetTable(&Table{Only: newTestService(core, decide.NonIdempotent)})
	listener := newSmallListener(t)
	c := dial(t, listener.Addr().String())
	require.NoError(t, c.Conn.(*net.TCPConn).SetWriteBuffer(1<<20))
	c.SetWriteDeadline(time.Now().Add(eventTimeout))
	_, err := fmt.Fprintf(c, "POST /find HTTP/1.1\r\nX-Qos: find\r\nX-Trace-Id: %s\r\nX-Expires-In-Ms: 1000\r\n"+
		"Content-Length: %d\r\n\r\n%s", newRequestID(), q.body, strings.Repeat("x", q.body-q.writtenLater))
	require.NoError(t, err)
	time.Sleep(queuedFor)
	server.Serve(listener)
	if q.writtenLater > 0 {
		time.Sleep(writesAfter)
		_, err := c.Write([]byte(strings.Repeat("x", q.writtenLater)))
		require.NoError(t, err)
	}
	rpc := testutil.Receive(t, core.arrived)
	c.requireStatus(t, 503)
	return rpc.Deadline
}

// Guards against answers that come late because a request's wait in the listener's queue counted as no time.
func TestServer_QueueingTimeOfRequestThatFillsBuffer(t *testing.T) {
	const timeLeft = time.Second
	for name, request := range map[string]queuedRequest{
		"whole":    {body: 40 << 10},
		"streamed": {body: 100 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			assert.LessOrEqual(t, request.deadlineOf(t), coreTime+timeLeft-queuedFor+queueTolerance)
		})
	}
}

// Guards against a client that loses the time of its request while it is still writing.
func TestServer_ClientThatStillWritesKeepsItsTimeAfterQueue(t *testing.T) {
	const timeLeft = time.Second
	request := queuedRequest{body: 40 << 10, writtenLater: 4 << 10}
	assert.GreaterOrEqual(t, request.deadlineOf(t), coreTime+timeLeft-queueTolerance)
}
