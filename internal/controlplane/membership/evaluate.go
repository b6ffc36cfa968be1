package membership

import (
	"cmp"
	"maps"
	"slices"
)

// server is one process of a service: a pod, or an address for which no pod is known.
type server struct {
	Member
	service   string
	pod       string
	node      string
	endpoints map[string]Endpoint // by key of the slices that list it
	published bool                // the list had it after the last change

	// ending says that the process is known to end. It is never reset.
	ending    bool
	goneSince float64 // 0: it has not gone, or it was never in a list
	// vanishedSince is since when no slice lists it although its end is not known; 0: it has not vanished.
	vanishedSince float64

	readinessLost   bool    // it was ready, and has not become ready again
	readinessLosses int     // how often it lost its readiness
	readyNotBefore  float64 // when the delay after its last loss ends; 0: no delay has begun
}

// settle evaluates the servers that an observation touched, and returns what changed: servers that drain first, so
// that nodes stop sending them requests as early as possible.
func (s *State) settle() []Change {
	servers := slices.SortedFunc(maps.Keys(s.dirty), func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.ID, b.ID))
	})
	clear(s.dirty)
	s.countVanished(servers)
	var changes []Change
	for _, server := range servers {
		delete(s.waiting, server)
		before := server.Member
		s.evaluate(server)
		s.forgetOrWait(server)
		neverPublished := !server.published && server.Phase == Gone
		if server.Member == before || neverPublished {
			continue
		}
		server.published = server.Phase != Gone
		changes = append(changes, Change{Service: server.service, Member: server.Member})
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return publishOrder(a.Phase) - publishOrder(b.Phase) })
	for i := range changes {
		s.revision++
		changes[i].Revision = s.revision
	}
	return changes
}

func publishOrder(phase Phase) int { return slices.Index([]Phase{Draining, Gone, Ready}, phase) }

// forgetOrWait drops a server that went long ago, or keeps it among those that time will change.
func (s *State) forgetOrWait(server *server) {
	if server.Phase != Gone || len(server.endpoints) > 0 {
		return
	}
	if server.goneSince > 0 && s.now-server.goneSince > s.config.ForgetAfter {
		delete(s.services[server.service].servers, server.ID)
		removeFromIndex(s.serversByPod, server.pod, server)
		removeFromIndex(s.serversByNode, server.node, server)
		return
	}
	s.waiting[server] = true
}

// evaluate sets a server's phase.
func (s *State) evaluate(server *server) {
	listed, ready, terminating := server.combineEndpoints()
	if server.Zone == "" {
		server.Zone = s.nodes[server.node].Zone
	}
	server.ending = server.ending || terminating || s.isEnding(server)
	switch {
	case server.ending:
		s.drain(server, listed)
	case !listed && server.published:
		s.evaluateVanished(server)
	case !listed:
		s.remove(server)
	case !ready:
		server.markNotReady()
	default:
		s.markReady(server)
	}
}

// combineEndpoints sets the server's address and zone to those of the last slice by key, and returns whether any slice
// lists it, whether it is ready in all of them, and whether it terminates in any.
func (s *server) combineEndpoints() (listed, ready, terminating bool) {
	ready = true
	for _, key := range slices.Sorted(maps.Keys(s.endpoints)) {
		endpoint := s.endpoints[key]
		s.Addr, s.Zone = endpoint.Addr, endpoint.Zone
		ready = ready && endpoint.Ready
		terminating = terminating || endpoint.Terminating
	}
	return len(s.endpoints) > 0, ready, terminating
}

// isEnding reports whether a server's pod ends or its node is being emptied.
func (s *State) isEnding(server *server) bool {
	node := s.nodes[server.node]
	return s.hasEnded(server) || node.Evicting || node.Cordoned && s.config.DrainCordoned
}

// drain keeps a server that ends in the list as draining while a slice lists it and its pod has not finished.
func (s *State) drain(server *server, listed bool) {
	server.vanishedSince = 0
	pod := s.pods[server.pod]
	if !listed || pod.Finished && !pod.Deleting {
		s.remove(server)
		return
	}
	server.Phase = Draining
	server.goneSince = 0
}

// remove takes a server out of the list.
func (s *State) remove(server *server) {
	if server.Phase != Gone || server.goneSince == 0 {
		server.goneSince = s.now
	}
	server.Phase = Gone
	server.vanishedSince = 0
}

// markNotReady drains a server that is listed as not ready. It stays out of the list if it was never ready.
func (s *server) markNotReady() {
	s.vanishedSince, s.goneSince = 0, 0
	switch {
	case s.Phase == Ready:
		s.loseReadiness()
	case s.Phase == Gone && s.published:
		s.Phase = Draining
	}
}

// loseReadiness drains a ready server. It can come back, after a delay.
func (s *server) loseReadiness() {
	s.Phase = Draining
	s.readinessLost = true
	s.readinessLosses++
}

// markReady makes a server ready that is listed as ready. One that lost its readiness waits first, longer each time. It
// comes back as a server that has just started, since to nodes a draining process does not come back.
func (s *State) markReady(server *server) {
	server.vanishedSince, server.goneSince = 0, 0
	if server.Phase == Ready {
		return
	}
	if server.readinessLost {
		if server.readyNotBefore == 0 {
			server.readyNotBefore = s.now + s.flapDelay(server.readinessLosses)
			s.waiting[server] = true
			return
		}
		if s.now < server.readyNotBefore {
			s.waiting[server] = true
			return
		}
	}
	server.StartedAt = s.now
	startedAt := s.pods[server.pod].StartedAt
	if !server.readinessLost && !server.published && startedAt > 0 {
		server.StartedAt = startedAt
	}
	server.Phase = Ready
	server.readinessLost = false
	server.readyNotBefore = 0
}

// maxDoublings bounds the exponent of the delay, which MaxFlapDelay bounds long before.
const maxDoublings = 20

// flapDelay returns how long a server waits that has lost its readiness so often.
func (s *State) flapDelay(losses int) float64 {
	doublings := min(losses-1, maxDoublings)
	return min(s.config.FlapDelay*float64(uint64(1)<<doublings), s.config.MaxFlapDelay)
}
