package decide

// Server selection: the lowest time-to-go, near ties and exploration at random, among a node's neighbours.

import (
	"math"
	"slices"
)

const (
	explorationRate     = 0.01 // chance of a random server that is no neighbour
	tieFactor           = 1.1  // entries within a tenth of the lowest are tied
	subsetLimit         = 128  // neighbours at most
	minSubsetSize       = 4    // neighbours at least: one may be ill, and a retry needs another
	subsetPerAttempt    = 2.5  // and as many for each pick that is out on average
	outsideCandidates   = 4    // others looked at for a pick
	replacementShare    = 0.1  // of the picks may bring a new neighbour in place of another
	concurrencyHalfLife = 5.0  // seconds
	lateTolerance       = 1.2  // times what is left: what is expected to take longer is turned away; times scatter
	sendLateChance      = 0.02 // of those are sent all the same: without picks nothing would be learnt of a recovery
)

// chooseServer is the Q-router: the lowest time-to-go at the present load, near-ties and exploration at random.
func (b *Balancer) chooseServer(r *RPC, now float64) *Server {
	unit, typical := b.slowStart.warmServerRate(now), b.methods[r.Method].typicalLatency(now)
	b.unknownServerPace = b.paceOfUnknown(typical, now)
	best, due := math.Inf(1), 0.0
	look := func(s *Server, pass int) {
		if s.state != Ready || r.firstMayHaveRun != nil && !r.rules.inDedupScope(s, r.firstMayHaveRun.Server) || !b.slowStart.allows(&s.slowStart, s.startedAt, unit, now) {
			return
		}
		// The second pass takes what is left when all sound servers have been tried: an ejected one is
		// better than none, and where all fail the fault lies elsewhere.
		ill := !s.outlier.isHealthy(len(s.inFlight), now)
		if pass == 0 && (ill || r.attempted(s, false)) || r.attempted(s, true) {
			return
		}
		e, d := b.estimate(r, s, typical, now)
		if e < best {
			best, due = e, d
		}
		b.candidates, b.estimates = append(b.candidates, s), append(b.estimates, e)
	}
	b.candidates, b.estimates = b.candidates[:0], b.estimates[:0]
	exploring := b.rng.Float64() < explorationRate
	for i := 0; i < len(b.subset) && !exploring; i++ {
		look(b.subset[i], 0)
	}
	spent := b.subsetReplacements.read(now, attemptRateHalfLife) + b.rng.Float64()
	open := exploring || len(b.subset) < b.maxSubsetSize(now) || spent < replacementShare*b.attemptsSent.read(now, attemptRateHalfLife)
	for i := 0; i < outsideCandidates && open && len(b.subset) < len(b.servers); i++ {
		if s := b.servers[b.rng.Intn(len(b.servers))]; !s.inSubset {
			look(s, 0)
		}
	}
	for pass := 0; pass < 2 && len(b.candidates) == 0; pass++ {
		for _, s := range b.servers {
			look(s, pass)
		}
	}
	if len(b.candidates) == 0 {
		return nil
	}
	// What would be late anyway only keeps others waiting.
	if !b.innerTier && !exploring && due > lateTolerance*(r.usefulUntil-now)*r.admissionShare && b.rng.Float64() >= sendLateChance {
		return nil
	}
	n := 0
	for i, s := range b.candidates {
		if exploring || b.estimates[i] <= max(best, best*tieFactor) {
			b.candidates[n] = s
			n++
		}
	}
	return b.candidates[b.rng.Intn(n)]
}

// maxSubsetSize is how many neighbours the node's picks need.
func (b *Balancer) maxSubsetSize(now float64) int {
	return min(minSubsetSize+int(subsetPerAttempt*b.meanInFlight.read(now, concurrencyHalfLife, 0, 0)), subsetLimit)
}

// addToSubset makes a server a neighbour. The paper's router knows its neighbours only: a node that sends to all
// servers by turns hears too seldom from each. As many are kept as picks need; the worst leaves for the new.
func (b *Balancer) addToSubset(r *RPC, s *Server, typical, now float64) {
	b.meanInFlight.add(float64(b.attemptsInFlight+1), now, concurrencyHalfLife)
	if s.inSubset || r.inFlight+len(r.attempts) > 0 {
		return
	}
	if len(b.subset) >= b.maxSubsetSize(now) {
		b.subsetReplacements.add(1, now, attemptRateHalfLife)
	}
	for len(b.subset) >= b.maxSubsetSize(now) {
		worst, high := 0, -1.0
		for i, o := range b.subset {
			e, _ := b.estimate(r, o, typical, now)
			if o.outlier.isEjected(now) {
				e = math.Inf(1)
			}
			if e > high {
				worst, high = i, e
			}
		}
		b.subset[worst].inSubset = false
		for i := range b.subset[worst].entries {
			b.qTable.drop(b.subset[worst].entries, i)
		}
		b.subset = slices.Delete(b.subset, worst, worst+1)
	}
	s.inSubset = true
	b.subset = append(b.subset, s)
}

// attempted tells whether a server has had a pick of the RPC, or has one out.
func (r *RPC) attempted(s *Server, out bool) bool {
	return slices.ContainsFunc(r.attempts, func(p *Attempt) bool { return p.Server == s && (p.inFlight || !out) })
}
