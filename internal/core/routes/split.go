package routes

import "github.com/cespare/xxhash/v2"

const (
	// fractionBits is the number of bits of a hash that are converted to a fraction: a float64 holds as many exactly.
	fractionBits = 53
	hashBits     = 64
)

// choose returns the service of a request that the rule matches. It splits requests by the hash of a key: equal keys go
// to the same service until the weights change, and then only keys between the old and the new bounds change their
// service.
func (c *compiledRule) choose(q *Request) int {
	if len(c.To) == 1 {
		return c.To[0].Service
	}
	hash := xxhash.Sum64String(c.splitKey(q))
	fraction := float64(hash>>(hashBits-fractionBits)) / (1 << fractionBits)
	for i, bound := range c.cumulative {
		if fraction < bound {
			return c.To[i].Service
		}
	}
	return c.To[len(c.To)-1].Service
}

// splitKey returns the key of a request for the split; empty if the request has none.
func (c *compiledRule) splitKey(q *Request) string {
	switch c.SplitBy {
	case splitByTrace:
		return q.TraceID
	case splitByTenant:
		return q.Tenant
	case splitByIdempotencyKey:
		return q.IdempotencyKey
	case splitByClient:
		return q.Client
	}
	values := q.Header[c.SplitBy[len(splitByHeaderPrefix):]]
	if len(values) == 0 {
		return ""
	}
	return values[0]
}
