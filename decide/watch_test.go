package decide

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_WatchRetries(t *testing.T) {
	h, _ := newTestBalancer(1, func(s *Settings) { s.MustSubscribe, s.MaxPollInterval = true, 10 })
	h.advanceTo(103)
	assert.Equal(t, 1, h.watches)
	h.balancer.EndpointWatchFailed(false, 0, math.Inf(1))
	h.advanceTo(106)
	assert.Equal(t, 2, h.watches)
	for range 6 {
		h.balancer.UpdateEndpoints(nil, false) // watch events do not reset the backoff
		h.balancer.EndpointWatchFailed(false, 0, math.Inf(1))
	}
	h.advanceTo(107)
	assert.Equal(t, 2, h.watches, "the backoff grows while discovery is overloaded")
	h.balancer.EndpointWatchFailed(true, 0, math.Inf(1))
	h.advanceTo(107.5)
	assert.Equal(t, 3, h.watches, "after a reset the wait is short")
	h.advanceTo(130)
	assert.Equal(t, 3, h.watches, "several failures cause one call")
}

// Changes in the endpoint list must take effect in time, so no wait may be longer than maxWait. The nodes of a fleet
// must not call at the same time, so the waits vary between maxWait/3 and maxWait.
func TestBalancer_WatchPauseBounds(t *testing.T) {
	waited := func(seed int64, maxWait float64) float64 {
		h, _ := newSeededBalancer(seed, 1, nil)
		for range 9 {
			h.balancer.EndpointWatchFailed(false, 0, maxWait)
		}
		from, next := h.now, h.watches+1
		for h.watches < next {
			h.advanceTo(h.now + 0.001)
		}
		return h.now - from
	}
	for _, maxWait := range []float64{3, 0.6} {
		t.Run(fmt.Sprintf("%g s", maxWait), func(t *testing.T) {
			shortest, longest := math.Inf(1), 0.0
			for seed := range int64(300) {
				wait := waited(seed, maxWait)
				shortest, longest = min(shortest, wait), max(longest, wait)
			}
			assert.LessOrEqual(t, longest, maxWait+0.002)
			assert.Greater(t, longest, 0.95*maxWait)
			assert.Less(t, shortest, 0.4*maxWait)
			assert.Greater(t, shortest, 0.3*maxWait)
		})
	}
}

func TestBalancer_FirstWatchDelay(t *testing.T) {
	for seed := range int64(30) {
		h, _ := newSeededBalancer(seed, 1, func(s *Settings) {
			s.MustSubscribe, s.MaxPollInterval, s.Instances, s.MaxFirstPollDelay = true, 60, 300, 3
		})
		h.advanceTo(103)
		assert.Equal(t, 1, h.watches)
	}
}

func TestWatchBackoff(t *testing.T) {
	var w watchBackoff
	for _, longest := range []float64{0.375, 0.75, 1.5, 3, 6, 6} {
		shortest, timer := w.next(0, math.Inf(1), 0)
		assert.InDelta(t, longest/3, shortest, 1e-9)
		assert.True(t, w.isCurrent(timer))
		assert.False(t, w.isCurrent(watchTimer{timer.id - 1}), "an earlier timer is ignored")
	}
	w.reset()
	wait, _ := w.next(5, math.Inf(1), 0)
	assert.InDelta(t, 5.0/3, wait, 1e-9, "the longest wait is at least minWait")
}
