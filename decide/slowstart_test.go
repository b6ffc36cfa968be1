package decide

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

var longRun = flag.Bool("long", false, "simulate slow start in fleets of all shapes, with five seeds each")

// slowStartScenario is a sequence of events in a fleet in which servers start.
type slowStartScenario struct {
	name    string
	shapes  int     // without -long, only this many of slowStartShapes are run, from the first
	minUsed float64 // lowest fraction of the budget for the whole slow start that the servers must get
	run     func(*testing.T, *fleet)
}

// slowStartShapes are the fleets of the scenarios. With -long, TestBalancer_SlowStartBudget fails in three cases:
//   - 440 nodes, each of which knows a small subset, in a surge: 102 attempts, budget 70; see docs/design.md
//   - the same nodes when all servers start: 29 attempts, budget 15; see docs/design.md
//   - the first shape when all servers start, with one of the seeds: 14 attempts, budget 6.4
var slowStartShapes = []fleetShape{
	{nodes: 30, servers: 20, capacity: 3},
	{nodes: 5, servers: 20, capacity: 10},
	{nodes: 20, servers: 20, capacity: 10},
	{nodes: 440, servers: 60, capacity: 10},
}

// slowStartScenarios are run by TestBalancer_SlowStartBudget. The clients' requests amount to 0.24 of each server's
// budget in slow start, and to 0.48 of it in a surge. At least half of the requests of a surge must reach the server.
var slowStartScenarios = []slowStartScenario{
	{"one server starts", 1, 0, func(_ *testing.T, f *fleet) {
		f.restartServer(0, 0)
		f.runSlowStart()
	}},
	{"nodes notified at different times", 1, 0, func(_ *testing.T, f *fleet) {
		f.restartServer(0, 6)
		f.runSlowStart()
	}},
	{"surge", 3, 0.24, runSurge},
	{"three servers start", 1, 0, func(_ *testing.T, f *fleet) {
		for i := range 3 {
			f.restartServer(i, 0)
		}
		f.runSlowStart()
	}},
	{"burst of one RPC per node", 1, 0, func(_ *testing.T, f *fleet) { f.runBurst(1) }},
	{"burst of ten RPCs per node", 3, 0, func(_ *testing.T, f *fleet) { f.runBurst(10) }},
	{"all servers restart", 1, 0.24, func(_ *testing.T, f *fleet) { f.restartAll() }},
	{"all servers replaced", 3, 0.24, func(_ *testing.T, f *fleet) {
		f.newServers = true
		f.restartAll()
	}},
	{"six in ten servers start within 7 s", 1, 0, func(_ *testing.T, f *fleet) {
		for i := range f.shape.servers * 6 / 10 {
			f.after(7*f.rng.Float64(), func() { f.restartServer(i, 0) })
		}
		f.runSlowStart()
	}},
	{"nodes restart", 1, 0, runNodeRestarts},
}

// The attempts of all nodes together must not overload a server in slow start. In any overload window, the server may
// get the number of attempts that the settings allow (the budget), plus 2*sqrt(budget) + 2 attempts for random
// variation. The test guards against two failures. Although each node kept its own limit, thirty idle nodes each sent
// one RPC at the same time (33 attempts, budget 17). And when all servers were replaced, the nodes divided the answers
// of the old, warm servers by the capacity fractions of the new servers in slow start (43 attempts, budget 15).
func TestBalancer_SlowStartBudget(t *testing.T) {
	for _, scenario := range slowStartScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			shapes, seeds := slowStartShapes[:scenario.shapes], 1
			if *longRun {
				shapes, seeds = slowStartShapes, 5
			}
			for _, shape := range shapes {
				name := fmt.Sprintf("%d nodes, %d servers of %g per second", shape.nodes, shape.servers, shape.capacity)
				t.Run(name, func(t *testing.T) { checkSlowStart(t, scenario, shape, seeds) })
			}
		})
	}
}

// checkSlowStart runs a scenario with a number of seeds and checks how many attempts the servers in slow start
// received.
func checkSlowStart(t *testing.T, scenario slowStartScenario, shape fleetShape, seeds int) {
	t.Helper()
	shape.load, shape.latency = 0.6, 0.1
	used := 0.0
	for seed := range seeds {
		shape.seed = int64(seed) + 1
		f := newFleet(shape)
		f.advanceTo(f.now + 20)
		scenario.run(t, f)
		started, usedBySeed := 0.0, 0.0
		for i, startedAt := range f.startedAt {
			if startedAt == 0 {
				continue
			}
			worst := f.worstWindow(i)
			assert.LessOrEqual(t, worst.excess, 0.0, "seed %d: %g attempts within %g s, budget %.1f, server age %.1f s",
				shape.seed, worst.received, overloadWindow, worst.budget, worst.age)
			started++
			usedBySeed += float64(len(f.receivedInSlowStart(i))) / shape.budget(0, slowStartDuration)
		}
		used += usedBySeed / started / float64(seeds)
	}
	assert.GreaterOrEqual(t, used, scenario.minUsed, "fraction of the budget that was used")
	if *longRun {
		t.Logf("used %.2f of the budget", used)
	}
}

// runSurge restarts a server while the fleet has twice its usual traffic. Once warm, the server must get at least half
// of an equal share of the traffic.
func runSurge(t *testing.T, f *fleet) {
	const warmTime = 10 // seconds
	f.demand = func(int, float64) float64 { return 2 }
	f.restartServer(0, 0)
	f.advanceTo(f.now + slowStartDuration + warmTime)
	warm := 0
	for _, at := range f.received[0] {
		if at > f.startedAt[0]+slowStartDuration {
			warm++
		}
	}
	assert.Greater(t, float64(warm), 0.5*2*f.shape.load*f.shape.capacity*warmTime)
}

// runNodeRestarts restarts a server, while every two seconds another quarter of the nodes restarts.
func runNodeRestarts(_ *testing.T, f *fleet) {
	f.restartServer(0, 0)
	for round := range 12 {
		f.advanceTo(f.now + 2)
		for i := round % 4; i < len(f.nodes); i += 4 {
			f.nodes[i].ended = true
			f.nodes[i] = f.startNode(f.shape.seed*1000 + int64(1000*round+i))
		}
	}
}

func TestBalancer_SlowStartShare(t *testing.T) {
	h, s := newTestBalancer(3, nil)
	h.answerOneByOne(100, constantLatency(0.1))
	h.balancer.UpdateEndpoints([]EndpointUpdate{{Server: s[0], Weight: 1, StartedAt: h.now}}, false)
	answered := h.answerOneByOne(30, constantLatency(0.1))
	assert.LessOrEqual(t, answered[s[0]], 5)
}

func TestBalancer_WarmServerRateInOverload(t *testing.T) {
	h, _ := newTestBalancer(3, nil)
	h.answerOneByOne(400, constantLatency(0.1))
	before := h.balancer.slowStart.warmServerRate(h.now)
	h.advanceTo(h.now + 8)
	assert.Greater(t, h.balancer.slowStart.warmServerRate(h.now), before*0.8,
		"a lower rate during an overload would leave a starting server idle")
}

// The rate of a warm server must be computed from the servers in the subset, since each node sends most attempts to its
// subset. When the rate was computed from all servers, the new servers of a release got a tenth of the attempts that
// they could answer.
func TestBalancer_WarmServerRateOfSubset(t *testing.T) {
	h, _ := newTestBalancer(200, func(s *Settings) { s.Instances = 100 })
	h.answerOneByOne(400, constantLatency(0.1)) // ten RPCs per second
	rate := h.balancer.slowStart.warmServerRate(h.now)
	assert.Greater(t, rate, 10.0/float64(2*len(h.balancer.subset.members)))
	assert.Less(t, rate, 10.0)
}
