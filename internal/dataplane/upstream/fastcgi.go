package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
)

const (
	recordBufferSize = 4 << 10               // bytes
	maxReusedBuffer  = 4 << 10               // bytes; larger buffers of translated responses are not reused
	abortTimeout     = 20 * time.Millisecond // timeout for writing an ABORT record
)

var recordBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, recordBufferSize)
	return &buffer
}}

// fastCGIConn is the FastCGI state of a connection. It encodes requests as records, and is an io.Reader that translates
// the records of their responses to HTTP/1.1 messages. So the limits of sizes, times and memory are the same as with
// HTTP servers, and so is the streaming of large responses. The connection carries one request at a time, so that no
// request waits for the bytes of another.
type fastCGIConn struct {
	conn      net.Conn
	params    map[string]string // sent with each request
	records   fcgi.Reader
	buffer    *[]byte // for received records; nil while the connection is idle
	gateway   fcgi.Gateway
	requestID uint16 // of the request in flight; 0: none

	response cgiResponse
}

// start starts a request: it sets requestID, takes a buffer and resets the response.
func (f *fastCGIConn) start() {
	if f.buffer == nil {
		f.buffer = recordBuffers.Get().(*[]byte)
		f.records.Init(f.conn, *f.buffer)
	}
	f.requestID, _ = f.gateway.Begin() // Begin can't fail with one request at a time
	f.response.reset()
}

// Read reads the response as HTTP/1.1. It returns as many bytes as were received, so that a complete response needs no
// second read.
func (f *fastCGIConn) Read(to []byte) (int, error) {
	if !f.response.hasUnread() {
		if err := f.fill(len(to)); err != nil {
			return 0, err
		}
	}
	return f.response.readInto(to), nil
}

// fill waits until it can translate at least one byte. It also translates further records that were received, until the
// translated text has at least limit bytes.
func (f *fastCGIConn) fill(limit int) error {
	f.response.discardRead()
	if f.requestID == 0 || f.buffer == nil {
		return fmt.Errorf("%w: expected an open FastCGI request, found none", httpwire.ErrMalformed)
	}
	for f.needsRecord(limit) {
		fragment, err := f.records.Next()
		if err == nil {
			err = f.handle(fragment)
		}
		if err != nil {
			return readError(err)
		}
	}
	return nil
}

// needsRecord reports whether fill has to translate another record. That is so while the translated text is empty. It
// is also so while the text has fewer than limit bytes, further data was received and the request has not ended.
func (f *fastCGIConn) needsRecord(limit int) bool {
	unread := len(f.response.translated)
	if unread == 0 {
		return true
	}
	return f.requestID != 0 && unread < limit && f.records.Buffered()
}

// readError converts an error of reading records to the error that a read from an HTTP connection would return.
func readError(err error) error {
	switch {
	case errors.Is(err, fcgi.ErrFraming) || errors.Is(err, fcgi.ErrHead):
		return fmt.Errorf("%w: %w", httpwire.ErrMalformed, err)
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

func (f *fastCGIConn) handle(fragment fcgi.Fragment) error {
	event, err := f.gateway.Take(fragment)
	if err != nil {
		return err
	}
	switch event.Kind {
	case fcgi.EventStderr:
		return f.response.countStderr(len(event.Data))
	case fcgi.EventStdout:
		return f.response.write(event.Data)
	case fcgi.EventEnd:
		f.requestID = 0
		return f.response.end(event)
	}
	return nil
}

// hasUnreadData reports whether a request is in flight, or received bytes have not been read.
func (f *fastCGIConn) hasUnreadData() bool {
	if f.requestID != 0 || f.response.hasUnread() {
		return true
	}
	return f.buffer != nil && f.records.HasBuffered()
}

// releaseBuffers releases the buffers after a request.
func (f *fastCGIConn) releaseBuffers() {
	if f.buffer != nil {
		recordBuffers.Put(f.buffer)
		f.buffer = nil
	}
	f.response.releaseBuffers()
}

// abort sends an ABORT record for the request in flight, if there is one. Without the record, a busy server would
// notice a closed connection only when it writes. The caller may close the connection at once, because the connection
// carries no other request.
func (f *fastCGIConn) abort() {
	if f.requestID == 0 {
		return
	}
	f.conn.SetWriteDeadline(time.Now().Add(abortTimeout))
	f.conn.Write(fcgi.AppendAbort(nil, f.requestID))
}
