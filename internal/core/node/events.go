package node

import (
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

// retryReasons maps the reason with which an attempt ended to the reason with which the next attempt is ordered.
var retryReasons = map[telemetry.Reason]telemetry.Reason{
	telemetry.Failed:       telemetry.EarlierFailed,
	telemetry.Rejected:     telemetry.EarlierRejected,
	telemetry.TimedOut:     telemetry.EarlierTimedOut,
	telemetry.NotConnected: telemetry.EarlierNotConnected,
	telemetry.Reset:        telemetry.EarlierReset,
	telemetry.Canceled:     telemetry.EarlierCanceled,
	telemetry.NotSent:      telemetry.EarlierNotSent,
}

// attemptReason returns the reason with which the next attempt of an RPC is ordered.
func (r *RPC) attemptReason() telemetry.Reason {
	if len(r.attempts) == 0 {
		return telemetry.FirstAttempt
	}
	if last := r.attempts[len(r.attempts)-1]; last.state == attemptDone {
		return retryReasons[last.result]
	}
	return telemetry.EarlierLate
}

// recordAnswer records that the final answer to an RPC is ordered now, and reports a violation if it is too late.
func (c *Core) recordAnswer(r *RPC, reason telemetry.Reason) {
	now := c.clock.Now()
	if late := now - r.Deadline; late > lateAnswerSlack && !r.decideRPC.BodyPending {
		c.recorder.Violation(telemetry.Violation{
			Rule:    telemetry.AnsweredLate,
			Request: r.requestID,
			Detail:  late.String() + " after the deadline",
		})
	}
	c.recorder.Record(telemetry.Event{
		Kind:     telemetry.RequestAnswered,
		Reason:   reason,
		Request:  r.requestID,
		Duration: r.Deadline - now,
	})
}

// recordStateChange records that a server changes to a state, or has restarted. e is the server's new list entry. The
// caller updates s only after the call, so s.listed and s.state are still the previous ones.
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
