package decide

// minLatencyShare is the lower bound of an adjusted latency, as a fraction of the measured latency. The adjusted
// latency excludes the time that is due to the RPC's work hint.
const minLatencyShare = 0.2

// recordResult updates the estimates with an attempt's result.
func (b *Balancer) recordResult(a *Attempt, result Result, took, now float64) {
	switch result {
	case OK:
		b.recordSuccess(a, took, now)
	case Canceled:
		// A canceled attempt is ignored unless it was late. The late attempts must count: if a server never answers,
		// each of its attempts is canceled when a hedged request is answered. Without the late attempts, such a server
		// would keep its low estimate and get the next attempt.
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

// recordLoad stores the load report that came with an attempt's result, if the result has a report.
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

// recordConnection updates the mean time to open a connection, and records whether the server has an open connection.
func (b *Balancer) recordConnection(a *Attempt, result Result, took, now float64) {
	if a.opensConnection && (result == OK || result == ConnectFailed) {
		b.idleConnections.opened(took-a.expectedLatency, now)
	}
	a.Server.connections.ended(result)
}

// recordSuccess updates the estimates after an answer. took is the attempt's duration in seconds.
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

// recordFailure records a failure of the attempt's server in the estimates and for ejection. Ejection counts the
// failures of a server over all methods and tenants. The Q-table alone is not enough: it has separate entries by method
// and tenant, so the same fault would have to be detected again for each method and tenant.
func (b *Balancer) recordFailure(a *Attempt, now float64) {
	b.recordLatencyRatio(a, maxRatioSample*a.expectedLatency, now)
	b.learn(a, a.RPC.rules.Deadline, true, now)
	a.Server.outlier.failed(now)
}

// recordTimeout records an attempt without an answer as a failure of its server. If the server has answered no other
// attempt since this attempt was sent, the cause may be an idle connection that this attempt reused.
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

// recordLateness records a late attempt before its result is known. If the server has answered no attempt since the
// late attempt was sent, the attempt is recorded as a time-out, otherwise with its age as the latency. A hung server
// thus loses its low estimate before its attempts time out.
func (b *Balancer) recordLateness(a *Attempt, now float64) {
	const timerTolerance = 0.99 // factor on lateAfter: a rounded timer may fire slightly early
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
