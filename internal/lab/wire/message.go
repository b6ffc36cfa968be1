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

const (
	// maxBody is the longest body that is read.
	maxBody = 64 << 10
	// noDeadline is how long a request without a deadline may take.
	noDeadline = time.Hour
	// maxRetryAfter is the longest Retry-After in seconds that counts.
	maxRetryAfter = 3600
	// A response's status is at these places of its first line.
	statusStart = len("HTTP/1.1 ")
	statusEnd   = statusStart + 3
)

// errChunked is returned for a message with a Transfer-Encoding.
var errChunked = errors.New("a chunked message, which no stand-in sends")

// Request is a request as a stand-in reads it.
type Request struct {
	Verb   string
	Target string
	Path   string // the target without its query
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool
}

// ReadRequest reads a request.
func ReadRequest(r *bufio.Reader) (*Request, error) {
	line, header, err := readHead(r)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[1], "/") {
		return nil, fmt.Errorf("request line %.60q", line)
	}
	path, _, _ := strings.Cut(parts[1], "?")
	body, err := readBody(r, header)
	if err != nil {
		return nil, err
	}
	return &Request{
		Verb:   parts[0],
		Target: parts[1],
		Path:   path,
		Header: header,
		Body:   body,
		Close:  closes(header),
	}, nil
}

// Query returns one value of the target's query, as it is written there.
func (r *Request) Query(name string) string {
	_, query, _ := strings.Cut(r.Target, "?")
	for pair := range strings.SplitSeq(query, "&") {
		key, value, _ := strings.Cut(pair, "=")
		if key == name {
			return value
		}
	}
	return ""
}

// Deadline is when the client gives up, by the time left that its request names.
func (r *Request) Deadline(receivedAt time.Time) time.Time {
	ms, err := strconv.Atoi(r.Header.Get(HeaderTimeLeft))
	if err != nil {
		return receivedAt.Add(noDeadline)
	}
	return receivedAt.Add(time.Duration(ms) * time.Millisecond)
}

// Response is a response as a stand-in reads it.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool
}

// ReadResponse reads a response.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	line, header, err := readHead(r)
	if err != nil {
		return nil, err
	}
	status, err := parseStatus(line)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r, header)
	return &Response{Status: status, Header: header, Body: body, Close: closes(header)}, err
}

func parseStatus(line string) (int, error) {
	if len(line) < statusEnd || !strings.HasPrefix(line, "HTTP/1.") {
		return 0, fmt.Errorf("status line %.60q", line)
	}
	status, err := strconv.Atoi(line[statusStart:statusEnd])
	if err != nil {
		return 0, fmt.Errorf("status line %.60q", line)
	}
	return status, nil
}

// ParseRetryAfter parses a Retry-After of seconds, with or without decimals; 0: none, or one that does not count.
func ParseRetryAfter(s string) time.Duration {
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil || !(seconds > 0) || seconds > maxRetryAfter {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// closes returns whether a connection ends with a message.
func closes(header textproto.MIMEHeader) bool {
	return strings.EqualFold(header.Get("Connection"), "close")
}

// readHead reads a message's first line and its headers.
func readHead(r *bufio.Reader) (string, textproto.MIMEHeader, error) {
	reader := textproto.NewReader(r)
	line, err := reader.ReadLine()
	if err != nil {
		return "", nil, err
	}
	header, err := reader.ReadMIMEHeader()
	return line, header, err
}

// readBody reads a body by its Content-Length.
func readBody(r *bufio.Reader, header textproto.MIMEHeader) ([]byte, error) {
	length := header.Get("Content-Length")
	if length == "" {
		if header.Get("Transfer-Encoding") != "" {
			return nil, errChunked
		}
		return nil, nil
	}
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > maxBody {
		return nil, fmt.Errorf("a length of %.20q", length)
	}
	body := make([]byte, n)
	_, err = io.ReadFull(r, body)
	return body, err
}

// AppendResponse appends a response. Its headers end with a line break each; Content-Length is added.
func AppendResponse(to []byte, status int, headers string, body []byte) []byte {
	to = fmt.Appendf(to, "HTTP/1.1 %d Lab\r\n%sContent-Length: %d\r\n\r\n", status, headers, len(body))
	return append(to, body...)
}
