package decide

const (
	lateLatencyFactor     = 2.5  // times the expected latency: an attempt that has lasted longer is late
	patienceFactor        = 1.2  // times the expected latency: a younger attempt is not given up on
	hedgeShare            = 0.02 // of the attempts: hedged requests must not carry a slowdown into overload
	hedgesAtOncePerServer = 0.25 // over all nodes, beside that share: a quiet node would have none
	hedgeHalfLife         = 5.0  // seconds
)

// hedgeBudget bounds the hedged requests.
type hedgeBudget struct{ hedges decayingValue }

// allows reports whether one more is within the limit, for a random number in [0, 1). A part of a hedged request is
// sent by chance: one always allowed would be hundreds at once over hundreds of nodes.
func (h *hedgeBudget) allows(limit, random, now float64) bool {
	return h.hedges.read(now, hedgeHalfLife)+random <= limit
}

// sent counts a hedged request.
func (h *hedgeBudget) sent(now float64) { h.hedges.add(1, now, hedgeHalfLife) }

// hedgeLimit is how many hedged requests the node may have sent lately.
func (b *Balancer) hedgeLimit(now float64) float64 {
	atOnce := min(1, hedgesAtOncePerServer*float64(b.readyServers)*b.nodeShare)
	return hedgeShare*b.attemptsSent.read(now, attemptRateHalfLife) + atOnce
}

// recheckDelay is the age in seconds at which to look at an attempt again: when it is late, or when another could just
// still be in time.
func (b *Balancer) recheckDelay(a *Attempt, now float64) float64 {
	patience := patienceFactor * a.expectedLatency
	return max(min(a.lateAfter, a.RPC.usefulUntil-now-patience), patience)
}

// recheck looks at an attempt that should have been answered by now. If its server has answered nothing since, a hedged
// request is sent elsewhere; a server that answers others will most likely answer this one, too.
func (b *Balancer) recheck(a *Attempt, now float64) {
	r := a.RPC
	if !a.inFlight || !r.open || r.streaming {
		return
	}
	silent := a.Server.lastAnswerAt < a.sentAt
	b.recordLateness(a, now)
	if !silent || !b.hedging {
		return
	}
	limit := b.hedgeLimit(now)
	if !b.mayRetry(r, now) || !b.hedgeBudget.allows(limit, b.rng.Float64(), now) {
		return
	}
	if other := b.chooseServer(r, now); other != nil {
		b.hedgeBudget.sent(now)
		b.send(r, other, now)
	}
}
