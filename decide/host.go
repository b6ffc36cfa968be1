package decide

// Host is the interface through which a Balancer acts. The calls take effect in the order in which they are made, each
// at the time that Now returns.
type Host interface {
	// Now returns the time in seconds from an arbitrary start. It is the instance's only clock.
	Now() float64
	// Send starts an attempt; its result is passed to Balancer.AttemptDone. The timeout is in seconds; with 0 the
	// attempt may last until the client's deadline.
	Send(a *Attempt, timeout float64)
	// Cancel cancels an attempt. Its result is still passed to Balancer.AttemptDone.
	Cancel(a *Attempt)
	// CloseIdleConnections closes the idle connections to a server.
	CloseIdleConnections(s *Server)
	// PushBack ends an RPC and tells the client that a retry is safe. The client is advised to wait for retryAfter
	// seconds before the retry.
	PushBack(r *RPC, retryAfter float64)
	// Abort ends an RPC without telling the client that a retry is safe.
	Abort(r *RPC)
	// StartTimer calls Balancer.TimerFired with the payload after the delay in seconds. A timer cannot be stopped. The
	// host may drop a timer whose payload is an RPC that has ended or an attempt whose result is known, since
	// TimerFired ignores such a timer.
	StartTimer(delay float64, payload any)
	// WatchEndpoints subscribes to the endpoint list. The host responds with Balancer.UpdateEndpoints or
	// Balancer.EndpointWatchFailed.
	WatchEndpoints()
}

// State is a server's state in the endpoint list.
type State int

// The states of a server.
const (
	Ready    State = iota // it may get attempts
	Draining              // it gets no new attempts
	Gone                  // it has left the endpoint list
)

// EndpointUpdate is one entry of a watch event.
type EndpointUpdate struct {
	Server    *Server
	State     State
	Zone      int
	Cell      int
	Weight    float64 // capacity of the server, relative to other servers
	StartedAt float64 // start of the server's process, in seconds on the clock of Host.Now; 0: long ago
}

// Result says how an attempt or a probe ended.
type Result int

// The results of an attempt.
const (
	OK            Result = iota // answered
	Failed                      // answered with an error or with a malformed response
	Rejected                    // rejected by the server before the attempt had any effect
	TimedOut                    // no answer within the time allowed for the attempt
	ConnectFailed               // no connection could be opened, so the attempt had no effect
	Reset                       // the connection closed after the attempt was sent
	Canceled                    // canceled with Host.Cancel
	NotSent                     // never started
)

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// LoadReport is the load that a server reports with an answer.
type LoadReport struct {
	// InFlight is the number of RPCs that the server had in flight, including the answered RPC and the RPCs of other
	// nodes. A negative value means unknown.
	InFlight float64
}
