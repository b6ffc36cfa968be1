package decide

import "math"

// quotaHalfLife is the half-life of a tenant's rate, in seconds: short enough for a burst, long enough for chance.
const quotaHalfLife = 3.0

// tenantQuota compares what a tenant sends to this node with this node's share of the tenant's quota.
type tenantQuota struct {
	rate     float64 // this node's share, in RPCs a second; 0: no quota
	arrivals decayingValue
}

// configure gives the tenant a quota over all nodes, in RPCs a second.
func (t *tenantQuota) configure(quota, nodeShare float64) { t.rate = quota * nodeShare }

// arrive counts an RPC and reports whether it is beyond the quota. A node's share of a small quota is less than one
// RPC, and clients come by chance: what passes the share by one RPC and its root is still within.
func (t *tenantQuota) arrive(now float64) (overQuota bool) {
	t.arrivals.add(1, now, quotaHalfLife)
	expected := t.rate * quotaHalfLife / math.Ln2
	return t.rate > 0 && t.arrivals.read(now, quotaHalfLife) > 1+expected+math.Sqrt(expected)
}
