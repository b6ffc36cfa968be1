package decide

import "slices"

// attemptRateHalfLife is the half-life, in seconds, of the decaying count of attempts sent.
const attemptRateHalfLife = 5.0

// send sends an RPC's next attempt to a server.
func (b *Balancer) send(r *RPC, s *Server, now float64) {
	a := b.newAttempt(r, s, now)
	b.slowStart.sent(&s.slowStart, s.startedAt, now)
	if r.firstMayHaveRun == nil {
		r.firstMayHaveRun = a // assumed until a result proves that the attempt had no effect
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	b.attemptsInFlight++
	b.attemptsSent.add(1, now, attemptRateHalfLife)
	s.inFlight = append(s.inFlight, a)
	b.prepareConnection(a, now)
	b.host.Send(a, 0)
	delay := b.recheckDelay(a, now)
	if now+delay < r.usefulUntil && !r.BodyPending {
		b.host.StartTimer(delay, a)
	}
}

// newAttempt creates an attempt, computes its expected latency and adds its server to the subset.
func (b *Balancer) newAttempt(r *RPC, s *Server, now float64) *Attempt {
	typical := b.methods[r.Method].typicalLatency(now)
	row := b.qTable.row(r.Method, r.Tenant, len(s.inFlight))
	expected := b.qTable.mean(row, typical)
	extra := typical * r.extraWork
	a := &Attempt{RPC: r, Server: s, attemptState: attemptState{
		inFlight:        true,
		sentAt:          now,
		row:             row,
		expectedLatency: expected,
		extraLatency:    extra,
		// The lower bound matters if latencies are very short: without it, a pause of the node itself would make
		// attempts late.
		lateAfter:     max(lateLatencyFactor*(expected+max(extra, 0)), negligibleWait*r.rules.LatencyObjective),
		withoutReport: b.loadReports.sent(s.load.freshness(typical, now), now),
	}}
	b.addToSubset(r, s, typical, now)
	return a
}

// ResponseStarted handles the start of a streamed answer. It cancels the RPC's other attempts. From now on the RPC does
// not expire and is not hedged.
func (b *Balancer) ResponseStarted(a *Attempt) {
	a.RPC.streaming = true
	for _, other := range a.RPC.attempts {
		if other != a {
			b.cancel(other)
		}
	}
}

// AttemptDone handles an attempt's result. took is the attempt's duration in seconds, and load is the server's load
// report or nil. rpcEnded is true if this result ends the RPC or if the RPC has ended before.
func (b *Balancer) AttemptDone(a *Attempt, result Result, rpcEnded bool, took float64, load *LoadReport) {
	now := b.host.Now()
	r := a.RPC
	b.removeInFlight(a)
	b.recordLoad(a, load, now)
	if result.NeverRan() {
		r.markNeverRan(a)
	}
	b.recordConnection(a, result, took, now)
	b.recordResult(a, result, took, now)
	if rpcEnded {
		if r.open && result == OK {
			b.recordWait(r, now)
		}
		b.close(r)
	} else if r.open && r.inFlight == 0 {
		b.sendOrGiveUp(r, now)
	}
}

// removeInFlight removes an attempt that has ended from the attempts in flight.
func (b *Balancer) removeInFlight(a *Attempt) {
	a.inFlight = false
	a.RPC.inFlight--
	b.attemptsInFlight--
	s := a.Server
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *Attempt) bool { return o == a })
}

// cancel cancels an attempt that is in flight, if cancels are allowed.
func (b *Balancer) cancel(a *Attempt) {
	if a.inFlight && b.mayCancel {
		b.host.Cancel(a)
	}
}
