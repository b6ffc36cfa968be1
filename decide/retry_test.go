package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_NonIdempotentRunsOnce(t *testing.T) {
	h, _ := newTestBalancer(3, nil)
	r := h.arrive(charge)
	h.finish(h.lastSent(), Rejected)
	assert.Len(t, h.sent, 2, "a retry is allowed after an attempt that never ran")
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
	assert.Len(t, h.sent, 2, "the servers of the zone drop duplicates for one second only")
	assert.True(t, h.aborted[r])
}

// A pushback tells the client that a retry is safe. So no pushback may be sent if the servers stop dropping duplicates
// of the request before the client's deadline.
func TestBalancer_PushbackWithinDedupWindow(t *testing.T) {
	for window, pushedBack := range map[float64]bool{1: false, 5.9: false, testDeadline: true, 10: true} {
		t.Run(fmt.Sprintf("%g s", window), func(t *testing.T) {
			h, _ := newTestBalancer(2, func(s *Settings) { s.Methods[book].DedupWindow = window })
			r := h.arrive(book)
			for h.pushedBack[r] == 0 && !h.aborted[r] {
				h.finish(h.lastSent(), Failed)
			}
			assert.Equal(t, pushedBack, !h.aborted[r])
		})
	}
}

func TestBalancer_NoServers(t *testing.T) {
	h, _ := newTestBalancer(0, nil)
	r := h.arrive(charge)
	assert.Contains(t, h.pushedBack, r)
	assert.InDelta(t, 0.25, h.pushedBack[r], 1e-9, "the retry can still be in time")
}
