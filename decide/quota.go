package decide

import "math"

// quotaHalfLife is the half-life, in seconds, of the decaying count of a tenant's RPCs: short enough to notice a burst,
// long enough to average out random variation.
const quotaHalfLife = 3.0

// tenantQuota compares the rate of a tenant's RPCs at this node with this node's share of the tenant's quota.
type tenantQuota struct {
	rate     float64       // this node's share of the quota, in RPCs per second; 0: no quota
	arrivals decayingValue // decaying count of RPCs
}

// configure sets the tenant's quota. quota is in RPCs per second over all nodes; nodeShare is this node's fraction of
// the quota.
func (t *tenantQuota) configure(quota, nodeShare float64) { t.rate = quota * nodeShare }

// arrive counts an RPC and reports whether the tenant exceeds its quota. The quota is exceeded if the decaying count of
// RPCs is above
//
//	1 + expected + sqrt(expected), expected = rate * quotaHalfLife / ln 2
//
// The terms 1 and sqrt(expected) are needed because a node's share of a small quota is less than one RPC, and because
// RPCs arrive at random.
func (t *tenantQuota) arrive(now float64) (overQuota bool) {
	t.arrivals.add(1, now, quotaHalfLife)
	expected := t.rate * quotaHalfLife / math.Ln2
	return t.rate > 0 && t.arrivals.read(now, quotaHalfLife) > 1+expected+math.Sqrt(expected)
}
