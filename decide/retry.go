package decide

// Retries: whether an RPC may have another attempt, where, and what it is told at its end. These keep the rule that no effect happens twice.

import "slices"

const (
	retryAfterShare = 0.1 // of the latency target: when a client pushed back may ask again
)

// pickOr sends the RPC's next pick or, if there is nowhere to send it, ends it.
func (b *Balancer) pickOr(r *RPC, now float64) {
	if (r.BodyPending || now < r.useful) && b.mayRepeat(r, now) {
		if s := b.choose(r, now); s != nil {
			b.send(r, s, now)
			return
		}
	}
	if r.out == 0 {
		b.giveUp(r)
	}
}

// mayRepeat guards the rule that no effect happens twice.
func (b *Balancer) mayRepeat(r *RPC, now float64) bool {
	if r.out > 0 && !b.copies || len(r.picks) >= r.rules.picks {
		return false
	}
	m := r.rules
	return r.ran == nil || m.Idempotency == Idempotent || m.Idempotency == Deduplicated && now < r.ran.sent+m.DedupWindow-margin
}

// within tells whether a server drops repeats of what first may have run.
func (r *rules) within(s, first *Server) bool {
	if r.Idempotency == Idempotent || r.DedupScope == ScopeAll {
		return true
	}
	return s.zone == first.zone && (r.DedupScope == ScopeZone || s.cell == first.cell)
}

// unrun finds the first pick that may have run, now that p is known not to have.
func (b *Balancer) unrun(r *RPC, p *Attempt) {
	p.unran, r.ran = true, nil
	if i := slices.IndexFunc(r.picks, func(o *Attempt) bool { return !o.unran }); i >= 0 {
		r.ran = r.picks[i]
	}
}

// harmless tells whether the RPC's client may ask again for as long as it waits, with no second effect: a deduplicated one that may have
// run only where all servers drop repeats until then.
func (r *RPC) harmless() bool {
	m := r.rules
	switch {
	case r.ran == nil || m.Idempotency == Idempotent:
		return true
	case m.Idempotency == Deduplicated && m.DedupScope == ScopeAll:
		return r.Deadline <= r.ran.sent+m.DedupWindow
	default:
		return false
	}
}

// giveUp ends an RPC at once: with a pushback where retrying is harmless, else with an abort.
func (b *Balancer) giveUp(r *RPC) {
	if r.harmless() {
		// Soon enough that the next try can still be in time; a later one would take room from RPCs that can.
		wait := retryAfterShare * r.rules.LatencyObjective
		if b.host.Now()-r.came > wait {
			wait = b.maxWait
		}
		b.host.PushBack(r, min(wait, b.maxWait))
	} else {
		b.host.Abort(r)
	}
	b.close(r)
}
