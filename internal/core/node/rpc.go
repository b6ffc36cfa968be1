package node

import (
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

const (
	// nonSendOrders is how many orders besides OrderSend an RPC's channel has room for: an answer, OrderClientGone, and
	// one spare.
	nonSendOrders = 3
	// maxBufferedAttempts is the largest number of OrderSend orders that an RPC's channel has room for. The goroutine
	// that serves the RPC receives them as they are ordered, so a buffer for all attempts that the settings allow
	// would waste memory.
	maxBufferedAttempts = 61
)

// rpcState is the state of an RPC. It changes once, from rpcOpen to one of the others.
type rpcState uint8

const (
	rpcOpen       rpcState = iota // no answer was ordered yet
	rpcAnswered                   // the final answer was ordered
	rpcClientGone                 // the client stopped waiting before an answer was ordered
)

// RPC is one request that the node has accepted and has to answer.
type RPC struct {
	Orders   chan Order    // buffered, so that the core never blocks on a send
	Deadline time.Duration // on the core's clock

	// The core's mutex guards the fields below.
	decideRPC        decide.RPC
	state            rpcState
	slotsReleased    bool
	requestID        string            // given by the client
	method           decide.Method     // settings at the arrival of the request; a reload does not change them
	attempts         []*Attempt        // all attempts that were ordered
	attemptsInFlight int               // number of attempts without a result yet
	timer            timingwheel.Timer // set by the Balancer through StartTimer
}

// Arrival describes a request that a frontend has received.
type Arrival struct {
	RequestID      string        // given by the client; used in telemetry
	Method, Tenant int           // indices in the settings
	Deadline       time.Duration // until when the client waits, on the core's clock
	Retry          bool          // the client has marked the request as a retry
	// BodyPending is set if the body is not complete yet: its rest is forwarded to the server as it is received. The
	// RPC has no deadline until BodyReceived sets one.
	BodyPending bool
	WorkHint    float64 // the client's hint of the request's cost, 0: none; ignored unless the settings enable hints
}

// Arrived registers a request and returns its RPC. The caller executes the orders that it receives from RPC.Orders.
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
	r.Orders = make(chan Order, min(c.maxAttempts, maxBufferedAttempts)+nonSendOrders)
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

// BodyReceived reports that an attempt has written the last byte of a request whose body was pending. It sets the RPC's
// deadline to the current time plus left.
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

// ClientGone reports that an RPC's client no longer waits for the answer.
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

// PushBack orders a rejection after which the client can safely retry. retryAfter is the pause that the client is
// advised to make first, in seconds. It is part of decide.Host.
func (c *Core) PushBack(r *decide.RPC, retryAfter float64) {
	c.checkPushback(r.HostData.(*RPC))
	c.answer(r, Order{Kind: OrderPushBack, RetryAfter: duration(retryAfter)})
}

// Abort orders an error answer, after which a retry may not be safe. It is part of decide.Host.
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

// endRPC ends an open RPC. Its attempts may still be in flight.
func (c *Core) endRPC(r *RPC, state rpcState) {
	r.state = state
	c.openRPCs--
	c.timers.Remove(&r.timer)
}
