package load

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

const (
	maxResponseHead = 16 << 10
	maxResponseBody = 64 << 10
)

// errMalformedResponse ends a connection on which bytes were received that are no response.
var errMalformedResponse = errors.New("malformed response")

// response is the part of a response that a client looks at.
type response struct {
	status     int
	closes     bool // the server closes the connection
	retryAfter time.Duration
	body       []byte
}

// parseResponse reads a response from the beginning of b. The size is 0 while the response is not complete.
func parseResponse(b []byte) (r response, size int, err error) {
	const headEnd = "\r\n\r\n"
	if len(b) > 0 && b[0] != 'H' {
		return response{}, 0, errMalformedResponse
	}
	end := bytes.Index(b, []byte(headEnd))
	if end < 0 {
		if len(b) >= maxResponseHead {
			return response{}, 0, errMalformedResponse
		}
		return response{}, 0, nil
	}
	length, err := r.parseHead(b[:end])
	if err != nil {
		return response{}, 0, err
	}
	size = end + len(headEnd) + length
	if len(b) < size {
		return response{}, 0, nil
	}
	r.body = b[size-length : size]
	return r, size, nil
}

// parseHead reads the status line and the headers, and returns the body's length.
func (r *response) parseHead(head []byte) (length int, err error) {
	const version, statusEnd = "HTTP/1.", len("HTTP/1.1 200")
	if len(head) < statusEnd || string(head[:len(version)]) != version {
		return 0, errMalformedResponse
	}
	r.status, err = strconv.Atoi(string(head[statusEnd-3 : statusEnd]))
	if err != nil || r.status < 100 {
		return 0, errMalformedResponse
	}
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case isHeader(name, "Content-Length"):
			length, err = strconv.Atoi(string(value))
			if err != nil || length < 0 || length > maxResponseBody {
				return 0, errMalformedResponse
			}
		case isHeader(name, "Connection"):
			r.closes = bytes.EqualFold(value, []byte("close"))
		case isHeader(name, wire.RetryAfter):
			r.retryAfter = wire.ParseRetryAfter(string(value))
		}
	}
	return length, nil
}

// isHeader returns whether a header has a name.
func isHeader(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// outcome is the outcome of an attempt with this response.
func (r response) outcome() judge.Outcome {
	switch r.status {
	case 200:
		return judge.OK
	case 429, 503:
		return judge.PushedBack
	}
	return judge.Aborted
}

// isFor returns whether a server has made the response for an attempt: it repeats the attempt's trace ID.
func (r response) isFor(id judge.ID) bool {
	return bytes.Contains(r.body, []byte(wire.ID{Call: id.Call, Try: id.N}.String()))
}
