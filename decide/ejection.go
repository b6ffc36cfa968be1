package decide

// Outlier ejection: failures in a row, servers that fall silent, idle connections that are not to be trusted.

const (
	ejectAfter = 3   // failures in a row that eject a server
	ejectMin   = 1.0 // first ejection, in seconds; doubles while trials fail
	ejectMax   = 8.0
	idleHalf   = 10.0 // seconds in which an idle time that was too long is tried twice as long
	idleSafety = 0.7  // of an idle time that was too long
)

// fault counts a failure against its server and ejects one that only fails. The entries alone would send
// each method and tenant into the same fault once more.
func (b *Balancer) fault(p *Attempt, now float64) {
	s := p.Server
	b.pay(p, paceCap*p.due, now)
	b.learn(p, p.RPC.rules.Deadline, true, now)
	if s.strikes++; s.strikes >= ejectAfter && now >= s.ejected {
		s.backoff = min(max(ejectMin, 2*s.backoff), ejectMax)
		s.ejected = now + s.backoff
	}
}

// silence is a fault of a pick's server. Where idle connections are dropped unseen, no word since it was sent
// says nothing of the server: two servers mute after an idle time tell how long is too long.
func (b *Balancer) silence(p *Attempt, now float64) {
	s := p.Server
	b.fault(p, now)
	if s.heard >= p.sent || p.idle <= b.idleOK.read(now, idleHalf) {
		return
	}
	s.dead, s.linked = true, false
	if b.mute != nil && b.mute != s && now < b.muteAt+othersHalf {
		b.idleMost = max(idleSafety*p.idle, b.idleOK.sum)
		b.idleAt = now
	}
	b.mute, b.muteAt = s, now
}

// overtake counts a late pick before its end, by its age, or as a failure if its server is silent since.
func (b *Balancer) overtake(p *Attempt, now float64) {
	if p.charged || p.RPC.BodyPending || now-p.sent < p.late*0.99 {
		return
	}
	p.charged = true
	if p.Server.heard < p.sent {
		b.silence(p, now)
		return
	}
	b.pay(p, min(now-p.sent, paceCap*p.due), now)
	b.learn(p, now-p.sent, false, now)
}
