package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_HungServer(t *testing.T) {
	h, s := newTestBalancer(4, nil)
	h.answerOneByOne(100, constantLatency(0.1))
	for range 60 {
		h.arrive(lookup)
		h.advanceTo(h.now + 0.1)
		for _, p := range h.sent {
			if p.inFlight && p.Server != s[0] {
				h.finish(p, OK)
			}
		}
	}
	stuck := 0
	for _, p := range h.sent {
		if p.inFlight {
			stuck++
		}
	}
	assert.Less(t, stuck, 8)
	assert.LessOrEqual(t, len(h.pushedBack), 3, "the few that found no budget for a copy")
}

func TestBalancer_LateCanceledAttempts(t *testing.T) {
	h, s := newTestBalancer(4, nil)
	h.answerOneByOne(100, func(x *Server) float64 {
		if x == s[0] {
			return 0.1
		}
		return 0.2
	})
	before := len(h.sent)
	h.offerLoad(10, 0.2, func(x *Server) float64 {
		if x == s[0] {
			return 3
		}
		return 0.2
	})
	got := 0
	for _, p := range h.sent[before:] {
		if p.Server == s[0] {
			got++
		}
	}
	assert.Less(t, got, len(h.sent[before:])/5)
}

func TestBalancer_ExpiryCountsAsTimeout(t *testing.T) {
	h, s := newTestBalancer(2, func(s *Settings) { s.Hedging = false })
	h.answerOneByOne(20, constantLatency(1.5))
	for range 60 {
		h.arrive(lookup)
		h.advanceTo(h.now + 2.6)
	}
	assert.Positive(t, s[0].outlier.failuresInRow+s[1].outlier.failuresInRow)
	assert.Greater(t, max(s[0].outlier.ejectedUntil, s[1].outlier.ejectedUntil), 0.0)
}
