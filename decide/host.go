// Package decide holds all decisions of a node, and nothing else: which server, whether again, what to turn away. Whoever carries RPCs (in the
// simulator internal/simwire, on sockets internal/core/node) makes one Balancer an instance with New and calls one method for each thing that
// happens; the Balancer acts at once through the Host that New was handed. Nothing here knows a clock, a socket or an id.
//
// This file is that interface. requests.go is the life of a request, and the place to start; each other file answers one question, which
// docs/design.md lists.
package decide

// Host is what a Balancer acts through. All calls take effect at Now, in the order made.
type Host interface {
	// Now is the instance's only clock, in seconds from an arbitrary start.
	Now() float64
	// Send starts a pick; its result comes back through Balancer.Done. A timeout of 0 lasts till the
	// client's deadline.
	Send(p *Attempt, timeout float64)
	Cancel(p *Attempt)
	// CloseIdleConnections closes the connections to a server that carry nothing.
	CloseIdleConnections(s *Server)
	// PushBack ends an RPC with the promise that retrying is harmless; wait advises when.
	PushBack(r *RPC, wait float64)
	// Abort ends an RPC and promises nothing.
	Abort(r *RPC)
	// StartTimer calls Balancer.Wake with what, once the delay has passed. It cannot be taken back; the host may leave out
	// the ring for an RPC that has ended or a pick whose result has come, since Wake does nothing then.
	StartTimer(delay float64, what any)
	// WatchEndpoints subscribes to changes of the server list; Balancer.Listed or Balancer.ListFailed answers.
	WatchEndpoints()
}

// Idempotency says what may happen to a method's RPC once it may have run.
type Idempotency int

const (
	Idempotent Idempotency = iota
	Deduplicated
	NonIdempotent
)

// DedupScope is the group of servers that drops repeats of a deduplicated RPC.
type DedupScope int

const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Method is one kind of RPC. Times are in seconds.
type Method struct {
	LatencyObjective float64
	Deadline         float64
	PriorityWeight   float64
	LateWeight       float64 // fraction of Utility for an ok after the target
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      float64
}

// Tenant is one customer; Quota is its share in RPCs a second over all nodes.
type Tenant struct {
	Quota float64
}

// Settings is what an instance is told at its start.
type Settings struct {
	Methods []Method
	Tenants []Tenant
	Zone    int
	Stage   int // tier this instance sends into; 0 is the one that clients reach

	Instances         int
	MaxAttempts       int
	MayCancel         bool
	Hedging           bool
	MaxRetryAfter     float64 // 0: clients are told nothing
	OverQuotaWeight   float64 // fraction of the utility left to traffic beyond a tenant's quota
	CrossZoneCost     float64 // price of a pick that crosses zones
	MustSubscribe     bool    // the server list has to be asked for
	MaxPollInterval   float64
	MaxFirstPollDelay float64 // the longest wait before the first ask; 0: no bound

	SlowStartFraction float64
	SlowStartDuration float64
	OverloadMultiple  float64
	OverloadWindow    float64
}

// State is a server's standing in the list.
type State int

const (
	Ready State = iota
	Draining
	Gone
)

// EndpointUpdate is one line of the server list.
type EndpointUpdate struct {
	Server    *Server
	State     State
	Zone      int
	Cell      int
	Weight    float64
	StartedAt float64 // 0: long ago
}

// Result is how a pick or a probe ended.
type Result int

const (
	OK Result = iota
	Failed
	Rejected
	TimedOut
	ConnectFailed
	Reset
	Canceled
	NotSent
)

// NeverRan tells the results that prove a pick had no effect.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// LoadReport is a server's report of itself: the RPCs that it held, this one and those of other nodes included; negative
// if it did not say.
type LoadReport struct {
	InFlight float64
}

// Server is one server of the tier below. One that has gone and has no pick out is forgotten.
type Server struct {
	HostData any // the host's own
	serverState
}

// RPC is one request that the instance has taken and owes an answer.
type RPC struct {
	Method      int
	Tenant      int
	Deadline    float64
	WorkHint    float64 // a rough hint of its cost in any unit; 0: none
	Retry       bool    // the client says that it has asked before
	BodyPending bool    // its body is still on its way, through its pick: its time begins with Balancer.Came
	HostData    any     // the host's own
	rpcState
}

// Attempt is one attempt of an RPC at a server.
type Attempt struct {
	RPC      *RPC
	Server   *Server
	HostData any // the host's own
	attemptState
}
