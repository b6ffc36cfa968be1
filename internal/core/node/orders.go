package node

import "time"

// OrderKind is the kind of an Order.
type OrderKind int

// The kinds of orders. All except OrderSend end the RPC.
const (
	OrderSend       OrderKind = iota // execute an attempt
	OrderPushBack                    // answer with a rejection: a retry is safe
	OrderAbort                       // answer with an error: a retry may not be safe
	OrderServed                      // forward a server's response
	OrderClientGone                  // stop: the client has gone; sent by the frontend, not by the core, at most once
)

// Order is one operation that the goroutine that serves an RPC has to execute.
type Order struct {
	Kind       OrderKind
	Attempt    *Attempt      // for OrderSend
	RetryAfter time.Duration // for OrderPushBack: the pause before a retry that the client is advised to make
	Response   *Response     // for OrderServed
}

// Response is a server's response, which is forwarded unchanged.
type Response struct {
	ContentType   string
	Body          []byte
	BodyStream    BodyStream // the rest of the body, after Body; nil: Body is complete
	ReservedBytes int        // reserved in the process's memory budget; released after the response was forwarded
}

// BodyStream is the part of a response's body that had not been received when forwarding began. The receiver of the
// response has to close it.
type BodyStream interface {
	Read(to []byte) (int, error)
	Remaining() int64
	Close(complete bool)
}
