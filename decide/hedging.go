package decide

// Second attempts beside a late one, and their budget.

const (
	lateFactor   = 2.5  // times the expected: a pick out for longer is late, above quiet
	patience     = 1.2  // times the expected: by then a pick has had its chance
	hedgeShare   = 0.02 // second copies as a share of picks: they must not carry a slowdown into overload
	hedgesAtOnce = 0.25 // and at once for each server, over all nodes: a quiet node would else have none
	extraHalf    = 5.0  // of the budget for second copies
)

// lateAfter is when to look at a pick again: when it is late, or when another could just still be in time.
func (b *Balancer) lateAfter(p *Attempt, now float64) float64 {
	return max(min(p.late, p.RPC.useful-now-patience*p.due), patience*p.due)
}

// late is a pick that should have been answered by now. If the server has answered nothing since, it may
// hang, and its time-outs would come too late: that counts as a failure at once.
func (b *Balancer) late(p *Attempt, now float64) {
	s, r := p.Server, p.RPC
	silent := s.heard < p.sent
	b.overtake(p, now)
	// A server that answers others will most likely answer this one, too.
	if !silent || !b.copies {
		return
	}
	// A part of a copy is sent by chance: one always allowed would be hundreds at once over hundreds of nodes.
	most := hedgeShare*b.sent.read(now, extraHalf) + min(1, hedgesAtOnce*float64(b.ready)*b.part)
	if !b.mayRepeat(r, now) || b.extra.read(now, extraHalf)+b.rng.Float64() > most {
		return
	}
	if other := b.choose(r, now); other != nil {
		b.extra.add(1, now, extraHalf)
		b.send(r, other, now)
	}
}
