package decide

const minLatencyShare = 0.2 // of what an attempt took that is left when its work hint is taken off

// recordResult learns from an attempt's result.
func (b *Balancer) recordResult(a *Attempt, result Result, took, now float64) {
	switch result {
	case OK:
		b.recordSuccess(a, took, now)
	case Canceled:
		// A cancel teaches nothing, unless the attempt was late by then: a server that swallows attempts, each canceled
		// when its hedged request is answered, would keep its low estimate and draw the next one.
		b.recordLateness(a, now)
	case NotSent:
	case TimedOut:
		if !a.countedLate && a.Server.lastAnswerAt < a.sentAt {
			b.recordSilence(a, now)
		}
	case Rejected:
		a.Server.lastAnswerAt = now
		b.recordFailure(a, now)
	default:
		b.recordFailure(a, now)
	}
}

// recordLoad notes the load report that came with an attempt's result, if there was one.
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

// recordConnection learns what opening a connection costs, and whether the server has one.
func (b *Balancer) recordConnection(a *Attempt, result Result, took, now float64) {
	if a.opensConnection && (result == OK || result == ConnectFailed) {
		b.idleConnections.opened(took-a.expectedLatency, now)
	}
	a.Server.connections.ended(result)
}

// recordSuccess learns from an answer that took so many seconds.
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
	b.recordPace(a, min(took, maxPaceSample*a.expectedLatency), now)
	b.learn(a, took, false, now)
}

// recordFailure counts a failure against its server. Ejection goes by the server alone: the Q-table would send each
// method and tenant into the same fault once more.
func (b *Balancer) recordFailure(a *Attempt, now float64) {
	b.recordPace(a, maxPaceSample*a.expectedLatency, now)
	b.learn(a, a.RPC.rules.Deadline, true, now)
	a.Server.outlier.failed(now)
}

// recordSilence counts an attempt that got no answer as a failure of its server. Where the server has answered nothing
// since, its idle connection may be the cause.
func (b *Balancer) recordSilence(a *Attempt, now float64) {
	b.recordFailure(a, now)
	s := a.Server
	if s.lastAnswerAt >= a.sentAt {
		return
	}
	if b.idleConnections.fellSilent(s, a.connectionIdle, now) {
		s.connections.broke()
	}
}

// recordLateness counts a late attempt before its end: by its age, or as a failure where its server has answered
// nothing since. A hung server would look sound until its time-outs land.
func (b *Balancer) recordLateness(a *Attempt, now float64) {
	const timerTolerance = 0.99 // of the age from which it is late: timers are rounded
	if a.countedLate || a.RPC.BodyPending || now-a.sentAt < a.lateAfter*timerTolerance {
		return
	}
	a.countedLate = true
	if a.Server.lastAnswerAt < a.sentAt {
		b.recordSilence(a, now)
		return
	}
	b.recordPace(a, min(now-a.sentAt, maxPaceSample*a.expectedLatency), now)
	b.learn(a, now-a.sentAt, false, now)
}
