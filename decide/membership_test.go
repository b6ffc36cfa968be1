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
	answered := h.answerOneByOne(50, constantLatency(0.1))
	assert.Equal(t, 50, answered[s[1]])
}

// Servers that have gone must be removed. Otherwise, after many deploys in a day, they would take up memory and make
// each server search longer.
func TestBalancer_GoneServersRemoved(t *testing.T) {
	h, s := newTestBalancer(2, nil)
	b := h.balancer
	for range 200 {
		h.arrive(lookup)
		inFlight := h.lastSent()
		next := []*Server{{}, {}}
		b.UpdateEndpoints([]EndpointUpdate{readyUpdate(next[0], 0), readyUpdate(next[1], 1)}, true)
		assert.Contains(t, b.servers, inFlight.Server, "the server has an attempt in flight")
		assert.LessOrEqual(t, len(b.servers), 4)
		h.advanceTo(h.now + 0.3)
		h.finish(inFlight, OK)
		h.answerOneByOne(4, constantLatency(0.3))
		s = next
	}
	b.UpdateEndpoints(nil, false)
	assert.ElementsMatch(t, s, b.servers)
	entries := 0
	for _, row := range b.qTable.rows {
		entries += row.count
	}
	assert.LessOrEqual(t, entries, len(s)*len(b.qTable.rows), "entries of removed servers do not count in row means")

	b.UpdateEndpoints([]EndpointUpdate{{Server: s[0], State: Gone, Weight: 1}}, false)
	b.UpdateEndpoints([]EndpointUpdate{readyUpdate(s[0], 0)}, false)
	assert.Len(t, b.servers, 2, "a server that comes back is added as a new one")
	h.answerOneByOne(9, constantLatency(0.3))
}
