package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestDecayingValue(t *testing.T) {
	const halfLife = 4.0
	var d decayingValue
	d.add(8, 100, halfLife)
	assert.InDelta(t, 4, d.peek(100+halfLife, halfLife), 1e-9)
	assert.InDelta(t, 8, d.read(100, halfLife), 1e-9, "peek does not change the value")
	assert.InDelta(t, 2, d.read(100+2*halfLife, halfLife), 1e-9)
	d.raiseTo(1, 100+2*halfLife, halfLife)
	assert.InDelta(t, 2, d.read(100+2*halfLife, halfLife), 1e-9)
	d.raiseTo(5, 100+3*halfLife, halfLife)
	assert.InDelta(t, 5, d.read(100+3*halfLife, halfLife), 1e-9)
}

// A mean must lie between the lowest and the highest value among its samples and its prior.
func TestDecayingMean(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.Float64Range(0, 100)
		halfLife := rapid.Float64Range(0.1, 10).Draw(t, "half-life")
		prior := value.Draw(t, "prior")
		lowest, highest, now := prior, prior, 100.0
		var m decayingMean
		for range rapid.IntRange(0, 20).Draw(t, "samples") {
			now += rapid.Float64Range(0, 5).Draw(t, "pause")
			sample := value.Draw(t, "sample")
			m.add(sample, now, halfLife)
			lowest, highest = min(lowest, sample), max(highest, sample)
		}
		mean := m.read(now, halfLife, prior, 1)
		assert.GreaterOrEqual(t, mean, lowest-1e-6)
		assert.LessOrEqual(t, mean, highest+1e-6)
	})
}

func TestDecayingMean_Empty(t *testing.T) {
	var m decayingMean
	assert.Zero(t, m.read(100, 1, 0, 0))
	assert.InDelta(t, 7, m.read(100, 1, 7, 1), 1e-9)
}
