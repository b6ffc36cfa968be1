package frontend

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// What follows is how a caller's answer is written, whole or as it comes.

// respond writes a request's one answer.
func (c *conn) respond(q *httpwire.Request, a *httpwire.ClientResponse) bool {
	a.Close = a.Close || q.Close || c.lastResponse || c.server.closesConns() || q.BodyStream != nil && !q.BodyStream.Complete() || c.gateway != nil && !c.gateway.keepAlive
	if a.Close && (q.BodyStream == nil || q.BodyStream.Complete()) && (c.reader.HasBuffered() || socket.StateOfRaw(c.raw) == socket.StateReadable) {
		c.lingerOnClose = true // closed with bytes unread the connection would be reset, and the answer lost with it; rest sees to a body's
	}
	if c.gateway != nil && q.BodyStream != nil { // an exchange may still read the body, and the records are its own until then
		q.BodyStream.Stop(c.cancelRead)
	}
	c.state.set(stateWriting)
	written := false
	if a.BodyStream != nil {
		written = c.writeStreamed(a)
	} else {
		written = c.writeResponse(a, q.Verb == "HEAD")
	}
	c.state.set(stateReading)
	c.closeReason = telemetry.LastResponse
	if !written {
		c.closeReason = telemetry.WriteFailed
	}
	return written && !a.Close
}

// writeStreamed passes an answer on while it comes, at its reader's pace. One that breaks off looks broken: the connection ends
// short of the length, without the last chunk or, where neither can be told, by a reset.
func (c *conn) writeStreamed(a *httpwire.ClientResponse) bool {
	piece, frame := httpwire.BorrowBuffer(), make([]byte, 0, 16)
	defer httpwire.ReturnBuffer(piece)
	chunked := a.Chunked()
	// A reader may stand still for a while, and slower than the least rate in the long run nobody may be: its place would be
	// held for hours. What its server takes is not its own.
	l, taken, waited := &c.server.limits, 0, time.Duration(0)
	write := func(parts net.Buffers) bool {
		began := time.Now()
		c.SetWriteDeadline(began.Add(min(l.ClientStallTimeout, l.ClientStallTimeout+l.TransferTime(taken)-waited)))
		size := 0
		for _, p := range parts {
			size += len(p)
		}
		err := socket.WriteBuffers(c.Conn, &parts)
		if err == nil { // else nothing more is written
			taken += size
		}
		waited += time.Since(began)
		return err == nil
	}
	body := func(p []byte) bool { return write(httpwire.FrameChunk(p, chunked, frame)) }
	head := a.AppendHead
	if c.gateway != nil {
		chunked = false
		head, body = func(to []byte) []byte { return c.gateway.appendResponseHead(to, a) }, func(p []byte) bool { return write(c.gateway.frameBody(p)) }
	}
	ok := write(net.Buffers{head(nil)}) && (len(a.Body) == 0 || body(a.Body))
	for ok {
		n, err := a.BodyStream.Read(*piece)
		if n > 0 {
			ok = body((*piece)[:n])
		}
		if err == io.EOF {
			break
		}
		ok = ok && err == nil
	}
	if ok && chunked {
		ok = write(net.Buffers{httpwire.LastChunk})
	}
	if ok && c.gateway != nil { // else it looks broken: its request has no end
		ok = write(net.Buffers{c.gateway.appendResponseEnd(nil, 0, fcgi.StatusComplete)})
	}
	a.BodyStream.Close(ok)
	if t, is := c.Conn.(*net.TCPConn); is && !ok && a.HTTP10 && a.BodyStream.Remaining() < 0 {
		t.SetLinger(0)
	}
	return ok
}

// maxPooledBuffer is the largest buffer that is kept: a gateway's answer has its body in it.
const maxPooledBuffer = 4 << 10

// responseBuffers are buffers that answers are written from.
var responseBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// writeResponse writes an answer. Nearly always the kernel takes all of it, and no deadline is set.
func (c *conn) writeResponse(a *httpwire.ClientResponse, headOnly bool) bool {
	head := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(head)
	var msg, body []byte
	if c.gateway != nil {
		msg = c.gateway.appendResponse((*head)[:0], a, headOnly)
	} else {
		msg, body = a.AppendHead((*head)[:0]), a.Body
	}
	if cap(msg) <= maxPooledBuffer {
		*head = msg
	}
	if headOnly {
		body = nil
	}
	if cap(msg)-len(msg) >= len(body) {
		msg, body = append(msg, body...), nil
	}
	n := 0
	if c.raw != nil && len(body) == 0 {
		c.raw.Write(func(fd uintptr) bool {
			n, _ = syscall.Write(int(fd), msg)
			return true
		})
		if n = max(n, 0); n == len(msg) {
			return true
		}
	}
	c.SetWriteDeadline(time.Now().Add(c.server.limits.ClientWriteTimeout))
	rest := net.Buffers{msg[n:]}
	if len(body) > 0 {
		rest = append(rest, body)
	}
	return socket.WriteBuffers(c.Conn, &rest) == nil
}
