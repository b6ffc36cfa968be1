// Package httpwire reads and writes the HTTP/1.1 messages of the protocol, on net/textproto.
package httpwire

// The names of the protocol, as net/textproto spells them.
const (
	HeaderTraceID        = "X-Trace-Id"
	HeaderMethod         = "X-Qos"
	HeaderTenant         = "X-Customer"
	HeaderTimeLeft       = "X-Expires-In-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetry          = "X-Second-Try"
	HeaderNeverRan       = "X-Never-Ran"
	HeaderLoadReport     = "X-Load"      // a server's report of its load, where the settings name its values
	HeaderWorkHint       = "X-Work-Hint" // a caller's rough hint of the request's cost, where the settings ask for it
	HeaderRetryAfter     = "Retry-After"

	headerLength     = "Content-Length"
	headerEncoding   = "Transfer-Encoding"
	headerConnection = "Connection"
	headerType       = "Content-Type"

	PathReady     = "/health/ready"
	PathEndpoints = "/registry/instances"
	QueryWatch    = "follow"
	QuerySince    = "since"
)
