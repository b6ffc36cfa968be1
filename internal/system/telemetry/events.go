// Package telemetry records what a node does with requests, connections and servers, and why: counters by kind and
// reason at all times, a log line for each event where tracing is on, and a log line for each broken invariant.
//
// It only records. The events are found by the packages that act, which call one Recorder; how the invariants are
// checked is theirs as well (package node has most of them).
package telemetry

import "time"

// Kind is what happened. Its texts are what operators and the lab's checks search the log for.
type Kind int

// The kinds of events.
const (
	RequestTaken           Kind = iota // a request was read and accepted
	RequestRejected                    // a request was answered by the node itself, without an attempt
	AttemptOrdered                     // the decisions sent a request to a server
	AttemptEnded                       // the result of an attempt is known
	RequestAnswered                    // the final answer was ordered
	ClientConnectionClosed             // the node closed a client's connection
	ServerConnectionClosed             // the node closed a connection to a server
	ServerStateChanged                 // a server's state changed, or it was restarted
	EndpointPollEnded                  // a poll of the endpoint list ended, or the watch that it had become
	ResponseStalled                    // a server's response has begun and does not go on; the node reads on
	kindCount
)

var kindNames = [kindCount]string{
	RequestTaken:           "request taken",
	RequestRejected:        "request refused",
	AttemptOrdered:         "attempt ordered",
	AttemptEnded:           "attempt ended",
	RequestAnswered:        "request answered",
	ClientConnectionClosed: "caller's connection closed",
	ServerConnectionClosed: "server's connection closed",
	ServerStateChanged:     "server's state",
	EndpointPollEnded:      "endpoint poll ended",
	ResponseStalled:        "response stalled",
}

func (k Kind) String() string { return kindNames[k] }

// Event is one thing that happened.
type Event struct {
	Kind     Kind
	Reason   Reason
	Request  string        // its ID; empty: there is none, or it is not known there
	Server   string        // its ID; empty: there is none
	Status   int           // of an answer
	Duration time.Duration // of an attempt; of a request's answer: what was left of its time
}
