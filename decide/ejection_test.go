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
		for _, p := range h.sent {
			if p.inFlight && p.Server == s[0] {
				h.finish(p, Failed)
			} else if p.inFlight {
				h.finish(p, OK)
			}
		}
	}
	before := len(h.sent)
	for i := range 20 {
		h.arrive(i % 4)
		h.finish(h.lastSent(), OK)
	}
	for _, p := range h.sent[before:] {
		assert.NotSame(t, s[0], p.Server)
	}
}
