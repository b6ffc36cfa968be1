package decide

// Host is what a Balancer acts through. All calls take effect at Now, in the order made.
type Host interface {
	// Now is the instance's only clock, in seconds from an arbitrary start.
	Now() float64
	// Send starts an attempt; its result comes back through Balancer.AttemptDone. A timeout of 0 lasts until the
	// client's deadline.
	Send(a *Attempt, timeout float64)
	// Cancel gives an attempt up. Its result still comes back through Balancer.AttemptDone.
	Cancel(a *Attempt)
	// CloseIdleConnections closes the connections to a server that carry nothing.
	CloseIdleConnections(s *Server)
	// PushBack ends an RPC with the promise that a retry is harmless. It advises to wait for so many seconds first.
	PushBack(r *RPC, retryAfter float64)
	// Abort ends an RPC and promises nothing.
	Abort(r *RPC)
	// StartTimer calls Balancer.TimerFired with the payload once the delay in seconds has passed. A timer cannot be
	// stopped; the host may leave out that of an RPC that has ended, or of an attempt whose result has come, since
	// TimerFired does nothing then.
	StartTimer(delay float64, payload any)
	// WatchEndpoints subscribes to the endpoint list. Balancer.UpdateEndpoints or Balancer.EndpointWatchFailed answers.
	WatchEndpoints()
}

// State is a server's state in the endpoint list.
type State int

// The states of a server.
const (
	Ready    State = iota // it may be sent to
	Draining              // it gets nothing new
	Gone                  // it has left the list
)

// EndpointUpdate is one entry of a watch event.
type EndpointUpdate struct {
	Server    *Server
	State     State
	Zone      int
	Cell      int
	Weight    float64 // its capacity beside that of others
	StartedAt float64 // seconds on Host.Now's clock; 0: long ago
}

// Result is how an attempt or a probe ended.
type Result int

// The results of an attempt.
const (
	OK            Result = iota // answered
	Failed                      // answered with an error, or with what cannot be read
	Rejected                    // rejected by the server before it had any effect
	TimedOut                    // not answered in the attempt's time
	ConnectFailed               // no connection, so it had no effect
	Reset                       // the connection broke after the attempt was sent
	Canceled                    // given up with Host.Cancel
	NotSent                     // never begun
)

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// LoadReport is what a server reports of its load with an answer.
type LoadReport struct {
	// InFlight is the number of RPCs that the server had in flight, the one answered and those of other nodes included;
	// negative if unknown.
	InFlight float64
}
