package decide

const (
	lateLatencyFactor    = 2.5 // an attempt is late if its age exceeds this multiple of its expected latency
	allowedLatencyFactor = 1.2 // lowest age for a recheck or a time-out, as a multiple of the expected latency
	// Highest number of hedged requests per attempt sent, without the burst: more hedged requests could turn a slowdown
	// into an overload.
	hedgeShare          = 0.02
	hedgeBurstPerServer = 0.25 // additional hedged requests per ready server, in total over all nodes
	hedgeHalfLife       = 5.0  // seconds; half-life of the decaying count of hedged requests
)

// hedgeBudget limits the number of hedged requests.
type hedgeBudget struct{ hedges decayingValue }

// allows reports whether one more hedged request is within the limit. random is drawn from [0, 1). If the limit leaves
// room for only a fraction of a request, a whole request is allowed with this fraction as the probability. If a whole
// request were always allowed, hundreds of nodes would send hundreds of hedged requests at once.
func (h *hedgeBudget) allows(limit, random, now float64) bool {
	return h.hedges.read(now, hedgeHalfLife)+random <= limit
}

// sent counts a hedged request.
func (h *hedgeBudget) sent(now float64) { h.hedges.add(1, now, hedgeHalfLife) }

// hedgeLimit returns the limit of the decaying count of hedged requests: hedgeShare * attempts sent + burst. The burst
// is hedgeBurstPerServer * ready servers * nodeShare, at most 1. Without the burst, a node with little traffic could
// send no hedged requests.
func (b *Balancer) hedgeLimit(now float64) float64 {
	burst := min(1, hedgeBurstPerServer*float64(b.readyServers)*b.nodeShare)
	return hedgeShare*b.attemptsSent.read(now, attemptRateHalfLife) + burst
}

// recheckDelay returns the time in seconds until an attempt that is sent now is checked again:
//
//	max(allowed, min(lateAfter, usefulUntil - now - allowed)), allowed = allowedLatencyFactor * expected latency
//
// The second argument of min leaves enough time for the answer to a hedged request.
func (b *Balancer) recheckDelay(a *Attempt, now float64) float64 {
	allowed := allowedLatencyFactor * a.expectedLatency
	return max(min(a.lateAfter, a.RPC.usefulUntil-now-allowed), allowed)
}

// recheck checks an attempt that should have been answered by now. If its server has answered no other attempt since
// this attempt was sent, a hedged request is sent to another server. A server that answers other attempts will most
// likely answer this attempt, too.
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
