package httpwire

// Headers of the protocol between clients, nodes and servers, as net/textproto spells them.
const (
	HeaderTraceID        = "X-Trace-Id"
	HeaderMethod         = "X-Qos"
	HeaderTenant         = "X-Customer"
	HeaderTimeLeft       = "X-Expires-In-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetry          = "X-Second-Try"
	HeaderNeverRan       = "X-Never-Ran"
	HeaderLoadReport     = "X-Load"      // a server's load report, where the settings name its values
	HeaderWorkHint       = "X-Work-Hint" // a client's estimate of a request's cost, where the settings ask for it
	HeaderRetryAfter     = "Retry-After"
)

// Headers of HTTP that only this package reads or writes.
const (
	headerAllow            = "Allow"
	headerConnection       = "Connection"
	headerContentLength    = "Content-Length"
	headerContentType      = "Content-Type"
	headerExpect           = "Expect"
	headerHost             = "Host"
	headerTransferEncoding = "Transfer-Encoding"
)

// Paths and query parameters of the protocol.
const (
	PathReady     = "/health/ready"
	PathEndpoints = "/registry/instances"
	QueryWatch    = "follow"
	QuerySince    = "since"
)

const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"

	lineEnd = "\r\n"
)
