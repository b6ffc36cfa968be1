package frontend

import (
	"errors"
	"os"
	"syscall"
	"time"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// errNoInput is returned by a read that found no bytes, since an earlier read had taken the bytes of its event.
var errNoInput = errors.New("expected a request, found no input")

var errClientClosed = errors.New("expected input, found that the client has closed the connection")

const (
	// deadlineByteStep is the number of further bytes of a request after which its read deadline is extended.
	deadlineByteStep = 8 << 10
	// deadlineTimeStep is the time after which a read deadline is extended, even for fewer bytes. With both steps most
	// reads of a request that arrives in small pieces need not set the deadline.
	deadlineTimeStep = 100 * time.Millisecond
)

// Read is called by the reader of requests. For a gateway it returns the input translated to HTTP/1.1.
func (c *conn) Read(to []byte) (int, error) {
	if c.gateway != nil {
		return c.gateway.Read(to)
	}
	return c.readRaw(to)
}

// readRaw reads bytes from the client, and retries while the kernel is short of memory. It does not block for the first
// bytes of a request, since these have arrived unless an earlier read has taken them.
func (c *conn) readRaw(to []byte) (int, error) {
	n, err := c.readOnce(to)
	if err != nil && err != errNoInput && socket.Classify(err) == socket.Memory {
		n, err = c.readThroughShortage(to)
	}
	if n > 0 {
		c.serving.lastReadAt = c.server.clock()
		c.serving.readCount++
	}
	return n, err
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
	if !c.serving.nonblocking {
		return c.Conn.Read(to)
	}
	n, err := 0, error(nil)
	connErr := c.raw.Read(func(fd uintptr) bool {
		n, err = socket.Read(fd, to)
		return true
	})
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

// queueingTime returns how long a request waited until it was read: in the socket, while its connection waited for
// capacity or served an earlier request, or in the buffer after that request. It returns 0 if that is unknown.
// readCount is the number of reads before those of the request.
func (c *conn) queueingTime(readCount uint32) time.Duration {
	reads := c.serving.readCount - readCount
	arrivedAt := c.serving.arrivedAt
	c.serving.arrivedAt = 0
	switch {
	case reads == 0: // it was received together with the request before
		arrivedAt = c.serving.lastReadAt
	case c.serving.deadlineSet || reads > 1 || arrivedAt == 0: // its end has just arrived, or the time is unknown
		return 0
	}
	return max(0, c.server.clock()-arrivedAt)
}

// Progress is called before each further read of a request that does not arrive in one piece. It sets the read deadline
// to the sooner of two times: ClientReadTimeout from now, and ClientReadTimeout plus the transfer time of the bytes
// read so far, from the start of the request. It also marks the connection as slow, since the capacity for such
// requests is limited.
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

// completeRead clears the read deadline and the slow mark, which Progress has set, when the request is complete.
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
// body is incomplete, it sets lingerOnClose.
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

// writeContinue sends the informational response that a client expects before it sends its body.
func (c *conn) writeContinue() {
	c.setWriteDeadline()
	socket.Write(c.Conn, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// handleReadError responds to a request that could not be read, and returns whether the connection can be used again.
// It can if no input had arrived. After any other error it can't, since the end of the request is unknown.
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

// readErrorResponse returns the response to a read error, or nil for none, and the reason for which the connection is
// closed.
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
