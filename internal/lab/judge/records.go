package judge

import (
	"cmp"
	"fmt"
	"time"
)

// Outcome is how a client's attempt ended.
type Outcome uint8

// The outcomes of attempts.
const (
	OK           Outcome = iota
	PushedBack           // 429 or 503: a retry is harmless
	Aborted              // any other complete response
	Lost                 // no complete response, on a connection that had taken the request
	Excused              // no complete response, and the run itself had killed the node
	Crossed              // the node closed the idle connection while the request was on its way; sent once more
	NotConnected         // no connection could be opened
	ClientLeft           // the client gave up on purpose
	NotSent              // planned, and never written: the generator was at a limit or the run over
)

// outcomeNames are the names that results have.
var outcomeNames = [...]string{
	OK:           "ok",
	PushedBack:   "pushed back",
	Aborted:      "aborted",
	Lost:         "lost",
	Excused:      "excused",
	Crossed:      "crossed",
	NotConnected: "unreached",
	ClientLeft:   "left",
	NotSent:      "unsent",
}

// String is the outcome's name in results.
func (o Outcome) String() string { return outcomeNames[o] }

// ID identifies a client's attempt: its call, which attempt of that call it is, and whether a server made the call on
// behalf of another one. Calls made by servers are numbered apart.
type ID struct {
	Call  uint32
	Inner bool
	N     uint8
}

// String is the ID as the examples of violations show it.
func (i ID) String() string {
	if i.Inner {
		return fmt.Sprintf("inner call %d try %d", i.Call, i.N)
	}
	return fmt.Sprintf("call %d try %d", i.Call, i.N)
}

// compare orders IDs by call, then by attempt. Calls made by servers come last.
func (i ID) compare(other ID) int {
	return cmp.Or(i.compareCall(other), cmp.Compare(i.N, other.N))
}

// compareCall orders IDs by call alone.
func (i ID) compareCall(other ID) int {
	if i.Inner == other.Inner {
		return cmp.Compare(i.Call, other.Call)
	}
	if i.Inner {
		return 1
	}
	return -1
}

// ClientAttempt is one request as its client saw it. Times count from the run's start.
type ClientAttempt struct {
	ID
	Method, Tenant uint16
	Node           int32         // -1: directly to a server
	Planned        time.Duration // when the call was due; it is the same for all its attempts
	HandedAt       time.Duration // when the generator dispatched it; 0: never
	Sent           time.Duration // when it was written
	Deadline       time.Duration // the client's deadline
	Answered       time.Duration // the response's last byte, or when the attempt ended otherwise
	Outcome        Outcome
	Extra          uint8 // responses beyond the first
	Foreign        bool  // an OK that no server had made for this attempt
}

// shift moves the attempt's times to an earlier origin.
func (a *ClientAttempt) shift(by time.Duration) {
	a.Planned -= by
	a.Sent -= by
	a.Deadline -= by
	a.Answered -= by
	if a.HandedAt > 0 {
		a.HandedAt -= by
	}
}

// ServerRequest is one request as a server saw it. Times count from the run's start.
type ServerRequest struct {
	ID
	Server     int32
	First      time.Duration // its first byte
	Start, End time.Duration // of the work done for it; equal if none was
	Ran        bool          // from outside it may have had its effect
	Effect     bool          // it had its effect
	Until      time.Duration // the client's deadline as the request states it; 0: not stated
}

// shift moves the request's times to an earlier origin.
func (r *ServerRequest) shift(by time.Duration) {
	r.First -= by
	r.Start -= by
	r.End -= by
	if r.Until > 0 {
		r.Until -= by
	}
}

// State is the state of a server that discovery publishes.
type State uint8

// The states that discovery publishes.
const (
	Ready State = iota
	Draining
	Gone
)

// Notification is a server's state as discovery wrote it to a node.
type Notification struct {
	Node, Server int32
	State        State
	At           time.Duration
}

// Overload is the failure of a server in slow start under the requests that reached it in the window before.
type Overload struct {
	Server         int32
	Up, At, Window time.Duration
}

// StalledClient is a client that stopped in the middle of a request and stayed until it had an error response or its
// connection was closed.
type StalledClient struct {
	Node           int32
	Stopped, Ended time.Duration
}

// Ban is a server that an operator has taken out of service at one node, from the node's confirmation until the ban is
// lifted.
type Ban struct {
	Node, Server int32
	From, To     time.Duration
}
