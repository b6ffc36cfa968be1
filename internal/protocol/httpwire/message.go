package httpwire

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Request is a caller's request. Its slices lie in the buffer that it was read into.
type Request struct {
	Verb           string
	Target         string // path and query, as they came
	Path           string
	Host           string
	TraceID        string
	IdempotencyKey string
	Method         string // the RPC's method
	Tenant         string
	TimeLeft       time.Duration // how long the caller waits
	HasTimeLeft    bool
	Retry          bool
	WorkHint       float64 // the caller's hint of its cost; 0: none that can be read
	Close          bool    // the caller wants the connection closed
	ContentType    string
	Body           []byte
	BodyStream     *BodyStream   // of the body; nil: it is here
	ReservedBytes  int           // of the reader's room: to be given back
	HTTP10         bool          // HTTP/1.0
	Client         ClientWatcher // while an answer to it is owed; nil: nobody knows

	// Where the reader keeps them, since requests are routed by them:
	Header    textproto.MIMEHeader // all of them, as they came
	Authority string               // of a target in absolute form
}

// ClientWatcher is who has sent a request.
type ClientWatcher interface {
	// StillWaiting tells, without waiting, whether it still waits for the request's answer. Who is about to send the request on asks this
	// right before the first byte, any number at once; one whose body is coming, by who has claimed that.
	StillWaiting(*Request) bool
}

// ReadRequest reads one request.
func (r *Reader) ReadRequest() (*Request, error) {
	q, err := r.readRequest()
	if held := r.hold(err); held > 0 {
		q.ReservedBytes = held
	}
	return q, err
}

func (r *Reader) readRequest() (*Request, error) {
	r.got = r.n
	if err := r.blank(); err != nil {
		return nil, err
	}
	head, err := r.readHead()
	if err != nil {
		return nil, err
	}
	verb, rest, ok1 := strings.Cut(head.Line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	authority, target := splitAbsolute(target)
	if !ok1 || !ok2 || !token(verb) || !origin(target) || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, fmt.Errorf("%w: request line %.80q", ErrMalformed, head.Line)
	}
	q := &Request{Verb: verb, Target: target, Close: version == "HTTP/1.0" || head.close, Authority: authority, Header: head.Header, HTTP10: version == "HTTP/1.0"}
	q.Path, _, _ = strings.Cut(target, "?")
	if q.Body, q.BodyStream, _, err = r.readBody(&head); err != nil {
		return nil, err
	}
	if q.BodyStream == nil {
		r.rest()
	}
	for k := range hOnce {
		if _, err := head.one(k); err != nil {
			return nil, err
		}
	}
	q.TraceID, q.IdempotencyKey, q.Method, q.Tenant = head.value[hTrace], head.value[hKey], head.value[hMethod], head.value[hTenant]
	q.ContentType, q.Host, q.Retry = head.value[hType], head.value[hHost], head.value[hSecondTry] == "1"
	// A hint is rough anyway: one that can't be read is none, and no reason to turn a request away.
	if hint := head.value[hWork]; hint != "" && !head.other[hWork] {
		if x, err := strconv.ParseFloat(hint, 64); err == nil && x > 0 && x <= 1e9 {
			q.WorkHint = x
		}
	}
	if left := head.value[hLeft]; left != "" {
		n, err := digits(left, 10, 1<<30)
		if err != nil {
			return nil, fmt.Errorf("%w: %s is %.20q", ErrMalformed, HeaderTimeLeft, left)
		}
		q.TimeLeft, q.HasTimeLeft = time.Duration(n)*time.Millisecond, true
	}
	return q, nil
}

// blank reads over empty lines ahead of a request: some callers end a body with one that does not count.
func (r *Reader) blank() error {
	for range 4 {
		for r.n < 2 && (r.n == 0 || r.buf[0] == '\r') {
			if err := r.fill(0); err != nil {
				if r.n > 0 && errors.Is(err, io.EOF) {
					err = io.ErrUnexpectedEOF
				}
				return err
			}
		}
		if r.buf[0] != '\r' || r.buf[1] != '\n' {
			return nil
		}
		if r.skip(2); r.n == 0 {
			r.rest()
		}
	}
	return nil
}

func asksClose(value string) bool {
	for part := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(part), "close") {
			return true
		}
	}
	return false
}

func token(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// splitAbsolute takes a target in absolute form apart; any other stays as it is.
func splitAbsolute(target string) (authority, rest string) {
	const scheme = "http://"
	if len(target) <= len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return "", target
	}
	tail := target[len(scheme):]
	end := strings.IndexAny(tail, "/?")
	switch {
	case end < 0:
		return tail, "/"
	case tail[end] == '?':
		return tail[:end], "/" + tail[end:]
	}
	return tail[:end], tail[end:]
}

// origin tells a target in origin form: it goes on to servers as it came, so nothing in it may end a line.
func origin(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c == 0x7f || c == '#' {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

// AppendHead writes the request's head as it goes on to a server, which is told how long this node waits.
func (r *Request) AppendHead(to []byte, host string, left time.Duration) []byte {
	if r.Host != "" {
		host = r.Host
	}
	to = append(to, r.Verb...)
	to = append(to, ' ')
	to = append(to, r.Target...)
	to = append(to, " HTTP/1.1\r\n"...)
	to = header(to, "Host", host)
	to = header(to, HeaderTraceID, r.TraceID)
	to = header(to, HeaderIdempotencyKey, r.IdempotencyKey)
	to = header(to, HeaderMethod, r.Method)
	to = header(to, HeaderTenant, r.Tenant)
	to = header(to, headerType, r.ContentType)
	to = append(to, HeaderTimeLeft+": "...)
	to = strconv.AppendInt(to, max(1, left.Milliseconds()), 10)
	to = append(to, "\r\n"...)
	switch {
	case r.BodyStream != nil && r.BodyStream.Remaining() < 0:
		to = header(to, headerEncoding, "chunked")
	case r.BodyStream != nil:
		to = length(to, len(r.Body)+int(r.BodyStream.Remaining()))
	case r.Verb != "GET" || len(r.Body) > 0:
		to = length(to, len(r.Body))
	}
	return append(to, "\r\n"...)
}

func header(to []byte, name, value string) []byte {
	if value == "" {
		return to
	}
	to = append(to, name...)
	to = append(to, ": "...)
	to = append(to, value...)
	return append(to, "\r\n"...)
}

func length(to []byte, n int) []byte {
	to = append(to, headerLength+": "...)
	to = strconv.AppendInt(to, int64(n), 10)
	return append(to, "\r\n"...)
}

// ServerResponse is a server's answer.
type ServerResponse struct {
	Status        int
	NeverRan      bool
	LoadReport    string // a report of the server's load, as it came
	Close         bool   // the connection can't be used again
	ContentType   string
	Body          []byte
	BodyStream    *BodyStream // of the body; nil: it is here
	ReservedBytes int         // of the reader's room: to be given back
}

// ReadResponse reads one answer. One whose end only the end of its connection tells is refused unless it says so: a server
// that died in it would look like one that had finished.
func (r *Reader) ReadResponse() (*ServerResponse, error) {
	p, err := r.readResponse()
	if held := r.hold(err); held > 0 {
		p.ReservedBytes = held
	}
	return p, err
}

// mostAhead is how many informational heads may come ahead of an answer.
const mostAhead = 16

func (r *Reader) readResponse() (*ServerResponse, error) {
	for ahead := 0; ; ahead++ {
		r.got = r.n
		if err := r.AwaitFirstByte(); err != nil {
			return nil, err
		}
		head, status, err := r.readStatus()
		if err != nil {
			return nil, err
		}
		if status >= 100 && status < 200 && status != 101 {
			if ahead == mostAhead { // else they would hold the pick to its deadline
				return nil, fmt.Errorf("%w: no answer behind %d informational ones", ErrMalformed, ahead)
			}
			if r.rest(); r.OnProgress != nil {
				r.OnProgress.Progress(false)
			}
			continue
		}
		p := &ServerResponse{Status: status, Close: strings.HasPrefix(head.Line, "HTTP/1.0") || head.close}
		bounded := status == 204 || status == 304
		if !bounded {
			if p.Body, p.BodyStream, bounded, err = r.readBody(&head); err != nil {
				return nil, err
			}
		}
		if !bounded {
			if !p.Close {
				return nil, fmt.Errorf("%w: an answer without a length", ErrMalformed)
			}
			if p.Body, p.BodyStream, err = r.toEnd(); err != nil {
				return nil, err
			}
		}
		if p.BodyStream != nil {
			// One that is cut short and said to be large would else be begun, and nobody could be asked again.
			if p.Body, err = r.begin(p.Body, p.BodyStream); err != nil {
				return nil, err
			}
			if p.BodyStream.Complete() {
				p.BodyStream = nil
			}
		}
		if p.BodyStream == nil {
			r.rest()
		}
		if p.ContentType, err = head.one(hType); err != nil {
			return nil, err
		}
		never, err := head.one(hNeverRan)
		p.NeverRan, p.LoadReport = never == "1", head.value[hLoad]
		return p, err
	}
}

func (r *Reader) readStatus() (Head, int, error) {
	head, err := r.readHead()
	if err != nil {
		return head, 0, err
	}
	version, rest, ok := strings.Cut(head.Line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if !ok || version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 {
		return head, 0, fmt.Errorf("%w: status line %.80q", ErrMalformed, head.Line)
	}
	status, err := digits(code, 10, 999)
	if err != nil || status < 100 {
		return head, 0, fmt.Errorf("%w: status line %.80q", ErrMalformed, head.Line)
	}
	return head, status, nil
}

// ReadStream reads the head of an answer that goes on in pieces.
func (r *Reader) ReadStream() (int, *Stream, error) {
	head, status, err := r.readStatus()
	if err != nil || status != 200 {
		return status, nil, err
	}
	s, err := r.stream(&head)
	return status, s, err
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

// StatusText is a status's phrase.
func StatusText(status int) string { return reasons[status] }

// ClientResponse is what a node says to a caller.
type ClientResponse struct {
	Status      int
	RetryAfter  time.Duration
	Allow       string
	ContentType string
	Close       bool
	Body        []byte
	BodyStream  StreamedBody // of the body; nil: that is all
	HTTP10      bool         // its reader knows no chunks
}

// StreamedBody is the rest of a body that is passed on while it comes.
type StreamedBody interface {
	io.Reader
	// Remaining is how much is still to come, or -1.
	Remaining() int64
	// Close is called once, with whether all of it was read.
	Close(whole bool)
}

// Chunked tells whether the answer goes out in chunks.
func (c *ClientResponse) Chunked() bool {
	return c.BodyStream != nil && c.BodyStream.Remaining() < 0 && !c.HTTP10
}

// AppendHead writes the answer's head.
func (c *ClientResponse) AppendHead(to []byte) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(c.Status), 10)
	to = append(to, ' ')
	to = append(to, reasons[c.Status]...)
	to = append(to, "\r\n"...)
	to = header(to, "Allow", c.Allow)
	to = header(to, headerType, c.ContentType)
	if c.RetryAfter > 0 {
		to = append(to, HeaderRetryAfter+": "...)
		to = strconv.AppendFloat(to, c.RetryAfter.Seconds(), 'f', 3, 64)
		to = append(to, "\r\n"...)
	}
	if c.Close {
		to = header(to, headerConnection, "close")
	}
	switch {
	case c.Chunked():
		to = header(to, headerEncoding, "chunked")
	case c.BodyStream != nil && c.BodyStream.Remaining() >= 0:
		to = length(to, len(c.Body)+int(c.BodyStream.Remaining()))
	case c.BodyStream == nil:
		to = length(to, len(c.Body))
	}
	return append(to, "\r\n"...)
}

// IsMalformed tells what could not be read as a message from a connection that failed.
func IsMalformed(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrBodyTooLarge)
}

// ErrorResponse is the answer to what could not be read as a request, and false if the connection itself failed.
func ErrorResponse(err error) (ClientResponse, bool) {
	a := ClientResponse{Status: 400, Close: true}
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		a.Status = 431
	case errors.Is(err, ErrBodyTooLarge):
		a.Status = 413
	case !errors.Is(err, ErrMalformed):
		return a, false
	}
	return a, true
}
