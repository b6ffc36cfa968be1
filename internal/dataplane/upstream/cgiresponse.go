package upstream

import (
	"fmt"
	"net/http"
	"strconv"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
)

const (
	maxCGIHead = 16 << 10 // maximum size of a response's head, in bytes
	maxStderr  = 1 << 20  // bytes of stderr output per response; a server that writes more is faulty
)

// fieldNeverRan is the key of httpwire.HeaderNeverRan in fcgi.CGI.Fields, whose keys are in lower case.
const fieldNeverRan = "x-never-ran"

// cgiStage is the part of a response that is being received.
//
//	from        event                             to
//	not begun   first bytes received              head
//	head        empty line received               body
//	any         start of the next request         not begun
type cgiStage uint8

const (
	cgiNotBegun cgiStage = iota
	cgiHead
	cgiBody
)

// cgiResponse translates one CGI response at a time to HTTP/1.1.
type cgiResponse struct {
	stage         cgiStage
	head          []byte // received so far
	bodyless      bool   // the status allows no body
	contentLength int64  // length of the body according to the head, in bytes; -1: not given
	bodyBytes     int64  // bytes of the body received so far
	stderrBytes   int    // bytes of stderr output received so far

	translated []byte // the response as HTTP/1.1; discarded after it was read
	readOffset int    // number of bytes of translated that were read
}

func (r *cgiResponse) reset() {
	r.stage = cgiNotBegun
	r.head = r.head[:0]
	r.bodyless = false
	r.contentLength = -1
	r.bodyBytes = 0
	r.stderrBytes = 0
}

// malformedError returns an error that wraps fcgi.ErrFraming.
func malformedError(format string, args ...any) error {
	return fmt.Errorf("%w: %w", fcgi.ErrFraming, fmt.Errorf(format, args...))
}

// countStderr counts n bytes of stderr output, which is discarded. It returns an error if the response's stderr output
// exceeds maxStderr.
func (r *cgiResponse) countStderr(n int) error {
	r.stderrBytes += n
	if r.stderrBytes > maxStderr {
		return malformedError("expected at most %d bytes of stderr output, found %d", maxStderr, r.stderrBytes)
	}
	return nil
}

// write translates the next bytes of a response.
func (r *cgiResponse) write(data []byte) error {
	if r.stage == cgiNotBegun {
		r.stage = cgiHead
		// The start of the status line is appended before the head is complete. The reader's response timeout starts at
		// the first byte of the response, and the reader detects that byte by non-empty output.
		r.translated = append(r.translated, "HTTP/1.1 "...)
	}
	if r.stage == cgiBody {
		return r.writeBody(data)
	}
	r.head = append(r.head, data...)
	head, body, complete, err := fcgi.ReadCGI(r.head, maxCGIHead)
	if err != nil {
		return err
	}
	if !complete {
		return nil
	}
	r.writeHead(head)
	return r.writeBody(body)
}

func (r *cgiResponse) writeHead(head fcgi.CGI) {
	r.stage = cgiBody
	r.contentLength = head.Length
	r.bodyless = head.Status == http.StatusNoContent || head.Status == http.StatusNotModified
	r.translated = strconv.AppendInt(r.translated, int64(head.Status), 10)
	r.translated = append(r.translated, " \r\n"...)
	if head.ContentType != "" {
		r.writeField("Content-Type", head.ContentType)
	}
	// If the header is repeated, all of its values are appended, so that the reader rejects them.
	for _, value := range head.Fields[fieldNeverRan] {
		r.writeField(httpwire.HeaderNeverRan, value)
	}
	if !r.bodyless {
		r.writeField("Transfer-Encoding", "chunked")
	}
	r.translated = append(r.translated, "\r\n"...)
}

func (r *cgiResponse) writeField(name, value string) {
	r.translated = append(r.translated, name...)
	r.translated = append(r.translated, ": "...)
	r.translated = append(r.translated, value...)
	r.translated = append(r.translated, "\r\n"...)
}

func (r *cgiResponse) writeBody(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	r.bodyBytes += int64(len(data))
	if r.bodyless || r.contentLength >= 0 && r.bodyBytes > r.contentLength {
		return malformedError("body too long: found %d bytes or more, Content-Length is %d (-1: not given), "+
			"status allows no body: %t", r.bodyBytes, r.contentLength, r.bodyless)
	}
	r.translated = strconv.AppendInt(r.translated, int64(len(data)), 16)
	r.translated = append(r.translated, "\r\n"...)
	r.translated = append(r.translated, data...)
	r.translated = append(r.translated, "\r\n"...)
	return nil
}

// end processes the event that ends a request. It completes the response, or returns an error. Only the status in the
// event shows whether the response is complete: a script that crashes may have written a part of the response.
func (r *cgiResponse) end(event fcgi.Event) error {
	rejected := event.Status == fcgi.StatusOverloaded || event.Status == fcgi.StatusCantMultiplex
	switch {
	case rejected && r.stage == cgiNotBegun: // according to the FastCGI protocol, the request did not run
		r.translated = append(r.translated, "HTTP/1.1 503 \r\n"...)
		r.writeField(httpwire.HeaderNeverRan, "1")
		r.writeField("Content-Length", "0")
		r.translated = append(r.translated, "\r\n"...)
	case r.stage != cgiBody || event.Status != fcgi.StatusComplete || event.AppStatus != 0:
		return malformedError("expected protocol status 0 and application status 0 after a complete head, "+
			"found %d and %d (head complete: %t)", event.Status, event.AppStatus, r.stage == cgiBody)
	case r.contentLength >= 0 && r.bodyBytes < r.contentLength:
		return malformedError("body too short: found %d bytes, Content-Length is %d", r.bodyBytes, r.contentLength)
	case !r.bodyless:
		r.translated = append(r.translated, httpwire.LastChunk...)
	}
	return nil
}

// hasUnread reports whether a part of the translated text has not been read.
func (r *cgiResponse) hasUnread() bool { return r.readOffset < len(r.translated) }

// readInto copies the next bytes of the translated text, and returns their number.
func (r *cgiResponse) readInto(to []byte) int {
	n := copy(to, r.translated[r.readOffset:])
	r.readOffset += n
	return n
}

// discardRead discards the translated text. All of it must have been read.
func (r *cgiResponse) discardRead() {
	r.translated = r.translated[:0]
	r.readOffset = 0
}

// releaseBuffers frees the buffer of the head. It also frees the buffer of the translated text if that buffer is larger
// than maxReusedBuffer.
func (r *cgiResponse) releaseBuffers() {
	r.discardRead()
	if cap(r.translated) > maxReusedBuffer {
		r.translated = nil
	}
	r.head = nil
}
