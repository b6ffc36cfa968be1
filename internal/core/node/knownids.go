package node

import (
	"maps"
	"slices"
)

// maxRecentIDs is the largest number of IDs in each of the two sets of a recentIDs.
const maxRecentIDs = 4096

// recentIDs is a bounded set of the most recently added IDs. It holds at least the last maxRecentIDs IDs, and at most
// twice as many. Without a bound it would grow with each deploy, because new servers have new IDs.
type recentIDs struct{ current, previous map[string]struct{} }

func (r *recentIDs) add(id string) {
	if len(r.current) >= maxRecentIDs {
		r.previous, r.current = r.current, nil
	}
	if r.current == nil {
		r.current = map[string]struct{}{}
	}
	r.current[id] = struct{}{}
}

func (r *recentIDs) has(id string) bool {
	_, current := r.current[id]
	_, previous := r.previous[id]
	return current || previous
}

func (r *recentIDs) all() []string {
	return slices.Concat(slices.Collect(maps.Keys(r.previous)), slices.Collect(maps.Keys(r.current)))
}
