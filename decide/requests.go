package decide

// deadlineMargin is the time in seconds before a deadline by which an answer must be on its way.
const deadlineMargin = 0.01

// Arrived takes a new RPC.
func (b *Balancer) Arrived(r *RPC) {
	now := b.host.Now()
	method := &b.methods[r.Method]
	b.openRPCs++
	r.open, r.rules = true, method.methodRules
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

// effectiveWeight is an RPC's weight relative to the highest, which is less for what is beyond its tenant's quota.
// Quotas are counted at the tier that clients reach.
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

// startClock starts the time that an RPC has.
func (r *RPC) startClock(now float64) {
	r.clockStart = now
	r.usefulUntil = now + r.rules.LatencyObjective
	if r.rules.LateWeight > 0 {
		r.usefulUntil = r.Deadline
	}
	r.usefulUntil = min(r.usefulUntil, r.Deadline-deadlineMargin)
}

// BodyReceived is the end of a body that was streamed while the attempt was in flight. Only now can the server begin,
// so all times of the RPC start anew.
func (b *Balancer) BodyReceived(r *RPC) {
	now := b.host.Now()
	r.BodyPending = false
	r.startClock(now)
	b.host.StartTimer(r.usefulUntil-now, r)
	for _, a := range r.attempts {
		if a.inFlight {
			a.sentAt = now
			b.host.StartTimer(b.recheckDelay(a, now), a)
		}
	}
}

// expire ends an RPC for which an answer would be worth nothing any more.
func (b *Balancer) expire(r *RPC, now float64) {
	if !r.open || r.streaming {
		return
	}
	b.recordWait(r, now)
	for _, a := range r.attempts {
		// The attempt ends before it is late by its own measure: for its server that is a time-out. Were it only
		// canceled, a server in overload would be sent the next RPC as before.
		if a.inFlight && !a.countedLate && now-a.sentAt > patienceFactor*a.expectedLatency {
			a.countedLate = true
			b.recordSilence(a, now)
		}
	}
	b.giveUp(r)
}

// ClientGone ends the RPC of a client that waits no longer.
func (b *Balancer) ClientGone(r *RPC) { b.close(r) }

// close ends an RPC and cancels what is in flight of it.
func (b *Balancer) close(r *RPC) {
	if r.open {
		r.open = false
		b.openRPCs--
	}
	for _, a := range r.attempts {
		b.cancel(a)
	}
}
