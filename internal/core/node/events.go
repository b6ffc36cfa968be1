package node

import (
	"fmt"
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
)

// resultReasons maps the results of attempts to the reasons in their telemetry events.
var resultReasons = map[decide.Result]telemetry.Reason{
	decide.OK:            telemetry.Succeeded,
	decide.Failed:        telemetry.Failed,
	decide.Rejected:      telemetry.Rejected,
	decide.TimedOut:      telemetry.TimedOut,
	decide.ConnectFailed: telemetry.NotConnected,
	decide.Reset:         telemetry.Reset,
	decide.Canceled:      telemetry.Canceled,
	decide.NotSent:       telemetry.NotSent,
}

// retryReasons maps the reason that is recorded for the end of an attempt to the reason that is recorded for the next
// attempt of the RPC.
var retryReasons = map[telemetry.Reason]telemetry.Reason{
	telemetry.Failed:       telemetry.EarlierFailed,
	telemetry.Rejected:     telemetry.EarlierRejected,
	telemetry.TimedOut:     telemetry.EarlierTimedOut,
	telemetry.NotConnected: telemetry.EarlierNotConnected,
	telemetry.Reset:        telemetry.EarlierReset,
	telemetry.Canceled:     telemetry.EarlierCanceled,
	telemetry.NotSent:      telemetry.EarlierNotSent,
}

// attemptReason returns the reason to record for the next attempt of an RPC.
func (r *RPC) attemptReason() telemetry.Reason {
	if len(r.attempts) == 0 {
		return telemetry.FirstAttempt
	}
	if last := r.attempts[len(r.attempts)-1]; last.state == attemptDone {
		return retryReasons[last.result]
	}
	return telemetry.EarlierLate
}

// recordAnswer records that an RPC gets its final answer now. It reports a violation if the answer is too late.
func (c *Core) recordAnswer(r *RPC, reason telemetry.Reason) {
	now := c.clock.Now()
	if late := now - r.Deadline; late > lateAnswerSlack && !r.decideRPC.BodyPending {
		c.recorder.Violation(telemetry.Violation{
			Rule:    telemetry.AnsweredLate,
			Request: r.requestID,
			Detail:  r.lateDetail(late, reason),
		})
	}
	c.recorder.Record(telemetry.Event{
		Kind:     telemetry.RequestAnswered,
		Reason:   reason,
		Request:  r.requestID,
		Duration: r.Deadline - now,
	})
}

// lateDetail returns what distinguishes the causes of a late answer: a request that arrived late, an attempt that ended
// late, and a timer that fired late.
func (r *RPC) lateDetail(late time.Duration, reason telemetry.Reason) string {
	return fmt.Sprintf("%v after the deadline, %v: arrived %v before the deadline, %d attempts, %d in flight",
		late, reason, r.Deadline-r.arrivedAt, len(r.attempts), r.attemptsInFlight)
}

// recordStateChange records that a server changes to another state or has restarted. e is the server's new list entry,
// and state is its new state. The caller updates s only after this call, so s.listed and s.state are still the previous
// entry and the previous state.
func (c *Core) recordStateChange(s *Server, e Endpoint, state decide.State) {
	reason := telemetry.NoReason
	wasListed := s.lastUpdate > 0
	switch {
	case wasListed && e.StartedAt.After(s.listed.StartedAt):
		reason = telemetry.Restarted
		s.slowStartAttempts = nil
	case wasListed && s.state == state:
		return
	case state == decide.Ready:
		reason = telemetry.BecameReady
	case state == decide.Draining:
		reason = telemetry.BecameDraining
	case state == decide.Gone:
		reason = telemetry.BecameGone
	}
	c.recorder.Record(telemetry.Event{Kind: telemetry.ServerStateChanged, Reason: reason, Server: e.ID})
}
