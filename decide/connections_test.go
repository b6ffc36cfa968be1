package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// On parkvej-dk a connection idle for a second swallowed half of the picks while idle ones were dropped unseen.
func TestBalancer_BrokenIdleConnections(t *testing.T) {
	h, _ := newTestBalancer(4, func(s *Settings) { s.Hedging = false })
	h.answerOneByOne(200, constantLatency(0.05)) // never idle for long
	assert.Empty(t, h.closedIdle)
	mute := map[*Server]bool{}
	for range 8 { // what comes after a pause gets no answer, wherever it goes
		h.advanceTo(h.now + 3)
		h.arrive(lookup)
		p := h.lastSent()
		if n := len(h.closedIdle); n > 0 && h.closedIdle[n-1] == p.Server {
			h.advanceTo(h.now + 0.05)
			h.finish(p, OK) // on a new connection
			continue
		}
		mute[p.Server] = true
		h.advanceTo(h.now + 2.6)
		if p.inFlight {
			h.finish(p, Canceled)
		}
	}
	assert.LessOrEqual(t, len(mute), 4, "two tell how long is too long; a server is asked after that on a new connection")
	assert.NotEmpty(t, h.closedIdle)
	n := len(h.closedIdle)
	h.answerOneByOne(100, constantLatency(0.05))
	assert.LessOrEqual(t, len(h.closedIdle)-n, 4, "connections in use are left alone")
}
