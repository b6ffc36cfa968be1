package node

import (
	"math"
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// Canceler is the exchange that executes an attempt. Cancel makes the exchange's blocking calls return at once. Cancel
// itself does not block.
type Canceler interface{ Cancel() }

// attemptState is the state of an attempt. Whether the attempt has begun is in Attempt.begun instead, because the core
// needs that information even after the attempt is done.
type attemptState uint8

const (
	attemptOrdered  attemptState = iota // waiting to begin, or in progress
	attemptExpired                      // the attempt's deadline has passed, so the core has canceled the exchange
	attemptCanceled                     // the Balancer has canceled the attempt, so the core has canceled the exchange
	attemptDone                         // the result is known
)

// Attempt is one attempt of an RPC at a server.
type Attempt struct {
	Server     *Server
	LoadReport string // the server's load report in the response, undecoded; set by the exchange
	// FreshConnection tells the exchange to close the idle connections to the server and to open a new connection. It
	// is set when the idle connections still look open but may be dead.
	FreshConnection bool
	Deadline        time.Duration // on the core's clock

	// The core's mutex guards the fields below.
	decideAttempt *decide.Attempt
	rpc           *RPC
	canceler      Canceler          // nil until Bind or Begin
	index         int               // index in Core.attempts
	orderedAt     time.Duration     // when Send created the attempt; BodyReceived sets it to the time of its own call
	begunAt       time.Duration     // when Begin allowed the attempt
	timer         timingwheel.Timer // set by the Balancer through StartTimer
	deadlineTimer timingwheel.Timer
	state         attemptState
	begun         bool             // Begin has allowed the first byte to be written
	neverRan      bool             // the result proves that the attempt had no effect
	result        telemetry.Reason // set when the attempt is done
}

// Send creates an attempt and tells the goroutine that serves the RPC to execute the attempt. The attempt's deadline is
// the RPC's deadline, or the current time plus timeout if that time is earlier. The timeout is in seconds; 0 means no
// timeout. Send is part of decide.Host.
func (c *Core) Send(decided *decide.Attempt, timeout float64) {
	r := decided.RPC.HostData.(*RPC)
	s := decided.Server.HostData.(*Server)
	now := c.clock.Now()
	a := &Attempt{
		Server:          s,
		FreshConnection: s.idleConnectionsStale,
		Deadline:        r.Deadline,
		decideAttempt:   decided,
		rpc:             r,
		index:           len(c.attempts),
		orderedAt:       now,
	}
	s.idleConnectionsStale = false
	if timeout != 0 {
		a.Deadline = min(a.Deadline, now+duration(timeout))
	}
	decided.HostData = a
	a.deadlineTimer.Payload = a
	c.timers.Add(&a.deadlineTimer, a.Deadline)
	c.recorder.Record(telemetry.Event{
		Kind:     telemetry.AttemptOrdered,
		Reason:   r.attemptReason(),
		Request:  r.requestID,
		Server:   s.id,
		Duration: a.Deadline - now,
	})
	c.checkRepeat(a, now)
	c.attempts = append(c.attempts, a)
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	s.attemptsInFlight++
	r.Orders <- Order{Kind: OrderSend, Attempt: a}
}

// Cancel cancels an attempt: the exchange that executes the attempt closes the connection. Cancel is part of
// decide.Host.
func (c *Core) Cancel(decided *decide.Attempt) {
	a := decided.HostData.(*Attempt)
	if a.state == attemptDone || a.state == attemptCanceled {
		return
	}
	a.state = attemptCanceled
	a.cancelExchange()
}

// cancelExchange cancels the exchange that executes an attempt. It does nothing if no exchange was bound yet.
func (a *Attempt) cancelExchange() {
	if a.canceler != nil {
		a.canceler.Cancel()
	}
}

// stillNeeded returns whether an attempt still has to be executed: the core is not closed, the attempt was not canceled
// and has not ended, and its RPC is open.
func (c *Core) stillNeeded(a *Attempt) bool {
	return !c.closed && a.state == attemptOrdered && a.rpc.state == rpcOpen
}

// Bind sets the exchange that executes an attempt. It is called before the exchange connects. It returns false if the
// attempt no longer has to be executed.
func (c *Core) Bind(a *Attempt, canceler Canceler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.canceler = canceler
	return c.stillNeeded(a)
}

// Begin returns whether the first byte of an attempt may be written. It is called immediately before the write, because
// the decision to send the attempt may be outdated by then: the RPC may have ended, or the server may have begun to
// drain. A connect can take longer than the grace time of a drain.
func (c *Core) Begin(a *Attempt, canceler Canceler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.canceler = canceler
	now := c.clock.Now()
	if !c.stillNeeded(a) || a.Server.state != decide.Ready || now >= a.Deadline || !a.mayRepeat(now) {
		return false
	}
	c.checkSlowStart(a, now)
	a.begun, a.begunAt = true, now
	if a.rpc.decideRPC.BodyPending {
		// From now on the exchange knows how much of the client's time is left, until it calls BodyReceived.
		a.Deadline = math.MaxInt64
		c.timers.Remove(&a.deadlineTimer)
	}
	return true
}

// TimeLeft returns the time from now to an attempt's deadline.
func (c *Core) TimeLeft(a *Attempt) time.Duration { return a.Deadline - c.clock.Now() }

// AttemptDone reports an attempt's result, and the server's response if the result is OK. It is called once for each
// attempt. After this call, the core no longer calls the attempt's Canceler. AttemptDone returns whether the response
// is forwarded to the client.
func (c *Core) AttemptDone(a *Attempt, res decide.Result, response *Response) (served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.state == attemptDone {
		return false
	}
	res = a.effectiveResult(res)
	a.state = attemptDone
	a.neverRan, a.result = res.NeverRan(), resultReasons[res]
	c.removeAttempt(a)
	c.checkBegun(a, res)
	r := a.rpc
	c.recorder.Record(telemetry.Event{
		Kind:     telemetry.AttemptEnded,
		Reason:   a.result,
		Request:  r.requestID,
		Server:   a.Server.id,
		Duration: c.clock.Now() - a.orderedAt,
	})
	if res == decide.OK && r.state == rpcOpen {
		r.Orders <- Order{Kind: OrderServed, Response: response}
		c.recordAnswer(r, telemetry.ServedByServer)
		c.endRPC(r, rpcAnswered)
		served = true
	}
	c.answerReason = telemetry.AttemptsFailed
	elapsed := seconds(c.clock.Now() - a.orderedAt)
	c.balancer.AttemptDone(a.decideAttempt, res, r.state != rpcOpen, elapsed, c.loadReport(a))
	c.releaseSlots(r)
	c.arm()
	return served
}

// effectiveResult corrects the result that an exchange reports for an attempt. If the core has canceled the exchange,
// the exchange may not know that it was canceled, or may not know the reason.
func (a *Attempt) effectiveResult(res decide.Result) decide.Result {
	switch {
	case res == decide.OK || res == decide.Rejected || res == decide.Failed:
		return res // the server has answered
	case a.state == attemptCanceled:
		return decide.Canceled
	case a.state == attemptExpired && res == decide.Reset:
		return decide.TimedOut
	}
	return res
}

// removeAttempt removes an attempt from Core.attempts after its result has become known. It also stops the attempt's
// timers.
func (c *Core) removeAttempt(a *Attempt) {
	c.timers.Remove(&a.timer)
	c.timers.Remove(&a.deadlineTimer)
	last := len(c.attempts) - 1
	c.attempts[a.index] = c.attempts[last]
	c.attempts[a.index].index = a.index
	c.attempts[last] = nil
	c.attempts = c.attempts[:last]
	a.Server.attemptsInFlight--
	c.removeIfUnused(a.Server)
	a.rpc.attemptsInFlight--
}

// loadReport decodes the load report that an attempt's server has sent with its response. It returns nil if the server
// has sent none, or if the settings disable load reports. It also returns nil for a malformed report, so that a
// malformed report does not make a valid response fail.
func (c *Core) loadReport(a *Attempt) *decide.LoadReport {
	if !c.settings.LoadReports || a.LoadReport == "" {
		return nil
	}
	report, err := c.settings.ParseLoadReport(a.LoadReport)
	if err != nil {
		return nil
	}
	return report
}
