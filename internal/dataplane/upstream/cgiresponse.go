package upstream

import (
	"fmt"
	"net/http"
	"strconv"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
)

const (
	maxCGIHead = 16 << 10
	maxStderr  = 1 << 20 // bytes beside one response; a server that writes more is out of order
)

// fieldNeverRan is the protocol's header as fcgi.CGI has its name.
const fieldNeverRan = "x-never-ran"

// cgiStage is how far a response has come.
//
//	from        event                             to
//	not begun   the first bytes                   head
//	head        its empty line                    body
//	any         the end of the request            (the next request resets it)
type cgiStage uint8

const (
	cgiNotBegun cgiStage = iota
	cgiHead
	cgiBody
)

// cgiResponse translates one CGI response at a time to HTTP/1.1.
type cgiResponse struct {
	stage         cgiStage
	head          []byte // as far as it was received
	bodyless      bool   // the status has no body
	contentLength int64  // of the body; -1: not given
	bodyBytes     int64  // received
	stderrBytes   int    // received

	text []byte // the translation; dropped once it is read
	read int    // of text
}

func (r *cgiResponse) reset() {
	r.stage = cgiNotBegun
	r.head = r.head[:0]
	r.bodyless = false
	r.contentLength = -1
	r.bodyBytes = 0
	r.stderrBytes = 0
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %w", fcgi.ErrFraming, fmt.Errorf(format, args...))
}

// countStderr bounds what is written for the server's own operators. Nothing here reads it.
func (r *cgiResponse) countStderr(n int) error {
	r.stderrBytes += n
	if r.stderrBytes > maxStderr {
		return malformed("more than %d bytes beside a response", maxStderr)
	}
	return nil
}

// write takes the next bytes of a response.
func (r *cgiResponse) write(data []byte) error {
	if r.stage == cgiNotBegun {
		r.stage = cgiHead
		// Written before the head is complete: the reader's deadline for the rest begins with its first byte.
		r.text = append(r.text, "HTTP/1.1 "...)
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
	r.text = strconv.AppendInt(r.text, int64(head.Status), 10)
	r.text = append(r.text, " \r\n"...)
	if head.ContentType != "" {
		r.writeField("Content-Type", head.ContentType)
	}
	// As often as it was written: the reader rejects a repeated one.
	for _, value := range head.Fields[fieldNeverRan] {
		r.writeField(httpwire.HeaderNeverRan, value)
	}
	if !r.bodyless {
		r.writeField("Transfer-Encoding", "chunked")
	}
	r.text = append(r.text, "\r\n"...)
}

func (r *cgiResponse) writeField(name, value string) {
	r.text = append(r.text, name...)
	r.text = append(r.text, ": "...)
	r.text = append(r.text, value...)
	r.text = append(r.text, "\r\n"...)
}

func (r *cgiResponse) writeBody(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	r.bodyBytes += int64(len(data))
	if r.bodyless || r.contentLength >= 0 && r.bodyBytes > r.contentLength {
		return malformed("the body is longer than its head says")
	}
	r.text = strconv.AppendInt(r.text, int64(len(data)), 16)
	r.text = append(r.text, "\r\n"...)
	r.text = append(r.text, data...)
	r.text = append(r.text, "\r\n"...)
	return nil
}

// end takes the end of a request. Only with it a response is complete: a script that crashes leaves what it has
// written, and ends with a status of its own.
func (r *cgiResponse) end(event fcgi.Event) error {
	rejected := event.Status == fcgi.StatusOverloaded || event.Status == fcgi.StatusCantMultiplex
	switch {
	case rejected && r.stage == cgiNotBegun: // which the protocol defines as not run
		r.text = append(r.text, "HTTP/1.1 503 \r\n"...)
		r.writeField(httpwire.HeaderNeverRan, "1")
		r.writeField("Content-Length", "0")
		r.text = append(r.text, "\r\n"...)
	case r.stage != cgiBody || event.Status != fcgi.StatusComplete || event.AppStatus != 0:
		return malformed("the request ended with protocol status %d and application status %d",
			event.Status, event.AppStatus)
	case r.contentLength >= 0 && r.bodyBytes < r.contentLength:
		return malformed("the body is shorter than its head says")
	case !r.bodyless:
		r.text = append(r.text, httpwire.LastChunk...)
	}
	return nil
}

// hasUnread reports whether some of the translation has not been read.
func (r *cgiResponse) hasUnread() bool { return r.read < len(r.text) }

// readInto copies the next bytes of the translation.
func (r *cgiResponse) readInto(to []byte) int {
	n := copy(to, r.text[r.read:])
	r.read += n
	return n
}

// discardRead empties the translation, all of which has been read.
func (r *cgiResponse) discardRead() {
	r.text = r.text[:0]
	r.read = 0
}

func (r *cgiResponse) releaseBuffers() {
	r.discardRead()
	if cap(r.text) > maxIdleText {
		r.text = nil
	}
	r.head = nil
}
