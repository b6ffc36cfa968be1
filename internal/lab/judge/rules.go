package judge

import "time"

// Idempotency states which repetitions of a method's request are allowed once the request may have run.
type Idempotency uint8

// The kinds of methods.
const (
	Idempotent    Idempotency = iota // may be repeated at any time
	Deduplicated                     // has an idempotency key and may be repeated within the method's window
	NonIdempotent                    // must not be repeated
)

// Method holds what the judge has to know of a method.
type Method struct {
	Name        string
	Idempotency Idempotency
	Target      time.Duration // the latency objective
	Deadline    time.Duration
	Window      time.Duration // in which servers recognize a repeated idempotency key
	Utility     float64       // of a call that ends ok within the target
	LateUtility float64       // the fraction of the utility that is left between target and deadline
}

// Rules holds what a run is judged by.
type Rules struct {
	Methods []Method
	Tenants []string
	Grace   time.Duration // in which a notified node may still send to a draining server
	Slack   time.Duration // that responses and the grace are given for delays at sockets
	Wire    time.Duration // that is given to what is seen at the other end of a connection
	Length  time.Duration // of the load
}

// The rules, by the names that results have.
const (
	NoAnswer              = "no answer"
	LateAnswer            = "answer after the deadline"
	SecondAnswer          = "second answer"
	UnsolicitedOK         = "ok that no server made"
	SentAfter             = "sent after the final answer"
	EffectTwice           = "effect twice"
	FalsePromise          = "pushed back though it ran"
	PastWindow            = "resent past the window"
	SentToDraining        = "sent to a drained server"
	OverloadedInSlowStart = "cold server pushed over"
	DeadlineExtended      = "told more time than its caller has"
	StalledTooLong        = "client that stopped in its request kept on"
)

// RuleNames lists the rules in the order of reports.
var RuleNames = []string{
	NoAnswer,
	LateAnswer,
	SecondAnswer,
	UnsolicitedOK,
	SentAfter,
	EffectTwice,
	FalsePromise,
	PastWindow,
	SentToDraining,
	OverloadedInSlowStart,
	DeadlineExtended,
	StalledTooLong,
}

const (
	// maxStalled is how long a client that stops in the middle of a request may wait for an error response or the
	// connection's end.
	maxStalled = 3 * time.Second
	// deadlineSlack is by how much the deadline that a server is given may lie after the client's.
	deadlineSlack = 150 * time.Millisecond
	// minNotifiedShare is the share of the requests behind an overload that nodes must have sent against better
	// knowledge for the overload to count as theirs.
	minNotifiedShare = 2.0 / 3
)
