package upstream

import "time"

// aLongTimeAgo is a deadline that makes reads and writes return at once.
var aLongTimeAgo = time.Unix(1, 0)

// deadlineStep is how many bytes of a response extend its deadline.
const deadlineStep = 8 << 10

// responsePhase says which deadline bounds the reads of a connection.
//
//	from       event                                             to
//	awaiting   part of a response was read, and more is needed   receiving
//	receiving  the response was an informational one             awaiting
//	receiving  the response is complete                          awaiting
//	either     the response's head and prefix are here, and the  streaming
//	           rest is passed on while it arrives
//	streaming  the response is complete                          awaiting
type responsePhase uint8

const (
	// awaitingResponse has no deadline: the core cancels the attempt when its time is over.
	awaitingResponse responsePhase = iota
	// receivingResponse allows ResponseReadTimeout from the first byte on, and more for a large response. One that is
	// cut short on a connection that stays open, or whose head does not end, would otherwise hold its request until no
	// time is left for another attempt.
	receivingResponse
	// streamingResponse allows ResponseStallTimeout for each read. Nothing else bounds a streamed response but a
	// minimal transfer rate: whoever waits for it sees its progress.
	streamingResponse
)

// responseProgress is what the read deadline of a connection follows from.
type responseProgress struct {
	phase     responsePhase
	startedAt time.Time // of receiving or streaming
	counted   int       // bytes that the deadline allows for
}

// Progress sets the deadline of a read for the rest of a response. Nearly all responses are complete with their first
// read, so no deadline is set for them. With false, the response that had begun was an informational one.
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
		if c.reader.BytesRead() >= c.progress.counted+deadlineStep {
			c.extendDeadline()
		}
	case streamingResponse:
		c.SetReadDeadline(c.streamDeadline(time.Now()))
	}
}

// extendDeadline allows the time that the bytes read so far may take.
func (c *conn) extendDeadline() {
	l := &c.pool.limits
	c.progress.counted = c.reader.BytesRead()
	c.SetReadDeadline(c.progress.startedAt.Add(l.ResponseReadTimeout + l.TransferTime(c.progress.counted)))
	c.restoreCancel()
}

// streamDeadline returns the deadline of the next read of a streamed response. In the long run it arrives no slower
// than its client may take it, beside which the server may stall once.
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

// startStreaming begins the deadlines of a response that is passed on while it arrives.
func (c *conn) startStreaming() {
	c.endResponse()
	c.progress.phase = streamingResponse
	c.progress.startedAt = time.Now()
}

// endResponse clears the deadline of a response.
func (c *conn) endResponse() {
	if c.progress.phase == awaitingResponse {
		return
	}
	c.progress.phase = awaitingResponse
	c.progress.counted = 0
	c.SetReadDeadline(time.Time{})
	c.restoreCancel()
}

// restoreCancel repeats a cancellation that a new deadline may have overwritten.
func (c *conn) restoreCancel() {
	if c.exchange != nil && c.exchange.canceled() {
		c.SetDeadline(aLongTimeAgo)
	}
}
