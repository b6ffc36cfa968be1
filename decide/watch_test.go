package decide

import (
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
		h.balancer.UpdateEndpoints(nil, false) // and lists that come in between change nothing
		h.balancer.EndpointWatchFailed(false, 0, math.Inf(1))
	}
	h.advanceTo(107)
	assert.Equal(t, 2, h.watches, "an overrun discovery is spared")
	h.balancer.EndpointWatchFailed(true, 0, math.Inf(1))
	h.advanceTo(107.5)
	assert.Equal(t, 3, h.watches, "a silent one, or one that has had no call yet, is not waited for")
	h.advanceTo(130)
	assert.Equal(t, 3, h.watches, "of several failures one call comes")
}

// What discovery tells binds in time, so no pause is over what the host allows; and a fleet must not ask in one moment for that.
func TestBalancer_WatchPauseBounds(t *testing.T) {
	asked := func(seed int64, most float64) float64 {
		h, _ := newSeededBalancer(seed, 1, nil)
		for range 9 {
			h.balancer.EndpointWatchFailed(false, 0, most)
		}
		from, next := h.now, h.watches+1
		for h.watches < next {
			h.advanceTo(h.now + 0.001)
		}
		return h.now - from
	}
	for _, most := range []float64{3, 0.6} {
		low, high := math.Inf(1), 0.0
		for seed := range int64(300) {
			took := asked(seed, most)
			low, high = min(low, took), max(high, took)
		}
		assert.LessOrEqual(t, high, most+0.002)
		assert.Greater(t, high, 0.95*most)
		assert.Less(t, low, 0.4*most)
		assert.Greater(t, low, 0.3*most)
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
