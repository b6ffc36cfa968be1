package node

import "time"

// OrderKind is what the core orders for an RPC.
type OrderKind int

// The kinds of orders. All but OrderSend end their RPC.
const (
	OrderSend       OrderKind = iota // carry out an attempt
	OrderPushBack                    // reject it: retrying is harmless
	OrderAbort                       // fail it, with no promise
	OrderServed                      // forward a server's response
	OrderClientGone                  // not the core's: sent once at most, by what watches the client's connection
)

// Order is one thing to be done for an RPC, by whoever serves it.
type Order struct {
	Kind       OrderKind
	Attempt    *Attempt      // of OrderSend
	RetryAfter time.Duration // of OrderPushBack
	Response   *Response     // of OrderServed
}

// Response is a server's response, to be forwarded unchanged.
type Response struct {
	ContentType   string
	Body          []byte
	BodyStream    BodyStream // what of the body follows Body; nil: nothing
	ReservedBytes int        // of the process's memory budget: whoever has forwarded the response gives them back
}

// BodyStream is the part of a response's body that had not been received when forwarding began. Whoever gets the
// response has to close it.
type BodyStream interface {
	Read(to []byte) (int, error)
	Remaining() int64
	Close(complete bool)
}
