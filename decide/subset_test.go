package decide

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// On portail-rimouski a node met 43 servers in 10 s with 90 picks: what it heard of each was old when it was used.
func TestBalancer_SubsetSize(t *testing.T) {
	h, s := newTestBalancer(200, func(s *Settings) { s.Instances = 100 })
	got := h.answerOneByOne(400, func(x *Server) float64 { return 0.05 + 0.1*h.balancer.rng.Float64() })
	few := 0
	for _, n := range got {
		if n >= 10 {
			few += n
		}
	}
	assert.Greater(t, few, 300, "most picks go to servers met often: %d met", len(got))
	assert.LessOrEqual(t, len(h.balancer.subset.members), 8)
	// An ejected one leaves first, however low its estimate. The tidied join had looked at estimates alone.
	ill, r := h.balancer.subset.members[0], &RPC{}
	ill.outlier.ejectedUntil, r.rules = h.now+5, h.balancer.methods[lookup].methodRules
	for range 6 {
		h.balancer.addToSubset(r, s[slices.IndexFunc(s, func(x *Server) bool { return !x.inSubset })], 0.1, h.now)
	}
	assert.False(t, ill.inSubset)
	// What drains makes room at once.
	first := h.balancer.subset.members[0]
	h.balancer.UpdateEndpoints([]EndpointUpdate{{Server: first, State: Draining, Weight: 1}}, false)
	assert.NotContains(t, h.balancer.subset.members, first)
	assert.Contains(t, s, h.balancer.subset.members[0])
}
