package decide

const (
	lateLatencyFactor    = 2.5  // times the expected latency: an older attempt is late
	allowedLatencyFactor = 1.2  // times the expected latency: lowest age for a recheck or a time-out
	hedgeShare           = 0.02 // hedged requests per attempt: more could turn a slowdown into an overload
	hedgeBurstPerServer  = 0.25 // hedged requests per ready server, over all nodes, in addition to hedgeShare
	hedgeHalfLife        = 5.0  // seconds; of the decaying count of hedged requests
)

// hedgeBudget limits the number of hedged requests.
type hedgeBudget struct{ hedges decayingValue }

// allows reports whether one more hedged request is within the limit. random is drawn from [0, 1): the remaining
// fraction of a request is allowed with a probability of that fraction. If one request were always allowed, hundreds of
// nodes would send hundreds at once.
func (h *hedgeBudget) allows(limit, random, now float64) bool {
	return h.hedges.read(now, hedgeHalfLife)+random <= limit
}

// sent counts a hedged request.
func (h *hedgeBudget) sent(now float64) { h.hedges.add(1, now, hedgeHalfLife) }

// hedgeLimit returns the limit of the decaying count of hedged requests: hedgeShare * attempts sent + burst. The burst
// is hedgeBurstPerServer * ready servers * nodeShare, at most 1. Without it a node with little traffic would have no
// hedged requests.
func (b *Balancer) hedgeLimit(now float64) float64 {
	burst := min(1, hedgeBurstPerServer*float64(b.readyServers)*b.nodeShare)
	return hedgeShare*b.attemptsSent.read(now, attemptRateHalfLife) + burst
}

// recheckDelay returns the age in seconds at which an attempt is checked again: lateAfter or, if that is earlier, the
// last moment at which another attempt could still be in time. It is at least allowedLatencyFactor * expected latency.
func (b *Balancer) recheckDelay(a *Attempt, now float64) float64 {
	allowed := allowedLatencyFactor * a.expectedLatency
	return max(min(a.lateAfter, a.RPC.usefulUntil-now-allowed), allowed)
}

// recheck checks an attempt that should have been answered by now. If its server has answered nothing since the attempt
// was sent, a hedged request goes to another server. A server that answers other attempts will most likely answer this
// one, too.
func (b *Balancer) recheck(a *Attempt, now float64) {
	r := a.RPC
	if !a.inFlight || !r.open || r.streaming {
		return
	}
	unresponsive := a.Server.lastAnswerAt < a.sentAt
	b.recordLateness(a, now)
	if !unresponsive || !b.hedging {
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
