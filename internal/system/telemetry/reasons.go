package telemetry

// Reason is why something happened. Each connection holds one, so it is small. Its texts are what operators and the
// lab's checks search the log for.
type Reason uint8

// The reasons. Most belong to one kind of event only.
const (
	NoReason Reason = iota

	// Of attempts that are ordered: the first one, or what became of the one before.

	FirstAttempt
	EarlierLate
	EarlierFailed
	EarlierRejected
	EarlierTimedOut
	EarlierNotConnected
	EarlierReset
	EarlierCanceled
	EarlierNotSent

	// Of attempts that have ended.

	Succeeded
	Failed
	Rejected
	TimedOut
	NotConnected
	Reset
	Canceled
	NotSent

	// Of answers and rejections.

	ServedByServer
	NotAdmitted      // the decisions rejected the request at once
	AttemptsFailed   // no further attempt was allowed or worth it
	DeadlineExceeded // the request's time was over
	Draining         // the node shuts down, or gives a quota back
	AtCapacity       // as many requests are in flight as may be
	QueueTimeout     // it waited too long for capacity
	QuotaExhausted   // of its service or tenant
	DuplicateID      // a request of that ID is open, or ended a short time ago
	Malformed        // the request can't be read
	Unroutable       // no such service, method or tenant
	ReadinessProbe   // the request was for the node itself

	// Of connections that are closed.

	PeerClosed        // by the other side, first
	LastResponse      // the response said that it ends the connection
	WriteFailed       // a response or a request could not be written
	RequestTimeout    // a request was not received in time
	IdleTimeout       // nothing was received for too long
	Evicted           // its descriptor was needed
	NotWatched        // the poller could not watch it
	HandedOver        // to a successor
	ForcedShutdown    // the process ends
	StaleConnection   // found closed, or with bytes that belong to no request
	ServerUnavailable // its server drains, is gone or has another address
	NotReusable       // behind a response or an attempt that leaves its state unknown
	PoolClosed        // its service was removed

	// Of servers' states.

	BecameReady
	BecameDraining
	BecameGone
	Restarted

	// Of polls of the endpoint list.

	PollNotSent    // this machine lacked a resource for it
	PollFailed     // discovery could not be reached, or the connection broke before a response
	PollRejected   // discovery answered with another status than 200
	PollUnanswered // discovery did not answer in time
	PollBrokenOff  // the response ended before its first message was complete
	PollMalformed  // the response, or a message in it, can't be used
	WatchSilent    // nothing was received on the watch for too long
	WatchEnded     // the watch ended after a message

	reasonCount
)

var reasonNames = [reasonCount]string{
	FirstAttempt:        "first attempt",
	EarlierLate:         "the earlier one is late",
	EarlierFailed:       "the earlier one failed",
	EarlierRejected:     "the earlier one was turned away",
	EarlierTimedOut:     "the earlier one timed out",
	EarlierNotConnected: "the earlier one did not connect",
	EarlierReset:        "the earlier one was reset",
	EarlierCanceled:     "the earlier one was cancelled",
	EarlierNotSent:      "the earlier one was not sent",

	Succeeded:    "succeeded",
	Failed:       "failed",
	Rejected:     "turned away",
	TimedOut:     "timed out",
	NotConnected: "did not connect",
	Reset:        "reset",
	Canceled:     "cancelled",
	NotSent:      "not sent",

	ServedByServer:   "served",
	NotAdmitted:      "not admitted",
	AttemptsFailed:   "attempts failed",
	DeadlineExceeded: "time up",
	Draining:         "draining",
	AtCapacity:       "full",
	QueueTimeout:     "waited too long",
	QuotaExhausted:   "share spent",
	DuplicateID:      "known id",
	Malformed:        "malformed",
	Unroutable:       "unroutable",
	ReadinessProbe:   "readiness",

	PeerClosed:        "peer closed",
	LastResponse:      "answer was the last",
	WriteFailed:       "write failed",
	RequestTimeout:    "request timeout",
	IdleTimeout:       "idle timeout",
	Evicted:           "gave way",
	NotWatched:        "not watched",
	HandedOver:        "handed over",
	ForcedShutdown:    "forced",
	StaleConnection:   "stale",
	ServerUnavailable: "server left",
	NotReusable:       "not reusable",
	PoolClosed:        "pool closed",

	BecameReady:    "ready",
	BecameDraining: "draining",
	BecameGone:     "gone",
	Restarted:      "restarted",

	PollNotSent:    "not sent",
	PollFailed:     "failed",
	PollRejected:   "rejected",
	PollUnanswered: "unanswered",
	PollBrokenOff:  "broken off",
	PollMalformed:  "malformed",
	WatchSilent:    "silent",
	WatchEnded:     "watch ended",
}

func (r Reason) String() string { return reasonNames[r] }
