package decide

import "slices"

const minWeight = 0.01 // a server's weight divides what own attempts in flight add to its estimate

// UpdateEndpoints applies a watch event: a delta, or with full set a snapshot, without the servers that have gone.
func (b *Balancer) UpdateEndpoints(list []EndpointUpdate, full bool) {
	now := b.host.Now()
	b.listVersion++
	for i := range list {
		b.updateServer(&list[i], now)
	}
	b.subset.retain(func(s *Server) bool { return s.state == Ready && b.isListed(s, full) })
	b.removeGone(full, now)
	b.countReady()
	b.admission.start(b.minConcurrencyLimit(), now)
}

// updateServer applies one entry of a watch event.
func (b *Balancer) updateServer(update *EndpointUpdate, now float64) {
	s := update.Server
	if s.entries == nil {
		s.entries = b.qTable.newEntries()
		b.servers = append(b.servers, s)
		b.resetServer(s, now)
	} else if update.StartedAt > s.startedAt {
		b.resetServer(s, now)
	}
	s.state, s.startedAt = update.State, update.StartedAt
	s.zone, s.cell = update.Zone, update.Cell
	s.weight = max(update.Weight, minWeight)
	s.listVersion = b.listVersion
}

// isListed reports whether a server is in the list after the last watch event.
func (b *Balancer) isListed(s *Server, full bool) bool {
	return !full || s.listVersion == b.listVersion
}

// removeGone forgets the servers that have gone and have nothing in flight: a day of deploys would fill the memory.
func (b *Balancer) removeGone(full bool, now float64) {
	b.servers = slices.DeleteFunc(b.servers, func(s *Server) bool {
		if !b.isListed(s, full) {
			s.state = Gone
		}
		if s.state != Gone || len(s.inFlight) > 0 {
			return false
		}
		b.resetServer(s, now)
		s.entries = nil
		return true
	})
}

// countReady counts the ready servers and averages their weights.
func (b *Balancer) countReady() {
	b.readyServers, b.meanWeight = 0, 0
	for _, s := range b.servers {
		if s.state == Ready {
			b.readyServers++
			b.meanWeight += s.weight
		}
	}
	b.meanWeight /= float64(max(1, b.readyServers))
}

// resetServer forgets what was learnt of the process that ran before. All nodes are notified of a start at once: a
// random part of a token keeps their first attempts apart.
func (b *Balancer) resetServer(s *Server, now float64) {
	b.dropEntries(s)
	s.pace = pace{}
	s.outlier = outlierState{}
	s.load.forget()
	s.slowStart = slowStartBudget{tokens: b.rng.Float64(), updatedAt: now}
}

// dropEntries forgets what the Q-table has of a server.
func (b *Balancer) dropEntries(s *Server) {
	for row := range s.entries {
		b.qTable.drop(s.entries, row)
	}
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
