package membership

// minVanishedSince is the smallest value of vanishedSince for a vanished server: the value 0 means that the server has
// not vanished.
const minVanishedSince = 1e-9

// shrinkWindow counts the servers of a service that vanished from the service's EndpointSlices although their pods were
// not known to be terminating. Many such servers indicate a fault of the API, such as an empty EndpointSlice or a list
// that lacks a page: in a scale-down, the end of each pod is observed. The window lasts for ShrinkHold after the first
// such server vanished.
type shrinkWindow struct {
	start        float64
	vanished     int
	readyAtStart int // ready servers at the start of the window
	alive        int // at the last count: servers that an EndpointSlice listed and that were not ending
}

// countVanished adds the servers that have just vanished to the windows of their services. It must run before evaluate
// is called for any of these servers, since their phases depend on the count.
func (s *State) countVanished(servers []*server) {
	shrunk := make(map[*service]bool)
	for _, server := range servers {
		if !s.vanishesNow(server) {
			continue
		}
		owner := s.services[server.service]
		if owner.shrink.vanished == 0 || s.now-owner.shrink.start > s.config.ShrinkHold {
			owner.shrink = shrinkWindow{start: s.now, readyAtStart: owner.countReady()}
		}
		owner.shrink.vanished++
		server.vanishedSince = max(s.now, minVanishedSince)
		shrunk[owner] = true
	}
	// Count the servers once per service: with a count for each vanished server, the loss of an EndpointSlice with
	// thousands of servers would take minutes.
	for owner := range shrunk {
		owner.shrink.alive = s.countAlive(owner)
	}
}

// vanishesNow reports whether a published server has vanished since the last call of evaluate for the server.
func (s *State) vanishesNow(server *server) bool {
	return len(server.endpoints) == 0 && server.published && server.vanishedSince == 0 &&
		!server.ending && !s.hasEnded(server)
}

func (s *service) countReady() int {
	ready := 0
	for _, server := range s.servers {
		if server.Phase == Ready {
			ready++
		}
	}
	return ready
}

func (s *State) countAlive(owner *service) int {
	alive := 0
	for _, server := range owner.servers {
		if len(server.endpoints) > 0 && !server.ending && !s.hasEnded(server) {
			alive++
		}
	}
	return alive
}

// evaluateVanished sets the phase of a server that no EndpointSlice lists although the server is not known to be
// terminating. If the shrink is accepted (see acceptsShrink), a server whose pod is known drains, and a server whose
// pod is not known is removed at once. If the shrink is not accepted, the server keeps its phase until the end of its
// pod is observed. In all cases, the server is removed once ShrinkHold has passed.
func (s *State) evaluateVanished(server *server) {
	accepted := s.acceptsShrink(s.services[server.service].shrink)
	podKnown := s.pods[server.pod].UID != ""
	if s.now-server.vanishedSince > s.config.ShrinkHold || accepted && !podKnown {
		s.remove(server)
		return
	}
	if accepted && server.Phase == Ready {
		server.loseReadiness() // the pod still exists, and the server is not gone before the pod ends
	}
	s.timeDependent[server] = true
}

// acceptsShrink reports whether vanished servers are treated as gone. Vanished servers are treated as gone if only a
// few of the service's servers vanished, and also if enough other servers are listed, since this indicates a deployment
// and not an incomplete list.
func (s *State) acceptsShrink(window shrinkWindow) bool {
	readyBefore := float64(window.readyAtStart)
	few := float64(window.vanished) <= s.config.MaxShrinkFraction*readyBefore &&
		window.vanished < window.readyAtStart
	replaced := float64(window.alive) >= (1-s.config.MaxShrinkFraction)*readyBefore && window.alive > 0
	return few || replaced
}
