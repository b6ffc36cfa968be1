package upstream

import (
	"errors"
	"net"
	"os"
	"time"

	"robincart/internal/system/socket"
)

// pastDeadline is a deadline that makes reads and writes return at once.
var pastDeadline = time.Unix(1, 0)

const (
	// deadlineStep is the number of bytes after which the time of the next check of a response is set again.
	deadlineStep = 8 << 10
	// maxHoldTime is how long the begin of a long response is held before it is passed on. A response whose rest is
	// held back for 2 s is lost by the operators' rules.
	maxHoldTime = 1500 * time.Millisecond
	// passOnMargin is how long before the attempt's deadline the begin of a long response is passed on at the latest.
	passOnMargin = 50 * time.Millisecond
	// shortStreamGrace is how long after the attempt's deadline a response that may be short is still read.
	shortStreamGrace = 250 * time.Millisecond
)

// responsePhase determines what happens while the reads of a connection wait.
//
//	from       event                                             to
//	awaiting   part of a response was read, and more is needed   receiving
//	receiving  the response was an informational one             awaiting
//	receiving  the response is complete                          awaiting
//	either     the head and the first part of the body were      streaming
//	           read, and the rest is forwarded as it arrives
//	streaming  the response is complete                          awaiting
type responsePhase uint8

const (
	// awaitingResponse has no read deadline: the core cancels the attempt at the attempt's deadline.
	awaitingResponse responsePhase = iota
	// receivingResponse is not limited either. If the response is slower than ResponseReadTimeout from its first byte
	// on, plus the transfer time of the bytes read, the core is told that it has stalled. The begin of a long response
	// is passed on after maxHoldTime.
	receivingResponse
	// streamingResponse allows ResponseStallTimeout for each read. The only other limit of a streamed response is a
	// minimum transfer rate, since its client sees the progress.
	streamingResponse
)

// responseProgress is the state from which the read deadline of a connection is computed.
type responseProgress struct {
	phase         responsePhase
	startedAt     time.Time // time at which receiving or streaming began
	heldSince     time.Time // time at which the first byte of a long body was held; zero: none is held
	bytesAtCheck  int       // result of BytesRead when the deadline was last set
	deadlineSet   bool      // the deadline of a receiving response is set
	longReported  bool      // the core knows that a long response has begun
	stallReported bool      // the core knows that the response has stalled

	// Of a streamed response:
	lengthUnknown bool
	answerUntil   time.Time // the attempt's deadline
}

// responseSource is the connection from which responses are read. A read does not end at the deadline that is set for
// the next check of a response, unless the begin of the response is to be passed on.
type responseSource struct {
	net.Conn
	owner *conn
}

// Read reads from the connection, and repeats the read after each check.
func (r responseSource) Read(to []byte) (int, error) {
	for {
		n, err := socket.ShortageConn{Conn: r.Conn}.Read(to)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.owner.checkResponse() {
			return n, err
		}
	}
}

// Progress sets the read deadline. It is called before each read that follows the first read of a response. Nearly all
// responses are complete after their first read, so they need no deadline. Progress is also called after an
// informational response, with begun = false: the final response has not begun, so the deadline is cleared.
func (c *conn) Progress(begun bool) {
	if !begun {
		c.endResponse()
		return
	}
	progress := &c.progress
	switch progress.phase {
	case awaitingResponse:
		progress.phase = receivingResponse
		progress.startedAt = time.Now()
		c.noteProgress()
	case receivingResponse:
		c.noteProgress()
	case streamingResponse:
		c.SetReadDeadline(c.streamDeadline(time.Now()))
	}
}

// noteProgress tells the core of a long response, and sets the deadline again after deadlineStep bytes or if the body
// has begun.
func (c *conn) noteProgress() {
	progress := &c.progress
	long := c.reader.MayBeLong()
	if long && !progress.longReported && c.exchange != nil {
		progress.longReported = true
		c.pool.core.ResponseBegun(c.exchange.attempt)
	}
	holds := progress.heldSince.IsZero() && c.reader.HeldBody() > 0
	if holds {
		progress.heldSince = time.Now()
	}
	if holds || !progress.deadlineSet || c.reader.BytesRead() >= progress.bytesAtCheck+deadlineStep {
		progress.bytesAtCheck = c.reader.BytesRead()
		c.setCheckDeadline()
	}
}

// checkResponse is called when the deadline of a read has passed. It returns whether to read on.
func (c *conn) checkResponse() bool {
	progress := &c.progress
	if progress.phase != receivingResponse || c.exchange == nil || c.exchange.canceled() {
		return false
	}
	now := time.Now()
	if !progress.stallReported && !now.Before(c.stallTime()) {
		progress.stallReported = true
		c.pool.core.ResponseStalled(c.exchange.attempt)
	}
	if passOn := c.passOnTime(); !passOn.IsZero() && !now.Before(passOn) {
		return false
	}
	c.setCheckDeadline()
	return true
}

// setCheckDeadline sets the read deadline to the time of the next check; none if there is nothing to check any more.
func (c *conn) setCheckDeadline() {
	next := c.passOnTime()
	if stall := c.stallTime(); !c.progress.stallReported && (next.IsZero() || stall.Before(next)) {
		next = stall
	}
	c.progress.deadlineSet = true
	c.SetReadDeadline(next)
	c.restoreCancel()
}

// stallTime returns when the response counts as stalled.
func (c *conn) stallTime() time.Time {
	l := &c.pool.limits
	return c.progress.startedAt.Add(l.ResponseReadTimeout + l.TransferTime(c.progress.bytesAtCheck))
}

// passOnTime returns when the begin of the response is passed on; zero if nothing is held that can be.
func (c *conn) passOnTime() time.Time {
	progress := &c.progress
	if progress.heldSince.IsZero() || !c.reader.PassOnLate || c.exchange == nil {
		return time.Time{}
	}
	latest := time.Now().Add(c.pool.core.TimeLeft(c.exchange.attempt) - passOnMargin)
	passOn := progress.heldSince.Add(maxHoldTime)
	if latest.Before(passOn) {
		return latest
	}
	return passOn
}

// streamDeadline returns the deadline of the next read of a streamed response: now + ResponseStallTimeout, but at most
// startedAt + ClientStallTimeout + ResponseStallTimeout + twice the transfer time of the bytes read. So the server may
// stall once, and must otherwise be on average as fast as its client has to be. A response that was passed on early and
// may still be a short one has to go on until the attempt's deadline: its client waits for its end.
func (c *conn) streamDeadline(now time.Time) time.Time {
	l := &c.pool.limits
	if c.progress.lengthUnknown && c.reader.BytesRead() <= l.Wire.MaxBody {
		short := now.Add(l.ResponseReadTimeout)
		if answerUntil := c.progress.answerUntil.Add(shortStreamGrace); short.Before(answerUntil) {
			short = answerUntil
		}
		return short
	}
	total := l.ClientStallTimeout + l.ResponseStallTimeout + 2*l.TransferTime(c.reader.BytesRead())
	latest := c.progress.startedAt.Add(total)
	next := now.Add(l.ResponseStallTimeout)
	if next.Before(latest) {
		return next
	}
	return latest
}

// startStreaming switches to the read deadlines of a response that is forwarded as it arrives.
func (c *conn) startStreaming(lengthUnknown bool, timeLeft time.Duration) {
	c.endResponse()
	c.pool.socketBuffers.GrowReceive(c.raw, &c.buffers)
	now := time.Now()
	c.progress = responseProgress{
		phase:         streamingResponse,
		startedAt:     now,
		lengthUnknown: lengthUnknown,
		answerUntil:   now.Add(timeLeft),
	}
}

// endResponse clears the read deadline after a response.
func (c *conn) endResponse() {
	if c.progress.phase == awaitingResponse {
		return
	}
	c.progress = responseProgress{}
	c.SetReadDeadline(time.Time{})
	c.restoreCancel()
}

// restoreCancel sets pastDeadline again if the exchange was canceled: a deadline that was set after the cancellation
// may have overwritten pastDeadline.
func (c *conn) restoreCancel() {
	if c.exchange != nil && c.exchange.canceled() {
		c.SetDeadline(pastDeadline)
	}
}
