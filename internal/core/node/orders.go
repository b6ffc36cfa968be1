package node

import "time"

// OrderKind is the kind of an Order.
type OrderKind int

// The kinds of orders. All kinds except OrderSend end the RPC.
const (
	OrderSend       OrderKind = iota // execute an attempt
	OrderPushBack                    // answer with a rejection: a retry is safe
	OrderAbort                       // answer with an error: a retry may not be safe
	OrderServed                      // forward a server's response
	OrderClientGone                  // stop, because the client has gone; sent by the frontend only, at most once
)

// Order is one command to the goroutine that serves an RPC.
type Order struct {
	Kind       OrderKind
	Attempt    *Attempt      // for OrderSend
	RetryAfter time.Duration // for OrderPushBack: how long the client is advised to wait before a retry
	Response   *Response     // for OrderServed
}

// Response is a server's response. It is forwarded to the client unchanged.
type Response struct {
	ContentType   string
	Body          []byte
	BodyStream    BodyStream // the rest of the body, which follows Body; nil: Body is the whole body
	ReservedBytes int        // number of bytes reserved in the process's memory budget until the response was forwarded
}

// BodyStream is the part of a response's body that had not been received when forwarding began. The receiver of the
// response has to close the stream.
type BodyStream interface {
	Read(to []byte) (int, error)
	Remaining() int64
	Close(complete bool)
}
