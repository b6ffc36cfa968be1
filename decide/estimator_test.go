package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_UnknownServerPace(t *testing.T) {
	h, s := newTestBalancer(100, func(s *Settings) { s.Instances = 300 })
	tried := map[*Server]bool{}
	for range 60 {
		h.arrive(lookup)
		tried[h.lastSent().Server] = true
		h.advanceTo(h.now + 0.5)
		h.finish(h.lastSent(), OK)
		h.advanceTo(h.now + 0.5)
	}
	assert.Less(t, len(tried), 30, "each of hundreds of nodes would try every server in overload and keep it there")

	started := &Server{}
	b := h.balancer
	b.UpdateEndpoints([]EndpointUpdate{{Server: started, Weight: 1, StartedAt: h.now}}, false)
	assert.Less(t, b.rankingPace(started, 0.5, h.now), b.rankingPace(s[99], 0.5, h.now),
		"one that has just started cannot be in overload")
}

// A half-life stretched to the time in which a node sent to all servers outlived its use when nodes began to send to a
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
				return timeToGo - b.qTable.mean(row, typical)*b.rankingPace(s, typical, h.now)
			}
			state := attemptState{row: row, expectedLatency: 0.1}
			b.learn(&Attempt{RPC: r, Server: s, attemptState: state}, 1.5, false, h.now)
			first := aboveMean()
			h.advanceTo(h.now + entryHalfLife*typical)
			assert.InDelta(t, first/2, aboveMean(), first/50)
		})
	}
}

// A heavy RPC is no sign of a slow server.
func TestBalancer_WorkHint(t *testing.T) {
	h, _ := newTestBalancer(2, nil)
	method := &h.balancer.methods[lookup]
	play := func(work, latency float64) {
		h.balancer.Arrived(&RPC{WorkHint: work, Deadline: h.now + testDeadline})
		h.advanceTo(h.now + latency)
		h.finish(h.lastSent(), OK)
	}
	for range 60 {
		play(1, 0.1)
	}
	before := method.typicalLatency(h.now)
	for range 5 {
		play(5, 0.4) // five times the work, about as much longer
	}
	assert.Less(t, method.typicalLatency(h.now), 1.5*before)

	r := &RPC{WorkHint: 1e9, Deadline: h.now + testDeadline}
	h.balancer.Arrived(r)
	assert.False(t, r.extraWork > 5, "a hint is rough: no more than five times the mean is believed")
}
