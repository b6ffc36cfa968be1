package node

import (
	"fmt"
	"math"
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
)

// The core checks invariants on its own records of attempts, independently of the Balancer's decisions.
//
// Send checks each attempt, and recordAnswer checks each final answer, when the Balancer makes the decision. A decision
// that breaks a rule counts as a violation. Begin checks each attempt again immediately before its first byte is
// written, and refuses an attempt that would break a rule. An attempt can become invalid between the two checks, by a
// slow connect or by an update of its server. Begin refuses such an attempt, but it does not count as a violation.

// lateAnswerSlack is the time after an RPC's deadline during which an answer does not count as late yet. It allows for
// the resolution of timers and for short delays of the process.
const lateAnswerSlack = 150 * time.Millisecond

// mayHaveRun returns whether the server may have executed an attempt: Begin has allowed the attempt, and the attempt's
// result does not rule out that the server executed it.
func (a *Attempt) mayHaveRun() bool { return a.begun && !a.neverRan }

// firstPossibleRun returns the first attempt of an RPC that may have run. It ignores the attempt that is passed as
// except. It returns nil if no other attempt may have run.
func (r *RPC) firstPossibleRun(except *Attempt) *Attempt {
	for _, a := range r.attempts {
		if a != except && a.mayHaveRun() {
			return a
		}
	}
	return nil
}

// mayRepeat returns whether an attempt may begin now: either no other attempt of the RPC may have run, or running the
// request twice has no second effect. This can have changed since the Balancer decided to send the attempt. The
// deduplication window may have ended during a slow connect. Or an update of the list may have moved the server to
// another zone or cell, and so to another deduplication scope.
func (a *Attempt) mayRepeat(now time.Duration) bool {
	first := a.rpc.firstPossibleRun(a)
	if first == nil {
		return true
	}
	method := &a.rpc.method
	switch method.Idempotency {
	case decide.NonIdempotent:
		return false
	case decide.Deduplicated:
		inWindow := now < first.begunAt+duration(method.DedupWindow)
		return inWindow && sameDedupScope(method.DedupScope, a.Server, first.Server)
	default:
		return true
	}
}

// checkRepeat reports a violation if a new attempt of an RPC could have a second effect because an earlier attempt may
// have run. An earlier attempt that is still in flight counts as if it had run.
func (c *Core) checkRepeat(a *Attempt, now time.Duration) {
	method := &a.rpc.method
	for _, earlier := range a.rpc.attempts {
		switch {
		case earlier == a || earlier.neverRan:
		case method.Idempotency == decide.NonIdempotent:
			c.violation(telemetry.RepeatedUnproven, a, "an earlier attempt at server %s may have run or may still run",
				earlier.Server.id)
		case method.Idempotency == decide.Deduplicated && now >= earlier.orderedAt+duration(method.DedupWindow):
			c.violation(telemetry.RepeatedTooLate, a, "%v after the attempt at server %s, expected less than %v",
				now-earlier.orderedAt, earlier.Server.id, duration(method.DedupWindow))
		case method.Idempotency == decide.Deduplicated && !sameDedupScope(method.DedupScope, a.Server, earlier.Server):
			c.violation(telemetry.RepeatedUnproven, a,
				"an attempt at server %s, in another deduplication scope, may have run", earlier.Server.id)
		}
	}
}

// sameDedupScope returns whether two servers are in the same deduplication scope: each server drops duplicates of the
// requests that the other server has received.
func sameDedupScope(scope decide.DedupScope, a, b *Server) bool {
	switch scope {
	case decide.ScopeZone:
		return a.listed.Zone == b.listed.Zone
	case decide.ScopeCell:
		return a.listed.Zone == b.listed.Zone && a.listed.Cell == b.listed.Cell
	default:
		return true
	}
}

// checkSlowStart reports a violation if this node begins too many attempts at a server in slow start. The limit applies
// to the attempts of the last OverloadWindow. It is OverloadMultiple * rate * OverloadWindow, plus the margin that
// slowStartBudget adds. rate is the number of attempts per second that the server can take from this node, estimated
// from the rate of a warm server. The operators set this limit for all nodes together, so above it this node's attempts
// alone are too many.
func (c *Core) checkSlowStart(a *Attempt, now time.Duration) {
	s := a.Server
	rate, starting := c.balancer.SlowStartRate(s.decideServer)
	if !starting {
		s.slowStartAttempts = nil
		return
	}
	window := duration(c.settings.OverloadWindow)
	s.slowStartAttempts = append(s.slowStartAttempts, now)
	for now-s.slowStartAttempts[0] > window {
		s.slowStartAttempts = s.slowStartAttempts[1:]
	}
	budget := slowStartBudget(c.settings.OverloadMultiple * rate * c.settings.OverloadWindow)
	if begun := len(s.slowStartAttempts); float64(begun) > budget {
		c.violation(telemetry.SlowStartExceeded, a, "%d attempts begun in %v, expected at most %.1f",
			begun, window, budget)
	}
}

// slowStartBudget returns the largest number of attempts that may begin at a server in slow start. expected is the mean
// number of attempts. The margin above the mean allows for random variation. The constants in the formula are part of
// the operators' limit for servers in slow start.
func slowStartBudget(expected float64) float64 {
	const fewRequests = 30
	if expected < fewRequests {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}

// checkBegun reports a violation if an attempt's result shows that the attempt reached its server although Begin had
// not allowed the attempt.
func (c *Core) checkBegun(a *Attempt, res decide.Result) {
	switch res {
	case decide.OK, decide.Failed, decide.Rejected, decide.Reset:
		if !a.begun {
			c.violation(telemetry.SentAfterEnd, a, "the attempt ended with result %v, but was never begun", a.result)
		}
	}
}

// retryIsHarmless returns whether the RPC's client can retry at any time up to the deadline without a second effect.
func (r *RPC) retryIsHarmless() bool {
	first := r.firstPossibleRun(nil)
	switch {
	case first == nil || r.method.Idempotency == decide.Idempotent:
		return true
	case r.method.Idempotency == decide.Deduplicated && r.method.DedupScope == decide.ScopeAll:
		return r.Deadline <= first.begunAt+duration(r.method.DedupWindow)
	default:
		return false
	}
}

// checkPushback reports a violation if an RPC is pushed back although a retry could have a second effect.
func (c *Core) checkPushback(r *RPC) {
	if r.state != rpcOpen || r.retryIsHarmless() {
		return
	}
	c.recorder.Violation(telemetry.Violation{
		Rule:    telemetry.PushbackUnsafe,
		Request: r.requestID,
		Detail:  fmt.Sprintf("an attempt at server %s may have run", r.firstPossibleRun(nil).Server.id),
	})
}

// checkSecondAnswer reports a violation if the Balancer answers an RPC that was already answered.
func (c *Core) checkSecondAnswer(r *RPC) {
	if r.state == rpcAnswered {
		c.recorder.Violation(telemetry.Violation{Rule: telemetry.AnsweredTwice, Request: r.requestID})
	}
}

func (c *Core) violation(rule telemetry.Rule, a *Attempt, format string, args ...any) {
	c.recorder.Violation(telemetry.Violation{
		Rule:    rule,
		Request: a.rpc.requestID,
		Server:  a.Server.id,
		Detail:  fmt.Sprintf(format, args...),
	})
}
