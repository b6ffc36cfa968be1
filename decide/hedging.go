package decide

// Second attempts beside a late one, and their budget.

const (
	lateLatencyFactor     = 2.5  // times the expected: a pick out for longer is late, above quiet
	fairChance            = 1.2  // times the expected: by then a pick has had its chance
	hedgeShare            = 0.02 // second copies as a share of picks: they must not carry a slowdown into overload
	hedgesAtOncePerServer = 0.25 // and at once for each server, over all nodes: a quiet node would else have none
	attemptRateHalfLife   = 5.0  // of the budget for second copies
)

// recheckDelay is when to look at a pick again: when it is late, or when another could just still be in time.
func (b *Balancer) recheckDelay(p *Attempt, now float64) float64 {
	return max(min(p.lateAfter, p.RPC.usefulUntil-now-fairChance*p.expectedLatency), fairChance*p.expectedLatency)
}

// attemptLate is a pick that should have been answered by now. If the server has answered nothing since, it may
// hang, and its time-outs would come too late: that counts as a failure at once.
func (b *Balancer) attemptLate(p *Attempt, now float64) {
	s, r := p.Server, p.RPC
	silent := s.lastAnswerAt < p.sentAt
	b.recordLateness(p, now)
	// A server that answers others will most likely answer this one, too.
	if !silent || !b.hedging {
		return
	}
	// A part of a copy is sent by chance: one always allowed would be hundreds at once over hundreds of nodes.
	most := hedgeShare*b.attemptsSent.read(now, attemptRateHalfLife) + min(1, hedgesAtOncePerServer*float64(b.readyServers)*b.nodeShare)
	if !b.mayRetry(r, now) || b.hedges.read(now, attemptRateHalfLife)+b.rng.Float64() > most {
		return
	}
	if other := b.chooseServer(r, now); other != nil {
		b.hedges.add(1, now, attemptRateHalfLife)
		b.send(r, other, now)
	}
}
