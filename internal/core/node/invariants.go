package node

import (
	"fmt"
	"math"
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
)

// The invariants are checked on the core's own ledger of attempts, apart from the decisions that they bound. Begin is
// the one place through which each attempt goes right before its first byte, and lets none through that breaks a rule;
// each final answer goes through recordAnswer. What was ordered against a rule counts as a violation; an attempt that
// became unfit on its way, by a slow connect or an update of its server, is only not begun.

// lateAnswerSlack is how long after its deadline an answer may be ordered before it counts as late: the resolution of
// timers, and a process that is held up for a moment.
const lateAnswerSlack = 150 * time.Millisecond

// mayHaveRun returns whether an attempt may have had its effect: it was begun, and no result proves that it did not.
func (a *Attempt) mayHaveRun() bool { return a.begun && !a.neverRan }

// firstPossibleRun is the first attempt of an RPC that may have run, apart from one; nil if there is none.
func (r *RPC) firstPossibleRun(except *Attempt) *Attempt {
	for _, a := range r.attempts {
		if a != except && a.mayHaveRun() {
			return a
		}
	}
	return nil
}

// mayRepeat returns whether an attempt may begin now, after those before it. Its connect may have taken longer than
// what was left of the deduplication window, and its server may be listed in another group since it was ordered.
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
		return inWindow && sameGroup(method.DedupScope, a.Server, first.Server)
	default:
		return true
	}
}

// checkRepeat checks that an attempt that is ordered now may follow those before it, those on their way included.
func (c *Core) checkRepeat(a *Attempt, now time.Duration) {
	method := &a.rpc.method
	for _, earlier := range a.rpc.attempts {
		switch {
		case earlier == a || earlier.neverRan:
		case method.Idempotency == decide.NonIdempotent:
			c.violation(telemetry.RepeatedUnproven, a, "an attempt at %s may have run, or may yet", earlier.Server.id)
		case method.Idempotency == decide.Deduplicated && now >= earlier.orderedAt+duration(method.DedupWindow):
			c.violation(telemetry.RepeatedTooLate, a, "%v after the attempt at %s",
				now-earlier.orderedAt, earlier.Server.id)
		case method.Idempotency == decide.Deduplicated && !sameGroup(method.DedupScope, a.Server, earlier.Server):
			c.violation(telemetry.RepeatedUnproven, a, "%s is in another group, and may have run it", earlier.Server.id)
		}
	}
}

// sameGroup returns whether two servers drop repeats of each other's requests.
func sameGroup(scope decide.DedupScope, a, b *Server) bool {
	switch scope {
	case decide.ScopeZone:
		return a.listed.Zone == b.listed.Zone
	case decide.ScopeCell:
		return a.listed.Zone == b.listed.Zone && a.listed.Cell == b.listed.Cell
	default:
		return true
	}
}

// checkSlowStart checks what this node begins at a server in slow start against the budget that the operators give all
// nodes together, by what one warm server answers this node: past that, this node's part alone is too much.
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
		c.violation(telemetry.SlowStartExceeded, a, "%d in %v, %.1f allowed", begun, window, budget)
	}
}

// slowStartBudget is how many requests may begin at a server in slow start where the mean is expected requests: chance
// needs room. The numbers are the operators' (budget of a server in slow start).
func slowStartBudget(expected float64) float64 {
	const few = 30
	if expected < few {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}

// checkEnd checks that an attempt that reached its server had been let through.
func (c *Core) checkEnd(a *Attempt, res decide.Result) {
	switch res {
	case decide.OK, decide.Failed, decide.Rejected, decide.Reset:
		if !a.begun {
			c.violation(telemetry.SentAfterEnd, a, "it ended with %v and was never let through", a.result)
		}
	}
}

// retryIsHarmless returns whether an RPC's client may retry it, for as long as it waits, without a second effect.
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

// checkPushback checks that an RPC may be answered with the promise that a retry is harmless.
func (c *Core) checkPushback(r *RPC) {
	if r.state != rpcOpen || r.retryIsHarmless() {
		return
	}
	c.recorder.Violation(telemetry.Violation{
		Rule:    telemetry.PushbackUnsafe,
		Request: r.requestID,
		Detail:  fmt.Sprintf("an attempt at %s may have run", r.firstPossibleRun(nil).Server.id),
	})
}

// checkSecondAnswer checks that an RPC that has ended had no answer, where one is ordered.
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
