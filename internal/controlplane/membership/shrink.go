package membership

// earliestVanish is the earliest time at which a server can have vanished, since 0 says that it has not.
const earliestVanish = 1e-9

// shrinkWindow counts the servers of a service that vanished from its slices lately, of which nothing says that they
// end. Many at once look like a fault of the API (an empty slice, a list that lacks a page) and not like a scale-down,
// where the end of each pod is observed. The window lasts for ShrinkHold from the first one.
type shrinkWindow struct {
	start        float64
	vanished     int
	readyAtStart int // ready servers when it began
	alive        int // servers that slices list now and that do not end
}

// countVanished counts the servers that vanish now, before any of them is evaluated.
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
		server.vanishedSince = max(s.now, earliestVanish)
		shrunk[owner] = true
	}
	// Once for each service: counted for each server, a lost slice with thousands of servers would take minutes.
	for owner := range shrunk {
		owner.shrink.alive = s.countAlive(owner)
	}
}

// vanishesNow reports whether a published server has vanished since it was last evaluated.
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

// evaluateVanished sets the phase of a server that no slice lists although its end is not known. If only a few vanished
// they are believed; what is beyond that stays as it was until the end of the pods is observed, or ShrinkHold has
// passed.
func (s *State) evaluateVanished(server *server) {
	believed := s.believesShrink(s.services[server.service].shrink)
	podKnown := s.pods[server.pod].UID != ""
	if s.now-server.vanishedSince > s.config.ShrinkHold || believed && !podKnown {
		s.remove(server)
		return
	}
	if believed && server.Phase == Ready {
		server.loseReadiness() // its pod lives; it is gone only when that ends
	}
	s.waiting[server] = true
}

// believesShrink reports whether the servers that vanished are taken to have gone: only some of them did, or others are
// listed in their places, which is a deployment and not a list that lacks servers.
func (s *State) believesShrink(window shrinkWindow) bool {
	readyBefore := float64(window.readyAtStart)
	few := float64(window.vanished) <= s.config.MaxShrinkFraction*readyBefore &&
		window.vanished < window.readyAtStart
	replaced := float64(window.alive) >= (1-s.config.MaxShrinkFraction)*readyBefore && window.alive > 0
	return few || replaced
}
