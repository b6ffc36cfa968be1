package frontend

import (
	"errors"
	"os"
	"runtime"
	"syscall"
	"time"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// errNoInput is returned by a read that finds no bytes. This is normal: the poller has reported an event, but an
// earlier read has already taken the bytes.
var errNoInput = errors.New("expected a request, found no input")

var errClientClosed = errors.New("expected input, found that the client has closed the connection")

const (
	// maxTurn is how long a connection's input is read before other goroutines get the core.
	maxTurn = time.Millisecond
	// deadlineByteStep is the number of further bytes of a request that must be read before its read deadline is
	// extended.
	deadlineByteStep = 8 << 10
	// deadlineTimeStep is the time after which a read deadline is extended even if fewer bytes were read. With both
	// steps, most reads of a request that arrives in small pieces need not set the deadline.
	deadlineTimeStep = 100 * time.Millisecond
)

// Read returns input from the client. The reader of requests calls it. For a gateway, Read returns the input translated
// to HTTP/1.1.
func (c *conn) Read(to []byte) (int, error) {
	if c.gateway != nil {
		return c.gateway.Read(to)
	}
	return c.readRaw(to)
}

// readRaw reads bytes from the client, and retries while the kernel is short of memory. It does not block for the first
// bytes of a request, because these bytes have already arrived, or an earlier read has taken them.
func (c *conn) readRaw(to []byte) (int, error) {
	start := c.yieldCore()
	if b := c.backlog(); b != nil {
		b.beforeRead(c)
	}
	n, err := c.readOnce(to)
	if err != nil && err != errNoInput && socket.Classify(err) == socket.Memory {
		n, err = c.readThroughShortage(to)
	}
	if n > 0 {
		now := c.server.clock()
		if now-start > maxTurn { // the read has waited for input
			c.serving.turnStart = now
		}
		c.serving.lastReadAt = now
		c.serving.readCount++
		if b := c.backlog(); b != nil {
			b.afterRead(c, n < len(to))
		}
	}
	return n, err
}

// yieldCore lets other goroutines run if the connection has had the core for maxTurn. A client that always has input
// would otherwise keep the core until the scheduler preempts its goroutine, and hundreds of such clients would delay
// others for seconds. It returns the time.
func (c *conn) yieldCore() time.Duration {
	now := c.server.clock()
	if now-c.serving.turnStart <= maxTurn {
		return now
	}
	runtime.Gosched()
	c.serving.turnStart = c.server.clock()
	return c.serving.turnStart
}

func (c *conn) readThroughShortage(to []byte) (int, error) {
	n := 0
	err := socket.RetryShortage(func() error {
		var err error
		n, err = c.readOnce(to)
		return err
	})
	return n, err
}

func (c *conn) readOnce(to []byte) (int, error) {
	if upload := c.serving.upload; upload != nil {
		upload.await()
		defer upload.proceed()
	}
	if !c.serving.nonblocking {
		return c.Conn.Read(to)
	}
	n, err := 0, error(nil)
	// Control ignores the deadline that an eviction sets: a request that has arrived is served.
	connErr := c.raw.Control(func(fd uintptr) { n, err = socket.Read(fd, to) })
	if connErr != nil {
		return 0, connErr
	}
	if socket.Classify(err) == socket.Memory {
		return 0, err // unknown whether input has arrived: the next read must not block either
	}
	c.serving.nonblocking = false
	switch {
	case err == syscall.EAGAIN:
		return 0, errNoInput
	case err != nil:
		return 0, err
	case n == 0:
		return 0, errClientClosed
	}
	return n, nil
}

// queueingTime returns how long a request waited until it was read. A request waits in the listener's queue, or in the
// socket while its connection waits for capacity or serves an earlier request, or in the buffer if it was received
// together with an earlier request. readCount is the connection's number of reads before the first read of this
// request.
func (c *conn) queueingTime(readCount uint32) time.Duration {
	reads := c.serving.readCount - readCount
	arrivedAt := c.serving.arrivedAt
	c.serving.arrivedAt = 0
	if reads == 0 { // the request was received together with the previous one
		return max(0, c.server.clock()-c.serving.lastReadAt)
	}
	waited := time.Duration(0)
	oneRead := reads == 1 && !c.serving.deadlineSet
	if oneRead && arrivedAt != 0 {
		waited = max(0, c.server.clock()-arrivedAt)
	}
	// Only the kernel knows when the end of a request arrived that took several reads.
	if b := c.backlog(); b != nil {
		c.serving.reader.backlog = nil
		return max(waited, b.age(c))
	}
	if !oneRead {
		waited = max(waited, socket.SinceLastData(c.raw))
	}
	return waited
}

// Progress is called before each further read of a request that does not arrive in one piece. It sets the read deadline
// to the earlier of two times: now + ClientReadTimeout, and the start of the request + ClientReadTimeout + the transfer
// time of the bytes read so far. It also marks the connection as slow, since the capacity for requests that arrive in
// pieces is limited.
func (c *conn) Progress(bool) {
	s, status := c.server, &c.serving
	now := s.clock()
	bytes := status.reader.BytesRead()
	fewBytes := bytes < status.deadlineBytes+deadlineByteStep
	shortTime := now < status.deadlineSetAt+deadlineTimeStep
	if status.deadlineSet && fewBytes && shortTime {
		return
	}
	first := !status.deadlineSet
	status.deadlineSet = true
	status.deadlineSetAt = now
	status.deadlineBytes = bytes
	completeBy := status.requestStart + s.limits.ClientReadTimeout + s.limits.TransferTime(bytes)
	c.SetReadDeadline(s.started.Add(min(completeBy, now+s.limits.ClientReadTimeout)))
	if c.shared.readCanceled.Load() { // cancelRead was called in the meantime
		c.SetReadDeadline(pastDeadline)
	}
	if first {
		s.markSlow(c)
	}
}

// completeRead is called when no more of a request is to be read. If Progress has set a read deadline and marked the
// connection as slow, completeRead undoes both.
func (c *conn) completeRead() {
	if !c.serving.deadlineSet {
		return
	}
	c.serving.deadlineSet = false
	c.server.markComplete(c)
	c.shared.readCanceled.Store(false)
	c.SetReadDeadline(time.Time{})
}

// cancelRead interrupts a read from the connection by another goroutine.
func (c *conn) cancelRead() {
	c.shared.readCanceled.Store(true)
	c.SetReadDeadline(pastDeadline)
}

// stopBody stops the forwarding of a streamed body. No other goroutine reads from the connection afterwards. If the
// body is incomplete, stopBody sets lingerOnClose.
func (c *conn) stopBody(body *httpwire.BodyStream) {
	body.Stop(c.cancelRead)
	c.shared.readCanceled.Store(false)
	c.completeRead()
	c.serving.deadlineSet = false
	if !body.Complete() {
		c.serving.lingerOnClose = true
		c.SetReadDeadline(time.Time{})
	}
}

// writeContinue sends the response 100 Continue, which a client expects before it sends its body.
func (c *conn) writeContinue() {
	c.setWriteDeadline()
	socket.Write(c.Conn, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// handleReadError responds to a request that could not be read, and returns whether the connection can be used again.
// After errNoInput the connection can be used again, since no input had arrived. After any other error it can't, since
// the end of the request is unknown.
func (c *conn) handleReadError(err error) bool {
	if err == errNoInput {
		c.serving.reader.ReleaseBuffer()
		return true
	}
	response, reason := c.readErrorResponse(err)
	c.serving.closeReason = reason
	if response == nil {
		return false
	}
	c.server.telemetry.Record(telemetry.Event{
		Kind:   telemetry.RequestRejected,
		Reason: reason,
		Status: response.Status,
	})
	c.writeResponse(response, false)
	c.serving.lingerOnClose = response.Status != 408 // after a timeout there is nothing to discard
	return false
}

// readErrorResponse returns the response to a read error and the reason for which the connection is closed. The
// response is nil if nothing is to be written to the client.
func (c *conn) readErrorResponse(err error) (*httpwire.ClientResponse, telemetry.Reason) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if c.server.wasEvictedAsSlow(c) {
			retryAfter := c.server.limits.OverloadRetryAfter
			return &httpwire.ClientResponse{Status: 503, RetryAfter: retryAfter, Close: true}, telemetry.Evicted
		}
		return &httpwire.ClientResponse{Status: 408, Close: true}, telemetry.RequestTimeout
	}
	response, ok := httpwire.ErrorResponse(err)
	if !ok {
		return nil, telemetry.PeerClosed
	}
	return &response, telemetry.Malformed
}
