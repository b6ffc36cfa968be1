package httpwire

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	// maxEmptyLines is how many empty lines may precede a request: some clients end a body with one too many.
	maxEmptyLines = 4
	// maxTimeLeftMillis is the largest X-Expires-In-Ms, of about twelve days.
	maxTimeLeftMillis = 1 << 30
	// maxWorkHint is the largest X-Work-Hint that is used.
	maxWorkHint = 1e9

	// flagSet is the value of the headers that are set or absent.
	flagSet = "1"
)

// Request is a client's request. Its slices are of the buffer that it was read into.
type Request struct {
	Verb           string // of HTTP
	Target         string // path and query, as received
	Path           string
	Host           string
	TraceID        string
	IdempotencyKey string
	Method         string // of the RPC
	Tenant         string
	TimeLeft       time.Duration // how long the client waits
	HasTimeLeft    bool
	Retry          bool    // the client has made the request before
	WorkHint       float64 // the client's estimate of the cost; 0: none, or not valid
	Close          bool    // the client wants the connection closed
	ContentType    string
	Body           []byte
	BodyStream     *BodyStream   // what follows Body; nil: Body is complete
	ReservedBytes  int           // of the Reader's memory, which the request's owner has to release
	HTTP10         bool          // the version is HTTP/1.0
	ReadAt         time.Time     // when the head was read; zero: not known
	Unread         time.Duration // for how long the request had lain unread then
	Client         ClientWatcher // while a response is pending; nil: not known

	Header    textproto.MIMEHeader // all headers, as received, if the Reader keeps them
	Authority string               // of a target in absolute form
}

// ClientWatcher knows the state of the client that has sent a request.
type ClientWatcher interface {
	// StillWaiting reports, without waiting, whether the client still waits for the response. It is called right
	// before the first byte is forwarded, by any number of goroutines at once; for a request with a streamed body by
	// the one that has claimed the stream.
	StillWaiting(*Request) bool
	// InputState reports whether the buffer of the client's input has little space, and how long ago the client's last
	// bytes arrived.
	InputState() (full bool, sinceArrival time.Duration)
	// AnnounceSpace tells the client's machine at once that there is space for more bytes.
	AnnounceSpace()
}

// ReadRequest reads one request.
func (r *Reader) ReadRequest() (*Request, error) {
	request, err := r.readRequest()
	if reserved := r.takeReservation(err); reserved > 0 {
		request.ReservedBytes = reserved
	}
	return request, err
}

func (r *Reader) readRequest() (*Request, error) {
	r.received = r.buffered
	if err := r.skipEmptyLines(); err != nil {
		return nil, err
	}
	head, err := r.readHead()
	if err != nil {
		return nil, err
	}
	request, err := parseRequestLine(head.startLine)
	if err != nil {
		return nil, err
	}
	announced, err := head.framing()
	if err != nil {
		return nil, err
	}
	request.Body, request.BodyStream, err = r.readBody(&head, announced)
	if err != nil {
		return nil, err
	}
	if request.BodyStream == nil {
		r.recycle()
	}
	if err := request.setHeaders(&head); err != nil {
		return nil, err
	}
	return request, nil
}

// skipEmptyLines discards empty lines ahead of a request.
func (r *Reader) skipEmptyLines() error {
	for range maxEmptyLines {
		if err := r.awaitLineStart(); err != nil {
			return err
		}
		if !isLineEnd(r.buffer) {
			return nil
		}
		r.discard(len(lineEnd))
		if r.buffered == 0 {
			r.recycle()
		}
	}
	return nil
}

// awaitLineStart reads until it is known whether a line is empty.
func (r *Reader) awaitLineStart() error {
	for r.buffered == 0 || r.buffered == 1 && r.buffer[0] == '\r' {
		err := r.fill(0)
		if err != nil && r.buffered > 0 {
			err = unexpectedEOF(err)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// parseRequestLine parses a request line (RFC 9112, section 3).
func parseRequestLine(line string) (*Request, error) {
	verb, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	authority, target := splitAbsoluteForm(target)
	valid := hasTarget && hasVersion && IsToken(verb) && isOriginForm(target) && isVersion(version)
	if !valid {
		return nil, fmt.Errorf("%w: request line %.80q", ErrMalformed, line)
	}
	path, _, _ := strings.Cut(target, "?")
	return &Request{
		Verb:      verb,
		Target:    target,
		Path:      path,
		Authority: authority,
		HTTP10:    version == http10,
	}, nil
}

func isVersion(s string) bool { return s == http11 || s == http10 }

// IsToken reports whether s is a token of RFC 9110, section 5.6.2.
func IsToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, s[i]) >= 0 {
			return false
		}
	}
	return s != ""
}

// splitAbsoluteForm splits a target in absolute form into its authority and the origin form. Any other target is
// returned as it is.
func splitAbsoluteForm(target string) (authority, origin string) {
	const scheme = "http://"
	if len(target) <= len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return "", target
	}
	target = target[len(scheme):]
	end := strings.IndexAny(target, "/?")
	switch {
	case end < 0:
		return target, "/"
	case target[end] == '?':
		return target[:end], "/" + target[end:]
	}
	return target[:end], target[end:]
}

// isOriginForm reports whether a target is in origin form. It is forwarded as received, so nothing in it may end a
// line.
func isOriginForm(target string) bool {
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f || target[i] == '#' {
			return false
		}
	}
	return strings.HasPrefix(target, "/")
}

// setHeaders sets what the headers say.
func (r *Request) setHeaders(head *messageHead) error {
	for field := range singleFields {
		if _, err := head.single(field); err != nil {
			return err
		}
	}
	r.Header = head.header
	r.Close = r.HTTP10 || head.closes
	r.TraceID = head.value[fieldTraceID]
	r.IdempotencyKey = head.value[fieldIdempotencyKey]
	r.Method = head.value[fieldMethod]
	r.Tenant = head.value[fieldTenant]
	r.ContentType = head.value[fieldContentType]
	r.Host = head.value[fieldHost]
	r.Retry = head.value[fieldRetry] == flagSet
	if !head.conflict[fieldWorkHint] {
		r.WorkHint = parseWorkHint(head.value[fieldWorkHint])
	}
	return r.setTimeLeft(head.value[fieldTimeLeft])
}

// parseWorkHint returns 0 for what is no hint. An estimate is rough anyway, and no reason to reject a request.
func parseWorkHint(text string) float64 {
	if text == "" {
		return 0
	}
	hint, err := strconv.ParseFloat(text, 64)
	if err == nil && hint > 0 && hint <= maxWorkHint {
		return hint
	}
	return 0
}

func (r *Request) setTimeLeft(text string) error {
	if text == "" {
		return nil
	}
	millis, err := parseNumber(text, 10, maxTimeLeftMillis)
	if err != nil {
		return fmt.Errorf("%w: %s is %.20q", ErrMalformed, HeaderTimeLeft, text)
	}
	r.TimeLeft = time.Duration(millis) * time.Millisecond
	r.HasTimeLeft = true
	return nil
}

// AppendHead appends the request's head as it is forwarded to a server, with the time that is left to respond.
func (r *Request) AppendHead(to []byte, host string, left time.Duration) []byte {
	if r.Host != "" {
		host = r.Host
	}
	to = append(to, r.Verb...)
	to = append(to, ' ')
	to = append(to, r.Target...)
	to = append(to, " "+http11+lineEnd...)
	to = appendHeader(to, headerHost, host)
	to = appendHeader(to, HeaderTraceID, r.TraceID)
	to = appendHeader(to, HeaderIdempotencyKey, r.IdempotencyKey)
	to = appendHeader(to, HeaderMethod, r.Method)
	to = appendHeader(to, HeaderTenant, r.Tenant)
	to = appendHeader(to, headerContentType, r.ContentType)
	to = appendIntHeader(to, HeaderTimeLeft, max(1, left.Milliseconds()))
	to = r.appendFraming(to)
	return append(to, lineEnd...)
}

func (r *Request) appendFraming(to []byte) []byte {
	length := int64(len(r.Body))
	if r.BodyStream == nil {
		if r.Verb == http.MethodGet && length == 0 {
			return to
		}
		return appendIntHeader(to, headerContentLength, length)
	}
	remaining := r.BodyStream.Remaining()
	if remaining < 0 {
		return appendHeader(to, headerTransferEncoding, "chunked")
	}
	return appendIntHeader(to, headerContentLength, length+remaining)
}
