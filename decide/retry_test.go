package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_NonIdempotentRunsOnce(t *testing.T) {
	h, _ := newTestBalancer(3, nil)
	r := h.arrive(charge)
	h.finish(h.lastSent(), Rejected)
	assert.Len(t, h.sent, 2, "a pick that never ran may be followed by another")
	h.finish(h.lastSent(), Reset)
	assert.Len(t, h.sent, 2)
	assert.True(t, h.aborted[r])
	assert.Empty(t, h.pushedBack)
}

func TestBalancer_DedupScopeAndWindow(t *testing.T) {
	h, _ := newTestBalancer(6, nil)
	r := h.arrive(commit)
	first := h.lastSent()
	h.finish(first, Failed)
	assert.Len(t, h.sent, 2)
	assert.Equal(t, first.Server.zone, h.lastSent().Server.zone)
	h.now += 1.2
	h.finish(h.lastSent(), Failed)
	assert.Len(t, h.sent, 2, "the group remembers only for a second")
	assert.True(t, h.aborted[r])
}

// A pushback says that asking again is harmless: not where servers forget before the client stops waiting.
func TestBalancer_PushbackWithinDedupWindow(t *testing.T) {
	for window, pushed := range map[float64]bool{1: false, 5.9: false, 6: true, 10: true} {
		h, _ := newTestBalancer(2, func(s *Settings) { s.Methods[book].DedupWindow = window })
		r := h.arrive(book)
		for h.pushedBack[r] == 0 && !h.aborted[r] {
			h.finish(h.lastSent(), Failed)
		}
		assert.Equal(t, pushed, !h.aborted[r], "a window of %v s and a deadline of 6 s", window)
	}
}

func TestBalancer_NoServers(t *testing.T) {
	h, _ := newTestBalancer(0, nil)
	r := h.arrive(charge)
	assert.Contains(t, h.pushedBack, r)
	assert.InDelta(t, 0.25, h.pushedBack[r], 1e-9, "the next try can still be in time")
}

func TestBalancer_OneAnswer(t *testing.T) {
	h, _ := newTestBalancer(3, nil)
	r := h.arrive(book)
	h.advanceTo(h.now + 6)
	assert.Len(t, h.pushedBack, 1)
	n := len(h.sent)
	for _, p := range h.sent {
		h.finish(p, TimedOut)
	}
	h.balancer.ClientGone(r)
	assert.Len(t, h.sent, n)
	assert.Len(t, h.pushedBack, 1)
	assert.Empty(t, h.aborted)
	assert.Zero(t, h.balancer.openRPCs)
	assert.Zero(t, h.balancer.attemptsInFlight)
}
