package frontend

import (
	"io"
	"net"
	"time"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
)

// maxChunkHead is the size, in bytes, of the buffer for the line that states the size of a chunk.
const maxChunkHead = 16

// streamWriter writes a response whose body is forwarded as it arrives.
type streamWriter struct {
	conn     *conn
	transfer *transfer
	response *httpwire.ClientResponse
	chunked  bool
	frame    []byte        // buffer for the line that states the size of a chunk
	written  int           // bytes that were written so far
	waited   time.Duration // total duration of the writes
}

// writeStreamed forwards a response as it arrives, as fast as its client reads. The client must be able to detect an
// incomplete response: the connection ends before the announced length, or without the last chunk. If an incomplete
// response has neither a length nor chunks, the connection is reset.
func (c *conn) writeStreamed(response *httpwire.ClientResponse) bool {
	w := streamWriter{
		conn:     c,
		transfer: c.server.transfers.begin(c),
		response: response,
		chunked:  response.Chunked() && c.gateway == nil,
		frame:    make([]byte, 0, maxChunkHead),
	}
	defer c.server.transfers.end(w.transfer)
	c.server.socketBuffers.GrowSend(c.raw, &c.serving.buffers)
	ok := w.writeHead() && w.writeBody() && w.writeEnd()
	response.BodyStream.Close(ok)
	if ok {
		return true
	}
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP && response.HTTP10 && response.BodyStream.Remaining() < 0 {
		tcp.SetLinger(0)
	}
	return false
}

func (w *streamWriter) writeHead() bool {
	var head []byte
	if gateway := w.conn.gateway; gateway != nil {
		head = gateway.appendResponseHead(nil, w.response)
	} else {
		head = w.response.AppendHead(nil)
	}
	return w.write(net.Buffers{head})
}

// writeBody writes the first part of the body, which was received with the head, and then the rest as it arrives.
func (w *streamWriter) writeBody() bool {
	if len(w.response.Body) > 0 && !w.writePiece(w.response.Body) {
		return false
	}
	piece := httpwire.BorrowBuffer()
	defer httpwire.ReturnBuffer(piece)
	for {
		n, err := w.response.BodyStream.Read(*piece)
		if n > 0 && !w.writePiece((*piece)[:n]) {
			return false
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// writeEnd writes the end of a complete response.
func (w *streamWriter) writeEnd() bool {
	switch {
	case w.conn.gateway != nil:
		return w.write(net.Buffers{w.conn.gateway.appendResponseEnd(nil, 0, fcgi.StatusComplete)})
	case w.chunked:
		return w.write(net.Buffers{httpwire.LastChunk})
	}
	return true
}

func (w *streamWriter) writePiece(piece []byte) bool {
	if w.conn.gateway != nil {
		return w.write(w.conn.gateway.frameBody(piece))
	}
	return w.write(httpwire.FrameChunk(piece, w.chunked, w.frame))
}

// write writes one piece. The client may stop reading for up to ClientStallTimeout, but its average rate must reach
// MinTransferRate, since a slower client could hold its capacity for hours. The time that the node waits for the server
// does not count.
func (w *streamWriter) write(buffers net.Buffers) bool {
	limits := &w.conn.server.limits
	size := 0
	for _, buffer := range buffers {
		size += len(buffer)
	}
	start := time.Now()
	remaining := limits.ClientStallTimeout + limits.TransferTime(w.written) - w.waited
	w.conn.SetWriteDeadline(start.Add(min(limits.ClientStallTimeout, remaining)))
	if w.transfer.evicted.Load() { // the deadline set above may have overwritten pastDeadline
		w.conn.SetWriteDeadline(pastDeadline)
	}
	w.transfer.await()
	err := w.conn.writeBuffers(&buffers)
	w.transfer.proceed()
	w.waited += time.Since(start)
	if err != nil { // nothing more is written
		return false
	}
	w.written += size
	return true
}
