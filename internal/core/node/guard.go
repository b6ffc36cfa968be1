package node

import (
	"fmt"
	"math"
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
)

// The invariants are checked on the core's own ledger of attempts, apart from the module whose decisions they bound: Begin is the one
// place through which each attempt goes right before its first byte, and lets none through that breaks a rule; answer and Done are those of
// each final answer. What was ordered against a rule is counted as a violation; what became unfit on its way, by a slow connect or news
// of its server, is only not begun.

// lateSlack is how long after its deadline an answer may be ordered before it counts as late: a timer's grain, and a process that is
// held up for a moment.
const lateSlack = 150 * time.Millisecond

// SetRecorder has events and violations recorded. It is called before anything is served.
func (c *Core) SetRecorder(r *telemetry.Recorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.telemetry = r
}

// endings names attempts' results.
var endings = map[decide.Result]telemetry.Reason{decide.OK: telemetry.Succeeded, decide.Failed: telemetry.Failed, decide.Rejected: telemetry.Rejected,
	decide.TimedOut: telemetry.TimedOut, decide.ConnectFailed: telemetry.NotConnected, decide.Reset: telemetry.Reset, decide.Canceled: telemetry.Canceled,
	decide.NotSent: telemetry.NotSent}

// causes names what a further attempt follows, by how the one before ended.
var causes = map[telemetry.Reason]telemetry.Reason{telemetry.Failed: telemetry.EarlierFailed, telemetry.Rejected: telemetry.EarlierRejected,
	telemetry.TimedOut: telemetry.EarlierTimedOut, telemetry.NotConnected: telemetry.EarlierNotConnected, telemetry.Reset: telemetry.EarlierReset,
	telemetry.Canceled: telemetry.EarlierCanceled, telemetry.NotSent: telemetry.EarlierNotSent}

// attemptCause is why another attempt of an RPC is ordered.
func (r *RPC) attemptCause() telemetry.Reason {
	if len(r.attempts) == 0 {
		return telemetry.FirstAttempt
	}
	if last := r.attempts[len(r.attempts)-1]; last.done {
		return causes[last.result]
	}
	return telemetry.EarlierLate
}

// mayHaveRun tells whether an attempt may have had its effect: it was begun, and no result proves that it did not.
func (a *Attempt) mayHaveRun() bool { return a.begun && !a.neverRan }

// firstRun is the first attempt of an RPC, but for one, that may have run; nil if there is none.
func (r *RPC) firstRun(but *Attempt) *Attempt {
	for _, p := range r.attempts {
		if p != but && p.mayHaveRun() {
			return p
		}
	}
	return nil
}

// mayRepeat tells whether an attempt may begin now, after those before it. A connect can take longer than what was left of the window in
// which repeats are dropped, and a server may have been listed in another group since the attempt was ordered.
func (c *Core) mayRepeat(p *Attempt, now time.Duration) bool {
	r := p.rpc
	first := r.firstRun(p)
	if first == nil {
		return true
	}
	switch r.method.Idempotency {
	case decide.NonIdempotent:
		return false
	case decide.Deduplicated:
		return now < first.begunAt+duration(r.method.DedupWindow) && sameGroup(r.method.DedupScope, p.Server, first.Server)
	default:
		return true
	}
}

// checkRepeat looks whether an attempt that is ordered now may follow those before it, those on their way included.
func (c *Core) checkRepeat(p *Attempt, now time.Duration) {
	r := p.rpc
	for _, o := range r.attempts {
		switch {
		case o == p || o.neverRan:
		case r.method.Idempotency == decide.NonIdempotent:
			c.violation(telemetry.RepeatedUnproven, p, "an attempt at %s may have run, or may yet", o.Server.id)
		case r.method.Idempotency == decide.Deduplicated && now >= o.sent+duration(r.method.DedupWindow):
			c.violation(telemetry.RepeatedTooLate, p, "%v after the attempt at %s", now-o.sent, o.Server.id)
		case r.method.Idempotency == decide.Deduplicated && !sameGroup(r.method.DedupScope, p.Server, o.Server):
			c.violation(telemetry.RepeatedUnproven, p, "%s is in another group, and may have run it", o.Server.id)
		}
	}
}

// sameGroup tells whether two servers drop repeats of each other's requests.
func sameGroup(scope decide.DedupScope, a, b *Server) bool {
	switch scope {
	case decide.ScopeZone:
		return a.last.Zone == b.last.Zone
	case decide.ScopeCell:
		return a.last.Zone == b.last.Zone && a.last.Cell == b.last.Cell
	default:
		return true
	}
}

// checkSlowStart counts what this node begins at a server in slow start against what the operators allow all nodes together, by what one
// warm server answers this node: past that its own part alone is too much.
func (c *Core) checkSlowStart(p *Attempt, now time.Duration) {
	s := p.Server
	rate, starting := c.balancer.SlowStartRate(s.obj)
	if !starting {
		s.starts = nil
		return
	}
	window := duration(c.settings.OverloadWindow)
	s.starts = append(s.starts, now)
	for now-s.starts[0] > window {
		s.starts = s.starts[1:]
	}
	if limit := startLimit(c.settings.OverloadMultiple * rate * c.settings.OverloadWindow); float64(len(s.starts)) > limit {
		c.violation(telemetry.StartedTooFast, p, "%d in %v, %.1f allowed", len(s.starts), window, limit)
	}
}

// startLimit is how many requests of mean work push a server over of which n are expected to do so: chance needs room.
func startLimit(n float64) float64 {
	const few = 30
	if n < few {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// checkEnd looks whether an attempt that something came of had been let through.
func (c *Core) checkEnd(p *Attempt, res decide.Result) {
	switch res {
	case decide.OK, decide.Failed, decide.Rejected, decide.Reset:
		if !p.begun {
			c.violation(telemetry.SentAfterEnd, p, "it ended with %v and was never let through", p.result)
		}
	}
}

// harmless tells whether an RPC may be asked again by its caller, for as long as its caller waits, with no second effect.
func (r *RPC) harmless() bool {
	first := r.firstRun(nil)
	switch {
	case first == nil || r.method.Idempotency == decide.Idempotent:
		return true
	case r.method.Idempotency == decide.Deduplicated && r.method.DedupScope == decide.ScopeAll:
		return r.Deadline <= first.begunAt+duration(r.method.DedupWindow)
	default:
		return false
	}
}

// checkPushback looks whether an RPC may be pushed back.
func (c *Core) checkPushback(r *RPC) {
	if r.ended || r.harmless() {
		return
	}
	c.telemetry.Violation(telemetry.Violation{Rule: telemetry.PushbackUnsafe, Request: r.request,
		Detail: fmt.Sprintf("an attempt at %s may have run", r.firstRun(nil).Server.id)})
}

// checkSecondAnswer looks whether an RPC that has ended had its answer.
func (c *Core) checkSecondAnswer(r *RPC) {
	if r.answered {
		c.telemetry.Violation(telemetry.Violation{Rule: telemetry.AnsweredTwice, Request: r.request})
	}
}

// answers notes that an RPC gets its final answer now.
func (c *Core) answers(r *RPC, why telemetry.Reason) {
	now := c.clock.Now()
	if late := now - r.Deadline; late > lateSlack && !r.obj.BodyPending {
		c.telemetry.Violation(telemetry.Violation{Rule: telemetry.AnsweredLate, Request: r.request, Detail: late.String()})
	}
	r.answered = true
	c.telemetry.Record(telemetry.Event{Kind: telemetry.RequestAnswered, Reason: why, Request: r.request, Duration: r.Deadline - now})
}

func (c *Core) violation(rule telemetry.Rule, p *Attempt, format string, args ...any) {
	c.telemetry.Violation(telemetry.Violation{Rule: rule, Request: p.rpc.request, Server: p.Server.id, Detail: fmt.Sprintf(format, args...)})
}

// recordState notes a change of a server's state.
func (c *Core) recordState(s *Server, e Endpoint, state decide.State) {
	why := telemetry.NoReason
	switch {
	case s.seen > 0 && e.StartedAt.After(s.last.StartedAt):
		why = telemetry.Restarted
		s.starts = nil
	case s.seen > 0 && s.state == state:
		return
	case state == decide.Ready:
		why = telemetry.BecameReady
	case state == decide.Draining:
		why = telemetry.BecameDraining
	case state == decide.Gone:
		why = telemetry.BecameGone
	}
	c.telemetry.Record(telemetry.Event{Kind: telemetry.ServerStateChanged, Reason: why, Server: e.ID})
}
