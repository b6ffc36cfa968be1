package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_HedgingByIdempotency(t *testing.T) {
	for method, most := range map[int]int{lookup: 4, commit: 1, charge: 0} {
		h, _ := newTestBalancer(6, nil)
		h.answerOneByOne(200, constantLatency(0.1))
		h.advanceTo(h.now + 0.01)
		h.arrive(method)
		first := h.lastSent()
		before := len(h.sent)
		h.advanceTo(h.now + 1.2)
		assert.LessOrEqual(t, len(h.sent)-before, most)
		switch method {
		case lookup:
			assert.Greater(t, len(h.sent), before, "a silent server's pick gets a copy elsewhere")
			assert.NotSame(t, first.Server, h.lastSent().Server)
		case commit:
			assert.Equal(t, first.Server.zone, h.lastSent().Server.zone, "inside the group that drops repeats")
		case charge:
			assert.Len(t, h.sent, before, "never two at once")
		}
	}
}

func TestBalancer_HedgeBudgetOfManyNodes(t *testing.T) {
	picks, copies := 0, 0
	for seed := range int64(300) {
		h, _ := newSeededBalancer(seed, 100, func(s *Settings) { s.Instances = 300 })
		h.answerOneByOne(5, constantLatency(0.9))
		h.advanceTo(h.now + 0.01)
		h.arrive(lookup)
		picks += len(h.sent)
		h.advanceTo(h.now + 2.4)
		copies += len(h.sent) - 6
	}
	assert.Positive(t, copies)
	assert.Less(t, copies, picks/20, "a slowdown of all makes every node's pick late at once")
}

func TestBalancer_NoHedgeWhileServerAnswers(t *testing.T) {
	h, s := newTestBalancer(2, nil)
	h.answerOneByOne(40, constantLatency(0.2))
	h.arrive(lookup)
	slow := h.lastSent()
	before := len(h.sent)
	for range 10 {
		h.advanceTo(h.now + 0.1)
		s[0].lastAnswerAt, s[1].lastAnswerAt = h.now, h.now
	}
	assert.True(t, slow.inFlight)
	assert.Len(t, h.sent, before, "the copy would only double the work of a long RPC")
}
