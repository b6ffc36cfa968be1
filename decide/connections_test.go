package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// On parkvej-dk a connection idle for a second swallowed half of the attempts while idle ones were dropped unseen.
func TestBalancer_BrokenIdleConnections(t *testing.T) {
	h, _ := newTestBalancer(4, func(s *Settings) { s.Hedging = false })
	h.answerOneByOne(200, constantLatency(0.05)) // never idle for long
	assert.Empty(t, h.closedIdle)
	silent := map[*Server]bool{}
	for range 8 { // what is sent on an idle connection gets no answer
		h.advanceTo(h.now + 3)
		h.arrive(lookup)
		a := h.lastSent()
		if n := len(h.closedIdle); n > 0 && h.closedIdle[n-1] == a.Server {
			h.advanceTo(h.now + 0.05)
			h.finish(a, OK) // on a new connection
			continue
		}
		silent[a.Server] = true
		h.advanceTo(h.now + 2.6)
		if a.inFlight {
			h.finish(a, Canceled)
		}
	}
	assert.LessOrEqual(t, len(silent), 4, "two set the longest idle time; the others are sent to on new connections")
	assert.NotEmpty(t, h.closedIdle)
	closed := len(h.closedIdle)
	h.answerOneByOne(100, constantLatency(0.05))
	assert.LessOrEqual(t, len(h.closedIdle)-closed, 4, "connections in use are left alone")
}

func TestIdleConnections(t *testing.T) {
	const now = 100.0
	first, second := &Server{}, &Server{}
	var c idleConnections
	c.worked(1, now)
	assert.False(t, c.fellSilent(first, 0.5, now), "a shorter idle time than one that worked is not the cause")
	assert.True(t, c.fellSilent(first, 4, now))
	assert.True(t, c.fellSilent(first, 4, now))
	assert.False(t, c.isTooLong(1000, now), "one server alone may be at fault")
	assert.True(t, c.fellSilent(second, 4, now))
	assert.True(t, c.isTooLong(3, now))
	assert.False(t, c.isTooLong(2.5, now))
	assert.False(t, c.isTooLong(3, now+idleHalfLife), "longer times are tried again")
}
