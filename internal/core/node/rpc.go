package node

import (
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

const (
	// nonSendOrders is the number of orders of other kinds than OrderSend for which an RPC's channel has room: an
	// answer, an OrderClientGone, and one spare.
	nonSendOrders = 3
	// maxBufferedAttempts is the largest number of OrderSend orders for which an RPC's channel has room. The settings
	// may allow more attempts, but a larger buffer would waste memory: the goroutine that serves the RPC receives the
	// orders as they are sent.
	maxBufferedAttempts = 61
)

// rpcState is the state of an RPC. It changes once, from rpcOpen to one of the other states.
type rpcState uint8

const (
	rpcOpen       rpcState = iota // the RPC has no final answer yet, and the client still waits
	rpcAnswered                   // the final answer was sent to RPC.Orders
	rpcClientGone                 // the client stopped waiting before there was a final answer
)

// RPC is one request that the node has accepted and has to answer.
type RPC struct {
	Orders   chan Order    // buffered, so that the core does not block when it sends an order
	Deadline time.Duration // on the core's clock

	// The core's mutex guards the fields below.
	decideRPC        decide.RPC
	state            rpcState
	arrivedAt        time.Duration
	slotsReleased    bool
	requestID        string            // given by the client
	method           decide.Method     // the method's settings when the request arrived; a reload does not change them
	attempts         []*Attempt        // all attempts so far, in the order in which Send created them
	attemptsInFlight int               // number of attempts whose result is not known yet
	timer            timingwheel.Timer // set by the Balancer through StartTimer
}

// Arrival describes a request that a frontend has received.
type Arrival struct {
	RequestID      string        // given by the client; used in telemetry
	Method, Tenant int           // indices in the settings
	Deadline       time.Duration // time until which the client waits, on the core's clock
	Retry          bool          // the client has marked the request as a retry
	// BodyPending is set if the node has not received the whole body yet. The rest of the body is forwarded to the
	// server while it is received. The deadline of such an RPC is for the time until the server can be written to;
	// BodyReceived sets another one.
	BodyPending bool
	// WorkHint is the client's estimate of the request's cost. 0: none. It is ignored unless the settings enable work
	// hints.
	WorkHint float64
}

// Arrived registers a request and returns its RPC. The caller has to execute the orders that it receives from
// RPC.Orders.
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
	r.arrivedAt = c.clock.Now()
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
		Duration: a.Deadline - r.arrivedAt,
	})
	c.answerReason = telemetry.NotAdmitted
	c.balancer.Arrived(&r.decideRPC)
	c.releaseSlots(r)
	c.arm()
	return r
}

// BodyReceived reports that an attempt has written the last byte of a request whose body was pending. left is the time
// from now to the new deadline, which BodyReceived sets for the RPC and the attempt.
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

// PushBack answers an RPC with a rejection, after which the client can safely retry. The client is advised to wait
// retryAfter seconds before the retry. PushBack is part of decide.Host.
func (c *Core) PushBack(r *decide.RPC, retryAfter float64) {
	c.checkPushback(r.HostData.(*RPC))
	c.answer(r, Order{Kind: OrderPushBack, RetryAfter: duration(retryAfter)})
}

// Abort answers an RPC with an error, after which a retry may not be safe. Abort is part of decide.Host.
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

// endRPC ends an open RPC. The RPC's attempts may still be in flight.
func (c *Core) endRPC(r *RPC, state rpcState) {
	r.state = state
	c.openRPCs--
	c.timers.Remove(&r.timer)
}
