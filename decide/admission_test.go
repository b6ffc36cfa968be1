package decide

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
)

// RPCs of a burst must be pushed back before the first answer is late.
func TestBalancer_AdmissionBurst(t *testing.T) {
	h, _ := newTestBalancer(4, nil)
	_, pushedBack := h.offerLoad(20, 0.05, constantLatency(0.5))
	assert.Zero(t, pushedBack, "the usual load is admitted")
	admitted, pushedBack := h.offerLoad(0.4, 0.002, constantLatency(0.5))
	assert.Greater(t, pushedBack, admitted)
}

// A slowdown of all servers must not lower the limit so far that servers are idle.
func TestBalancer_AdmissionSlowdown(t *testing.T) {
	h, _ := newTestBalancer(4, nil)
	h.offerLoad(20, 0.05, constantLatency(0.5))
	baseline := h.balancer.admission.baselineOpen
	h.offerLoad(20, 0.05, constantLatency(2.2))
	assert.GreaterOrEqual(t, h.balancer.admission.limit, baseline*0.2)
	assert.NotEmpty(t, h.pushedBack)
}

func TestBalancer_AdmissionInnerTier(t *testing.T) {
	h, _ := newTestBalancer(2, func(s *Settings) { s.Stage = 1 })
	for range 500 {
		h.arrive(lookup)
	}
	assert.Empty(t, h.pushedBack, "a pushback would waste the work of the tiers above")
}

// Hundreds of nodes send to servers that never answer. The nodes must not each keep two RPCs open: over all nodes, two
// per node add up to an overload that never ends.
func TestBalancer_AdmissionOverload(t *testing.T) {
	const nodes, interval = 200, 0.8
	open := 0
	for seed := range int64(nodes) {
		h, _ := newSeededBalancer(seed, nodes/4, func(s *Settings) {
			s.Instances, s.Tenants = nodes, []Tenant{{Quota: nodes}}
		})
		h.now += float64(seed%10) * interval / 10
		h.offerLoad(40, interval, constantLatency(-1))
		open += h.balancer.openRPCs
	}
	assert.Less(t, open, 300, "a minimum per node adds up to an overload that never ends")
}

func TestBalancer_AdmissionLowRate(t *testing.T) {
	pushedBack, arrived := 0, 0
	for seed := range int64(100) {
		h, _ := newSeededBalancer(seed, 25, func(s *Settings) { s.Instances = 100 })
		rng := rand.New(rand.NewSource(seed))
		for range 800 {
			if rng.Float64() < 0.06 {
				arrived++
				h.arrive(lookup)
			}
			h.advanceTo(h.now + 0.05)
			h.answerAfter(constantLatency(0.9))
		}
		pushedBack += len(h.pushedBack)
	}
	assert.Less(t, pushedBack, arrived/40, "one or two RPCs that are open at random are not an overload")
}

// At a node with little traffic the prior of the mean wait must not hide that all RPCs are late.
func TestBalancer_MeanWaitAtLowRate(t *testing.T) {
	h, _ := newTestBalancer(100, func(s *Settings) { s.Instances = 300 })
	for range 8 {
		h.arrive(lookup)
		h.advanceTo(h.now + 2.6)
	}
	assert.Greater(t, h.balancer.admission.meanWait(h.now), waitGoal)
}

// A limit below one must not reject every RPC forever. With more than about fourteen nodes per server, the initial
// limit is below one: 440 nodes with 20 servers sent nothing. With five or more nodes per server, the limit fell below
// one in an overload, and the nodes sent nothing afterwards.
func TestBalancer_ConcurrencyLimitBelowOne(t *testing.T) {
	const latency = 0.1
	f := newFleet(fleetShape{nodes: 440, servers: 20, capacity: 10, load: 0.5, seed: 1, latency: latency})
	nodesWithoutAnswers := func() int {
		before := f.now
		f.advanceTo(f.now + 40)
		nodes := 0
		for _, n := range f.nodes {
			if n.balancer.slowStart.answers.updatedAt <= before {
				nodes++
			}
		}
		return nodes
	}
	assert.Less(t, nodesWithoutAnswers(), 20, "after the start; the nodes with the least traffic get one RPC every 7 s")
	f.shape.latency = 40 * latency
	f.demand = func(int, float64) float64 { return 3 }
	f.advanceTo(f.now + 20)
	f.shape.latency, f.demand = latency, nil
	f.advanceTo(f.now + 20)
	assert.Less(t, nodesWithoutAnswers(), 20, "after an overload")
}
