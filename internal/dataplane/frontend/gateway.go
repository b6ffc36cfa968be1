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

// Gateway configures a listener for gateways that speak FastCGI. A gateway sends the headers of an HTTP request as
// FastCGI params. CGI defines the name of the param for each header. If a gateway can't use the name that CGI defines,
// the name of another param can be configured here. For some headers there is a default value, which is used if the
// gateway does not send the header.
type Gateway struct {
	// Names of params that take precedence over the params that CGI defines; empty: only the param of CGI is used.
	TraceParam, MethodParam, TenantParam, IdempotencyKeyParam, TimeLeftParam string

	DefaultTenant      string // for requests without a tenant
	DefaultTimeLeft    time.Duration
	Overloaded         bool // a 503 is sent as END_REQUEST with OVERLOADED, for gateways that then try another node
	AdvertisedRequests int  // limit of requests that is stated in the response to FCGI_GET_VALUES
}

// gateway translates between a client that speaks FastCGI and a connection that serves HTTP/1.1. The connection reads
// the client's requests as HTTP/1.1, so that they are processed like requests over HTTP, with the same timeouts, sizes
// and limits. A connection has one request at a time. If a second request begins before the first has ended, the second
// request is rejected.
//
// The goroutine that serves the connection owns the fields. While a request is in flight, attempts in other goroutines
// may check the input after the request for an abort. These attempts must hold mu.
type gateway struct {
	conn        *conn
	config      *Gateway
	application fcgi.Application
	records     fcgi.Reader
	buffer      *[]byte // buffer for received records; nil: the connection is idle
	filled      bool    // the last read filled the buffer that it was given
	peeking     bool    // reads must not block

	mu          sync.Mutex
	outstanding *httpwire.Request // the request in flight, for which attempts may call StillWaiting; nil: none

	// State of the request that is being read or is in flight:
	requestID     uint16 // 0: no request
	keepAlive     bool   // the connection stays open after the response
	complete      bool   // the whole request has arrived
	aborted       atomic.Bool
	contentLength int64 // from CONTENT_LENGTH; -1: unknown
	bodyBytes     int64 // bytes of the body that were received so far

	// Translated bytes, and how many of them were read:
	pending []byte
	offset  int

	params  []param // of the request head that is being translated
	scratch []byte
}

const (
	gatewayBufferSize = 4 << 10
	// maxIdlePending is the size, in bytes, of the largest buffer for translated bytes that an idle connection keeps.
	maxIdlePending = 4 << 10
	// maxPeekBytes limits how many bytes of a body that is still arriving are read ahead to look for an abort of the
	// request. The kernel buffers the same number of bytes for a connection that is not read.
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

// recordSource is the io.Reader from which a gateway's records are read.
type recordSource gateway

// Read blocks only if a request or a record has begun. In that case it sets a read deadline, since a client that sends
// half a record would otherwise hold its capacity forever.
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

// mayHaveMore reports whether the kernel may hold input that the poller will not report.
func (g *gateway) mayHaveMore() bool { return g.filled || g.aborted.Load() }

func (g *gateway) acquireBuffer() {
	if g.buffer != nil {
		return
	}
	g.buffer = gatewayBuffers.Get().(*[]byte)
	g.records.Init((*recordSource)(g), *g.buffer)
}

// releaseBuffers is called after a request has been served, and releases the buffers. If the buffers already contain a
// part of the next request, releaseBuffers keeps them and returns false.
func (g *gateway) releaseBuffers() bool {
	if g.buffer == nil {
		return true
	}
	paddingPending := g.records.HasBuffered()
	if g.records.InRecord() {
		return false
	}
	if !paddingPending { // with pending padding, the reader must remember how much is left to read
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

// Read returns bytes of the next request, translated to HTTP/1.1, as far as the request has arrived.
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

// translateMore translates input until there is at least one translated byte. While the request is incomplete and input
// is buffered, translateMore continues up to the wanted number of translated bytes.
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

// translateNext translates the next fragment of a record.
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
		return g.writeWithDeadline(event.Data)
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

func (g *gateway) writeWithDeadline(message []byte) error {
	g.conn.setWriteDeadline()
	_, err := g.conn.Conn.Write(message)
	return err
}

// appendBody appends a part of the body as a chunk.
func (g *gateway) appendBody(data []byte) error {
	g.bodyBytes += int64(len(data))
	if g.contentLength >= 0 && g.bodyBytes > g.contentLength {
		return fmt.Errorf("%w: expected a body of %d bytes (CONTENT_LENGTH), found %d or more",
			httpwire.ErrMalformed, g.contentLength, g.bodyBytes)
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
		return fmt.Errorf("%w: expected a body of %d bytes (CONTENT_LENGTH), found %d",
			httpwire.ErrMalformed, g.contentLength, g.bodyBytes)
	}
	g.pending = append(g.pending, "0\r\n\r\n"...)
	g.complete = true
	return nil
}

// handleAbort handles the abort of a request. It marks a request whose params have arrived as aborted, and ends any
// other request at once.
func (g *gateway) handleAbort(id uint16) error {
	if g.requestID == 0 { // the params were still arriving, so the request was not started
		g.requestID = id
		return g.writeWithDeadline(g.appendResponseEnd(nil, 1, fcgi.StatusComplete))
	}
	g.aborted.Store(true)
	if g.complete {
		return nil
	}
	// Make the goroutine that reads the body stop: it must not wait for the rest of the body.
	g.conn.notifyClientGone()
	return errClientClosed
}

// stillWaitingAfterInput is called when input has arrived while a request is in flight. It reports whether the gateway
// still waits for the response. The caller must hold g.mu.
func (g *gateway) stillWaitingAfterInput(request *httpwire.Request) bool {
	if request.BodyStream != nil && !request.BodyStream.Complete() { // the goroutine that reads the body finds an abort
		return !g.aborted.Load() && !g.conn.shared.clientClosed.Load()
	}
	return g.peek()
}

// stillWaiting reports whether the gateway still waits for the response to the request in flight. An attempt calls
// stillWaiting right before sending the request. If the body is still arriving, the attempt has claimed the body before
// that call. recent is true if the kernel's last answer is more recent than ClientCheckInterval; the kernel is then not
// asked again. Buffered input is always checked, since it may extend beyond the end of the request. The caller must
// hold g.mu.
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

// peek reads, without blocking, the input that has arrived while a request is in flight. It looks for an abort, and
// reports whether the gateway still waits for the response.
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
