package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A hung server must stop getting attempts before its first attempts time out.
func TestBalancer_HungServer(t *testing.T) {
	h, s := newTestBalancer(4, nil)
	h.answerOneByOne(100, constantLatency(0.1))
	for range 60 {
		h.arrive(lookup)
		h.advanceTo(h.now + 0.1)
		for _, a := range h.sent {
			if a.inFlight && a.Server != s[0] {
				h.finish(a, OK)
			}
		}
	}
	inFlight := 0
	for _, a := range h.sent {
		if a.inFlight {
			inFlight++
		}
	}
	assert.Less(t, inFlight, 8)
	assert.LessOrEqual(t, len(h.pushedBack), 3, "only RPCs for which the hedge budget was exhausted")
}

// An overloaded server whose late attempts are all canceled must lose its low estimate.
func TestBalancer_LateCanceledAttempts(t *testing.T) {
	h, servers := newTestBalancer(4, nil)
	latency := func(first float64) func(*Server) float64 {
		return func(s *Server) float64 {
			if s == servers[0] {
				return first
			}
			return 0.2
		}
	}
	h.answerOneByOne(100, latency(0.1))
	before := len(h.sent)
	h.offerLoad(10, 0.2, latency(3))
	sentToFirst := 0
	for _, a := range h.sent[before:] {
		if a.Server == servers[0] {
			sentToFirst++
		}
	}
	assert.Less(t, sentToFirst, len(h.sent[before:])/5)
}

// An RPC that expires must count as a time-out of the server that got the attempt.
func TestBalancer_ExpiryCountsAsTimeout(t *testing.T) {
	h, s := newTestBalancer(2, func(s *Settings) { s.Hedging = false })
	h.answerOneByOne(20, constantLatency(1.5))
	for range 60 {
		h.arrive(lookup)
		h.advanceTo(h.now + 2.6)
	}
	assert.Positive(t, s[0].outlier.consecutiveFailures+s[1].outlier.consecutiveFailures)
	assert.Greater(t, max(s[0].outlier.ejectedUntil, s[1].outlier.ejectedUntil), 0.0)
}
