package frontend

import (
	"net"
	"sync"
	"syscall"
	"time"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

const (
	responseBufferSize = 1 << 10
	// maxPooledBuffer is the size, in bytes, of the largest buffer that is reused. The buffer for a response to a
	// gateway also contains the body, and may be large.
	maxPooledBuffer = 4 << 10
)

// responseBuffers are the buffers from which responses are written.
var responseBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, responseBufferSize)
	return &buffer
}}

// respond writes the response to a request, and returns whether the connection can be used again.
func (c *conn) respond(request *httpwire.Request, response *httpwire.ClientResponse) bool {
	body := request.BodyStream
	response.Close = response.Close || c.closesAfter(request)
	if response.Close && (body == nil || body.Complete()) && c.hasUnread() {
		// A close with unread bytes would reset the connection, and the response would be lost. If the body is still
		// arriving, stopBody sets lingerOnClose.
		c.serving.lingerOnClose = true
	}
	if c.gateway != nil && body != nil { // an attempt may still read the body from the gateway's records
		body.Stop(c.cancelRead)
	}
	c.state.set(stateWriting)
	written := false
	if response.BodyStream != nil {
		written = c.writeStreamed(response)
	} else {
		written = c.writeResponse(response, request.Verb == "HEAD")
	}
	c.state.set(stateReading)
	c.serving.closeReason = telemetry.LastResponse
	if !written {
		c.serving.closeReason = telemetry.WriteFailed
	}
	return written && !response.Close
}

// closesAfter reports whether the connection is closed after a request, no matter which response the request gets.
func (c *conn) closesAfter(request *httpwire.Request) bool {
	switch {
	case request.Close || c.serving.lastResponse || c.server.closesConns():
		return true
	case request.BodyStream != nil && !request.BodyStream.Complete():
		return true
	}
	return c.gateway != nil && !c.gateway.keepAlive
}

// hasUnread reports whether the client has sent bytes after the requests that were read.
func (c *conn) hasUnread() bool {
	return c.serving.reader.HasBuffered() || socket.StateOfRaw(c.raw) == socket.StateReadable
}

// writeResponse writes a complete response. It first writes without a deadline, since the kernel nearly always accepts
// the whole response at once.
func (c *conn) writeResponse(response *httpwire.ClientResponse, headOnly bool) bool {
	buffer := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(buffer)
	var message, body []byte
	if c.gateway != nil {
		message = c.gateway.appendResponse((*buffer)[:0], response, headOnly)
	} else {
		message = response.AppendHead((*buffer)[:0])
		body = response.Body
	}
	if cap(message) <= maxPooledBuffer {
		*buffer = message
	}
	if headOnly {
		body = nil
	}
	if cap(message)-len(message) >= len(body) {
		message = append(message, body...)
		body = nil
	}
	written := 0
	if c.raw != nil && len(body) == 0 {
		written = c.writeNow(message)
		if written == len(message) {
			return true
		}
	}
	remaining := net.Buffers{message[written:]}
	if len(body) == 0 {
		c.setWriteDeadline()
		return c.writeBuffers(&remaining) == nil
	}
	c.server.socketBuffers.GrowSend(c.raw, &c.serving.buffers)
	slow := streamWriter{conn: c, transfer: c.server.transfers.begin(c)}
	defer c.server.transfers.end(slow.transfer)
	return slow.write(append(remaining, body))
}

// writeNow writes as much as the kernel accepts at once, and returns the number of bytes. It ignores an error, because
// the error recurs in the write that follows.
func (c *conn) writeNow(message []byte) int {
	n := 0
	c.raw.Write(func(fd uintptr) bool {
		n, _ = syscall.Write(int(fd), message)
		return true
	})
	return max(n, 0)
}

// writeBuffers writes buffers to the client until the write deadline. It consumes them.
func (c *conn) writeBuffers(buffers *net.Buffers) error {
	err := c.server.socketBuffers.Write(c.Conn, c.raw, &c.serving.buffers, buffers)
	if err != nil {
		c.discardUnsent()
	}
	return err
}

// discardUnsent makes the close reset the connection. The kernel would otherwise keep what a client does not read for
// minutes.
func (c *conn) discardUnsent() {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		tcp.SetLinger(0)
	}
}

func (c *conn) setWriteDeadline() {
	c.SetWriteDeadline(time.Now().Add(c.server.limits.ClientWriteTimeout))
}
