package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
)

// UseFastCGI has the pool's servers spoken to in it, before the first pick. The params go with each request, beside those that a request
// itself makes.
func (p *Pool) UseFastCGI(params map[string]string) {
	p.fastcgi = &params
}

const (
	cgiHead   = 16 << 10
	stderrMax = 1 << 20               // of one answer; whoever says more has lost its way
	farewell  = 20 * time.Millisecond // that writing an ABORT may take
)

// application is what a connection has beside it where its server speaks FastCGI. What the server answers is read through it as
// HTTP/1.1 would have it, so that sizes, times, the budget of bytes and what passes in pieces are those of any other answer. A request has
// the connection to itself: the server can't make one wait for another's bytes.
type application struct {
	raw     net.Conn
	params  *map[string]string
	records fcgi.Reader
	buf     *[]byte // while an answer is read
	ids     fcgi.Gateway
	id      uint16 // of the request that is out; 0: none

	begun  bool   // its answer has
	bare   bool   // its status goes without a body
	head   []byte // of it, until whole
	headed bool
	length int64 // of its body, as told; -1: not
	took   int64 // of it
	said   int
	pend   []byte // not read yet
	at     int
}

var recordBuffers = sync.Pool{New: func() any { b := make([]byte, 4096); return &b }}

// begin writes a request's head; what it has of a body, and its end, follow as records of the same id.
func (a *application) begin(to []byte, q *httpwire.Request, host string, left time.Duration) []byte {
	if a.buf == nil {
		a.buf = recordBuffers.Get().(*[]byte)
		a.records.Init(a.raw, *a.buf)
	}
	a.id, _ = a.ids.Begin() // one at a time: there is always one left
	a.begun, a.bare, a.headed, a.head, a.length, a.took, a.said = false, false, false, a.head[:0], -1, 0, 0
	var pairs [2048]byte
	list := pairs[:0]
	put := func(name, value string) {
		if value != "" {
			list = fcgi.AppendPair(list, name, value)
		}
	}
	path, query, _ := strings.Cut(q.Target, "?")
	if q.Host != "" {
		host = q.Host
	}
	put("GATEWAY_INTERFACE", "CGI/1.1")
	put("SERVER_PROTOCOL", "HTTP/1.1")
	put("REQUEST_METHOD", q.Verb)
	put("REQUEST_URI", q.Target)
	put("SCRIPT_NAME", path)
	list = fcgi.AppendPair(list, "QUERY_STRING", query) // CGI wants it, if only empty
	put("CONTENT_TYPE", q.ContentType)
	switch {
	case q.BodyStream == nil && (q.Verb != "GET" || len(q.Body) > 0):
		put("CONTENT_LENGTH", strconv.Itoa(len(q.Body)))
	case q.BodyStream != nil && q.BodyStream.Remaining() >= 0:
		put("CONTENT_LENGTH", strconv.FormatInt(int64(len(q.Body))+q.BodyStream.Remaining(), 10))
	}
	put("HTTP_HOST", host)
	put(paramTrace, q.TraceID)
	put(paramKey, q.IdempotencyKey)
	put(paramMethod, q.Method)
	put(paramTenant, q.Tenant)
	put(paramLeft, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	for name, value := range *a.params {
		put(name, value)
	}
	to = fcgi.AppendBegin(to, a.id, true)
	to = fcgi.AppendStream(to, fcgi.TypeParams, a.id, list)
	return fcgi.AppendStreamEnd(to, fcgi.TypeParams, a.id)
}

// param is what CGI makes of a header's name.
func param(header string) string {
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(header, "-", "_"))
}

var (
	paramTrace  = param(httpwire.HeaderTraceID)
	paramKey    = param(httpwire.HeaderIdempotencyKey)
	paramMethod = param(httpwire.HeaderMethod)
	paramTenant = param(httpwire.HeaderTenant)
	paramLeft   = param(httpwire.HeaderTimeLeft)
)

// frame makes records of a part of the body.
func (a *application) frame(p []byte) net.Buffers { return fcgi.Records(fcgi.TypeStdin, a.id, p) }

func (a *application) end(to []byte) []byte { return fcgi.AppendStreamEnd(to, fcgi.TypeStdin, a.id) }

// Read gives the answer as HTTP/1.1: as much as has come, so that a whole one needs no second look.
func (a *application) Read(to []byte) (int, error) {
	if a.at == len(a.pend) {
		a.pend, a.at = a.pend[:0], 0
		if a.id == 0 || a.buf == nil {
			return 0, fmt.Errorf("%w: more than was asked for", httpwire.ErrMalformed)
		}
		for len(a.pend) == 0 || a.id != 0 && len(a.pend) < len(to) && a.records.Buffered() {
			p, err := a.records.Next()
			if err == nil {
				err = a.take(p)
			}
			switch {
			case errors.Is(err, fcgi.ErrFraming) || errors.Is(err, fcgi.ErrHead):
				return 0, fmt.Errorf("%w: %w", httpwire.ErrMalformed, err)
			case errors.Is(err, io.EOF):
				return 0, io.ErrUnexpectedEOF
			case err != nil:
				return 0, err
			}
		}
	}
	n := copy(to, a.pend[a.at:])
	a.at += n
	return n, nil
}

func spoilt(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{fcgi.ErrFraming}, args...)...)
}

// take takes a record's piece.
func (a *application) take(p fcgi.Piece) error {
	e, err := a.ids.Take(p)
	if err != nil {
		return err
	}
	switch e.Kind {
	case fcgi.EventStderr: // for the server's own people: nobody here reads it
		if a.said += len(e.Data); a.said > stderrMax {
			return spoilt("more than %d bytes beside an answer", stderrMax)
		}
	case fcgi.EventStdout:
		if !a.begun { // from here on it is due soon
			a.begun = true
			a.pend = append(a.pend, "HTTP/1.1 "...)
		}
		if !a.headed {
			a.head = append(a.head, e.Data...)
			h, body, whole, err := fcgi.ReadCGI(a.head, cgiHead)
			if !whole || err != nil {
				return err
			}
			a.answers(h)
			return a.body(body)
		}
		return a.body(e.Data)
	case fcgi.EventEnd:
		a.id = 0
		return a.over(e)
	}
	return nil
}

// answers writes an answer's head.
func (a *application) answers(h fcgi.CGI) {
	a.headed, a.length = true, h.Length
	a.bare = h.Status == 204 || h.Status == 304
	a.pend = append(strconv.AppendInt(a.pend, int64(h.Status), 10), " \r\n"...)
	if h.Type != "" {
		a.pend = append(append(append(a.pend, "Content-Type: "...), h.Type...), "\r\n"...)
	}
	for _, v := range h.Fields["x-never-ran"] { // as often as it stands there: twice is refused
		a.pend = append(append(append(a.pend, httpwire.HeaderNeverRan+": "...), v...), "\r\n"...)
	}
	if !a.bare {
		a.pend = append(a.pend, "Transfer-Encoding: chunked\r\n"...)
	}
	a.pend = append(a.pend, "\r\n"...)
}

func (a *application) body(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if a.took += int64(len(p)); a.bare || a.length >= 0 && a.took > a.length {
		return spoilt("a longer body than its head told")
	}
	a.pend = append(strconv.AppendInt(a.pend, int64(len(p)), 16), "\r\n"...)
	a.pend = append(append(a.pend, p...), "\r\n"...)
	return nil
}

// over is the application's last word. Only with it an answer is whole: a script that dies writes what it has, and ends with a number.
func (a *application) over(e fcgi.Event) error {
	refused := e.Status == fcgi.StatusOverloaded || e.Status == fcgi.StatusCantMultiplex
	switch {
	case refused && !a.begun: // by the protocol's own word nothing has run
		a.pend = append(a.pend, "HTTP/1.1 503 \r\n"+httpwire.HeaderNeverRan+": 1\r\nContent-Length: 0\r\n\r\n"...)
	case !a.headed || e.Status != fcgi.StatusComplete || e.AppStatus != 0:
		return spoilt("a request ended with status %d and number %d", e.Status, e.AppStatus)
	case a.length >= 0 && a.took < a.length:
		return spoilt("a shorter body than its head told")
	case !a.bare:
		a.pend = append(a.pend, "0\r\n\r\n"...)
	}
	return nil
}

// Beyond tells whether something has come, or is to come, that belongs to no answer.
func (a *application) Beyond() bool {
	return a.id != 0 || a.at < len(a.pend) || a.buf != nil && a.records.HasBuffered()
}

// rest gives the buffers up between two requests.
func (a *application) rest() {
	if a.buf != nil {
		recordBuffers.Put(a.buf)
		a.buf = nil
	}
	if a.pend, a.at = a.pend[:0], 0; cap(a.pend) > 4096 {
		a.pend = nil
	}
	a.head = nil
}

// abort tells a server that nobody waits for its answer any more: one that is at work notices a closed connection only when it
// writes. The close that follows waits for nothing, since no other request is on the connection.
func (a *application) abort() {
	if a.id != 0 {
		a.raw.SetWriteDeadline(time.Now().Add(farewell))
		a.raw.Write(fcgi.AppendAbort(nil, a.id))
	}
}
