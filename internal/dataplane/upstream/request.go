package upstream

import (
	"errors"
	"net"
	"sync"
	"time"

	"robincart/decide"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
)

// requestBufferSize is the initial size of a request buffer, in bytes. Nearly all heads with a small body fit into it.
const requestBufferSize = 1 << 10

// chunkHeadSize is the space for the size line of a chunk, in bytes.
const chunkHeadSize = 16

var requestBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, requestBufferSize)
	return &buffer
}}

var (
	// errClientBody wraps a failure to read a streamed body from its client, which is not a fault of the server.
	errClientBody = errors.New("the request body was not received completely from the client")
	// errCanceled ends the writing of a request whose attempt was canceled.
	errCanceled = errors.New("the attempt was canceled")
)

// sendResult returns the result of an attempt whose request could not be written completely, so that the request
// never ran.
func sendResult(err error) decide.Result {
	if errors.Is(err, errClientBody) {
		return decide.NotSent
	}
	return decide.ConnectFailed
}

// send writes the request. If it returns an error, the request's last byte was not written.
func (e *exchange) send(c *conn) error {
	buffer := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buffer)
	if e.request.BodyStream != nil {
		return e.upload(c, buffer)
	}
	*buffer = c.appendHead((*buffer)[:0], e.request, e.pool.core.TimeLeft(e.attempt))
	return c.writeMessage(buffer, e.request.Body)
}

// appendHead appends a request's head, which includes the time left until the deadline.
func (c *conn) appendHead(to []byte, request *httpwire.Request, timeLeft time.Duration) []byte {
	if c.fastCGI != nil {
		return c.fastCGI.appendHead(to, request, c.address, timeLeft)
	}
	return request.AppendHead(to, c.address, timeLeft)
}

// writeMessage writes a head and a complete body in one call. The body is appended to the head if the buffer has space.
func (c *conn) writeMessage(head *[]byte, body []byte) error {
	room := cap(*head) - len(*head)
	switch {
	case c.fastCGI == nil && room >= len(body):
		*head = append(*head, body...)
	case c.fastCGI == nil:
		return c.writeBuffers(&net.Buffers{*head, body})
	case room >= len(body)+stdinOverhead:
		*head = c.fastCGI.appendBody(*head, body)
	default:
		parts := append(net.Buffers{*head}, c.fastCGI.bodyRecords(body)...)
		parts = append(parts, c.fastCGI.appendBodyEnd(nil))
		return c.writeBuffers(&parts)
	}
	return socket.Write(c.Conn, *head)
}

// bodyFraming determines the bytes that are written for a streamed body.
type bodyFraming struct {
	frame func(piece []byte) net.Buffers // returns what is written for a piece of the body
	end   []byte                         // written after the last piece; may be nil
}

// bodyFraming returns the framing of a streamed body, whose length may be unknown.
func (c *conn) bodyFraming(unknownLength bool) bodyFraming {
	if c.fastCGI != nil {
		return bodyFraming{frame: c.fastCGI.bodyRecords, end: c.fastCGI.appendBodyEnd(nil)}
	}
	chunkHead := make([]byte, 0, chunkHeadSize)
	framing := bodyFraming{frame: func(piece []byte) net.Buffers {
		return httpwire.FrameChunk(piece, unknownLength, chunkHead)
	}}
	if unknownLength {
		framing.end = httpwire.LastChunk
	}
	return framing
}

// writeBuffers writes buffers to the server. It consumes them.
func (c *conn) writeBuffers(parts *net.Buffers) error {
	return c.pool.socketBuffers.Write(c.Conn, c.raw, &c.buffers, parts)
}
