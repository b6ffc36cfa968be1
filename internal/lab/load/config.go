package load

import (
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
)

// Destination is where an attempt is sent.
type Destination struct {
	ID   int32 // of the node or the server; each has a connection pool of its own
	Node int32 // -1: directly to a server
	Via  int32 // which of several direct clients chose it
	Addr string
}

// Target chooses the destinations of attempts and is notified of their outcomes. It is called from many goroutines.
type Target interface {
	// Choose returns a destination for an attempt, and whether there is one. tried lists the IDs of the destinations
	// that the call's earlier attempts had.
	Choose(a *plan.Arrival, tried []int32) (Destination, bool)
	// Done is called once for each attempt that had a destination.
	Done(d Destination, end judge.Outcome)
	// Excused returns whether the run itself has killed or disabled a node since a moment.
	Excused(d Destination, since time.Duration) bool
}

// Method holds what a client knows of a method.
type Method struct {
	Name        string
	Idempotency judge.Idempotency
	Deadline    time.Duration
	Window      time.Duration // in which servers recognize a repeated idempotency key
	Host        string
}

// Clients configures the clients' retries.
type Clients struct {
	RetryShare      float64 // of the calls whose clients retry
	MaxRetries      int
	Backoff         time.Duration
	RetryAfterShare float64 // of the pauses that follow a response's Retry-After
	MarkRetries     bool    // send the header that tells a retry from a first attempt
	// ImmediateRetries is how often a direct client fails over to another server without a pause, in addition.
	ImmediateRetries int
}

// Config is the load of an experiment, apart from its plan.
type Config struct {
	Methods         []Method
	Tenants         []string
	Clients         Clients
	Lanes           int // threads that keep the schedule; 0: by the plan's rate
	Connections     int // the maximum; attempts wait while all are busy
	MaxWaiting      int // the maximum of waiting attempts; those beyond are not sent
	WarmConnections int // connections that are opened ahead to each of WarmTo
	WarmTo          []Destination
	Slack           time.Duration // that a client waits past its deadline, to see a late response
	Seed            uint64
	First           uint32 // number of the first call: runs against the same nodes must not repeat numbers
}

// Counts is the state of a load, for a line of progress.
type Counts struct{ Sent, OK, PushedBack, Failed, Open, Waiting, Connections int64 }
