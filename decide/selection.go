package decide

import "math"

const (
	explorationRate   = 0.01 // probability that an attempt explores: it goes to a random server outside the subset
	tieFactor         = 1.1  // highest time to go of a tied candidate, as a multiple of the lowest time to go
	outsideCandidates = 4    // servers drawn at random per attempt; those outside the subset become candidates
	// Highest expected latency, as a multiple of time left * admissionShare. The factor is above 1, since latencies
	// vary.
	lateTolerance       = 1.2
	sendLateProbability = 0.02 // probability that an attempt is sent although its answer is expected to be late
)

// serverSearch is the search for the server of one attempt.
type serverSearch struct {
	rpc            *RPC
	now            float64
	typical        float64 // seconds; the typical latency of the RPC's method
	warmServerRate float64 // answers per second that a warm server gives this node
	exploring      bool    // the attempt goes to a random server outside the subset, not to the best candidate
	candidates     []candidate
	lowest         float64 // seconds; the lowest time to go of all candidates
	lowestLatency  float64 // seconds; the expected latency at the candidate with the lowest time to go
}

// candidate is a server that may get the attempt.
type candidate struct {
	server   *Server
	timeToGo float64 // seconds
}

// chooseServer is the Q-router: it returns the candidate with the lowest estimated time to go. If several candidates
// are nearly tied, it chooses one of them at random. When it explores, it chooses at random from all candidates. It
// returns nil if no server may get the attempt, or if the answer would be late.
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
	b.unknownServerPrior = b.unknownServerLatencyRatio(search.typical, now)
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

// considerOutside adds random servers outside the subset to the candidates. It always does so if the attempt explores
// or if the subset is not full. Otherwise a new server would replace a member; such replacements are limited to the
// fraction replacementShare of the recent attempts.
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

// considerAll adds each of the given servers to the candidates if the server may get the attempt.
func (b *Balancer) considerAll(search *serverSearch, servers []*Server, lastResort bool) {
	for _, s := range servers {
		b.consider(search, s, lastResort)
	}
}

// consider adds a server to the candidates if it may get the attempt. If lastResort is set, ejected servers and servers
// that already had an attempt of the RPC may get the attempt, too: if all servers fail, the cause is probably not a
// server.
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

// rejectLate reports whether the attempt must not be sent because even the best candidate would answer too late: the
// expected latency at this candidate exceeds lateTolerance * time left * admissionShare. Such an attempt would only
// delay other RPCs. A few such attempts are sent nevertheless (sendLateProbability), because a recovery of the servers
// would otherwise go unnoticed. Nodes of inner tiers send all such attempts, since a pushback would waste the work of
// the tiers above.
func (b *Balancer) rejectLate(search *serverSearch) bool {
	if b.innerTier || search.exploring {
		return false
	}
	r := search.rpc
	late := search.lowestLatency > lateTolerance*(r.usefulUntil-search.now)*r.admissionShare
	return late && b.rng.Float64() >= sendLateProbability
}

// tied returns the candidates whose time to go is at most tieFactor times the lowest, or all candidates if the node
// explores.
func (s *serverSearch) tied() []candidate {
	if s.exploring {
		return s.candidates
	}
	highest := max(s.lowest, s.lowest*tieFactor) // s.lowest may be negative; the product is then lower
	tied := s.candidates[:0]
	for _, candidate := range s.candidates {
		if candidate.timeToGo <= highest {
			tied = append(tied, candidate)
		}
	}
	return tied
}
