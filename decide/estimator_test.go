package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_UnknownServerLatencyRatio(t *testing.T) {
	h, s := newTestBalancer(100, func(s *Settings) { s.Instances = 300 })
	tried := map[*Server]bool{}
	for range 60 {
		h.arrive(lookup)
		tried[h.lastSent().Server] = true
		h.advanceTo(h.now + 0.5)
		h.finish(h.lastSent(), OK)
		h.advanceTo(h.now + 0.5)
	}
	assert.Less(t, len(tried), 30, "hundreds of nodes that each try every overloaded server would keep it overloaded")

	started := &Server{}
	b := h.balancer
	b.UpdateEndpoints([]EndpointUpdate{{Server: started, Weight: 1, StartedAt: h.now}}, false)
	assert.Less(t, b.rankingLatencyRatio(started, 0.5, h.now), b.rankingLatencyRatio(s[99], 0.5, h.now),
		"a server that has just started cannot be overloaded")
}

// The half-life of an entry's weight must not grow with the number of servers, since a node sends most attempts to its
// subset.
func TestBalancer_EntryHalfLife(t *testing.T) {
	for _, n := range []int{8, 200} {
		t.Run(fmt.Sprintf("%d servers", n), func(t *testing.T) {
			h, _ := newTestBalancer(n, func(s *Settings) { s.Instances = 100 })
			h.answerOneByOne(100, constantLatency(0.1))
			b := h.balancer
			s, r, typical := b.subset.members[0], &RPC{}, b.methods[lookup].typicalLatency(h.now)
			row := b.qTable.row(lookup, 0, len(s.inFlight))
			aboveMean := func() float64 {
				timeToGo, _ := b.estimate(r, s, typical, h.now)
				return timeToGo - b.qTable.mean(row, typical)*b.rankingLatencyRatio(s, typical, h.now)
			}
			state := attemptState{row: row, expectedLatency: 0.1}
			b.learn(&Attempt{RPC: r, Server: s, attemptState: state}, 1.5, false, h.now)
			first := aboveMean()
			h.advanceTo(h.now + entryHalfLife*typical)
			assert.InDelta(t, first/2, aboveMean(), first/50)
		})
	}
}

// RPCs with a high work hint take longer. Their latencies must not count in full in the method's typical latency.
func TestBalancer_WorkHint(t *testing.T) {
	h, _ := newTestBalancer(2, nil)
	method := &h.balancer.methods[lookup]
	answer := func(work, latency float64) {
		h.balancer.Arrived(&RPC{WorkHint: work, Deadline: h.now + testDeadline})
		h.advanceTo(h.now + latency)
		h.finish(h.lastSent(), OK)
	}
	for range 60 {
		answer(1, 0.1)
	}
	before := method.typicalLatency(h.now)
	for range 5 {
		answer(5, 0.4) // five times the work, four times the latency
	}
	assert.Less(t, method.typicalLatency(h.now), 1.5*before)

	r := &RPC{WorkHint: 1e9, Deadline: h.now + testDeadline}
	h.balancer.Arrived(r)
	assert.False(t, r.extraWork > 5, "hints are rough: no work counts as more than maxRelativeWork times the mean")
}
