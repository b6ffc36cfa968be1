package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// After any history of answers, failures, ejections, cold starts and changes of the list the choice keeps to what it may
// choose from: ready servers, sound ones as long as there are any, the group of an RPC that may have run. The neighbours
// are ready servers of the list, each once, and no more than the node's picks need.
func TestTheChoiceKeepsToWhatItMayChooseFrom(t *testing.T) {
	picks := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "servers")
		seed := rapid.Int64().Draw(t, "seed")
		h, servers := seeded(seed, n, func(s *Settings) { s.CrossZoneCost = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "cross") })
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.until(h.now + float64(rapid.IntRange(0, 400).Draw(t, "ms"))/1000)
			s := servers[rapid.IntRange(0, n-1).Draw(t, "server")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				h.b.UpdateEndpoints([]EndpointUpdate{{Server: s, State: State(rapid.IntRange(0, 2).Draw(t, "state")), Weight: 1 + float64(len(s.inFlight)), StartedAt: h.now}}, false)
			case 1, 2, 3:
				h.arrive(rapid.IntRange(0, 3).Draw(t, "method"))
			default:
				if len(h.sent) > 0 {
					if p := h.sent[rapid.IntRange(0, len(h.sent)-1).Draw(t, "pick")]; p.inFlight {
						h.done(p, rapid.SampledFrom([]Result{OK, OK, OK, Failed, Rejected, Reset, ConnectFailed, TimedOut}).Draw(t, "result"))
					}
				}
			}
			near := map[*Server]bool{}
			for _, s := range h.b.subset.members {
				assert.True(t, s.inSubset && s.state == Ready && !near[s])
				assert.Contains(t, h.b.servers, s)
				near[s] = true
			}
			for _, s := range h.b.servers {
				assert.Equal(t, near[s], s.inSubset)
			}
			assert.LessOrEqual(t, len(near), n)
			r := &RPC{Method: rapid.IntRange(0, 3).Draw(t, "asked"), Deadline: h.now + 6}
			if open := rapid.IntRange(0, 3).Draw(t, "again"); open == 0 && len(h.sent) > 0 {
				r = h.last().RPC
			} else {
				r.rules = h.b.methods[r.Method].methodRules
				r.admissionShare = 1
				r.startClock(h.now)
			}
			s = h.b.chooseServer(r, h.now)
			if s == nil {
				continue
			}
			picks++
			assert.Equal(t, Ready, s.state)
			assert.False(t, r.hasInFlightAt(s))
			assert.True(t, r.firstMayHaveRun == nil || r.rules.inDedupScope(s, r.firstMayHaveRun.Server))
			for _, o := range h.b.subset.members {
				sound := h.now >= o.outlier.ejectedUntil && o.outlier.failuresInRow < ejectAfter && !r.hasAttempted(o) && h.b.slowStart.capacityFraction(o.startedAt, h.now) == 1
				if sound && (r.firstMayHaveRun == nil || r.rules.inDedupScope(o, r.firstMayHaveRun.Server)) {
					assert.GreaterOrEqual(t, h.now, s.outlier.ejectedUntil, "an ejected one while a neighbour is sound")
				}
			}
		}
	})
	assert.Greater(t, picks, 1000)
}

// Among thousands the choice must find the sound ones, however few, and keep off the slow.
func TestAmongThousandsTheChoiceFindsTheSound(t *testing.T) {
	h, servers := story(3000, nil)
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
	h.warmUp(6000, took)
	n := 0
	for s, k := range h.warmUp(1000, took) {
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
		assert.Contains(t, servers[:3], h.last().Server)
		h.done(r.attempts[0], OK)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 100, 400, 5000} {
		b.Run(map[int]string{16: "16", 100: "100", 400: "400", 5000: "5000"}[n]+" servers", func(b *testing.B) {
			h, _ := story(n, nil)
			h.warmUp(2*n, always(0.01))
			b.ReportAllocs()
			for b.Loop() {
				h.timers, h.sent = h.timers[:0], h.sent[:0]
				h.arrive(lookup)
				h.now += 0.0001
				h.done(h.last(), OK)
			}
		})
	}
}
