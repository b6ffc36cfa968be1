package decide

import (
	"math"
	"slices"
)

const (
	minSubsetSize       = 4   // servers; one may be ejected, and a retry needs a further server
	maxSubsetSize       = 128 // servers
	serversPerAttempt   = 2.5 // servers added to minSubsetSize per attempt in flight; see subset.limit
	concurrencyHalfLife = 5.0 // seconds; half-life of the mean number of attempts in flight
	replacementHalfLife = 5.0 // seconds; half-life of the count of replaced members
	replacementShare    = 0.1 // highest fraction of the attempts for which a member is replaced
)

// subset is the set of servers that get most of the node's attempts. The paper calls them neighbours. If a node sent
// attempts to all servers in turn, each server would answer too rarely for its estimate to be current. The size of the
// subset depends on the mean number of attempts in flight.
type subset struct {
	members      []*Server
	inFlight     decayingMean  // number of attempts in flight, sampled when an attempt is sent
	replacements decayingValue // decaying count of replaced members
}

// limit returns the size up to which the subset grows: minSubsetSize + serversPerAttempt * mean attempts in flight, at
// most maxSubsetSize.
func (s *subset) limit(now float64) int {
	mean := s.inFlight.read(now, concurrencyHalfLife, 0, 0)
	return min(minSubsetSize+int(serversPerAttempt*mean), maxSubsetSize)
}

// isFull reports whether a new member has to replace another.
func (s *subset) isFull(now float64) bool { return len(s.members) >= s.limit(now) }

// sent adds a sample of the number of attempts in flight. inFlight includes the attempt that is being sent.
func (s *subset) sent(inFlight int, now float64) {
	s.inFlight.add(float64(inFlight), now, concurrencyHalfLife)
}

// replaced counts the replacement of a member by another.
func (s *subset) replaced(now float64) { s.replacements.add(1, now, replacementHalfLife) }

// recentReplacements returns the decaying count of replaced members.
func (s *subset) recentReplacements(now float64) float64 {
	return s.replacements.read(now, replacementHalfLife)
}

// add adds a server to the subset.
func (s *subset) add(server *Server) {
	server.inSubset = true
	s.members = append(s.members, server)
}

// remove removes the member at an index.
func (s *subset) remove(i int) {
	s.members[i].inSubset = false
	s.members = slices.Delete(s.members, i, i+1)
}

// retain removes the members for which keep returns false.
func (s *subset) retain(keep func(*Server) bool) {
	s.members = slices.DeleteFunc(s.members, func(server *Server) bool {
		server.inSubset = keep(server)
		return !server.inSubset
	})
}

// addToSubset adds the server of an RPC's first attempt to the subset. If the subset is full, the member with the
// highest time to go is removed first, together with its entries in the Q-table. The removal is repeated until the
// subset is no longer full, since the limit may have fallen.
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

// worstInSubset returns the index of the member with the highest time to go. The time to go of an ejected member counts
// as infinite.
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
