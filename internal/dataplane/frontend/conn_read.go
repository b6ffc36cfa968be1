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

// errNothing is a read that found nothing: the event it went by was of bytes that had been read already.
var errNothing = errors.New("nothing has come")

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
			c.read = c.server.clock()
			c.reads++
		}
	}()
	n, err = c.readOnce(to)
	if err == nil || err == errNothing || socket.Classify(err) != socket.Memory {
		return n, err
	}
	err = socket.RetryShortage(func() error {
		n, err = c.readOnce(to)
		return err
	})
	return n, err
}

func (c *conn) readOnce(to []byte) (n int, err error) {
	if !c.try {
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
	switch c.try = false; {
	case err == syscall.EAGAIN:
		return 0, errNothing
	case err != nil:
		return 0, err
	case n == 0:
		return 0, errClosed
	}
	return n, nil
}

var errClosed = errors.New("the caller has closed")

// slowStep is how many bytes of a request put its deadline off.
const slowStep = 8 << 10

// paceStep is how long a read deadline may stand that should have been put off: where a request comes in small pieces most reads leave it.
const paceStep = 100 * time.Millisecond

// Progress is told, before each further read, that a request does not come whole. Its rest has a time, more for what is large, and places
// for such requests are few. Whatever has come gives a caller no more time once it has stopped sending: each wait has an end of its own.
func (c *conn) Progress(bool) {
	f := c.server
	now := f.clock()
	if c.timed && c.reader.BytesRead() < c.counts+slowStep && now < c.paced+paceStep {
		return
	}
	first := !c.timed
	c.timed, c.paced, c.counts = true, now, c.reader.BytesRead()
	whole := c.begun + f.limits.ClientReadTimeout + f.limits.TransferTime(c.counts)
	c.SetReadDeadline(f.started.Add(min(whole, now+f.limits.ClientReadTimeout)))
	if c.cut.Load() { // given up just now
		c.SetReadDeadline(time.Unix(1, 0))
	}
	if first {
		f.slows(c)
	}
}

// goAhead tells a caller that waits for it to send its body.
func (c *conn) goAhead() {
	c.SetWriteDeadline(time.Now().Add(c.server.limits.ClientWriteTimeout))
	socket.Write(c.Conn, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// rest ends a request whose body came while it was passed on: nobody reads from the connection any more.
func (c *conn) rest(q *httpwire.Request) {
	q.BodyStream.Stop(c.giveIn)
	c.cut.Store(false)
	c.whole()
	if c.timed = false; !q.BodyStream.Complete() {
		c.linger = true
		c.SetReadDeadline(time.Time{})
	}
}

// giveIn interrupts who reads from the connection.
func (c *conn) giveIn() {
	c.cut.Store(true)
	c.SetReadDeadline(time.Unix(1, 0))
}

// whole ends what Progress began.
func (c *conn) whole() {
	if c.timed {
		c.timed = false
		c.server.isWhole(c)
		c.cut.Store(false)
		c.SetReadDeadline(time.Time{})
	}
}

// unread answers what could not be read as a request. Its framing is lost, so the connection ends. Where nothing has come
// it rests on.
func (c *conn) unread(err error) bool {
	if err == errNothing {
		c.reader.ReleaseBuffer()
		return true
	}
	a, ok := httpwire.ErrorResponse(err)
	c.why = telemetry.PeerClosed
	if ok {
		c.why = telemetry.Malformed
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a, ok, c.why = httpwire.ClientResponse{Status: 408, Close: true}, true, telemetry.RequestTimeout
		if c.server.isFull(c) {
			a.Status, a.RetryAfter, c.why = 503, c.server.limits.OverloadRetryAfter, telemetry.Evicted
		}
	}
	if ok {
		c.server.telemetry.Record(telemetry.Event{Kind: telemetry.RequestRejected, Reason: c.why, Status: a.Status})
		c.write(&a, false)
		c.linger = a.Status != 408 // else there is nothing to take in
	}
	return false
}
