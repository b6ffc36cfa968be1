package decide

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_AdmissionBurst(t *testing.T) {
	h, _ := newTestBalancer(4, nil)
	_, pushed := h.offerLoad(20, 0.05, constantLatency(0.5))
	assert.Zero(t, pushed, "ordinary days push nothing back")
	taken, pushed := h.offerLoad(0.4, 0.002, constantLatency(0.5))
	assert.Greater(t, pushed, taken)
}

func TestBalancer_AdmissionSlowdown(t *testing.T) {
	h, _ := newTestBalancer(4, nil)
	h.offerLoad(20, 0.05, constantLatency(0.5))
	usual := h.balancer.admission.usualHeld
	h.offerLoad(20, 0.05, constantLatency(2.2))
	assert.GreaterOrEqual(t, h.balancer.admission.limit, usual*0.2)
	assert.NotEmpty(t, h.pushedBack)
}

func TestBalancer_AdmissionInnerTier(t *testing.T) {
	h, _ := newTestBalancer(2, func(s *Settings) { s.Stage = 1 })
	for range 500 {
		h.arrive(lookup)
	}
	assert.Empty(t, h.pushedBack, "a pushback would waste the work above")
}

func TestBalancer_AdmissionOverload(t *testing.T) {
	held, _, _ := playTier(200, 40, 0.8, constantLatency(-1))
	assert.Less(t, held, 300, "a floor kept by each node adds up to a jam that never ends")
}

func TestBalancer_AdmissionLowRate(t *testing.T) {
	pushed, came := 0, 0
	for seed := range int64(100) {
		h, _ := newSeededBalancer(seed, 25, func(s *Settings) { s.Instances = 100 })
		chance := rand.New(rand.NewSource(seed))
		for range 800 {
			if chance.Float64() < 0.06 {
				came++
				h.arrive(lookup)
			}
			h.advanceTo(h.now + 0.05)
			for _, p := range h.sent {
				if p.inFlight && h.now-p.sentAt >= 0.9 {
					h.finish(p, OK)
				}
			}
		}
		pushed += len(h.pushedBack)
	}
	assert.Less(t, pushed, came/40, "one or two held by chance are no crowd")
}

func TestBalancer_MeanWaitAtLowRate(t *testing.T) {
	h, _ := newTestBalancer(100, func(s *Settings) { s.Instances = 300 })
	for range 8 {
		h.arrive(lookup)
		h.advanceTo(h.now + 2.6)
	}
	assert.Greater(t, h.balancer.admission.meanWait(h.now), waitGoal)
}

// With more nodes than some fourteen times the servers the room at the start was below one, and every node turned away all
// that it got, for good: 440 nodes before 20 servers sent nothing. After a jam it was so from five nodes a server on.
func TestBalancer_ConcurrencyLimitBelowOne(t *testing.T) {
	f := newFleet(fleetShape{nodes: 440, servers: 20, capacity: 10, load: 0.5, seed: 1, latency: 0.1})
	stuck := func() (n int) {
		before := f.now
		f.advanceTo(f.now + 40)
		for _, o := range f.nodes {
			if o.balancer.slowStart.answers.updatedAt <= before {
				n++
			}
		}
		return n
	}
	assert.Less(t, stuck(), 20, "of 440, from the start; the quietest get an RPC every 7 s")
	f.shape.latency = 4
	f.demand = func(int, float64) float64 { return 3 }
	f.advanceTo(f.now + 20)
	f.shape.latency, f.demand = 0.1, nil
	f.advanceTo(f.now + 20)
	assert.Less(t, stuck(), 20, "after a jam")
}

// playTier plays n nodes of one tier for some seconds, each with an RPC every gap seconds, all answered as told.
func playTier(n int, seconds, gap float64, took func(*Server) float64) (held, pushed, taken int) {
	for seed := range int64(n) {
		h, _ := newSeededBalancer(seed, n/4, func(s *Settings) { s.Instances, s.Tenants = n, []Tenant{{Quota: float64(n)}} })
		h.now += float64(seed%10) * gap / 10
		more, back := h.offerLoad(seconds, gap, took)
		taken, pushed, held = taken+more, pushed+back, held+h.balancer.openRPCs
	}
	return held, pushed, taken
}
