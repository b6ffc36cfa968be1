// Package wire is the lab's own reading of HTTP/1.1 and of the protocol's names, apart from the node's: stand-ins that
// shared the node's codec would share its mistakes.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// The protocol's names.
const (
	Trace      = "X-Trace-Id"
	Method     = "X-Qos"
	Tenant     = "X-Customer"
	Left       = "X-Expires-In-Ms"
	Key        = "Idempotency-Key"
	SecondTry  = "X-Second-Try"
	NeverRan   = "X-Never-Ran"
	RetryAfter = "Retry-After"
)

const mostBody = 64 << 10

// ID names one try of one call. A call made by a server to the tier behind it has Inner set; those are numbered apart.
type ID struct {
	Call  uint32
	Inner bool
	Try   uint8
}

const innerBit = 1 << 40

// String is the trace id on the wire.
func (i ID) String() string {
	n := uint64(i.Call)<<8 | uint64(i.Try)
	if i.Inner {
		n |= innerBit
	}
	return fmt.Sprintf("%016x", n)
}

// Append writes the trace id.
func (i ID) Append(to []byte) []byte {
	n := uint64(i.Call)<<8 | uint64(i.Try)
	if i.Inner {
		n |= innerBit
	}
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		to = append(to, digits[n>>shift&15])
	}
	return to
}

// ParseID reads a trace id; ok is false for one that no caller of the lab sent.
func ParseID(s string) (id ID, ok bool) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 || n>>41 != 0 {
		return ID{}, false
	}
	return ID{Call: uint32(n >> 8), Inner: n&innerBit != 0, Try: uint8(n)}, true
}

// Request is one request as a stand-in reads it.
type Request struct {
	Verb, Target, Path string
	Header             textproto.MIMEHeader
	Body               []byte
	Close              bool
}

// ReadRequest reads one; the caller has set the connection's deadline.
func ReadRequest(r *bufio.Reader) (*Request, error) {
	line, header, err := head(r)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[1], "/") {
		return nil, fmt.Errorf("request line %.60q", line)
	}
	q := &Request{Verb: parts[0], Target: parts[1], Header: header}
	q.Path, _, _ = strings.Cut(q.Target, "?")
	q.Close = strings.EqualFold(header.Get("Connection"), "close")
	if q.Body, err = body(r, header); err != nil {
		return nil, err
	}
	return q, nil
}

// Query returns one value of the target's query.
func (r *Request) Query(name string) string {
	_, query, _ := strings.Cut(r.Target, "?")
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		if k, v, _ := strings.Cut(pair, "="); k == name {
			return v
		}
	}
	return ""
}

// Deadline is when the caller gives up, by what it says.
func (r *Request) Deadline(came time.Time) time.Time {
	ms, err := strconv.Atoi(r.Header.Get(Left))
	if err != nil {
		return came.Add(time.Hour)
	}
	return came.Add(time.Duration(ms) * time.Millisecond)
}

// Response is one answer.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool
}

// ReadResponse reads one.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	line, header, err := head(r)
	if err != nil {
		return nil, err
	}
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.") {
		return nil, fmt.Errorf("status line %.60q", line)
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil {
		return nil, fmt.Errorf("status line %.60q", line)
	}
	p := &Response{Status: status, Header: header, Close: strings.EqualFold(header.Get("Connection"), "close")}
	p.Body, err = body(r, header)
	return p, err
}

// Wait is what an answer advises, 0 for none.
func (r *Response) Wait() time.Duration { return Seconds(r.Header.Get(RetryAfter)) }

// Seconds reads Retry-After: seconds, whole or decimal.
func Seconds(s string) time.Duration {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v > 0) || v > 3600 {
		return 0
	}
	return time.Duration(v * float64(time.Second))
}

func head(r *bufio.Reader) (string, textproto.MIMEHeader, error) {
	t := textproto.NewReader(r)
	line, err := t.ReadLine()
	if err != nil {
		return "", nil, err
	}
	header, err := t.ReadMIMEHeader()
	return line, header, err
}

func body(r *bufio.Reader, header textproto.MIMEHeader) ([]byte, error) {
	text := header.Get("Content-Length")
	if text == "" {
		if header.Get("Transfer-Encoding") != "" {
			return nil, errors.New("a chunked message, which no stand-in sends")
		}
		return nil, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > mostBody {
		return nil, fmt.Errorf("a length of %.20q", text)
	}
	b := make([]byte, n)
	_, err = io.ReadFull(r, b)
	return b, err
}

// Answer writes an answer's head and body.
func Answer(to []byte, status int, headers string, body []byte) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(to, " Lab\r\n"...)
	to = append(to, headers...)
	to = append(to, "Content-Length: "...)
	to = strconv.AppendInt(to, int64(len(body)), 10)
	to = append(to, "\r\n\r\n"...)
	return append(to, body...)
}
