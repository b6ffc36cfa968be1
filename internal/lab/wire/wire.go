// Package wire is the lab's own codec for HTTP/1.1, and has the protocol's header names. It is apart from the node's
// codec: stand-ins that shared that one would share its mistakes.
//
// It reads and writes what the stand-ins exchange, and no more: no chunked bodies and no trailers.
// Timeouts and the reuse of connections are left to whoever owns the connection.
package wire

// The protocol's header names.
const (
	HeaderTraceID        = "X-Trace-Id"
	HeaderMethod         = "X-Qos"
	HeaderTenant         = "X-Customer"
	HeaderTimeLeft       = "X-Expires-In-Ms" // the time until the deadline
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetry          = "X-Second-Try"
	NeverRan             = "X-Never-Ran"
	RetryAfter           = "Retry-After"
)
