package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The network may drop idle connections without closing them. An attempt on such a connection gets no answer. During
// this fault, half of the attempts on connections that had been idle for one second were lost.
func TestBalancer_StaleIdleConnections(t *testing.T) {
	h, _ := newTestBalancer(4, func(s *Settings) { s.Hedging = false })
	h.answerOneByOne(200, constantLatency(0.05)) // no connection is idle for long
	assert.Empty(t, h.closedIdle)
	timedOut := map[*Server]bool{}
	for range 8 { // an attempt on an idle connection gets no answer
		h.advanceTo(h.now + 3)
		h.arrive(lookup)
		a := h.lastSent()
		if n := len(h.closedIdle); n > 0 && h.closedIdle[n-1] == a.Server {
			h.advanceTo(h.now + 0.05)
			h.finish(a, OK) // on a new connection
			continue
		}
		timedOut[a.Server] = true
		h.advanceTo(h.now + 2.6)
		if a.inFlight {
			h.finish(a, Canceled)
		}
	}
	assert.LessOrEqual(t, len(timedOut), 4, "two time-outs set the longest idle time")
	assert.NotEmpty(t, h.closedIdle)
	closed := len(h.closedIdle)
	h.answerOneByOne(100, constantLatency(0.05))
	assert.LessOrEqual(t, len(h.closedIdle)-closed, 4, "connections in use are not closed")
}

func TestIdleConnections(t *testing.T) {
	const now = 100.0
	first, second := &Server{}, &Server{}
	var c idleConnections
	c.worked(1, now)
	assert.False(t, c.timedOut(first, 0.5, now), "an idle time shorter than one that worked is not the cause")
	assert.True(t, c.timedOut(first, 4, now))
	assert.True(t, c.timedOut(first, 4, now))
	assert.False(t, c.isTooLong(1000, now), "a single server may itself be the cause")
	assert.True(t, c.timedOut(second, 4, now))
	assert.True(t, c.isTooLong(3, now))
	assert.False(t, c.isTooLong(2.5, now))
	assert.False(t, c.isTooLong(3, now+idleHalfLife), "longer idle times are allowed again")
}
