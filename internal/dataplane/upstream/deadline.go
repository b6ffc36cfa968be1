package upstream

import "time"

// pastDeadline is a deadline that makes reads and writes return at once.
var pastDeadline = time.Unix(1, 0)

// deadlineStep is the number of bytes after which the read deadline of a response is extended again.
const deadlineStep = 8 << 10

// responsePhase determines the deadline of the reads of a connection.
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
	// receivingResponse allows ResponseReadTimeout from the first byte on, plus the transfer time of the bytes read. A
	// response that stops halfway on an open connection, or whose head does not end, would otherwise block its request
	// until no time is left for another attempt.
	receivingResponse
	// streamingResponse allows ResponseStallTimeout for each read. The only other limit of a streamed response is a
	// minimum transfer rate, since its client sees the progress.
	streamingResponse
)

// responseProgress is the state from which the read deadline of a connection is computed.
type responseProgress struct {
	phase            responsePhase
	startedAt        time.Time // time at which receiving or streaming began
	bytesAtExtension int       // result of BytesRead when the deadline was last extended
}

// Progress sets the read deadline. It is called before each read that follows the first read of a response. Nearly all
// responses are complete after their first read, so they need no deadline. Progress is also called after an
// informational response, with begun = false: the final response has not begun, so the deadline is cleared.
func (c *conn) Progress(begun bool) {
	if !begun {
		c.endResponse()
		return
	}
	switch c.progress.phase {
	case awaitingResponse:
		c.progress.phase = receivingResponse
		c.progress.startedAt = time.Now()
		c.extendDeadline()
	case receivingResponse:
		if c.reader.BytesRead() >= c.progress.bytesAtExtension+deadlineStep {
			c.extendDeadline()
		}
	case streamingResponse:
		c.SetReadDeadline(c.streamDeadline(time.Now()))
	}
}

// extendDeadline sets the read deadline to startedAt + ResponseReadTimeout + the transfer time of the bytes read.
func (c *conn) extendDeadline() {
	l := &c.pool.limits
	c.progress.bytesAtExtension = c.reader.BytesRead()
	c.SetReadDeadline(c.progress.startedAt.Add(l.ResponseReadTimeout + l.TransferTime(c.progress.bytesAtExtension)))
	c.restoreCancel()
}

// streamDeadline returns the deadline of the next read of a streamed response: now + ResponseStallTimeout, but at most
// startedAt + ClientStallTimeout + ResponseStallTimeout + twice the transfer time of the bytes read. So the server may
// stall once, and must otherwise be on average as fast as its client has to be.
func (c *conn) streamDeadline(now time.Time) time.Time {
	l := &c.pool.limits
	total := l.ClientStallTimeout + l.ResponseStallTimeout + 2*l.TransferTime(c.reader.BytesRead())
	latest := c.progress.startedAt.Add(total)
	next := now.Add(l.ResponseStallTimeout)
	if next.Before(latest) {
		return next
	}
	return latest
}

// startStreaming switches to the read deadlines of a response that is forwarded as it arrives.
func (c *conn) startStreaming() {
	c.endResponse()
	c.progress.phase = streamingResponse
	c.progress.startedAt = time.Now()
}

// endResponse clears the read deadline after a response.
func (c *conn) endResponse() {
	if c.progress.phase == awaitingResponse {
		return
	}
	c.progress.phase = awaitingResponse
	c.progress.bytesAtExtension = 0
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
