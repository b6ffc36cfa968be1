package decide

const (
	unknownPaceFactor = 1.4 // times the pace of the servers tried: what a server not known is taken for
	ownAttemptCost    = 2.0 // typical latencies that each own attempt in flight adds to a server's time to go
	maxHintReduction  = 0.8 // of an estimate, by which a small work hint may lower it
	crossZoneFactor   = 4.0 // times the cost of crossing zones: the part that it adds to an estimate
)

// estimate is what an RPC would take at a server now, in seconds. Servers are ranked by the time to go; the latency is
// what the RPC itself is expected to take, without what only ranks servers.
func (b *Balancer) estimate(r *RPC, s *Server, typical, now float64) (timeToGo, latency float64) {
	row := b.qTable.row(r.Method, r.Tenant, len(s.inFlight))
	mean := b.qTable.mean(row, typical)
	pace := s.pace.ratio(1, typical, now, paceHalfLife)
	timeToGo, latency = mean*b.rankingPace(s, typical, now), mean*pace
	freshness := s.load.freshness(typical, now)
	// An entry fades towards the mean of its row at the server's own pace, which is also where a new entry starts.
	entry := &s.entries[row]
	if entry.isLearnt() && entry.isExpired(now) {
		b.qTable.drop(s.entries, row)
	} else if entry.isLearnt() {
		weight := entry.weight(typical, now) * (1 - freshness)
		timeToGo += (entry.q - timeToGo) * weight
		if !entry.failed { // one failure is no reason to reject the next RPC
			latency += (entry.q - latency) * weight
		}
	}
	more := typical * (b.loadReports.othersInFlight(&s.load, freshness, now) + r.extraWork*pace)
	more = max(more, -maxHintReduction*min(timeToGo, latency))
	timeToGo += more
	latency += more
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

// overdue is the age of a server's oldest attempt once it is late, else 0. A hung server looks sound until its
// time-outs land, so a late attempt counts before it ends.
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

// rankingPace is a server's pace, with more doubt of one that is not known.
func (b *Balancer) rankingPace(s *Server, typical, now float64) float64 {
	prior := b.unknownServerPace
	if !b.isWarm(s, now) {
		prior = 1 // it has just started and cannot be in overload yet, and a deploy leaves no others
	}
	return s.pace.ratio(prior, typical, now, paceHalfLife)
}

// paceOfUnknown is what a server not known is taken for: slower than those tried lately, failures included. On a par
// with them, each of hundreds of nodes would try every server in overload once, and together keep it there.
func (b *Balancer) paceOfUnknown(typical, now float64) float64 {
	return unknownPaceFactor * max(1, b.fleetPace.ratio(1, typical, now, fleetPaceHalfLife))
}

// recordPace counts an attempt that took so many seconds, or counts as such.
func (b *Balancer) recordPace(a *Attempt, observed, now float64) {
	a.Server.pace.add(observed, a.expectedLatency, now, paceHalfLife)
	b.fleetPace.add(observed, a.expectedLatency, now, fleetPaceHalfLife)
}

// learn updates the entry of the Q-table that an attempt used with its cost in seconds.
func (b *Balancer) learn(a *Attempt, cost float64, failed bool, now float64) {
	b.qTable.update(a.Server.entries, a.row, a.expectedLatency, cost, failed, now)
}
