package decide

import "slices"

// retryAfterShare is the wait that a pushback advises, as a fraction of the latency objective. The wait is short enough
// that the retry can be answered in time. A later retry would be answered too late, and would take capacity from RPCs
// that can be answered in time.
const retryAfterShare = 0.1

// sendOrGiveUp sends the RPC's next attempt. If no attempt can be sent and none is in flight, it ends the RPC.
func (b *Balancer) sendOrGiveUp(r *RPC, now float64) {
	latest := r.usefulUntil
	if r.BodyPending {
		latest = r.Deadline - deadlineMargin
	}
	if now < latest && b.mayRetry(r, now) {
		if s := b.chooseServer(r, now); s != nil {
			b.send(r, s, now)
			return
		}
	}
	if r.inFlight == 0 {
		b.giveUp(r)
	}
}

// mayRetry reports whether the RPC may have one more attempt, as a retry or as a hedge. Once an attempt may have run, a
// further attempt is allowed only if the method's idempotency ensures that no effect happens twice.
func (b *Balancer) mayRetry(r *RPC, now float64) bool {
	if r.inFlight > 0 && !b.hedging {
		return false
	}
	return b.mayAttemptAgain(r, now)
}

// mayAttemptAgain reports whether the RPC may have one more attempt once no other one is in flight.
func (b *Balancer) mayAttemptAgain(r *RPC, now float64) bool {
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

// mayRunAt reports whether an attempt can be sent to the server s without causing a second effect: either no earlier
// attempt can have run, or s is in the dedup scope of the first attempt that may have run.
func (r *RPC) mayRunAt(s *Server) bool {
	return r.firstMayHaveRun == nil || r.rules.inDedupScope(s, r.firstMayHaveRun.Server)
}

// inDedupScope reports whether an RPC of the method can be sent to the server s without causing a second effect. The
// parameter first is the server at which the RPC may have run. For an idempotent method the result is always true.
func (m *methodRules) inDedupScope(s, first *Server) bool {
	if m.Idempotency == Idempotent || m.DedupScope == ScopeAll {
		return true
	}
	if s.zone != first.zone {
		return false
	}
	return m.DedupScope == ScopeZone || s.cell == first.cell
}

// markNeverRan records that an attempt had no effect, and sets firstMayHaveRun to the first attempt that may have had
// an effect.
func (r *RPC) markNeverRan(a *Attempt) {
	a.neverRan = true
	r.firstMayHaveRun = nil
	first := slices.IndexFunc(r.attempts, func(o *Attempt) bool { return !o.neverRan })
	if first >= 0 {
		r.firstMayHaveRun = r.attempts[first]
	}
}

// hasAttempted reports whether the RPC has had an attempt at a server.
func (r *RPC) hasAttempted(s *Server) bool {
	return slices.ContainsFunc(r.attempts, func(a *Attempt) bool { return a.Server == s })
}

// hasInFlightAt reports whether the RPC has an attempt in flight at a server.
func (r *RPC) hasInFlightAt(s *Server) bool {
	return slices.ContainsFunc(r.attempts, func(a *Attempt) bool { return a.Server == s && a.inFlight })
}

// retryIsHarmless reports whether the client can retry the RPC at any time until the deadline without causing a second
// effect. If a deduplicated RPC may have run, all servers must drop duplicates of the RPC until the deadline.
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

// giveUp ends an RPC at once: with a pushback if a retry is harmless, otherwise with an abort.
func (b *Balancer) giveUp(r *RPC) {
	if r.retryIsHarmless() {
		b.host.PushBack(r, b.retryAfter(r))
	} else {
		b.host.Abort(r)
	}
	b.close(r)
}

// retryAfter returns the wait in seconds that a pushback advises: retryAfterShare * latency objective, at most
// maxRetryAfter. If the RPC has been open for longer than retryAfterShare * latency objective, retryAfter returns
// maxRetryAfter.
func (b *Balancer) retryAfter(r *RPC) float64 {
	wait := retryAfterShare * r.rules.LatencyObjective
	if b.host.Now()-r.clockStart > wait {
		return b.maxRetryAfter
	}
	return min(wait, b.maxRetryAfter)
}
