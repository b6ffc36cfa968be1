package decide

// The list of servers: what it tells of starts and ends, and when it is asked for again.

import (
	"slices"
)

// UpdateEndpoints takes news of the servers; a full list also tells which have left.
func (b *Balancer) UpdateEndpoints(list []EndpointUpdate, full bool) {
	now := b.host.Now()
	b.listVersion++
	for _, l := range list {
		s := l.Server
		if s.entries == nil {
			s.entries = b.qTable.newEntries()
			b.servers = append(b.servers, s)
			b.restart(s, now)
		} else if l.StartedAt > s.startedAt {
			b.restart(s, now)
		}
		s.state, s.zone, s.cell, s.weight, s.startedAt = l.State, l.Zone, l.Cell, max(l.Weight, 0.01), l.StartedAt
		s.listVersion = b.listVersion
	}
	b.subset = slices.DeleteFunc(b.subset, func(s *Server) bool {
		s.inSubset = s.state == Ready && (!full || s.listVersion == b.listVersion)
		return !s.inSubset
	})
	b.readyServers, b.meanWeight = 0, 0
	b.servers = slices.DeleteFunc(b.servers, func(s *Server) bool {
		if full && s.listVersion != b.listVersion {
			s.state = Gone
		}
		if s.state == Ready {
			b.readyServers++
			b.meanWeight += s.weight
		}
		// What has left and has nothing out is forgotten, else a day of deploys would fill the memory.
		left := s.state == Gone && len(s.inFlight) == 0
		if left {
			b.restart(s, now)
			s.entries = nil
		}
		return left
	})
	b.meanWeight /= float64(max(1, b.readyServers))
	b.admission.start(b.minConcurrencyLimit(), now)
}

// restart forgets what was learnt of the process that ran before.
func (b *Balancer) restart(s *Server, now float64) {
	for i := range s.entries {
		b.qTable.drop(s.entries, i)
	}
	s.pace = pace{}
	s.outlier = outlierState{}
	s.load.forget()
	// All nodes hear of the start at once: a random part of a token keeps their first picks apart.
	s.slowStart = slowStartBudget{tokens: b.rng.Float64(), updatedAt: now}
}

// EndpointWatchFailed watches the list again after a wait that grows while failures say that discovery is overloaded.
// With resetBackoff set this one does not: there had been watch events for a while, or there was no call that could
// fail. The longest wait that may be drawn is at least minWait, which keeps a fleet from polling a busy discovery too
// soon, and at most maxWait, since what discovery had meanwhile binds in time.
func (b *Balancer) EndpointWatchFailed(resetBackoff bool, minWait, maxWait float64) {
	if resetBackoff {
		b.watch.reset()
	}
	wait, timer := b.watch.next(minWait, maxWait, b.rng.Float64())
	b.host.StartTimer(wait, timer)
}
