package decide

import (
	"math"
	"slices"
)

const (
	minSubsetSize       = 4   // one may be ejected, and a retry needs another
	maxSubsetSize       = 128 // servers
	subsetPerAttempt    = 2.5 // servers more for each attempt that the node has in flight on average
	concurrencyHalfLife = 5.0 // seconds; of that average
	replacementHalfLife = 5.0 // seconds
	replacementShare    = 0.1 // of the attempts may bring a new member in place of another
)

// subset is the servers that the node mostly sends to, the neighbours of the paper's router: a node that sends to all
// servers in turn hears too seldom from each. Its size follows the attempts in flight.
type subset struct {
	members      []*Server
	inFlight     decayingMean  // attempts in flight when others were sent
	replacements decayingValue // of one member by another
}

// limit is how many servers the node's attempts need.
func (s *subset) limit(now float64) int {
	mean := s.inFlight.read(now, concurrencyHalfLife, 0, 0)
	return min(minSubsetSize+int(subsetPerAttempt*mean), maxSubsetSize)
}

// isFull reports whether a new member replaces another.
func (s *subset) isFull(now float64) bool { return len(s.members) >= s.limit(now) }

// sent counts an attempt with which so many are in flight.
func (s *subset) sent(inFlight int, now float64) {
	s.inFlight.add(float64(inFlight), now, concurrencyHalfLife)
}

// replaced counts a new member in place of another.
func (s *subset) replaced(now float64) { s.replacements.add(1, now, replacementHalfLife) }

// recentReplacements is how many members have lately been replaced.
func (s *subset) recentReplacements(now float64) float64 {
	return s.replacements.read(now, replacementHalfLife)
}

// add makes a server a member.
func (s *subset) add(server *Server) {
	server.inSubset = true
	s.members = append(s.members, server)
}

// remove takes out the member at an index.
func (s *subset) remove(i int) {
	s.members[i].inSubset = false
	s.members = slices.Delete(s.members, i, i+1)
}

// retain takes out the members for which keep does not hold.
func (s *subset) retain(keep func(*Server) bool) {
	s.members = slices.DeleteFunc(s.members, func(server *Server) bool {
		server.inSubset = keep(server)
		return !server.inSubset
	})
}

// addToSubset makes the server of an RPC's first attempt a member. Where the subset is full, the members with the
// highest estimates leave, with what the Q-table has of them.
func (b *Balancer) addToSubset(r *RPC, s *Server, typical, now float64) {
	b.subset.sent(b.attemptsInFlight+1, now)
	if s.inSubset || len(r.attempts) > 0 {
		return
	}
	if b.subset.isFull(now) {
		b.subset.replaced(now)
	}
	for b.subset.isFull(now) {
		worst := b.worstInSubset(r, typical, now)
		b.dropEntries(b.subset.members[worst])
		b.subset.remove(worst)
	}
	b.subset.add(s)
}

// worstInSubset is the index of the member with the highest estimate; an ejected one counts as the highest.
func (b *Balancer) worstInSubset(r *RPC, typical, now float64) int {
	worst, highest := 0, -1.0
	for i, s := range b.subset.members {
		timeToGo, _ := b.estimate(r, s, typical, now)
		if s.outlier.isEjected(now) {
			timeToGo = math.Inf(1)
		}
		if timeToGo > highest {
			worst, highest = i, timeToGo
		}
	}
	return worst
}
