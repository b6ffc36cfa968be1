package decide

// deadlineMargin is a safety margin in seconds. An answer must be sent at least this long before the RPC's deadline. A
// retry or a hedge must be sent at least this long before the end of the RPC's dedup window.
const deadlineMargin = 0.01

// Arrived handles a new RPC: it sends the first attempt or rejects the RPC.
func (b *Balancer) Arrived(r *RPC) {
	now := b.host.Now()
	method := &b.methods[r.Method]
	r.open, r.rules = true, method.methodRules
	b.count(r)
	r.startClock(now)
	r.extraWork = method.extraWork(r.WorkHint, now)
	r.admissionShare = admissionShare(b.effectiveWeight(r, now))
	if !b.admit(r, now) {
		b.giveUp(r)
		return
	}
	if !r.BodyPending {
		b.host.StartTimer(r.usefulUntil-now, r)
	}
	b.sendOrGiveUp(r, now)
}

// count counts an RPC towards the concurrency limit, unless its body is still being streamed: no server can work on it,
// and clients that send slowly must not cause the rejection of others.
func (b *Balancer) count(r *RPC) {
	if !r.BodyPending {
		r.counted = true
		b.openRPCs++
	}
}

// effectiveWeight returns the priority weight of an RPC, relative to the highest priority weight of all methods. The
// weight is multiplied by overQuotaWeight if the RPC exceeds its tenant's quota. Quotas apply only at the tier to which
// clients send.
func (b *Balancer) effectiveWeight(r *RPC, now float64) float64 {
	weight := r.rules.relativeWeight
	if b.innerTier || r.Tenant >= len(b.tenants) {
		return weight
	}
	if b.tenants[r.Tenant].arrive(now) {
		weight *= b.overQuotaWeight
	}
	return weight
}

// startClock starts the RPC's clock: its wait and its latency objective are measured from now.
func (r *RPC) startClock(now float64) {
	r.clockStart = now
	r.usefulUntil = now + r.rules.LatencyObjective
	if r.rules.LateWeight > 0 {
		r.usefulUntil = r.Deadline
	}
	r.usefulUntil = min(r.usefulUntil, r.Deadline-deadlineMargin)
}

// BodyReceived handles the end of an RPC's body that was streamed to the server. The server can begin its work only
// now, so all times of the RPC are measured from now.
func (b *Balancer) BodyReceived(r *RPC) {
	now := b.host.Now()
	r.BodyPending = false
	b.count(r)
	r.startClock(now)
	b.host.StartTimer(r.usefulUntil-now, r)
	for _, a := range r.attempts {
		if a.inFlight {
			a.sentAt = now
			b.host.StartTimer(b.recheckDelay(a, now), a)
		}
	}
}

// expire ends an RPC once an answer would have no value.
func (b *Balancer) expire(r *RPC, now float64) {
	if !r.open || r.streaming {
		return
	}
	if latest := r.Deadline - deadlineMargin; now < latest && r.awaitsLongAnswer() {
		b.host.StartTimer(latest-now, r)
		return
	}
	b.recordWait(r, now)
	for _, a := range r.attempts {
		// The RPC expires before the attempt is late. The attempt is still recorded as a time-out of its server. If it
		// were only canceled, an overloaded server would keep its low estimate and get the next RPC.
		if a.inFlight && !a.countedLate && now-a.sentAt > allowedLatencyFactor*a.expectedLatency {
			a.countedLate = true
			b.recordTimeout(a, now)
		}
	}
	b.giveUp(r)
}

// ClientGone ends the RPC of a client that no longer waits for the answer.
func (b *Balancer) ClientGone(r *RPC) { b.close(r) }

// close ends an RPC and cancels its attempts in flight.
func (b *Balancer) close(r *RPC) {
	r.open = false
	if r.counted {
		r.counted = false
		b.openRPCs--
	}
	for _, a := range r.attempts {
		b.cancel(a)
	}
}
