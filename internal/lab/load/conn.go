package load

import (
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"robincart/internal/lab/judge"
)

const (
	readBufferSize    = 1 << 10 // at first
	maxReadBufferSize = maxResponseHead + maxResponseBody
)

// conn is one connection. Requests are written to it one at a time, by whichever goroutine dispatches them; a goroutine
// of its own reads the responses.
type conn struct {
	net.Conn
	pool        poolKey
	lane        *lane
	destination Destination

	mu      sync.Mutex
	current *attempt
	// previous ended here last. It is recorded once nothing more can be received for it.
	previous *judge.ClientAttempt
	dead     bool

	writing     sync.Mutex // a response can be here before the write of its request has returned
	writeBuffer []byte
	readBuffer  []byte
}

// serves returns whether the connection can be used for an attempt that waits for one. A client of a node that waits
// takes the first node that is free.
func (c *conn) serves(a *attempt) bool {
	if a.host() != c.pool.host {
		return false
	}
	bothNodes := a.destination.Node >= 0 && c.destination.Node >= 0
	return bothNodes || a.destination.ID == c.destination.ID
}

// send writes an attempt's request.
func (c *conn) send(a *attempt) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if !c.begin(a) {
		go c.lane.dispatch(a) // closed while it was idle: nothing was written
		return
	}
	e := c.lane.engine
	e.sent.Add(1)
	e.inFlight.Add(1)
	deadline := e.start.Add(a.Deadline + e.Slack)
	c.SetReadDeadline(deadline)
	c.SetWriteDeadline(deadline)
	if _, err := c.Write(c.writeBuffer); err != nil {
		c.Close() // the reader finds out how the attempt ends
	}
}

// begin makes an attempt the current one and prepares its request. It returns false if the connection is dead.
func (c *conn) begin(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.recordPrevious()
	c.current = a
	c.writeBuffer = a.appendRequest(c.writeBuffer[:0])
	a.Sent = c.lane.engine.now()
	return true
}

// recordPrevious adds the previous attempt to the ledger, under the connection's lock.
func (c *conn) recordPrevious() {
	if c.previous != nil {
		c.lane.engine.ledger.AddAttempt(*c.previous)
		c.previous = nil
	}
}

// addExtraResponse counts a response that nothing had been sent for, under the connection's lock.
func (c *conn) addExtraResponse() {
	if c.previous != nil && c.previous.Extra < math.MaxUint8 {
		c.previous.Extra++
	}
}

// read takes responses until the connection ends.
func (c *conn) read() {
	c.readBuffer = make([]byte, readBufferSize)
	buffered := 0
	for {
		n, err := c.Read(c.readBuffer[buffered:])
		buffered += n
		if n == 0 {
			c.end(err, buffered > 0)
			return
		}
		used, err := c.takeResponses(c.readBuffer[:buffered])
		if err != nil {
			c.end(err, true)
			return
		}
		buffered = copy(c.readBuffer, c.readBuffer[used:buffered])
		if buffered < len(c.readBuffer) {
			continue
		}
		if buffered > maxReadBufferSize {
			c.end(errMalformedResponse, true)
			return
		}
		c.readBuffer = append(c.readBuffer, make([]byte, buffered)...)
	}
}

// takeResponses handles each complete response in b, and returns how many bytes those were.
func (c *conn) takeResponses(b []byte) (used int, err error) {
	for {
		r, size, err := parseResponse(b[used:])
		if err != nil || size == 0 {
			return used, err
		}
		used += size
		c.handleResponse(r, used < len(b))
	}
}

// handleResponse ends the current attempt. more says whether further bytes have been received with the response.
func (c *conn) handleResponse(r response, more bool) {
	a, reusable := c.complete(r, more)
	if a == nil {
		return
	}
	c.lane.engine.inFlight.Add(-1)
	c.SetReadDeadline(time.Time{})
	if reusable {
		c.lane.release(c)
	}
	a.finish(a.Outcome)
	if !reusable {
		c.Close() // the reader gets an error and cleans up
	}
}

// complete takes the current attempt's response. It returns the attempt, nil if there was none, and whether the
// connection can be used for further ones.
func (c *conn) complete(r response, more bool) (a *attempt, reusable bool) {
	now := c.lane.engine.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a = c.current
	if a == nil {
		c.addExtraResponse()
		return nil, false
	}
	c.current = nil
	a.Answered, a.retryAfter, a.Outcome = now, r.retryAfter, r.outcome()
	a.Foreign = a.Outcome == judge.OK && !r.isFor(a.ID)
	previous := a.ClientAttempt
	c.previous = &previous
	if more {
		c.addExtraResponse()
	}
	c.dead = c.dead || r.closes
	return a, !c.dead
}

// end cleans up after the connection's reading has ended: by its end, an error, or the deadline of its attempt. partial
// says whether bytes of a response had been received.
func (c *conn) end(err error, partial bool) {
	c.Close()
	c.mu.Lock()
	a := c.current
	c.current, c.dead = nil, true
	if a == nil && partial && errors.Is(err, errMalformedResponse) {
		c.addExtraResponse()
	}
	c.recordPrevious()
	c.mu.Unlock()
	c.lane.remove(c)
	if a != nil {
		c.abandon(a, err, partial)
	}
}

// abandon ends an attempt that gets no response.
func (c *conn) abandon(a *attempt, err error, partial bool) {
	e := c.lane.engine
	e.inFlight.Add(-1)
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	a.Answered = e.now()
	switch {
	case e.closed.Load():
		a.Outcome = judge.ClientLeft
	case e.target.Excused(a.destination, a.Sent):
		a.Outcome = judge.Excused
	case !timedOut && !partial:
		// The node may close an idle connection, and that can cross a request. The ledger says whether the node had
		// read and forwarded this one.
		a.Outcome = judge.Crossed
	default:
		a.Outcome = judge.Lost
	}
	if timedOut && a.Outcome != judge.ClientLeft {
		a.Answered = a.Deadline
	}
	e.ledger.AddAttempt(a.ClientAttempt)
	a.finish(a.Outcome)
}

// retire closes a connection that has no request in flight, or the generator's last ones.
func (c *conn) retire() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	c.Close()
}
