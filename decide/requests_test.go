package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An RPC must get exactly one answer, even if the RPC expires, its attempts end and its client disconnects at the same
// time.
func TestBalancer_ExactlyOneAnswer(t *testing.T) {
	h, _ := newTestBalancer(3, nil)
	r := h.arrive(book)
	h.advanceTo(h.now + testDeadline)
	assert.Len(t, h.pushedBack, 1)
	sent := len(h.sent)
	for _, a := range h.sent {
		h.finish(a, TimedOut)
	}
	h.balancer.ClientGone(r)
	assert.Len(t, h.sent, sent)
	assert.Len(t, h.pushedBack, 1)
	assert.Empty(t, h.aborted)
	assert.Zero(t, h.balancer.openRPCs)
	assert.Zero(t, h.balancer.attemptsInFlight)
}
