package decide

const minLatencyShare = 0.2 // lower bound of a latency without its work hint's part, as a fraction of the latency

// recordResult updates the estimates with an attempt's result.
func (b *Balancer) recordResult(a *Attempt, result Result, took, now float64) {
	switch result {
	case OK:
		b.recordSuccess(a, took, now)
	case Canceled:
		// A canceled attempt is ignored unless it was late: a server that never answers, and whose attempts are
		// canceled whenever the hedged request is answered, would keep its low estimate and get the next attempt.
		b.recordLateness(a, now)
	case NotSent:
	case TimedOut:
		if !a.countedLate && a.Server.lastAnswerAt < a.sentAt {
			b.recordTimeout(a, now)
		}
	case Rejected:
		a.Server.lastAnswerAt = now
		b.recordFailure(a, now)
	default:
		b.recordFailure(a, now)
	}
}

// recordLoad stores the load report that came with an attempt's result, if there was one.
func (b *Balancer) recordLoad(a *Attempt, report *LoadReport, now float64) {
	if report == nil || report.InFlight < 0 {
		return
	}
	s := a.Server
	s.load.update(report.InFlight, len(s.inFlight), now)
	if a.withoutReport {
		b.loadReports.received(&s.load, now)
	}
}

// recordConnection updates the estimated cost of a new connection, and whether the server has an open connection.
func (b *Balancer) recordConnection(a *Attempt, result Result, took, now float64) {
	if a.opensConnection && (result == OK || result == ConnectFailed) {
		b.idleConnections.opened(took-a.expectedLatency, now)
	}
	a.Server.connections.ended(result)
}

// recordSuccess updates the estimates with an answer that took the given seconds.
func (b *Balancer) recordSuccess(a *Attempt, took, now float64) {
	s, m := a.Server, &b.methods[a.RPC.Method]
	s.lastAnswerAt = now
	s.outlier.succeeded()
	s.connections.used(now)
	b.idleConnections.worked(a.connectionIdle, now)
	took = max(took-a.extraLatency, minLatencyShare*took)
	m.latency.add(took, now, latencyHalfLife)
	fractions := 0.0
	for _, o := range b.subset.members {
		fractions += b.slowStart.capacityFraction(o.startedAt, now)
	}
	b.slowStart.answered(fractions, now)
	b.recordLatencyRatio(a, min(took, maxRatioSample*a.expectedLatency), now)
	b.learn(a, took, false, now)
}

// recordFailure records a failure of the attempt's server. Ejection counts failures per server, over all methods and
// tenants: with the Q-table alone each method and tenant would run into the same fault again.
func (b *Balancer) recordFailure(a *Attempt, now float64) {
	b.recordLatencyRatio(a, maxRatioSample*a.expectedLatency, now)
	b.learn(a, a.RPC.rules.Deadline, true, now)
	a.Server.outlier.failed(now)
}

// recordTimeout records an attempt without an answer as a failure of its server. If the server has answered nothing
// since the attempt was sent, the idle connection that the attempt used may be the cause.
func (b *Balancer) recordTimeout(a *Attempt, now float64) {
	b.recordFailure(a, now)
	s := a.Server
	if s.lastAnswerAt >= a.sentAt {
		return
	}
	if b.idleConnections.timedOut(s, a.connectionIdle, now) {
		s.connections.markStale()
	}
}

// recordLateness records a late attempt before its result: with its age as the latency, or as a time-out if its server
// has answered nothing since the attempt was sent. Otherwise a hung server would keep its low estimate until its
// attempts time out.
func (b *Balancer) recordLateness(a *Attempt, now float64) {
	const timerTolerance = 0.99 // factor on lateAfter, since timers are rounded
	if a.countedLate || a.RPC.BodyPending || now-a.sentAt < a.lateAfter*timerTolerance {
		return
	}
	a.countedLate = true
	if a.Server.lastAnswerAt < a.sentAt {
		b.recordTimeout(a, now)
		return
	}
	b.recordLatencyRatio(a, min(now-a.sentAt, maxRatioSample*a.expectedLatency), now)
	b.learn(a, now-a.sentAt, false, now)
}
