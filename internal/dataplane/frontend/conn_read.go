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

// What follows is how a caller's connection is read: what it waits for, and how long.

// errNoInput is a read that found nothing: the event it went by was of bytes that had been read already.
var errNoInput = errors.New("nothing has come")

// Read is what requests are read by.
func (c *conn) Read(to []byte) (int, error) {
	if c.gateway != nil {
		return c.gateway.Read(to)
	}
	return c.readRaw(to)
}

// readRaw reads what the caller sends. A request's first bytes are here already, or else nothing is waited for.
func (c *conn) readRaw(to []byte) (n int, err error) {
	defer func() {
		if n > 0 {
			c.lastReadAt = c.server.clock()
			c.readCount++
		}
	}()
	n, err = c.readOnce(to)
	if err == nil || err == errNoInput || socket.Classify(err) != socket.Memory {
		return n, err
	}
	err = socket.RetryShortage(func() error {
		n, err = c.readOnce(to)
		return err
	})
	return n, err
}

func (c *conn) readOnce(to []byte) (n int, err error) {
	if !c.nonblocking {
		return c.Conn.Read(to)
	}
	outer := c.raw.Read(func(fd uintptr) bool {
		n, err = socket.Read(fd, to)
		return true
	})
	switch {
	case outer != nil:
		return 0, outer
	case socket.Classify(err) == socket.Memory:
		return 0, err // nothing is known of what has come
	}
	switch c.nonblocking = false; {
	case err == syscall.EAGAIN:
		return 0, errNoInput
	case err != nil:
		return 0, err
	case n == 0:
		return 0, errClientClosed
	}
	return n, nil
}

var errClientClosed = errors.New("the caller has closed")

// deadlineByteStep is how many bytes of a request put its deadline off.
const deadlineByteStep = 8 << 10

// deadlineTimeStep is how long a read deadline may stand that should have been put off: where a request comes in small pieces most reads leave it.
const deadlineTimeStep = 100 * time.Millisecond

// Progress is told, before each further read, that a request does not come whole. Its rest has a time, more for what is large, and places
// for such requests are few. Whatever has come gives a caller no more time once it has stopped sending: each wait has an end of its own.
func (c *conn) Progress(bool) {
	f := c.server
	now := f.clock()
	if c.deadlineSet && c.reader.BytesRead() < c.deadlineBytes+deadlineByteStep && now < c.deadlineSetAt+deadlineTimeStep {
		return
	}
	first := !c.deadlineSet
	c.deadlineSet, c.deadlineSetAt, c.deadlineBytes = true, now, c.reader.BytesRead()
	whole := c.requestStart + f.limits.ClientReadTimeout + f.limits.TransferTime(c.deadlineBytes)
	c.SetReadDeadline(f.started.Add(min(whole, now+f.limits.ClientReadTimeout)))
	if c.readCanceled.Load() { // given up just now
		c.SetReadDeadline(time.Unix(1, 0))
	}
	if first {
		f.markSlow(c)
	}
}

// writeContinue tells a caller that waits for it to send its body.
func (c *conn) writeContinue() {
	c.SetWriteDeadline(time.Now().Add(c.server.limits.ClientWriteTimeout))
	socket.Write(c.Conn, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// stopBody ends a request whose body came while it was passed on: nobody reads from the connection any more.
func (c *conn) stopBody(q *httpwire.Request) {
	q.BodyStream.Stop(c.cancelRead)
	c.readCanceled.Store(false)
	c.requestComplete()
	if c.deadlineSet = false; !q.BodyStream.Complete() {
		c.lingerOnClose = true
		c.SetReadDeadline(time.Time{})
	}
}

// cancelRead interrupts who reads from the connection.
func (c *conn) cancelRead() {
	c.readCanceled.Store(true)
	c.SetReadDeadline(time.Unix(1, 0))
}

// requestComplete ends what Progress began.
func (c *conn) requestComplete() {
	if c.deadlineSet {
		c.deadlineSet = false
		c.server.markComplete(c)
		c.readCanceled.Store(false)
		c.SetReadDeadline(time.Time{})
	}
}

// handleReadError answers what could not be read as a request. Its framing is lost, so the connection ends. Where nothing has come
// it rests on.
func (c *conn) handleReadError(err error) bool {
	if err == errNoInput {
		c.reader.ReleaseBuffer()
		return true
	}
	a, ok := httpwire.ErrorResponse(err)
	c.closeReason = telemetry.PeerClosed
	if ok {
		c.closeReason = telemetry.Malformed
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a, ok, c.closeReason = httpwire.ClientResponse{Status: 408, Close: true}, true, telemetry.RequestTimeout
		if c.server.wasEvictedAsSlow(c) {
			a.Status, a.RetryAfter, c.closeReason = 503, c.server.limits.OverloadRetryAfter, telemetry.Evicted
		}
	}
	if ok {
		c.server.telemetry.Record(telemetry.Event{Kind: telemetry.RequestRejected, Reason: c.closeReason, Status: a.Status})
		c.writeResponse(&a, false)
		c.lingerOnClose = a.Status != 408 // else there is nothing to take in
	}
	return false
}
