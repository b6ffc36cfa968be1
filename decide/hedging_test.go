package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_HedgingByIdempotency(t *testing.T) {
	// runLate lets an attempt of a method become late. It returns the attempt and the number of hedged requests.
	runLate := func(method int) (h *fakeHost, first *Attempt, hedges int) {
		h, _ = newTestBalancer(6, nil)
		h.answerOneByOne(200, constantLatency(0.1))
		h.advanceTo(h.now + 0.01)
		h.arrive(method)
		first = h.lastSent()
		before := len(h.sent)
		h.advanceTo(h.now + 1.2)
		return h, first, len(h.sent) - before
	}
	t.Run("idempotent", func(t *testing.T) {
		h, first, hedges := runLate(lookup)
		assert.LessOrEqual(t, hedges, 4)
		assert.Positive(t, hedges, "an attempt is hedged if its server answers nothing")
		assert.NotSame(t, first.Server, h.lastSent().Server)
	})
	t.Run("deduplicated inside a zone", func(t *testing.T) {
		h, first, hedges := runLate(commit)
		assert.LessOrEqual(t, hedges, 1)
		assert.Equal(t, first.Server.zone, h.lastSent().Server.zone)
	})
	t.Run("non-idempotent", func(t *testing.T) {
		_, _, hedges := runLate(charge)
		assert.Zero(t, hedges, "never two attempts in flight")
	})
}

func TestBalancer_HedgeBudgetOfManyNodes(t *testing.T) {
	attempts, hedges := 0, 0
	for seed := range int64(300) {
		h, _ := newSeededBalancer(seed, 100, func(s *Settings) { s.Instances = 300 })
		h.answerOneByOne(5, constantLatency(0.9))
		h.advanceTo(h.now + 0.01)
		h.arrive(lookup)
		attempts += len(h.sent)
		h.advanceTo(h.now + 2.4)
		hedges += len(h.sent) - 6
	}
	assert.Positive(t, hedges)
	assert.Less(t, hedges, attempts/20, "a slowdown of all servers makes the attempts of all nodes late at once")
}

func TestBalancer_NoHedgeWhileServerAnswers(t *testing.T) {
	h, s := newTestBalancer(2, nil)
	h.answerOneByOne(40, constantLatency(0.2))
	h.arrive(lookup)
	late := h.lastSent()
	before := len(h.sent)
	for range 10 {
		h.advanceTo(h.now + 0.1)
		s[0].lastAnswerAt, s[1].lastAnswerAt = h.now, h.now
	}
	assert.True(t, late.inFlight)
	assert.Len(t, h.sent, before, "a hedged request would only double the work of a long RPC")
}
