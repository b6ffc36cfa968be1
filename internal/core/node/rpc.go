package node

import (
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

const (
	// finalOrders is how many orders an RPC may have beside its attempts: an answer, its client's end, and one to
	// spare.
	finalOrders = 3
	// maxBufferedAttempts is how many ordered attempts of an RPC may wait to be carried out. Whoever serves it takes
	// them one after another, so that the memory for all that the settings allow is not needed.
	maxBufferedAttempts = 61
)

// rpcState is how far an RPC is. It changes once.
type rpcState uint8

const (
	rpcOpen       rpcState = iota // waits for its answer
	rpcAnswered                   // its final answer was ordered
	rpcClientGone                 // its client left before
)

// RPC is one request that the node has accepted and has to answer.
type RPC struct {
	Orders   chan Order // buffers as many as the core may give: it never blocks on them
	Deadline time.Duration

	// Under the core's mutex.
	decideRPC        decide.RPC
	state            rpcState
	slotsReleased    bool
	requestID        string        // the client's
	method           decide.Method // as it was when the request arrived: the RPC keeps its rules
	attempts         []*Attempt    // all that were ordered
	attemptsInFlight int           // of these, not done
	timer            timingwheel.Timer
}

// Arrival is a request as a frontend has read it.
type Arrival struct {
	RequestID      string // the client's, for logs
	Method, Tenant int
	Deadline       time.Duration // by the core's clock: the client waits until then
	Retry          bool          // the client says that it is one
	// BodyPending: the rest of its body is forwarded to its server as it is received, and its time begins with
	// BodyReceived.
	BodyPending bool
	WorkHint    float64 // the client's hint of its cost, 0 for none; used where the settings say that hints are given
}

// Arrived accepts a request and returns its RPC, whose orders say what to do.
func (c *Core) Arrived(a Arrival) *RPC {
	r := &RPC{
		Deadline:  a.Deadline,
		requestID: a.RequestID,
		decideRPC: decide.RPC{
			Method:      a.Method,
			Tenant:      a.Tenant,
			Deadline:    balancerTime(a.Deadline),
			Retry:       a.Retry,
			BodyPending: a.BodyPending,
		},
	}
	r.decideRPC.HostData = r
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings.WorkHints {
		r.decideRPC.WorkHint = a.WorkHint
	}
	r.method = c.balancer.Method(a.Method)
	r.Orders = make(chan Order, min(c.maxAttempts, maxBufferedAttempts)+finalOrders)
	c.openRPCs++
	c.acquireSlots(r)
	c.recorder.Record(telemetry.Event{
		Kind:     telemetry.RequestTaken,
		Request:  a.RequestID,
		Duration: a.Deadline - c.clock.Now(),
	})
	c.answerReason = telemetry.NotAdmitted
	c.balancer.Arrived(&r.decideRPC)
	c.releaseSlots(r)
	c.arm()
	return r
}

// BodyReceived notes that the last byte of a request was written by its attempt: the RPC's time begins, with so much
// of it left.
func (c *Core) BodyReceived(a *Attempt, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := a.rpc
	if r.state != rpcOpen || !r.decideRPC.BodyPending {
		return
	}
	now := c.clock.Now()
	r.Deadline = now + left
	r.decideRPC.Deadline = balancerTime(r.Deadline)
	a.Deadline, a.orderedAt = r.Deadline, now
	c.timers.Add(&a.deadlineTimer, a.Deadline)
	c.balancer.BodyReceived(&r.decideRPC)
	c.arm()
}

// ClientGone notes that an RPC's client does not wait any more.
func (c *Core) ClientGone(r *RPC) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.state != rpcOpen {
		return
	}
	c.endRPC(r, rpcClientGone)
	c.balancer.ClientGone(&r.decideRPC)
	c.releaseSlots(r)
}

// PushBack orders the answer that promises that a retry is harmless. It is part of decide.Host.
func (c *Core) PushBack(r *decide.RPC, wait float64) {
	c.checkPushback(r.HostData.(*RPC))
	c.answer(r, Order{Kind: OrderPushBack, RetryAfter: duration(wait)})
}

// Abort orders the answer that promises nothing. It is part of decide.Host.
func (c *Core) Abort(r *decide.RPC) { c.answer(r, Order{Kind: OrderAbort}) }

func (c *Core) answer(decided *decide.RPC, o Order) {
	r := decided.HostData.(*RPC)
	if r.state != rpcOpen {
		c.checkSecondAnswer(r)
		return
	}
	c.recordAnswer(r, c.answerReason)
	r.Orders <- o
	c.endRPC(r, rpcAnswered)
}

// endRPC ends an open RPC. Its attempts may go on.
func (c *Core) endRPC(r *RPC, state rpcState) {
	r.state = state
	c.openRPCs--
	c.timers.Remove(&r.timer)
}
