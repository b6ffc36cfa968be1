package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBalancer_OverQuotaRejectedFirst(t *testing.T) {
	h, _ := newTestBalancer(2, func(s *Settings) {
		s.OverQuotaWeight = 0.05
		s.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	})
	pushed := [2]int{}
	for i := range 400 {
		r := &RPC{Tenant: i % 2, Deadline: h.now + 6}
		h.balancer.Arrived(r)
		if _, back := h.pushedBack[r]; back {
			pushed[r.Tenant]++
		}
		h.advanceTo(h.now + 0.02)
		for _, p := range h.sent {
			if p.inFlight && h.now-p.sentAt >= 1.2 {
				h.finish(p, OK)
			}
		}
	}
	assert.Greater(t, pushed[0], 2*pushed[1])
}

func TestBalancer_SmallQuota(t *testing.T) {
	h, _ := newTestBalancer(4, func(s *Settings) { s.Instances, s.OverQuotaWeight, s.Tenants = 300, 0.1, []Tenant{{Quota: 15}} })
	assert.Equal(t, 1.0, h.arrive(lookup).admissionShare)
	for range 5 {
		h.arrive(lookup)
	}
	assert.Less(t, h.arrive(lookup).admissionShare, 1.0)
}
