// Package httpwire reads and writes the HTTP/1.1 messages of the protocol, on net/textproto.
package httpwire

// The names of the protocol, as net/textproto spells them.
const (
	HeaderTrace      = "X-Trace-Id"
	HeaderMethod     = "X-Qos"
	HeaderTenant     = "X-Customer"
	HeaderLeft       = "X-Expires-In-Ms"
	HeaderKey        = "Idempotency-Key"
	HeaderSecondTry  = "X-Second-Try"
	HeaderNeverRan   = "X-Never-Ran"
	HeaderLoad       = "X-Load"      // a server's report of its load, where the settings name its values
	HeaderWork       = "X-Work-Hint" // a caller's rough hint of the request's cost, where the settings ask for it
	HeaderRetryAfter = "Retry-After"

	headerLength     = "Content-Length"
	headerEncoding   = "Transfer-Encoding"
	headerConnection = "Connection"
	headerType       = "Content-Type"

	PathReady  = "/health/ready"
	PathList   = "/registry/instances"
	QueryWatch = "follow"
	QuerySince = "since"
)
