package node

import (
	"maps"
	"slices"
)

// maxRecentIDs is how many IDs each half of recentIDs has.
const maxRecentIDs = 4096

// recentIDs remembers IDs, the latest maxRecentIDs at least and twice as many at most. Without a bound, deploys would
// fill the memory with all the IDs there have been.
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
