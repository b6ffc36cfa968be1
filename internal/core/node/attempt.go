package node

import (
	"math"
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// Canceler is what carries an attempt out. Cancel makes whatever waits there return at once, and does not block.
type Canceler interface{ Cancel() }

// attemptState says whether an attempt is still wanted. Whether it was begun is a fact apart from that: it counts
// beyond the attempt's end.
type attemptState uint8

const (
	attemptOrdered  attemptState = iota // to be begun, or on its way
	attemptExpired                      // its deadline has passed: its exchange was canceled
	attemptCanceled                     // the Balancer gave it up: its exchange was canceled
	attemptDone                         // its result is known
)

// Attempt is one attempt of an RPC at a server.
type Attempt struct {
	Server     *Server
	LoadReport string // set by its exchange: the server's report in its response
	// FreshConnection: idle connections to the server may be dead without having been closed. They are not used, and
	// a new one is opened.
	FreshConnection bool
	Deadline        time.Duration

	// Under the core's mutex.
	decideAttempt *decide.Attempt
	rpc           *RPC
	canceler      Canceler      // nil: not bound yet
	index         int           // in Core.attempts
	orderedAt     time.Duration // or when the request's body was received
	begunAt       time.Duration
	timer         timingwheel.Timer
	deadlineTimer timingwheel.Timer
	state         attemptState
	begun         bool             // its first byte was let through
	neverRan      bool             // its result proves so
	result        telemetry.Reason // once it is done
}

// Send orders an attempt. It lasts until its timeout or, with none, until its RPC's deadline. It is part of
// decide.Host.
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
	if r.decideRPC.BodyPending {
		// Its time has not begun. How long the body may take is bounded by whoever reads it.
		a.Deadline = math.MaxInt64
	} else {
		c.timers.Add(&a.deadlineTimer, a.Deadline)
	}
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

// Cancel gives an attempt up: its exchange closes its connection. It is part of decide.Host.
func (c *Core) Cancel(decided *decide.Attempt) {
	a := decided.HostData.(*Attempt)
	if a.state == attemptDone || a.state == attemptCanceled {
		return
	}
	a.state = attemptCanceled
	a.cancelExchange()
}

// cancelExchange cancels what carries an attempt out, if that is known yet.
func (a *Attempt) cancelExchange() {
	if a.canceler != nil {
		a.canceler.Cancel()
	}
}

// wanted returns whether an attempt has to be carried out still.
func (c *Core) wanted(a *Attempt) bool {
	return !c.closed && a.state == attemptOrdered && a.rpc.state == rpcOpen
}

// Bind sets what carries an attempt out, before it connects. It returns false if the attempt is not wanted any more.
func (c *Core) Bind(a *Attempt, by Canceler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.canceler = by
	return c.wanted(a)
}

// Begin is called right before the first byte of an attempt is written, and returns whether it may be. Since the
// attempt was ordered its RPC may have ended, and its server may drain: a connect can take longer than a drain's grace
// time.
func (c *Core) Begin(a *Attempt, by Canceler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.canceler = by
	now := c.clock.Now()
	if !c.wanted(a) || a.Server.state != decide.Ready || now >= a.Deadline || !a.mayRepeat(now) {
		return false
	}
	c.checkSlowStart(a, now)
	a.begun, a.begunAt = true, now
	return true
}

// TimeLeft is how long an attempt may still last.
func (c *Core) TimeLeft(a *Attempt) time.Duration { return a.Deadline - c.clock.Now() }

// AttemptDone takes an attempt's result, and the server's response if that is OK. It is called once for each attempt;
// from then on its canceler is not called. It returns whether the response is forwarded to the client.
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
	c.checkEnd(a, res)
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
	took := seconds(c.clock.Now() - a.orderedAt)
	c.balancer.AttemptDone(a.decideAttempt, res, r.state != rpcOpen, took, c.loadReport(a))
	c.releaseSlots(r)
	c.arm()
	return served
}

// effectiveResult is an attempt's result where the exchange does not know that it was canceled, or why.
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

// removeAttempt takes an attempt that is done out of the ledger.
func (c *Core) removeAttempt(a *Attempt) {
	c.timers.Remove(&a.timer)
	c.timers.Remove(&a.deadlineTimer)
	last := len(c.attempts) - 1
	c.attempts[a.index] = c.attempts[last]
	c.attempts[a.index].index = a.index
	c.attempts[last] = nil
	c.attempts = c.attempts[:last]
	a.Server.attemptsInFlight--
	c.forget(a.Server)
	a.rpc.attemptsInFlight--
}

// loadReport decodes a server's report. A malformed one counts as none: it is no reason to fail the response.
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
