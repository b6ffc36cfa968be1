package decide

const (
	// Prior latency ratio of servers without samples, as a multiple of max(1, mean latency ratio of all servers that
	// got attempts).
	unknownServerFactor = 1.4
	ownAttemptCost      = 2.0 // in typical latencies; added to the time to go for each attempt of this node in flight
	maxHintReduction    = 0.8 // a small work hint reduces an estimate by at most this fraction
	crossZoneFactor     = 4.0 // estimates for other zones are multiplied by 1 + crossZoneFactor*Settings.CrossZoneCost
)

// estimate predicts, in seconds, the time to go and the latency of an RPC that is sent to a server now. Servers are
// ranked by the time to go. The latency is the time in which the server is expected to answer. The latency excludes the
// terms that serve only to rank servers: this node's attempts in flight, connection setup, late attempts and zones.
func (b *Balancer) estimate(r *RPC, s *Server, typical, now float64) (timeToGo, latency float64) {
	row := b.qTable.row(r.Method, r.Tenant, len(s.inFlight))
	mean := b.qTable.mean(row, typical)
	latencyRatio := s.latencyRatio.value(1, typical, now, latencyRatioHalfLife)
	timeToGo, latency = mean*b.rankingLatencyRatio(s, typical, now), mean*latencyRatio
	freshness := s.load.freshness(typical, now)
	// The weight of an entry decays with the entry's age. The estimate then approaches the row's mean times the
	// server's latency ratio, which is also the estimate of a server without an entry.
	entry := &s.entries[row]
	if entry.isLearnt() && entry.isExpired(now) {
		b.qTable.drop(s.entries, row)
	} else if entry.isLearnt() {
		weight := entry.weight(typical, now) * (1 - freshness)
		timeToGo += (entry.q - timeToGo) * weight
		if !entry.failed { // otherwise a single failure could cause the rejection of the next RPC
			latency += (entry.q - latency) * weight
		}
	}
	extra := typical * (b.loadReports.othersInFlight(&s.load, freshness, now) + r.extraWork*latencyRatio)
	extra = max(extra, -maxHintReduction*min(timeToGo, latency))
	timeToGo += extra
	latency += extra
	timeToGo += ownAttemptCost * typical * float64(len(s.inFlight)) * b.meanWeight / s.weight
	if !s.connections.open {
		timeToGo += b.idleConnections.setupTime(now)
	}
	timeToGo += s.overdue(now)
	if s.zone != b.zone {
		timeToGo *= 1 + crossZoneFactor*b.crossZoneCost
	}
	return timeToGo, latency
}

// overdue returns the age in seconds of the server's oldest attempt in flight if this attempt is late, otherwise 0. A
// hung server has no failures until its attempts time out, so a late attempt is counted while it is still in flight.
func (s *Server) overdue(now float64) float64 {
	if len(s.inFlight) == 0 {
		return 0
	}
	oldest := s.inFlight[0]
	age := now - oldest.sentAt
	if age <= oldest.lateAfter || oldest.RPC.BodyPending {
		return 0
	}
	return age
}

// rankingLatencyRatio returns the latency ratio by which a server is ranked. Its prior is above 1 for a warm server, so
// that a warm server without samples counts as slower than expected.
func (b *Balancer) rankingLatencyRatio(s *Server, typical, now float64) float64 {
	prior := b.unknownServerPrior
	if !b.isWarm(s, now) {
		prior = 1 // a server in slow start is not overloaded yet; after a deploy all servers may be in slow start
	}
	return s.latencyRatio.value(prior, typical, now, latencyRatioHalfLife)
}

// unknownServerLatencyRatio returns the prior latency ratio of a server without samples:
//
//	unknownServerFactor * max(1, mean latency ratio of all servers that got attempts)
//
// The mean is taken over recent attempts, including failed ones. If the prior equaled the mean, each of hundreds of
// nodes would try every overloaded server once, and together the nodes would keep these servers overloaded.
func (b *Balancer) unknownServerLatencyRatio(typical, now float64) float64 {
	return unknownServerFactor * max(1, b.fleetLatencyRatio.value(1, typical, now, fleetRatioHalfLife))
}

// recordLatencyRatio adds a sample to the latency ratios. observed is the attempt's latency in seconds or, for a failed
// attempt, the latency that is recorded in place of a measured latency.
func (b *Balancer) recordLatencyRatio(a *Attempt, observed, now float64) {
	a.Server.latencyRatio.add(observed, a.expectedLatency, now, latencyRatioHalfLife)
	b.fleetLatencyRatio.add(observed, a.expectedLatency, now, fleetRatioHalfLife)
}

// learn updates the Q-table entry for an attempt's row and server. cost is in seconds: the attempt's latency, or the
// method's Deadline if the attempt failed.
func (b *Balancer) learn(a *Attempt, cost float64, failed bool, now float64) {
	b.qTable.update(a.Server.entries, a.row, a.expectedLatency, cost, failed, now)
}
