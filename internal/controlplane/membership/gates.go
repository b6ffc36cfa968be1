package membership

import (
	"cmp"
	"maps"
	"slices"
)

// gateGroup describes the pods of a service that have a readiness gate.
type gateGroup struct {
	total     int
	slowStart int   // pods in slow start
	waiting   []Pod // pods whose containers are ready and whose gate is closed
}

// OpenGates returns the UIDs of the pods whose readiness gates are to be opened now, and records these gates as open.
// The containers of the pods are ready, and only a fraction of a service's pods is in slow start at once (see
// admissible). The cluster manager waits for the gates during a rollout, so the gates also limit the speed of the
// rollout.
func (s *State) OpenGates(now float64) []string {
	s.advance(now)
	groups := s.gateGroups()
	var opened []string
	for _, serviceName := range slices.Sorted(maps.Keys(groups)) {
		for _, pod := range groups[serviceName].admissible(s.config.MaxSlowStartFraction) {
			s.gateOpenTimes[pod.UID] = s.now
			opened = append(opened, pod.UID)
		}
	}
	return opened
}

// gateGroups groups the pods that have a readiness gate by service.
func (s *State) gateGroups() map[string]*gateGroup {
	groups := make(map[string]*gateGroup)
	for uid, pod := range s.pods {
		if _, ended := s.endedAt[uid]; ended || pod.GatedService == "" {
			continue
		}
		group := groups[pod.GatedService]
		if group == nil {
			group = &gateGroup{}
			groups[pod.GatedService] = group
		}
		group.total++
		openedAt, opened := s.gateOpenedAt(uid, pod)
		switch {
		case opened && s.now-openedAt < s.config.SlowStartDuration:
			group.slowStart++
		case !opened && pod.ContainersReady:
			group.waiting = append(group.waiting, pod)
		}
	}
	return groups
}

// gateOpenedAt returns the time at which a pod's gate was opened, and whether the gate is open. For a gate that an
// earlier leader opened, the time is the start of the pod. If that start is not known, the time is SlowStartDuration
// ago, so that the slow start is over. The time is stored in gateOpenTimes.
func (s *State) gateOpenedAt(uid string, pod Pod) (float64, bool) {
	openedAt, opened := s.gateOpenTimes[uid]
	if opened || !pod.GateOpen {
		return openedAt, opened
	}
	openedAt = s.now - s.config.SlowStartDuration
	if pod.StartedAt != 0 {
		openedAt = pod.StartedAt
	}
	s.gateOpenTimes[uid] = openedAt
	return openedAt, true
}

// admissible returns the pods whose gates may be opened now, in the order of their start. If all pods of the service
// are waiting, all gates may be opened: no other pod could serve the load meanwhile.
func (g *gateGroup) admissible(maxSlowStartFraction float64) []Pod {
	slices.SortFunc(g.waiting, func(a, b Pod) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.UID, b.UID))
	})
	limit := max(1, int(maxSlowStartFraction*float64(g.total)))
	if g.total == len(g.waiting) {
		limit = g.total
	}
	free := max(0, limit-g.slowStart)
	return g.waiting[:min(len(g.waiting), free)]
}
