package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_EjectionAcrossMethods(t *testing.T) {
	h, s := newTestBalancer(3, nil)
	h.answerOneByOne(60, constantLatency(0.1))
	for i := range 120 {
		h.arrive(i % 3)
		h.advanceTo(h.now + 0.01)
		for _, a := range h.sent {
			if a.inFlight && a.Server == s[0] {
				h.finish(a, Failed)
			} else if a.inFlight {
				h.finish(a, OK)
			}
		}
	}
	before := len(h.sent)
	for i := range 20 {
		h.arrive(i % 4)
		h.finish(h.lastSent(), OK)
	}
	for _, a := range h.sent[before:] {
		assert.NotSame(t, s[0], a.Server)
	}
}

func TestOutlierState(t *testing.T) {
	const now = 100.0
	var o outlierState
	for range ejectionThreshold - 1 {
		o.failed(now)
		assert.True(t, o.isHealthy(1, now))
	}
	o.failed(now)
	assert.True(t, o.isEjected(now))
	o.failed(now + minEjectionTime/2)
	assert.Equal(t, now+minEjectionTime, o.ejectedUntil, "a failure during the ejection does not extend it")

	trial := now + minEjectionTime
	assert.True(t, o.isHealthy(0, trial), "a half-open server gets one attempt at a time")
	assert.False(t, o.isHealthy(1, trial))
	o.failed(trial)
	assert.Equal(t, trial+2*minEjectionTime, o.ejectedUntil, "the ejection time doubles")
	for range 5 {
		o.failed(o.ejectedUntil)
	}
	assert.Equal(t, maxEjectionTime, o.ejectionTime)

	o.succeeded()
	assert.True(t, o.isHealthy(1, o.ejectedUntil))
	for range ejectionThreshold {
		o.failed(o.ejectedUntil)
	}
	assert.Equal(t, minEjectionTime, o.ejectionTime, "an answer resets the ejection time")
}
