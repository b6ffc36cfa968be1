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

// errNoInput is the result of a read that found nothing: its event was of bytes that had been read already.
var errNoInput = errors.New("nothing has arrived")

var errClientClosed = errors.New("the client has closed")

const (
	// deadlineByteStep is how many bytes of a request put its read deadline off at once.
	deadlineByteStep = 8 << 10
	// deadlineTimeStep is for how long a read deadline is not put off: where a request arrives in small pieces, most
	// reads need not set it.
	deadlineTimeStep = 100 * time.Millisecond
)

// Read is what the reader of requests reads from.
func (c *conn) Read(to []byte) (int, error) {
	if c.gateway != nil {
		return c.gateway.Read(to)
	}
	return c.readRaw(to)
}

// readRaw reads what the client sends, through a shortage of memory that passes. The first bytes of a request have
// arrived already, or else the read does not wait.
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
	outer := c.raw.Read(func(fd uintptr) bool {
		n, err = socket.Read(fd, to)
		return true
	})
	if outer != nil {
		return 0, outer
	}
	if socket.Classify(err) == socket.Memory {
		return 0, err // what has arrived is not known
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

// queueingTime returns how long a request that has just been read had been unread: in the socket, while its connection
// waited for capacity or served an earlier one, or behind that in the buffer. readCount is the number of reads before
// it.
func (c *conn) queueingTime(readCount uint32) time.Duration {
	reads := c.serving.readCount - readCount
	arrivedAt := c.serving.arrivedAt
	c.serving.arrivedAt = 0
	switch {
	case reads == 0: // it came with the one before
		arrivedAt = c.serving.lastReadAt
	case c.serving.deadlineSet || reads > 1 || arrivedAt == 0: // its end has only just come, or nothing is known
		return 0
	}
	return max(0, c.server.clock()-arrivedAt)
}

// Progress is called before each further read of a request that does not arrive in one piece. Such a request has a
// deadline, a later one if it is large, and the capacity for such requests is limited. However much has arrived, each
// wait for more has a timeout of its own.
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
	complete := status.requestStart + s.limits.ClientReadTimeout + s.limits.TransferTime(bytes)
	c.SetReadDeadline(s.started.Add(min(complete, now+s.limits.ClientReadTimeout)))
	if c.shared.readCanceled.Load() { // just now
		c.SetReadDeadline(pastDeadline)
	}
	if first {
		s.markSlow(c)
	}
}

// completeRead ends what Progress began: the request is complete.
func (c *conn) completeRead() {
	if !c.serving.deadlineSet {
		return
	}
	c.serving.deadlineSet = false
	c.server.markComplete(c)
	c.shared.readCanceled.Store(false)
	c.SetReadDeadline(time.Time{})
}

// cancelRead interrupts whoever reads from the connection.
func (c *conn) cancelRead() {
	c.shared.readCanceled.Store(true)
	c.SetReadDeadline(pastDeadline)
}

// stopBody ends a body that was passed on as it came: nobody reads from the connection any more.
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

// writeContinue sends the response that a client waits for before it sends its body.
func (c *conn) writeContinue() {
	c.setWriteDeadline()
	socket.Write(c.Conn, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// handleReadError responds to what could not be read as a request, and returns whether the connection can be used
// again. The framing is lost, so it can't; but where nothing had arrived it can.
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
	c.serving.lingerOnClose = response.Status != 408 // else there is nothing to discard
	return false
}

// readErrorResponse returns the response to what could not be read, or nil, and why the connection ends.
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
