package fcgi

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, with the fields that they set beside the request's ID.
const (
	EventNone EventKind = iota

	// Of an Application:
	EventParams   // the request's params are complete: Params, Keep
	EventBody     // a part of its body: Data
	EventBodyEnd  // the body is complete
	EventAborted  // the gateway has aborted the request
	EventRejected // the request is malformed: Reason, Keep. What still comes of it is ignored

	// Of a Gateway:
	EventStdout       // a part of the response: Data
	EventStderr       // a part of the application's messages: Data
	EventEnd          // the request has ended: AppStatus, Status
	EventCapabilities // the application's variables: Params

	// EventReply is a record to be written that concerns no request in progress: Data
	EventReply
)

// Event is what a piece of a record means.
type Event struct {
	Kind      EventKind
	ID        uint16
	KeepConn  bool   // the connection is used for more requests
	Params    []byte // a valid list of names and values
	Data      []byte // valid until the next piece is read
	AppStatus uint32
	Status    Status
	Reason    string
}
