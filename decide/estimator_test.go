package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_UnknownServerPace(t *testing.T) {
	met := map[*Server]bool{}
	h, s := newTestBalancer(100, func(s *Settings) { s.Instances = 300 })
	for range 60 {
		h.arrive(lookup)
		met[h.lastSent().Server] = true
		h.advanceTo(h.now + 0.5)
		h.finish(h.lastSent(), OK)
		h.advanceTo(h.now + 0.5)
	}
	assert.Less(t, len(met), 30, "each node would try every jammed server once, and hundreds of nodes keep it jammed")
	started := &Server{}
	h.balancer.UpdateEndpoints([]EndpointUpdate{{Server: started, Weight: 1, StartedAt: h.now}}, false)
	assert.Less(t, h.balancer.rankingPace(started, 0.5, h.now), h.balancer.rankingPace(s[99], 0.5, h.now), "one just started cannot have jammed")
}

// A half-life stretched to a node's round of all servers outlived its use when a node began to send to a few of them.
func TestBalancer_EntryHalfLife(t *testing.T) {
	for _, n := range []int{8, 200} {
		h, _ := newTestBalancer(n, func(s *Settings) { s.Instances = 100 })
		h.answerOneByOne(100, constantLatency(0.1))
		s, r, typical := h.balancer.subset.members[0], &RPC{}, h.balancer.methods[lookup].typicalLatency(h.now)
		above := func() float64 {
			q, _ := h.balancer.estimate(r, s, typical, h.now)
			return q - h.balancer.qTable.mean(h.balancer.qTable.row(r.Method, r.Tenant, len(s.inFlight)), typical)*h.balancer.rankingPace(s, typical, h.now)
		}
		h.balancer.learn(&Attempt{RPC: r, Server: s, attemptState: attemptState{row: h.balancer.qTable.row(r.Method, r.Tenant, len(s.inFlight)), expectedLatency: 0.1}}, 1.5, false, h.now)
		first := above()
		h.advanceTo(h.now + entryHalfLife*typical)
		assert.InDelta(t, first/2, above(), first/50, "%d servers", n)
	}
}

func TestBalancer_WorkHint(t *testing.T) {
	h, _ := newTestBalancer(2, nil)
	ask := func(work, took float64) {
		r := &RPC{WorkHint: work, Deadline: h.now + 6}
		h.balancer.Arrived(r)
		h.advanceTo(h.now + took)
		h.finish(h.lastSent(), OK)
	}
	for range 60 {
		ask(1, 0.1)
	}
	calm := h.balancer.methods[lookup].typicalLatency(h.now)
	for range 5 {
		ask(5, 0.4) // five times the work, about as much longer
	}
	assert.Less(t, h.balancer.methods[lookup].typicalLatency(h.now), 1.5*calm)
	r := &RPC{WorkHint: 1e9, Deadline: h.now + 6}
	h.balancer.Arrived(r)
	assert.False(t, r.extraWork > 5, "a hint is rough: no more than five times the mean is believed")
}

func TestBalancer_LoadReportFreshness(t *testing.T) {
	const seeds = 40
	there := 0
	for seed := range int64(seeds) {
		h, servers := newSeededBalancer(seed, 2, func(s *Settings) { s.Hedging = false })
		say := func(s *Server, held float64) {
			r := &RPC{Method: lookup, Deadline: h.now + 6}
			r.open, r.rules = true, h.balancer.methods[lookup].methodRules
			h.balancer.openRPCs++
			r.startClock(h.now)
			h.balancer.send(r, s, h.now)
			h.advanceTo(h.now + 0.1)
			h.balancer.AttemptDone(r.attempts[0], OK, true, 0.1, &LoadReport{InFlight: held})
		}
		h.answerOneByOne(40, constantLatency(0.1))
		for range 3 {
			say(servers[0], 1)
			say(servers[1], 1)
		}
		busy := servers[1]
		say(busy, 6)
		typical := h.balancer.methods[lookup].typicalLatency(h.now)
		assert.InDelta(t, 5, h.balancer.loadReports.othersInFlight(&busy.load, typical, h.now), 0.01, "itself not counted")
		r := h.arrive(lookup)
		if h.lastSent().Server == busy {
			there++
		}
		h.finish(r.attempts[0], OK)
		h.advanceTo(h.now + 5)
		assert.InDelta(t, h.balancer.loadReports.othersInFlight(&h.lastSent().Server.load, typical, h.now), h.balancer.loadReports.othersInFlight(&busy.load, typical, h.now), 0.01, "an old report says nothing")
	}
	assert.LessOrEqual(t, there, seeds/20, "one in a hundred picks explores")
}
