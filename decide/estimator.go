package decide

const (
	unknownServerFactor = 1.4 // times the latency ratio of all servers tried: the prior of a server without samples
	ownAttemptCost      = 2.0 // typical latencies; what each own attempt in flight adds to a server's time to go
	maxHintReduction    = 0.8 // highest fraction by which a small work hint may reduce an estimate
	crossZoneFactor     = 4.0 // estimates for other zones are multiplied by 1 + crossZoneFactor*Settings.CrossZoneCost
)

// estimate predicts the time to go and the latency of an RPC at a server now, in seconds. Servers are ranked by the
// time to go. The latency is the time expected for the RPC itself: it excludes terms that only rank servers, such as
// own attempts in flight, connection setup and zones.
func (b *Balancer) estimate(r *RPC, s *Server, typical, now float64) (timeToGo, latency float64) {
	row := b.qTable.row(r.Method, r.Tenant, len(s.inFlight))
	mean := b.qTable.mean(row, typical)
	latencyRatio := s.latencyRatio.value(1, typical, now, latencyRatioHalfLife)
	timeToGo, latency = mean*b.rankingLatencyRatio(s, typical, now), mean*latencyRatio
	freshness := s.load.freshness(typical, now)
	// The weight of an entry decays: the estimate returns to the mean of the row times the server's latency ratio,
	// which is also the estimate without an entry.
	entry := &s.entries[row]
	if entry.isLearnt() && entry.isExpired(now) {
		b.qTable.drop(s.entries, row)
	} else if entry.isLearnt() {
		weight := entry.weight(typical, now) * (1 - freshness)
		timeToGo += (entry.q - timeToGo) * weight
		if !entry.failed { // a single failure must not cause the rejection of the next RPC
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

// overdue returns the age in seconds of a server's oldest attempt if it is late, otherwise 0. A hung server has no
// failures until its attempts time out, so a late attempt counts before it ends.
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

// rankingLatencyRatio returns the latency ratio by which a server is ranked, with a higher prior for a server without
// samples.
func (b *Balancer) rankingLatencyRatio(s *Server, typical, now float64) float64 {
	prior := b.unknownServerPrior
	if !b.isWarm(s, now) {
		prior = 1 // a server in slow start cannot be overloaded yet, and after a deploy there are no others
	}
	return s.latencyRatio.value(prior, typical, now, latencyRatioHalfLife)
}

// unknownServerLatencyRatio returns the prior latency ratio of a server without samples:
//
//	unknownServerFactor * max(1, mean latency ratio of all servers tried)
//
// The mean is over recent attempts and includes failures. If the prior equaled the mean, each of hundreds of nodes
// would try every overloaded server once, and together they would keep it overloaded.
func (b *Balancer) unknownServerLatencyRatio(typical, now float64) float64 {
	return unknownServerFactor * max(1, b.fleetLatencyRatio.value(1, typical, now, fleetRatioHalfLife))
}

// recordLatencyRatio adds a sample to the latency ratios. observed is the attempt's latency in seconds, or the latency
// that its failure counts as.
func (b *Balancer) recordLatencyRatio(a *Attempt, observed, now float64) {
	a.Server.latencyRatio.add(observed, a.expectedLatency, now, latencyRatioHalfLife)
	b.fleetLatencyRatio.add(observed, a.expectedLatency, now, fleetRatioHalfLife)
}

// learn updates the Q-table entry that an attempt used. cost is the attempt's cost in seconds.
func (b *Balancer) learn(a *Attempt, cost float64, failed bool, now float64) {
	b.qTable.update(a.Server.entries, a.row, a.expectedLatency, cost, failed, now)
}
