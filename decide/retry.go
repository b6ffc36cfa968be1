package decide

import "slices"

// retryAfterShare is the part of the latency objective after which a client that was pushed back may retry: soon enough
// that the retry can still be in time, since a later one would take capacity from RPCs that can.
const retryAfterShare = 0.1

// sendOrGiveUp sends the RPC's next attempt or, where there is nowhere to send it, ends it.
func (b *Balancer) sendOrGiveUp(r *RPC, now float64) {
	inTime := r.BodyPending || now < r.usefulUntil
	if inTime && b.mayRetry(r, now) {
		if s := b.chooseServer(r, now); s != nil {
			b.send(r, s, now)
			return
		}
	}
	if r.inFlight == 0 {
		b.giveUp(r)
	}
}

// mayRetry reports whether the RPC may have one more attempt. It guards the rule that no effect happens twice.
func (b *Balancer) mayRetry(r *RPC, now float64) bool {
	if r.inFlight > 0 && !b.hedging {
		return false
	}
	if len(r.attempts) >= r.rules.maxAttempts {
		return false
	}
	if r.firstMayHaveRun == nil {
		return true
	}
	switch r.rules.Idempotency {
	case Idempotent:
		return true
	case Deduplicated:
		return now < r.firstMayHaveRun.sentAt+r.rules.DedupWindow-deadlineMargin
	default:
		return false
	}
}

// mayRunAt reports whether an attempt at a server has no second effect: it drops repeats of what may have run already.
func (r *RPC) mayRunAt(s *Server) bool {
	return r.firstMayHaveRun == nil || r.rules.inDedupScope(s, r.firstMayHaveRun.Server)
}

// inDedupScope reports whether a server drops repeats of what may have run at the first one.
func (m *methodRules) inDedupScope(s, first *Server) bool {
	if m.Idempotency == Idempotent || m.DedupScope == ScopeAll {
		return true
	}
	if s.zone != first.zone {
		return false
	}
	return m.DedupScope == ScopeZone || s.cell == first.cell
}

// markNeverRan notes that an attempt is known to have had no effect.
func (r *RPC) markNeverRan(a *Attempt) {
	a.neverRan = true
	r.firstMayHaveRun = nil
	first := slices.IndexFunc(r.attempts, func(o *Attempt) bool { return !o.neverRan })
	if first >= 0 {
		r.firstMayHaveRun = r.attempts[first]
	}
}

// hasAttempted reports whether a server has had an attempt of the RPC.
func (r *RPC) hasAttempted(s *Server) bool {
	return slices.ContainsFunc(r.attempts, func(a *Attempt) bool { return a.Server == s })
}

// hasInFlightAt reports whether a server has an attempt of the RPC in flight.
func (r *RPC) hasInFlightAt(s *Server) bool {
	return slices.ContainsFunc(r.attempts, func(a *Attempt) bool { return a.Server == s && a.inFlight })
}

// retryIsHarmless reports whether the RPC's client may retry until its deadline with no second effect. A deduplicated
// RPC that may have run needs servers that all drop repeats until then.
func (r *RPC) retryIsHarmless() bool {
	first := r.firstMayHaveRun
	if first == nil || r.rules.Idempotency == Idempotent {
		return true
	}
	if r.rules.Idempotency != Deduplicated || r.rules.DedupScope != ScopeAll {
		return false
	}
	return r.Deadline <= first.sentAt+r.rules.DedupWindow
}

// giveUp ends an RPC at once: with a pushback where a retry is harmless, else with an abort.
func (b *Balancer) giveUp(r *RPC) {
	if r.retryIsHarmless() {
		b.host.PushBack(r, b.retryAfter(r))
	} else {
		b.host.Abort(r)
	}
	b.close(r)
}

// retryAfter is when a client that is pushed back may retry, in seconds: soon, or at the latest time that is allowed if
// the RPC has been open for longer than that.
func (b *Balancer) retryAfter(r *RPC) float64 {
	wait := retryAfterShare * r.rules.LatencyObjective
	if b.host.Now()-r.clockStart > wait {
		return b.maxRetryAfter
	}
	return min(wait, b.maxRetryAfter)
}
