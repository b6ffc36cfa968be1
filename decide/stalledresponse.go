package decide

// ResponseBegun reports that a long answer to an attempt has begun, so that its client gets it whole if it is waited
// for. It is not given up before the client's deadline.
func (b *Balancer) ResponseBegun(a *Attempt) { a.longAnswer = true }

// ResponseStalled reports that an attempt's answer has begun and does not go on. The attempt stays in flight, since its
// server may still answer. If a second attempt is allowed beside it, one is sent, and the client gets whichever answer
// is there first. If there may not be two, a short answer gives way to another attempt; a long one is waited for,
// because cutting it off would lose what the server still sends.
func (b *Balancer) ResponseStalled(a *Attempt) {
	now := b.host.Now()
	r := a.RPC
	if !a.inFlight || !r.open || r.streaming || r.inFlight > 1 {
		return
	}
	b.recordLateness(a, now)
	if now >= r.usefulUntil || !b.mayAttemptAgain(r, now) {
		return
	}
	if !b.hedging {
		if !a.longAnswer {
			b.cancel(a)
		}
		return
	}
	if other := b.chooseServer(r, now); other != nil {
		b.send(r, other, now)
	}
}

// awaitsLongAnswer reports whether one of the RPC's attempts in flight has begun to bring a long answer.
func (r *RPC) awaitsLongAnswer() bool {
	for _, a := range r.attempts {
		if a.inFlight && a.longAnswer {
			return true
		}
	}
	return false
}
