package upstream

import (
	"net"
	"strconv"
	"strings"
	"time"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
)

const (
	// paramsSize is the initial size of the buffer for params, in bytes. It suffices for nearly all requests.
	paramsSize = 2 << 10
	// stdinOverhead is the space in bytes for the headers of a body's records and of the record that ends the body.
	stdinOverhead = 32
)

// The CGI params that carry the headers of the protocol between nodes and servers.
var (
	paramTraceID        = headerParam(httpwire.HeaderTraceID)
	paramIdempotencyKey = headerParam(httpwire.HeaderIdempotencyKey)
	paramMethod         = headerParam(httpwire.HeaderMethod)
	paramTenant         = headerParam(httpwire.HeaderTenant)
	paramTimeLeft       = headerParam(httpwire.HeaderTimeLeft)
)

// headerParam returns the name of the CGI param for a header.
func headerParam(header string) string {
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(header, "-", "_"))
}

// appendHead starts a request, and appends the records of its head. The records of the body, and the record that ends
// the body, follow with the same request ID.
func (f *fastCGIConn) appendHead(to []byte, request *httpwire.Request, host string, timeLeft time.Duration) []byte {
	f.start()
	var room [paramsSize]byte
	params := appendRequestParams(room[:0], request, host)
	params = appendProtocolParams(params, request, timeLeft)
	for name, value := range f.params {
		params = appendParam(params, name, value)
	}
	to = fcgi.AppendBegin(to, f.requestID, true)
	to = fcgi.AppendStream(to, fcgi.TypeParams, f.requestID, params)
	return fcgi.AppendStreamEnd(to, fcgi.TypeParams, f.requestID)
}

// appendParam appends a param unless its value is empty.
func appendParam(params []byte, name, value string) []byte {
	if value == "" {
		return params
	}
	return fcgi.AppendPair(params, name, value)
}

// appendRequestParams appends the params that CGI defines for every request.
func appendRequestParams(params []byte, request *httpwire.Request, host string) []byte {
	path, query, _ := strings.Cut(request.Target, "?")
	if request.Host != "" {
		host = request.Host
	}
	params = appendParam(params, "GATEWAY_INTERFACE", "CGI/1.1")
	params = appendParam(params, "SERVER_PROTOCOL", "HTTP/1.1")
	params = appendParam(params, "REQUEST_METHOD", request.Verb)
	params = appendParam(params, "REQUEST_URI", request.Target)
	params = appendParam(params, "SCRIPT_NAME", path)
	params = fcgi.AppendPair(params, "QUERY_STRING", query) // CGI requires it even if it is empty
	params = appendParam(params, "CONTENT_TYPE", request.ContentType)
	if length, known := contentLength(request); known {
		params = appendParam(params, "CONTENT_LENGTH", strconv.FormatInt(length, 10))
	}
	return appendParam(params, "HTTP_HOST", host)
}

// contentLength returns the length of a request's body in bytes. known is false for a GET request without a body, and
// for a streamed body whose length was not given.
func contentLength(request *httpwire.Request) (length int64, known bool) {
	received := int64(len(request.Body))
	if request.BodyStream == nil {
		return received, request.Verb != "GET" || received > 0
	}
	remaining := request.BodyStream.Remaining()
	return received + remaining, remaining >= 0
}

// appendProtocolParams appends the params that carry the headers of the protocol between nodes and servers.
func appendProtocolParams(params []byte, request *httpwire.Request, timeLeft time.Duration) []byte {
	params = appendParam(params, paramTraceID, request.TraceID)
	params = appendParam(params, paramIdempotencyKey, request.IdempotencyKey)
	params = appendParam(params, paramMethod, request.Method)
	params = appendParam(params, paramTenant, request.Tenant)
	return appendParam(params, paramTimeLeft, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10))
}

// appendBody appends the records of a complete body.
func (f *fastCGIConn) appendBody(to, body []byte) []byte {
	return f.appendBodyEnd(fcgi.AppendStream(to, fcgi.TypeStdin, f.requestID, body))
}

// bodyRecords returns the records of a piece of a body, without copying it.
func (f *fastCGIConn) bodyRecords(piece []byte) net.Buffers {
	return fcgi.Records(fcgi.TypeStdin, f.requestID, piece)
}

// appendBodyEnd appends the record that ends a body.
func (f *fastCGIConn) appendBodyEnd(to []byte) []byte {
	return fcgi.AppendStreamEnd(to, fcgi.TypeStdin, f.requestID)
}
