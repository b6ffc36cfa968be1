package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_LoadReportFreshness(t *testing.T) {
	const seeds = 40
	sentToBusy := 0
	for seed := range int64(seeds) {
		h, servers := newSeededBalancer(seed, 2, func(s *Settings) { s.Hedging = false })
		h.answerOneByOne(40, constantLatency(0.1))
		for range 3 {
			answerWithReport(h, servers[0], 1)
			answerWithReport(h, servers[1], 1)
		}
		busy := servers[1]
		answerWithReport(h, busy, 6)
		typical := h.balancer.methods[lookup].typicalLatency(h.now)
		othersAt := func(s *Server) float64 {
			return h.balancer.loadReports.othersInFlight(&s.load, s.load.freshness(typical, h.now), h.now)
		}
		assert.InDelta(t, 5, othersAt(busy), 0.01, "the answered RPC is not counted")
		r := h.arrive(lookup)
		if h.lastSent().Server == busy {
			sentToBusy++
		}
		h.finish(r.attempts[0], OK)
		h.advanceTo(h.now + 5)
		assert.InDelta(t, othersAt(h.lastSent().Server), othersAt(busy), 0.01, "an old report has no weight")
	}
	assert.LessOrEqual(t, sentToBusy, seeds/20, "one attempt in a hundred explores")
}

// answerWithReport sends an RPC to a server and answers it with a load report.
func answerWithReport(h *fakeHost, s *Server, inFlight float64) {
	b := h.balancer
	r := &RPC{Method: lookup, Deadline: h.now + testDeadline}
	r.open, r.rules = true, b.methods[lookup].methodRules
	b.openRPCs++
	r.startClock(h.now)
	b.send(r, s, h.now)
	h.advanceTo(h.now + 0.1)
	b.AttemptDone(r.attempts[0], OK, true, 0.1, &LoadReport{InFlight: inFlight})
}
