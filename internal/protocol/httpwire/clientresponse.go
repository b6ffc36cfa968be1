package httpwire

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// ClientResponse is a response to a client.
type ClientResponse struct {
	Status      int
	RetryAfter  time.Duration
	Allow       string
	ContentType string
	Close       bool
	Body        []byte
	BodyStream  StreamedBody // what follows Body; nil: Body is complete
	HTTP10      bool         // the client does not understand chunks
}

// StreamedBody is the part of a body that is forwarded while it is received.
type StreamedBody interface {
	io.Reader
	// Remaining returns how many bytes are still to come, or -1 if that is not known.
	Remaining() int64
	// Close is called once, with whether all of the body was read.
	Close(complete bool)
}

var reasonPhrases = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusConflict:                    "Conflict",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusGatewayTimeout:              "Gateway Timeout",
}

// StatusText returns the reason phrase of a status that a node responds with, by RFC 9110; empty for any other.
func StatusText(status int) string { return reasonPhrases[status] }

// Chunked reports whether the body is sent in chunks.
func (c *ClientResponse) Chunked() bool {
	return c.BodyStream != nil && c.BodyStream.Remaining() < 0 && !c.HTTP10
}

// AppendHead appends the response's head.
func (c *ClientResponse) AppendHead(to []byte) []byte {
	to = append(to, http11+" "...)
	to = strconv.AppendInt(to, int64(c.Status), 10)
	to = append(to, ' ')
	to = append(to, StatusText(c.Status)...)
	to = append(to, lineEnd...)
	to = appendHeader(to, headerAllow, c.Allow)
	to = appendHeader(to, headerContentType, c.ContentType)
	if c.RetryAfter > 0 {
		to = append(to, HeaderRetryAfter+": "...)
		to = strconv.AppendFloat(to, c.RetryAfter.Seconds(), 'f', 3, 64)
		to = append(to, lineEnd...)
	}
	if c.Close {
		to = appendHeader(to, headerConnection, "close")
	}
	to = c.appendFraming(to)
	return append(to, lineEnd...)
}

// appendFraming appends how the body ends. Nothing does for a client of HTTP/1.0 and a length that is not known: there
// the body ends with the connection.
func (c *ClientResponse) appendFraming(to []byte) []byte {
	length := int64(len(c.Body))
	if c.BodyStream == nil {
		return appendIntHeader(to, headerContentLength, length)
	}
	remaining := c.BodyStream.Remaining()
	switch {
	case c.Chunked():
		return appendHeader(to, headerTransferEncoding, "chunked")
	case remaining >= 0:
		return appendIntHeader(to, headerContentLength, length+remaining)
	}
	return to
}
