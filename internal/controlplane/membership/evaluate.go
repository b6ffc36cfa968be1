package membership

import (
	"cmp"
	"maps"
	"slices"
)

// server is one server of a service: a pod, or an address whose pod is not known.
type server struct {
	Member
	service   string
	pod       string
	node      string
	endpoints map[string]Endpoint // by key of the EndpointSlice that lists the endpoint
	published bool                // the server's last published phase is not Gone

	// ending is true once the server is known to be terminating or isEnding has returned true. It is never reset.
	ending    bool
	goneSince float64 // when remove set the phase to Gone; 0: remove was not called, or the server is listed again
	// vanishedSince is the time at which the server disappeared from all EndpointSlices although the server was not
	// known to be terminating; 0: the server has not vanished.
	vanishedSince float64

	readinessLost   bool    // the server lost its readiness, and has not become ready again
	readinessLosses int     // number of times that the server lost its readiness
	readyNotBefore  float64 // end of the delay after the last readiness loss; 0: no delay has begun
}

// evaluateDirty evaluates the dirty servers and returns the changes. Draining servers come first, so that robincart
// nodes stop sending requests to these servers as early as possible.
func (s *State) evaluateDirty() []Change {
	servers := slices.SortedFunc(maps.Keys(s.dirty), func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.ID, b.ID))
	})
	clear(s.dirty)
	s.countVanished(servers)
	var changes []Change
	for _, server := range servers {
		delete(s.timeDependent, server)
		before := server.Member
		s.evaluate(server)
		s.forgetOrRecheck(server)
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

// forgetOrRecheck deletes a server that has been gone for longer than ForgetAfter and that no EndpointSlice lists. A
// server that has been gone for a shorter time is evaluated again on each Tick.
func (s *State) forgetOrRecheck(server *server) {
	if server.Phase != Gone || len(server.endpoints) > 0 {
		return
	}
	if server.goneSince > 0 && s.now-server.goneSince > s.config.ForgetAfter {
		delete(s.services[server.service].servers, server.ID)
		removeFromIndex(s.serversByPod, server.pod, server)
		removeFromIndex(s.serversByNode, server.node, server)
		return
	}
	s.timeDependent[server] = true
}

// evaluate sets a server's phase from the latest observations.
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

// combineEndpoints sets the server's address and zone to those in the EndpointSlice with the highest key. It returns
// whether any EndpointSlice lists the server, whether all EndpointSlices that list the server list the server as ready,
// and whether any EndpointSlice lists the server as terminating.
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

// isEnding reports whether the end of a server's pod was observed, or whether the Kubernetes node that the server runs
// on has a taint with the effect NoExecute, or whether that Kubernetes node is cordoned and DrainCordoned is set.
func (s *State) isEnding(server *server) bool {
	node := s.nodes[server.node]
	return s.hasEnded(server) || node.Evicting || node.Cordoned && s.config.DrainCordoned
}

// drain sets an ending server to Draining while an EndpointSlice lists the server and the server's pod has not
// finished. After that, drain sets the server to Gone.
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

// remove sets a server to Gone, which removes it from the list.
func (s *State) remove(server *server) {
	if server.Phase != Gone || server.goneSince == 0 {
		server.goneSince = s.now
	}
	server.Phase = Gone
	server.vanishedSince = 0
}

// markNotReady drains a server that an EndpointSlice lists as not ready. A server that was never ready stays out of the
// list.
func (s *server) markNotReady() {
	s.vanishedSince, s.goneSince = 0, 0
	switch {
	case s.Phase == Ready:
		s.loseReadiness()
	case s.Phase == Gone && s.published:
		s.Phase = Draining
	}
}

// loseReadiness sets a ready server to Draining. The server can become ready again after a delay (see flapDelay).
func (s *server) loseReadiness() {
	s.Phase = Draining
	s.readinessLost = true
	s.readinessLosses++
}

// markReady sets a server to Ready. It is called if all EndpointSlices that list the server list the server as ready. A
// server that lost its readiness first waits for flapDelay. The server then gets a new start time, since robincart
// nodes treat the drain of a process as final.
func (s *State) markReady(server *server) {
	server.vanishedSince, server.goneSince = 0, 0
	if server.Phase == Ready {
		return
	}
	if server.readinessLost {
		if server.readyNotBefore == 0 {
			server.readyNotBefore = s.now + s.flapDelay(server.readinessLosses)
			s.timeDependent[server] = true
			return
		}
		if s.now < server.readyNotBefore {
			s.timeDependent[server] = true
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

// maxDoublings limits the exponent in flapDelay, so that the shift does not overflow. MaxFlapDelay normally limits the
// delay at far fewer doublings.
const maxDoublings = 20

// flapDelay returns the delay in seconds after a number of readiness losses: FlapDelay * 2^(losses-1), at most
// MaxFlapDelay.
func (s *State) flapDelay(losses int) float64 {
	doublings := min(losses-1, maxDoublings)
	return min(s.config.FlapDelay*float64(uint64(1)<<doublings), s.config.MaxFlapDelay)
}
