package decide

// Outlier ejection: failures in a row, servers that fall silent, idle connections that are not to be trusted.

const (
	ejectAfter      = 3   // failures in a row that eject a server
	minEjectionTime = 1.0 // first ejection, in seconds; doubles while trials fail
	maxEjectionTime = 8.0
	idleHalfLife    = 10.0 // seconds in which an idle time that was too long is tried twice as long
	idleSafety      = 0.7  // of an idle time that was too long
)

// recordFailure counts a failure against its server and ejects one that only fails. The entries alone would send
// each method and tenant into the same fault once more.
func (b *Balancer) recordFailure(p *Attempt, now float64) {
	s := p.Server
	b.recordPace(p, maxPaceSample*p.expectedLatency, now)
	b.learn(p, p.RPC.rules.Deadline, true, now)
	if s.failuresInRow++; s.failuresInRow >= ejectAfter && now >= s.ejectedUntil {
		s.ejectionTime = min(max(minEjectionTime, 2*s.ejectionTime), maxEjectionTime)
		s.ejectedUntil = now + s.ejectionTime
	}
}

// recordSilence is a fault of a pick's server. Where idle connections are dropped unseen, no word since it was sent
// says nothing of the server: two servers mute after an idle time tell how long is too long.
func (b *Balancer) recordSilence(p *Attempt, now float64) {
	s := p.Server
	b.recordFailure(p, now)
	if s.lastAnswerAt >= p.sentAt || p.connectionIdle <= b.longestGoodIdle.read(now, idleHalfLife) {
		return
	}
	s.idleConnBroken, s.connected = true, false
	if b.lastSilentServer != nil && b.lastSilentServer != s && now < b.lastSilentAt+fleetPaceHalfLife {
		b.maxIdle = max(idleSafety*p.connectionIdle, b.longestGoodIdle.sum)
		b.maxIdleAt = now
	}
	b.lastSilentServer, b.lastSilentAt = s, now
}

// recordLateness counts a late pick before its end, by its age, or as a failure if its server is silent since.
func (b *Balancer) recordLateness(p *Attempt, now float64) {
	if p.countedLate || p.RPC.BodyPending || now-p.sentAt < p.lateAfter*0.99 {
		return
	}
	p.countedLate = true
	if p.Server.lastAnswerAt < p.sentAt {
		b.recordSilence(p, now)
		return
	}
	b.recordPace(p, min(now-p.sentAt, maxPaceSample*p.expectedLatency), now)
	b.learn(p, now-p.sentAt, false, now)
}
