package decide

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A node must send most attempts to few servers. A node that sent 90 attempts in 10 s to 43 servers had only outdated
// estimates.
func TestBalancer_Subset(t *testing.T) {
	h, servers := newTestBalancer(200, func(s *Settings) { s.Instances = 100 })
	b := h.balancer
	answered := h.answerOneByOne(400, func(*Server) float64 { return 0.05 + 0.1*b.rng.Float64() })
	byFew := 0
	for _, n := range answered {
		if n >= 10 {
			byFew += n
		}
	}
	assert.Greater(t, byFew, 300, "most attempts go to servers used at least ten times, of %d", len(answered))
	assert.LessOrEqual(t, len(b.subset.members), 8)

	// An ejected member is removed first, even if its estimate is low.
	ejected, r := b.subset.members[0], &RPC{}
	ejected.outlier.ejectedUntil, r.rules = h.now+5, b.methods[lookup].methodRules
	for range 6 {
		outside := slices.IndexFunc(servers, func(s *Server) bool { return !s.inSubset })
		b.addToSubset(r, servers[outside], 0.1, h.now)
	}
	assert.False(t, ejected.inSubset)

	// A draining member is removed at once.
	draining := b.subset.members[0]
	b.UpdateEndpoints([]EndpointUpdate{{Server: draining, State: Draining, Weight: 1}}, false)
	assert.NotContains(t, b.subset.members, draining)
	assert.Contains(t, servers, b.subset.members[0])
}
