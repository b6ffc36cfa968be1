package decide

import "math"

const (
	explorationRate   = 0.01 // chance of a random server that is not in the subset
	tieFactor         = 1.1  // times the lowest estimate: what lies below is tied with it
	outsideCandidates = 4    // servers outside the subset that are looked at for an attempt
	lateTolerance     = 1.2  // times the time left: latencies scatter, so less than that may still be in time
	sendLateChance    = 0.02 // of being sent all the same: without attempts nothing is learnt of a recovery
)

// serverSearch is the search of a server for one attempt.
type serverSearch struct {
	rpc            *RPC
	now            float64
	typical        float64 // seconds; the typical latency of the RPC's method
	warmServerRate float64 // answers a second
	exploring      bool    // any server outside the subset is taken, not the best
	candidates     []candidate
	lowest         float64 // seconds; the lowest time to go
	lowestLatency  float64 // seconds; the latency expected there
}

// candidate is a server that the attempt may be sent to.
type candidate struct {
	server   *Server
	timeToGo float64 // seconds
}

// chooseServer is the Q-router: the server with the lowest time to go at its present load, near ties and exploration at
// random. It is nil where there is none, or where the attempt would be late.
func (b *Balancer) chooseServer(r *RPC, now float64) *Server {
	search := serverSearch{
		rpc:            r,
		now:            now,
		typical:        b.methods[r.Method].typicalLatency(now),
		warmServerRate: b.slowStart.warmServerRate(now),
		exploring:      b.rng.Float64() < explorationRate,
		candidates:     b.candidates[:0],
		lowest:         math.Inf(1),
	}
	b.unknownServerPace = b.paceOfUnknown(search.typical, now)
	if !search.exploring {
		b.considerAll(&search, b.subset.members, false)
	}
	b.considerOutside(&search)
	if len(search.candidates) == 0 {
		b.considerAll(&search, b.servers, false)
	}
	if len(search.candidates) == 0 {
		b.considerAll(&search, b.servers, true)
	}
	b.candidates = search.candidates
	if len(search.candidates) == 0 || b.rejectLate(&search) {
		return nil
	}
	tied := search.tied()
	return tied[b.rng.Intn(len(tied))].server
}

// considerOutside adds servers outside the subset at random: always where the subset is to grow, otherwise for a part
// of the attempts.
func (b *Balancer) considerOutside(search *serverSearch) {
	now := search.now
	replacements := b.subset.recentReplacements(now) + b.rng.Float64()
	mayAdd := search.exploring || !b.subset.isFull(now) ||
		replacements < replacementShare*b.attemptsSent.read(now, attemptRateHalfLife)
	if !mayAdd || len(b.subset.members) >= len(b.servers) {
		return
	}
	for range outsideCandidates {
		s := b.servers[b.rng.Intn(len(b.servers))]
		if !s.inSubset {
			b.consider(search, s, false)
		}
	}
}

// considerAll adds those of the servers that the attempt may be sent to.
func (b *Balancer) considerAll(search *serverSearch, servers []*Server, lastResort bool) {
	for _, s := range servers {
		b.consider(search, s, lastResort)
	}
}

// consider adds a server if the attempt may be sent to it. As a last resort that includes ejected servers and those
// that the RPC has tried: one of them is better than none, and where all fail the fault lies elsewhere.
func (b *Balancer) consider(search *serverSearch, s *Server, lastResort bool) {
	r, now := search.rpc, search.now
	if s.state != Ready || !r.mayRunAt(s) {
		return
	}
	if !b.slowStart.allows(&s.slowStart, s.startedAt, search.warmServerRate, now) {
		return
	}
	if !lastResort && (!s.outlier.isHealthy(len(s.inFlight), now) || r.hasAttempted(s)) {
		return
	}
	if r.hasInFlightAt(s) {
		return
	}
	timeToGo, latency := b.estimate(r, s, search.typical, now)
	if timeToGo < search.lowest {
		search.lowest, search.lowestLatency = timeToGo, latency
	}
	search.candidates = append(search.candidates, candidate{server: s, timeToGo: timeToGo})
}

// rejectLate reports whether the attempt is not sent because even the best server known would answer late: it would
// only keep others waiting. Inner tiers send it, since a pushback wastes the work of the tiers above.
func (b *Balancer) rejectLate(search *serverSearch) bool {
	if b.innerTier || search.exploring {
		return false
	}
	r := search.rpc
	late := search.lowestLatency > lateTolerance*(r.usefulUntil-search.now)*r.admissionShare
	return late && b.rng.Float64() >= sendLateChance
}

// tied keeps the candidates whose estimates are next to the lowest; all of them where the node explores.
func (s *serverSearch) tied() []candidate {
	if s.exploring {
		return s.candidates
	}
	highest := max(s.lowest, s.lowest*tieFactor) // an estimate may be below zero
	tied := s.candidates[:0]
	for _, candidate := range s.candidates {
		if candidate.timeToGo <= highest {
			tied = append(tied, candidate)
		}
	}
	return tied
}
