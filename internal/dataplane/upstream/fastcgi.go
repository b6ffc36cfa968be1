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
	recordBufferSize = 4 << 10
	maxIdleText      = 4 << 10               // the largest buffer of a translated response that is reused
	abortTimeout     = 20 * time.Millisecond // for writing an ABORT record
)

var recordBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, recordBufferSize)
	return &buffer
}}

// fastCGIConn is the protocol's part of a connection whose server speaks FastCGI. It writes requests as records, and is
// the reader of their responses as HTTP/1.1 messages, so that the limits of sizes, times and memory and the streaming
// of large responses are those of any other response. A request has the connection to itself: the server can't make
// one request wait for another's bytes.
type fastCGIConn struct {
	conn      net.Conn
	params    map[string]string // sent with each request
	records   fcgi.Reader
	buffer    *[]byte // of records, while the connection is in use
	gateway   fcgi.Gateway
	requestID uint16 // of the request in flight; 0: none

	response cgiResponse
}

// start begins a request.
func (f *fastCGIConn) start() {
	if f.buffer == nil {
		f.buffer = recordBuffers.Get().(*[]byte)
		f.records.Init(f.conn, *f.buffer)
	}
	f.requestID, _ = f.gateway.Begin() // of which there is one at a time, so that an ID is always left
	f.response.reset()
}

// Read reads the response as HTTP/1.1. It returns as much as has been received, so that a complete response needs no
// second read.
func (f *fastCGIConn) Read(to []byte) (int, error) {
	if !f.response.hasUnread() {
		if err := f.fill(len(to)); err != nil {
			return 0, err
		}
	}
	return f.response.readInto(to), nil
}

// fill translates at least one byte, and as many more as were received, up to about a limit.
func (f *fastCGIConn) fill(limit int) error {
	f.response.discardRead()
	if f.requestID == 0 || f.buffer == nil {
		return fmt.Errorf("%w: data without a request", httpwire.ErrMalformed)
	}
	for f.needsRecord(limit) {
		piece, err := f.records.Next()
		if err == nil {
			err = f.handle(piece)
		}
		if err != nil {
			return readError(err)
		}
	}
	return nil
}

// needsRecord reports whether to translate another record: one that is waited for, or one that has been received.
func (f *fastCGIConn) needsRecord(limit int) bool {
	unread := len(f.response.text)
	if unread == 0 {
		return true
	}
	return f.requestID != 0 && unread < limit && f.records.Buffered()
}

// readError returns a failure to read a response as that of an HTTP connection.
func readError(err error) error {
	switch {
	case errors.Is(err, fcgi.ErrFraming) || errors.Is(err, fcgi.ErrHead):
		return fmt.Errorf("%w: %w", httpwire.ErrMalformed, err)
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

func (f *fastCGIConn) handle(piece fcgi.Fragment) error {
	event, err := f.gateway.Take(piece)
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

// hasUnreadData reports whether bytes were received, or are still to come, that belong to no response.
func (f *fastCGIConn) hasUnreadData() bool {
	if f.requestID != 0 || f.response.hasUnread() {
		return true
	}
	return f.buffer != nil && f.records.HasBuffered()
}

// releaseBuffers returns the buffers between two requests.
func (f *fastCGIConn) releaseBuffers() {
	if f.buffer != nil {
		recordBuffers.Put(f.buffer)
		f.buffer = nil
	}
	f.response.releaseBuffers()
}

// abort notifies a server that its response is not wanted any more: one that is at work notices a closed connection
// only when it writes. The close that follows waits for nothing, since no other request is on the connection.
func (f *fastCGIConn) abort() {
	if f.requestID == 0 {
		return
	}
	f.conn.SetWriteDeadline(time.Now().Add(abortTimeout))
	f.conn.Write(fcgi.AppendAbort(nil, f.requestID))
}
