package frontend

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
)

// Gateway configures a listener for gateways that speak FastCGI. What a gateway can't send as CGI makes it of the
// protocol's headers, it sends as a param of its own choice, or it has a default.
type Gateway struct {
	// The names of the params that are used instead of CGI's; empty: none.
	TraceParam, MethodParam, TenantParam, IdempotencyKeyParam, TimeLeftParam string

	DefaultTenant      string // of a request without one
	DefaultTimeLeft    time.Duration
	Overloaded         bool // a 503 is END_REQUEST with OVERLOADED, for gateways that try another node then
	AdvertisedRequests int  // the limit of requests that FCGI_GET_VALUES is answered with
}

// gateway translates between a client that speaks FastCGI and a connection that serves HTTP/1.1: requests are read
// through it as HTTP would have them, so that their life, times, sizes and limits are those of any other. One request
// is on a connection at a time; a second one is rejected.
//
// Its fields belong to the goroutine that serves the connection. While a request is in flight others may look for an
// abort in what has arrived behind it, with the mutex held.
type gateway struct {
	conn        *conn
	config      *Gateway
	application fcgi.Application
	records     fcgi.Reader
	buffer      *[]byte // of records; nil: idle
	filled      bool    // the last read filled its buffer
	peeking     bool    // no read may wait

	mu          sync.Mutex
	outstanding *httpwire.Request // in flight, and read far enough for others to look behind it; nil: none

	// The request that is being read or in flight:
	requestID     uint16 // 0: none
	keepAlive     bool   // the connection is used after the response
	complete      bool   // all of it has arrived
	aborted       atomic.Bool
	contentLength int64 // as the params have it; -1: not at all
	bodyBytes     int64 // that have arrived

	// What was translated, and how much of it was read:
	pending []byte
	offset  int

	params  []param // while a head is translated
	scratch []byte
}

const (
	gatewayBufferSize = 4 << 10
	// maxIdlePending is the largest buffer of translated bytes that an idle connection keeps.
	maxIdlePending = 4 << 10
	// maxPeekBytes is how much of a body that is still coming is read to see whether its gateway has aborted the
	// request behind it: as much as the kernel holds of a connection that is not read from.
	maxPeekBytes = 128 << 10
)

var gatewayBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, gatewayBufferSize)
	return &buffer
}}

func newGateway(c *conn, config *Gateway) *gateway {
	g := &gateway{conn: c, config: config, contentLength: -1}
	g.application.Limits = fcgi.Limits{
		MaxRequests:        1,
		AdvertisedRequests: config.AdvertisedRequests,
		MaxParams:          c.server.limits.Wire.MaxHead,
	}
	return g
}

// recordSource is what a gateway's records are read from.
type recordSource gateway

// Read waits for bytes only where a request has begun, and not for ever: a client that sends half a record would else
// hold its capacity for good.
func (r *recordSource) Read(to []byte) (int, error) {
	g := (*gateway)(r)
	c := g.conn
	begun := g.application.Open() > 0 || g.records.InRecord()
	switch {
	case g.peeking:
		c.serving.nonblocking = true
	case begun:
		c.serving.nonblocking = false
		c.Progress(true)
	case !c.serving.nonblocking:
		return 0, errNoInput
	}
	n, err := c.readRaw(to)
	g.filled = n == len(to)
	return n, err
}

// mayHaveMore reports whether the kernel may hold something of which there is no event.
func (g *gateway) mayHaveMore() bool { return g.filled || g.aborted.Load() }

func (g *gateway) acquireBuffer() {
	if g.buffer != nil {
		return
	}
	g.buffer = gatewayBuffers.Get().(*[]byte)
	g.records.Init((*recordSource)(g), *g.buffer)
}

// releaseBuffers gives the buffers up between two requests. It returns false if a part of the next one is in them.
func (g *gateway) releaseBuffers() bool {
	if g.buffer == nil {
		return true
	}
	padded := g.records.HasBuffered()
	if g.records.InRecord() {
		return false
	}
	if !padded { // else the reader has to know what is still to come of the padding
		gatewayBuffers.Put(g.buffer)
		g.buffer = nil
	}
	g.offset = 0
	g.pending = g.pending[:0]
	if cap(g.pending) > maxIdlePending {
		g.pending = nil
	}
	if cap(g.params) > maxLinearParams {
		g.params = nil
	}
	return true
}

// Read reads the next request as HTTP/1.1, as much as has arrived.
func (g *gateway) Read(to []byte) (int, error) {
	g.acquireBuffer()
	if g.offset == len(g.pending) {
		if err := g.translateMore(len(to)); err != nil {
			return 0, err
		}
	}
	n := copy(to, g.pending[g.offset:])
	g.offset += n
	return n, nil
}

// translateMore translates at least one byte, and as many as are wanted where they have arrived.
func (g *gateway) translateMore(wanted int) error {
	g.pending = g.pending[:0]
	g.offset = 0
	for len(g.pending) == 0 || !g.complete && len(g.pending) < wanted && g.records.Buffered() {
		if err := g.translateNext(); err != nil {
			return err
		}
	}
	return nil
}

// translateNext translates one piece of a record.
func (g *gateway) translateNext() error {
	err := g.handleNext()
	if errors.Is(err, fcgi.ErrFraming) {
		return fmt.Errorf("%w: %w", httpwire.ErrMalformed, err)
	}
	return err
}

func (g *gateway) handleNext() error {
	piece, err := g.records.Next()
	if err != nil {
		return err
	}
	event, err := g.application.Take(piece)
	if err != nil {
		return err
	}
	return g.handleEvent(event)
}

func (g *gateway) handleEvent(event fcgi.Event) error {
	switch event.Kind {
	case fcgi.EventReply:
		return g.writeNow(event.Data)
	case fcgi.EventParams:
		g.requestID = event.ID
		g.keepAlive = event.KeepConn
		g.complete = false
		g.bodyBytes = 0
		g.aborted.Store(false)
		return g.appendRequestHead(event.Params)
	case fcgi.EventBody:
		return g.appendBody(event.Data)
	case fcgi.EventBodyEnd:
		return g.appendBodyEnd()
	case fcgi.EventAborted:
		return g.handleAbort(event.ID)
	case fcgi.EventRejected:
		g.requestID = event.ID
		g.keepAlive = false
		return fmt.Errorf("%w: %s", httpwire.ErrMalformed, event.Reason)
	}
	return nil
}

func (g *gateway) writeNow(message []byte) error {
	g.conn.setWriteDeadline()
	_, err := g.conn.Conn.Write(message)
	return err
}

// appendBody translates a part of the body to a chunk.
func (g *gateway) appendBody(data []byte) error {
	g.bodyBytes += int64(len(data))
	if g.contentLength >= 0 && g.bodyBytes > g.contentLength {
		return fmt.Errorf("%w: the body is longer than CONTENT_LENGTH", httpwire.ErrMalformed)
	}
	const hexadecimal = 16
	g.pending = strconv.AppendInt(g.pending, int64(len(data)), hexadecimal)
	g.pending = append(g.pending, "\r\n"...)
	g.pending = append(g.pending, data...)
	g.pending = append(g.pending, "\r\n"...)
	return nil
}

func (g *gateway) appendBodyEnd() error {
	if g.contentLength >= 0 && g.bodyBytes < g.contentLength {
		return fmt.Errorf("%w: the body is shorter than CONTENT_LENGTH", httpwire.ErrMalformed)
	}
	g.pending = append(g.pending, "0\r\n\r\n"...)
	g.complete = true
	return nil
}

// handleAbort handles the gateway's abort of a request.
func (g *gateway) handleAbort(id uint16) error {
	if g.requestID == 0 { // its params were still coming: nobody knows of it
		g.requestID = id
		return g.writeNow(g.appendResponseEnd(nil, 1, fcgi.StatusComplete))
	}
	g.aborted.Store(true)
	if g.complete {
		return nil
	}
	// Whoever reads the body has nothing to wait for.
	g.conn.notifyClientGone()
	return errClientClosed
}

// stillWaitingOnInput reports, when something has arrived while a request is in flight, whether its gateway still
// waits for the response. The mutex is held.
func (g *gateway) stillWaitingOnInput(request *httpwire.Request) bool {
	if request.BodyStream != nil && !request.BodyStream.Complete() { // whoever reads the body sees an abort first
		return !g.aborted.Load() && !g.conn.shared.clientClosed.Load()
	}
	return g.peek()
}

// stillWaiting reports whether the gateway still waits for the response to the request in flight. It is called right
// before an attempt sends the request, which has claimed the body if that is still arriving. recent is whether the
// kernel's input was looked at lately; what was read of it may hold more than the request. The mutex is held.
func (g *gateway) stillWaiting(recent bool) bool {
	switch {
	case g.aborted.Load():
		return false
	case g.records.Buffered():
		return g.peek()
	case !recent && socket.StateOfRaw(g.conn.raw) == socket.StateReadable:
		return g.peek()
	}
	return true
}

// peek reads what has arrived while a request is in flight, without waiting, and reports whether its gateway still
// waits for the response.
func (g *gateway) peek() bool {
	g.peeking = true
	defer func() {
		g.peeking = false
		g.conn.serving.nonblocking = false
	}()
	for !g.aborted.Load() {
		if len(g.pending)-g.offset > maxPeekBytes {
			return true
		}
		if err := g.translateNext(); err != nil {
			return err == errNoInput
		}
	}
	return false
}
