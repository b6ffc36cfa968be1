package decide

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/assert"
)

var longForm = flag.Bool("long", false, "play the fleets round cold servers in all shapes, on five seeds")

// A cold server falls under the sum of all processes: in any window of the time in which servers fall it gets at most N,
// what the settings allow it, and 2 root N + 2 by chance. Each node keeping to its part was not enough: thirty nodes that
// were idle each sent a whole call at once (33 where N was 17), and where all servers were replaced the nodes divided what
// the warm ones had answered by the cold ones' part (43 where N was 15).
func TestBalancer_SlowStartBudget(t *testing.T) {
	type shape struct {
		nodes, servers int
		capacity       float64
	}
	// The long form fails with 440 thin nodes of a few neighbours each, on a surge (84 where N is 65) and with all servers
	// cold (29 where N is 16): docs/design.md. The short form plays the first shapes of each scene.
	all := []shape{{30, 20, 3}, {5, 20, 10}, {20, 20, 10}, {440, 60, 10}}
	for _, scene := range []struct {
		name  string
		short int     // of the shapes, from the first, that are played in the short form
		used  float64 // at least, of all that the settings allow over the ramp
		play  func(*fleet)
	}{
		// The callers ask of each server 0.24 of what a cold one is allowed, on a surge 0.48; half of that has to reach it.
		{"steady", 1, 0, func(f *fleet) { f.restartServer(0, 0); f.playSlowStart(0) }},
		{"told apart", 1, 0, func(f *fleet) { f.restartServer(0, 6); f.playSlowStart(0) }},
		{"surge", 3, 0.24, func(f *fleet) {
			f.demand = func(int, float64) float64 { return 2 }
			f.restartServer(0, 0)
			f.playSlowStart(-10)
			late := 0
			for _, at := range f.received[0] {
				if at > f.startedAt[0]+slowStartDuration {
					late++
				}
			}
			assert.Greater(t, float64(late), 0.5*2*f.shape.load*f.shape.capacity*10, "%v: warm, it does as much as others", f.shape)
		}},
		{"three at once", 1, 0, func(f *fleet) {
			for i := range 3 {
				f.restartServer(i, 0)
			}
			f.playSlowStart(0)
		}},
		{"one call a node at once", 1, 0, func(f *fleet) { f.burst(1) }},
		{"ten calls a node at once", 3, 0, func(f *fleet) { f.burst(10) }},
		{"all back cold", 1, 0.24, (*fleet).replaceAll},
		{"all replaced", 3, 0.24, func(f *fleet) { f.newServers = true; f.replaceAll() }},
		{"six in ten within 7 s", 1, 0, func(f *fleet) {
			for i := range f.shape.servers * 6 / 10 {
				f.after(7*f.rng.Float64(), func() { f.restartServer(i, 0) })
			}
			f.playSlowStart(0)
		}},
		{"nodes restarted", 1, 0, func(f *fleet) {
			f.restartServer(0, 0)
			for k := range 12 {
				f.advanceTo(f.now + 2)
				for i := k % 4; i < len(f.nodes); i += 4 {
					f.nodes[i].ended = true
					f.nodes[i] = f.start(f.shape.seed*1000 + int64(1000*k+i))
				}
			}
		}},
	} {
		for i, sh := range all {
			if i >= scene.short && !*longForm {
				break
			}
			seeds := int64(1)
			if *longForm {
				seeds = 5
			}
			used := 0.0
			for seed := range seeds {
				f := newFleet(fleetShape{nodes: sh.nodes, servers: sh.servers, capacity: sh.capacity, load: 0.6, seed: seed + 1, latency: 0.1})
				f.advanceTo(f.now + 20)
				scene.play(f)
				cold, share := 0.0, 0.0
				for i := range f.startedAt {
					if f.startedAt[i] > 0 {
						excess, got, n, at, total, allowed := f.worstWindow(i)
						assert.LessOrEqual(t, excess, 0.0, "%s, %v, seed %d: %g within %g s, N is %.1f, at age %.1f", scene.name, sh, seed, got, overloadWindow, n, at)
						cold++
						share += total / allowed
					}
				}
				used += share / cold / float64(seeds)
			}
			assert.GreaterOrEqual(t, used, scene.used, "%s, %v: used", scene.name, sh)
			if *longForm {
				t.Logf("%s, %v: used %.2f of what is allowed", scene.name, sh, used)
			}
		}
	}
}

func TestBalancer_SlowStartShare(t *testing.T) {
	h, s := newTestBalancer(3, nil)
	h.answerOneByOne(100, constantLatency(0.1))
	h.balancer.UpdateEndpoints([]EndpointUpdate{{Server: s[0], Weight: 1, StartedAt: h.now}}, false)
	got := h.answerOneByOne(30, constantLatency(0.1))
	assert.LessOrEqual(t, got[s[0]], 5)
}

func TestBalancer_WarmServerRateInOverload(t *testing.T) {
	h, _ := newTestBalancer(3, nil)
	h.answerOneByOne(400, constantLatency(0.1))
	calm := h.balancer.slowStart.warmServerRate(h.now)
	h.advanceTo(h.now + 8)
	assert.Greater(t, h.balancer.slowStart.warmServerRate(h.now), calm*0.8, "the jammed ones' rate would leave it idle beside them")
}

// After a release on portail-rimouski successors had a tenth of what they could do: a node's part was taken of all servers,
// though each node sends to its neighbours only.
func TestBalancer_WarmServerRateOfSubset(t *testing.T) {
	h, _ := newTestBalancer(200, func(s *Settings) { s.Instances = 100 })
	h.answerOneByOne(400, constantLatency(0.1)) // ten a second
	assert.Greater(t, h.balancer.slowStart.warmServerRate(h.now), 10.0/float64(2*len(h.balancer.subset.members)))
	assert.Less(t, h.balancer.slowStart.warmServerRate(h.now), 10.0)
}
