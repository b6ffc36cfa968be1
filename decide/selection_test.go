package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// After any history of answers, failures, ejections, cold starts and changes of the list the choice keeps to what it may
// choose from: ready servers, sound ones as long as there are any, the group of an RPC that may have run. The neighbours
// are ready servers of the list, each once, and no more than the node's picks need.
func TestBalancer_ChooseServerInvariants(t *testing.T) {
	picks := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "servers")
		seed := rapid.Int64().Draw(t, "seed")
		h, servers := newSeededBalancer(seed, n, func(s *Settings) { s.CrossZoneCost = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "cross") })
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.advanceTo(h.now + float64(rapid.IntRange(0, 400).Draw(t, "ms"))/1000)
			s := servers[rapid.IntRange(0, n-1).Draw(t, "server")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				h.balancer.UpdateEndpoints([]EndpointUpdate{{Server: s, State: State(rapid.IntRange(0, 2).Draw(t, "state")), Weight: 1 + float64(len(s.inFlight)), StartedAt: h.now}}, false)
			case 1, 2, 3:
				h.arrive(rapid.IntRange(0, 3).Draw(t, "method"))
			default:
				if len(h.sent) > 0 {
					if p := h.sent[rapid.IntRange(0, len(h.sent)-1).Draw(t, "pick")]; p.inFlight {
						h.finish(p, rapid.SampledFrom([]Result{OK, OK, OK, Failed, Rejected, Reset, ConnectFailed, TimedOut}).Draw(t, "result"))
					}
				}
			}
			near := map[*Server]bool{}
			for _, s := range h.balancer.subset.members {
				assert.True(t, s.inSubset && s.state == Ready && !near[s])
				assert.Contains(t, h.balancer.servers, s)
				near[s] = true
			}
			for _, s := range h.balancer.servers {
				assert.Equal(t, near[s], s.inSubset)
			}
			assert.LessOrEqual(t, len(near), n)
			r := &RPC{Method: rapid.IntRange(0, 3).Draw(t, "asked"), Deadline: h.now + 6}
			if open := rapid.IntRange(0, 3).Draw(t, "again"); open == 0 && len(h.sent) > 0 {
				r = h.lastSent().RPC
			} else {
				r.rules = h.balancer.methods[r.Method].methodRules
				r.admissionShare = 1
				r.startClock(h.now)
			}
			s = h.balancer.chooseServer(r, h.now)
			if s == nil {
				continue
			}
			picks++
			assert.Equal(t, Ready, s.state)
			assert.False(t, r.hasInFlightAt(s))
			assert.True(t, r.firstMayHaveRun == nil || r.rules.inDedupScope(s, r.firstMayHaveRun.Server))
			for _, o := range h.balancer.subset.members {
				sound := h.now >= o.outlier.ejectedUntil && o.outlier.failuresInRow < ejectAfter && !r.hasAttempted(o) && h.balancer.slowStart.capacityFraction(o.startedAt, h.now) == 1
				if sound && (r.firstMayHaveRun == nil || r.rules.inDedupScope(o, r.firstMayHaveRun.Server)) {
					assert.GreaterOrEqual(t, h.now, s.outlier.ejectedUntil, "an ejected one while a neighbour is sound")
				}
			}
		}
	})
	assert.Greater(t, picks, 1000)
}

// Among thousands the choice must find the sound ones, however few, and keep off the slow.
func TestBalancer_ChooseServerAmongThousands(t *testing.T) {
	h, servers := newTestBalancer(3000, nil)
	fast := map[*Server]bool{}
	for i, s := range servers {
		fast[s] = i%10 == 0
	}
	took := func(s *Server) float64 {
		if fast[s] {
			return 0.02
		}
		return 0.2
	}
	h.answerOneByOne(6000, took)
	n := 0
	for s, k := range h.answerOneByOne(1000, took) {
		if fast[s] {
			n += k
		}
	}
	assert.Greater(t, n, 900)
	for _, s := range servers[3:] { // all but three cannot be used
		s.outlier.ejectedUntil = h.now + 1000
	}
	for range 50 {
		r := h.arrive(lookup)
		assert.Contains(t, servers[:3], h.lastSent().Server)
		h.finish(r.attempts[0], OK)
	}
}

func TestBalancer_FasterServersGetMore(t *testing.T) {
	h, s := newTestBalancer(4, nil)
	took := func(x *Server) float64 {
		if x == s[0] {
			return 0.1
		}
		return 0.3
	}
	h.answerOneByOne(600, took) // one pick in a hundred explores
	got := h.answerOneByOne(200, took)
	assert.Greater(t, got[s[0]], got[s[1]]+got[s[2]]+got[s[3]])
}

// On big-1 of portail-rimouski servers that could not answer in time were sent all the same, and ran on for nobody.
func TestBalancer_LateRPCsRejected(t *testing.T) {
	h, s := newTestBalancer(2, func(s *Settings) { s.MayCancel = false })
	h.answerOneByOne(60, constantLatency(0.5))
	for range 20 { // both jam: answers take four times the target
		for _, x := range s {
			p := &Attempt{RPC: &RPC{}, Server: x, attemptState: attemptState{sentAt: h.now - 10, expectedLatency: 10, row: h.balancer.qTable.firstRows[lookup][0]}}
			p.RPC.rules = h.balancer.methods[lookup].methodRules
			h.balancer.recordSuccess(p, 10, h.now)
		}
	}
	pushed := 0
	for range 50 {
		before := len(h.sent)
		r := h.arrive(lookup)
		if _, back := h.pushedBack[r]; back {
			assert.Len(t, h.sent, before, "nothing was sent")
			assert.InDelta(t, 0.25, h.pushedBack[r], 1e-9, "and the client is told when to come back")
			pushed++
		}
	}
	assert.Greater(t, pushed, 40)
	assert.Less(t, pushed, 51)
}

// One failure is an entry of a whole deadline: with a single server it had turned away all that came next.
func TestBalancer_OneFailureRejectsNothing(t *testing.T) {
	h, _ := newTestBalancer(1, nil)
	h.answerOneByOne(20, constantLatency(0.1))
	h.arrive(charge)
	h.finish(h.lastSent(), Failed)
	r := h.arrive(charge)
	assert.NotContains(t, h.pushedBack, r)
}

// Nodes that each see little have rows of one or two samples. One slow answer there had told each of them that no server could answer
// in time: on a calm day 60 nodes turned away 80 to 140 of 7,100 RPCs, all for that.
func TestBalancer_OneSlowAnswerRejectsNothing(t *testing.T) {
	for seed := range int64(50) {
		h, s := newSeededBalancer(seed, 4, func(s *Settings) { s.Tenants = []Tenant{{Quota: 1000}, {Quota: 1000}} })
		h.answerOneByOne(200, constantLatency(0.1)) // of the first tenant
		p := &Attempt{RPC: &RPC{}, Server: s[0], attemptState: attemptState{sentAt: h.now - 5, expectedLatency: 0.1, row: h.balancer.qTable.firstRows[lookup][1]}}
		p.RPC.rules = h.balancer.methods[lookup].methodRules
		h.balancer.recordSuccess(p, 5, h.now)
		r := &RPC{Method: lookup, Tenant: 1, Deadline: h.now + 6}
		h.balancer.Arrived(r)
		assert.NotContains(t, h.pushedBack, r)
	}
}

func BenchmarkBalancer_Attempt(b *testing.B) {
	for _, n := range []int{16, 100, 400, 5000} {
		b.Run(map[int]string{16: "16", 100: "100", 400: "400", 5000: "5000"}[n]+" servers", func(b *testing.B) {
			h, _ := newTestBalancer(n, nil)
			h.answerOneByOne(2*n, constantLatency(0.01))
			b.ReportAllocs()
			for b.Loop() {
				h.timers, h.sent = h.timers[:0], h.sent[:0]
				h.arrive(lookup)
				h.now += 0.0001
				h.finish(h.lastSent(), OK)
			}
		})
	}
}
