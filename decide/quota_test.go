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
	pushedBack := [2]int{}
	for i := range 400 {
		r := &RPC{Tenant: i % 2, Deadline: h.now + testDeadline}
		h.balancer.Arrived(r)
		if h.isPushedBack(r) {
			pushedBack[r.Tenant]++
		}
		h.advanceTo(h.now + 0.02)
		h.answerAfter(constantLatency(1.2))
	}
	assert.Greater(t, pushedBack[0], 2*pushedBack[1])
}

// A single RPC of a tenant with a small quota must not exceed the quota.
func TestBalancer_SmallQuota(t *testing.T) {
	h, _ := newTestBalancer(4, func(s *Settings) {
		s.Instances, s.OverQuotaWeight, s.Tenants = 300, 0.1, []Tenant{{Quota: 15}}
	})
	assert.Equal(t, 1.0, h.arrive(lookup).admissionShare)
	for range 5 {
		h.arrive(lookup)
	}
	assert.Less(t, h.arrive(lookup).admissionShare, 1.0)
}
