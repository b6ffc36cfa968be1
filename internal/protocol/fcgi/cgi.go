package fcgi

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"robincart/internal/protocol/httpwire"
)

// ErrHead means that what an application has written is not a CGI response.
var ErrHead = errors.New("not a CGI response")

const (
	// minCGIStatus and maxCGIStatus bound the statuses that an application may respond with.
	minCGIStatus    = 200
	maxCGIStatus    = 599
	cgiStatusDigits = 3

	// lengthBits bounds Content-Length, so that it can be added to.
	lengthBits = 62
)

// CGI is the head of a response as CGI has it (RFC 3875, section 6).
type CGI struct {
	Status      int // without a Status header: 302 with Location, else 200
	ContentType string
	Location    string
	Length      int64               // of the body; -1: not given
	Fields      map[string][]string // the other headers, by their names in lower case
}

// ReadCGI parses the head of a response, as far as it was received, and returns the body behind it. It returns false if
// the head is not complete yet. Lines may end with a bare line feed, as many applications write them. A header that may
// occur once and occurs twice is an error: whoever reads the response later could use the other one.
func ReadCGI(text []byte, maxHead int) (head CGI, body []byte, complete bool, err error) {
	lines, body, complete := cutHead(text)
	if !complete && len(text) <= maxHead {
		// Lines are parsed once all are here: a response in single bytes would otherwise cost their square.
		return CGI{}, nil, false, nil
	}
	if len(lines) > maxHead {
		return CGI{}, nil, false, fmt.Errorf("%w: its head is longer than %d bytes", ErrHead, maxHead)
	}
	head = CGI{Length: -1}
	for line := range strings.Lines(string(lines)) {
		line = strings.TrimSuffix(line, "\n")
		if err := head.setField(strings.TrimSuffix(line, "\r")); err != nil {
			return CGI{}, nil, false, err
		}
	}
	if head.Status == 0 {
		head.Status = head.defaultStatus()
	}
	return head, body, true, nil
}

// defaultStatus is the status of a response without one.
func (c *CGI) defaultStatus() int {
	if c.Location != "" {
		return http.StatusFound
	}
	return http.StatusOK
}

// cutHead cuts a text at the first empty line. Without one all of it is head.
func cutHead(text []byte) (head, body []byte, complete bool) {
	for start := 0; ; {
		length := bytes.IndexByte(text[start:], '\n')
		if length < 0 {
			return text, nil, false
		}
		next := start + length + 1
		if length == 0 || length == 1 && text[start] == '\r' {
			return text[:start], text[next:], true
		}
		start = next
	}
}

// setField parses a header line.
func (c *CGI) setField(line string) error {
	name, value, found := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !found || !httpwire.IsToken(name) || strings.ContainsFunc(value, isControl) {
		return fmt.Errorf("%w: the line %.60q", ErrHead, line)
	}
	switch key := strings.ToLower(name); key {
	case "status":
		return c.setStatus(name, value)
	case "content-type":
		return setOnce(&c.ContentType, name, value)
	case "location":
		return setOnce(&c.Location, name, value)
	case "content-length":
		return c.setLength(name, value)
	default:
		if c.Fields == nil {
			c.Fields = map[string][]string{}
		}
		c.Fields[key] = append(c.Fields[key], value)
		return nil
	}
}

func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

func (c *CGI) setStatus(name, value string) error {
	code, _, _ := strings.Cut(value, " ")
	status, err := strconv.Atoi(code)
	if len(code) != cgiStatusDigits || err != nil || status < minCGIStatus || status > maxCGIStatus {
		return fmt.Errorf("%w: the status %.60q", ErrHead, value)
	}
	if c.Status != 0 {
		return repeatedError(name)
	}
	c.Status = status
	return nil
}

func (c *CGI) setLength(name, value string) error {
	length, err := strconv.ParseUint(value, 10, lengthBits)
	if err != nil {
		return fmt.Errorf("%w: the length %.60q", ErrHead, value)
	}
	if c.Length >= 0 {
		return repeatedError(name)
	}
	c.Length = int64(length)
	return nil
}

func setOnce(field *string, name, value string) error {
	if *field != "" {
		return repeatedError(name)
	}
	*field = value
	return nil
}

func repeatedError(name string) error { return fmt.Errorf("%w: %s is given twice", ErrHead, name) }

// AppendCGI appends the head of a response.
func AppendCGI(to []byte, status int, reason, contentType, retryAfter string) []byte {
	to = append(to, "Status: "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(to, ' ')
	to = append(to, reason...)
	to = append(to, "\r\n"...)
	to = appendCGIField(to, "Content-Type", contentType)
	to = appendCGIField(to, httpwire.HeaderRetryAfter, retryAfter)
	return append(to, "\r\n"...)
}

// appendCGIField appends a header, unless its value is empty.
func appendCGIField(to []byte, name, value string) []byte {
	if value == "" {
		return to
	}
	to = append(to, name...)
	to = append(to, ": "...)
	to = append(to, value...)
	return append(to, "\r\n"...)
}
