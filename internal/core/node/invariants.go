package node

import (
	"fmt"
	"math"
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
)

// The invariants are checked on the core's own records of attempts, independently of the Balancer's decisions. Begin is
// called for each attempt immediately before its first byte is written, and refuses an attempt that would break a rule.
// recordAnswer is called for each final answer. An order that breaks a rule counts as a violation. An attempt that
// became invalid only after it was ordered, by a slow connect or an update of its server, is refused by Begin and does
// not count as a violation.

// lateAnswerSlack is how long after its RPC's deadline an answer may be ordered before it counts as late. It allows for
// the resolution of timers and for short delays of the process.
const lateAnswerSlack = 150 * time.Millisecond

// mayHaveRun returns whether an attempt may have had an effect: it was begun, and its result does not prove that it
// never ran.
func (a *Attempt) mayHaveRun() bool { return a.begun && !a.neverRan }

// firstPossibleRun returns the first attempt of an RPC, other than except, that may have run; nil if there is none.
func (r *RPC) firstPossibleRun(except *Attempt) *Attempt {
	for _, a := range r.attempts {
		if a != except && a.mayHaveRun() {
			return a
		}
	}
	return nil
}

// mayRepeat returns whether an attempt may begin now, given the RPC's earlier attempts. Since the attempt was ordered,
// the deduplication window may have ended during a slow connect, or the list may have moved the attempt's server to
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

// checkRepeat reports a violation if an attempt is ordered now that must not follow the RPC's earlier attempts.
// Attempts that are still in flight count as if they had run.
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

// sameDedupScope returns whether two servers are in the same deduplication scope: each drops repeats of the other's
// requests.
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

// checkSlowStart reports a violation if this node begins too many attempts at a server in slow start. The limit follows
// from OverloadMultiple times the rate that the server can take of this node, over OverloadWindow; the rate is
// estimated from that of a warm server. The operators set this limit for all nodes together, so above it this node's
// attempts alone are too many.
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

// slowStartBudget returns how many requests may begin at a server in slow start if the expected number is the mean. The
// margin above the mean allows for random variation. The operators' limit for servers in slow start defines the
// numbers.
func slowStartBudget(expected float64) float64 {
	const fewRequests = 30
	if expected < fewRequests {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}

// checkBegun reports a violation if the result shows that an attempt reached its server although Begin had not allowed
// it.
func (c *Core) checkBegun(a *Attempt, res decide.Result) {
	switch res {
	case decide.OK, decide.Failed, decide.Rejected, decide.Reset:
		if !a.begun {
			c.violation(telemetry.SentAfterEnd, a, "the attempt ended with result %v, but was never begun", a.result)
		}
	}
}

// retryIsHarmless returns whether a retry by the RPC's client, at any time up to the deadline, can have no second
// effect.
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

// checkSecondAnswer reports a violation if an answer is ordered for an RPC that was answered already.
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
