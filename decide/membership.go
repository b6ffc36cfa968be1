package decide

import "slices"

const minWeight = 0.01 // lower bound of a server's weight, since estimate divides by the weight

// UpdateEndpoints applies a watch event: a snapshot if full is set, otherwise a delta. A server that is missing from a
// snapshot has gone.
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

// isListed reports whether the last watch event leaves a server in the endpoint list. A snapshot (full is set) leaves
// only the servers that it contains. A delta also leaves the servers that it does not contain.
func (b *Balancer) isListed(s *Server, full bool) bool {
	return !full || s.listVersion == b.listVersion
}

// removeGone removes the servers that have gone and have no attempt in flight. Without the removal, the servers
// replaced in a day of deploys would fill the memory.
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

// countReady counts the ready servers and computes the mean of their weights.
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

// resetServer drops the estimates of a server, since they describe its previous process. All nodes are notified of the
// server's start at the same time. At each node, the slow-start bucket starts with a random fraction of a token, which
// spreads the nodes' first attempts over time.
func (b *Balancer) resetServer(s *Server, now float64) {
	b.dropEntries(s)
	s.latencyRatio = latencyRatio{}
	s.outlier = outlierState{}
	s.load.forget()
	s.slowStart = slowStartBudget{tokens: b.rng.Float64(), updatedAt: now}
}

// dropEntries drops a server's entries in the Q-table.
func (b *Balancer) dropEntries(s *Server) {
	for row := range s.entries {
		b.qTable.drop(s.entries, row)
	}
}

// EndpointWatchFailed watches the endpoint list again after a random wait. The wait grows with each failure, because
// failures are a sign of an overloaded discovery service. If resetBackoff is set, the backoff restarts with the
// shortest pause. The host sets resetBackoff if watch events had been arriving for a while, or if the host has made no
// call that could fail. The random wait has an upper bound. The bound is at least minWait seconds, so that a fleet does
// not poll a busy discovery service too soon, and at most maxWait seconds, because changes in the endpoint list must
// take effect in time.
func (b *Balancer) EndpointWatchFailed(resetBackoff bool, minWait, maxWait float64) {
	if resetBackoff {
		b.watch.reset()
	}
	wait, timer := b.watch.next(minWait, maxWait, b.rng.Float64())
	b.host.StartTimer(wait, timer)
}
