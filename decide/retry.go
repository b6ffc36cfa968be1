package decide

// Retries: whether an RPC may have another attempt, where, and what it is told at its end. These keep the rule that no effect happens twice.

import "slices"

const (
	retryAfterShare = 0.1 // of the latency target: when a client pushed back may ask again
)

// sendOrGiveUp sends the RPC's next pick or, if there is nowhere to send it, ends it.
func (b *Balancer) sendOrGiveUp(r *RPC, now float64) {
	if (r.BodyPending || now < r.usefulUntil) && b.mayRetry(r, now) {
		if s := b.chooseServer(r, now); s != nil {
			b.send(r, s, now)
			return
		}
	}
	if r.inFlight == 0 {
		b.giveUp(r)
	}
}

// mayRetry guards the rule that no effect happens twice.
func (b *Balancer) mayRetry(r *RPC, now float64) bool {
	if r.inFlight > 0 && !b.hedging || len(r.attempts) >= r.rules.maxAttempts {
		return false
	}
	m := r.rules
	return r.firstMayHaveRun == nil || m.Idempotency == Idempotent || m.Idempotency == Deduplicated && now < r.firstMayHaveRun.sentAt+m.DedupWindow-deadlineMargin
}

// inDedupScope tells whether a server drops repeats of what first may have run.
func (m *methodRules) inDedupScope(s, first *Server) bool {
	if m.Idempotency == Idempotent || m.DedupScope == ScopeAll {
		return true
	}
	return s.zone == first.zone && (m.DedupScope == ScopeZone || s.cell == first.cell)
}

// markNeverRan finds the first pick that may have run, now that p is known not to have.
func (b *Balancer) markNeverRan(r *RPC, p *Attempt) {
	p.neverRan, r.firstMayHaveRun = true, nil
	if i := slices.IndexFunc(r.attempts, func(o *Attempt) bool { return !o.neverRan }); i >= 0 {
		r.firstMayHaveRun = r.attempts[i]
	}
}

// retryIsHarmless tells whether the RPC's client may ask again for as long as it waits, with no second effect: a deduplicated one that may have
// run only where all servers drop repeats until then.
func (r *RPC) retryIsHarmless() bool {
	m := r.rules
	switch {
	case r.firstMayHaveRun == nil || m.Idempotency == Idempotent:
		return true
	case m.Idempotency == Deduplicated && m.DedupScope == ScopeAll:
		return r.Deadline <= r.firstMayHaveRun.sentAt+m.DedupWindow
	default:
		return false
	}
}

// giveUp ends an RPC at once: with a pushback where retrying is harmless, else with an abort.
func (b *Balancer) giveUp(r *RPC) {
	if r.retryIsHarmless() {
		// Soon enough that the next try can still be in time; a later one would take room from RPCs that can.
		wait := retryAfterShare * r.rules.LatencyObjective
		if b.host.Now()-r.clockStart > wait {
			wait = b.maxRetryAfter
		}
		b.host.PushBack(r, min(wait, b.maxRetryAfter))
	} else {
		b.host.Abort(r)
	}
	b.close(r)
}
