package membership

import (
	"cmp"
	"maps"
	"slices"
)

// gateGroup is a service's pods that have a readiness gate.
type gateGroup struct {
	total     int
	slowStart int   // pods in slow start
	waiting   []Pod // pods whose containers are ready and whose gate is closed
}

// OpenGates returns the UIDs of the pods whose readiness gates are to be opened now: their containers are ready, and
// only a fraction of their service is in slow start at once. A cluster manager waits for the gates as it rolls a
// deployment out, and so keeps that pace.
func (s *State) OpenGates(now float64) []string {
	s.advance(now)
	groups := s.gateGroups()
	var opened []string
	for _, serviceName := range slices.Sorted(maps.Keys(groups)) {
		for _, pod := range groups[serviceName].admissible(s.config.MaxSlowStartFraction) {
			s.gatedAt[pod.UID] = s.now
			opened = append(opened, pod.UID)
		}
	}
	return opened
}

// gateGroups returns the pods with gates by service.
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

// gateOpenedAt returns when a pod's gate was opened. A gate that an earlier leader opened is taken to have been opened
// when the pod started, or, if that is not known, so long ago that its slow start is over. That time is kept.
func (s *State) gateOpenedAt(uid string, pod Pod) (float64, bool) {
	openedAt, opened := s.gatedAt[uid]
	if opened || !pod.GateOpen {
		return openedAt, opened
	}
	openedAt = s.now - s.config.SlowStartDuration
	if pod.StartedAt != 0 {
		openedAt = pod.StartedAt
	}
	s.gatedAt[uid] = openedAt
	return openedAt, true
}

// admissible returns the pods whose gates may be opened now, those that started first before others. Where all pods of
// the service wait, all may: none is there whose load could be spared.
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
