package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_DrainingServer(t *testing.T) {
	h, s := newTestBalancer(3, nil)
	h.balancer.UpdateEndpoints([]EndpointUpdate{{Server: s[0], State: Draining, Weight: 1}}, false)
	h.balancer.UpdateEndpoints([]EndpointUpdate{readyUpdate(s[0], 0), readyUpdate(s[1], 1)}, true)
	h.balancer.UpdateEndpoints([]EndpointUpdate{{Server: s[0], State: Gone, Weight: 1}}, false)
	got := h.answerOneByOne(50, constantLatency(0.1))
	assert.Equal(t, 50, got[s[1]])
}

// Under deploys all day the servers that have left must cost neither memory nor a walk over them.
func TestBalancer_GoneServersForgotten(t *testing.T) {
	h, s := newTestBalancer(2, nil)
	for range 200 {
		h.arrive(lookup)
		out := h.lastSent()
		next := []*Server{{}, {}}
		h.balancer.UpdateEndpoints([]EndpointUpdate{readyUpdate(next[0], 0), readyUpdate(next[1], 1)}, true)
		assert.Contains(t, h.balancer.servers, out.Server, "its pick is still out")
		assert.LessOrEqual(t, len(h.balancer.servers), 4)
		h.advanceTo(h.now + 0.3)
		h.finish(out, OK)
		h.answerOneByOne(4, constantLatency(0.3))
		s = next
	}
	h.balancer.UpdateEndpoints(nil, false)
	assert.ElementsMatch(t, s, h.balancer.servers)
	kept := 0
	for _, r := range h.balancer.qTable.rows {
		kept += r.count
	}
	assert.LessOrEqual(t, kept, len(s)*len(h.balancer.qTable.rows), "nor do their entries count in the means")
	h.balancer.UpdateEndpoints([]EndpointUpdate{{Server: s[0], State: Gone, Weight: 1}}, false)
	h.balancer.UpdateEndpoints([]EndpointUpdate{readyUpdate(s[0], 0)}, false)
	assert.Len(t, h.balancer.servers, 2, "one that comes back starts anew")
	h.answerOneByOne(9, constantLatency(0.3))
}
