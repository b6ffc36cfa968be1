package routes

import "github.com/cespare/xxhash/v2"

const (
	// fractionBits is the number of bits of a hash that are converted to a fraction: a float64 holds 53 bits exactly.
	fractionBits = 53
	hashBits     = 64
)

// choose returns the service for a request that matches the rule. A split selects the service by the hash of the
// request's key, so requests with equal keys go to the same service. When the weights change, a key goes to another
// service only if its hash is between the old and the new bound of a service.
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

// splitKey returns a request's key for the split: the part of the request that SplitBy names. The key is empty if the
// request does not have that part.
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
