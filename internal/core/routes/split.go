package routes

import "github.com/cespare/xxhash/v2"

const (
	// fractionBits are the bits of a hash that make a fraction: as many as a float64 holds exactly.
	fractionBits = 53
	hashBits     = 64
)

// choose splits requests by a stable key: equal keys go to the same service for as long as the weights stay, and where
// weights change only the keys between the old and the new border move.
func (c *compiledRule) choose(q *Request) int {
	if len(c.To) == 1 {
		return c.To[0].Service
	}
	hash := xxhash.Sum64String(c.splitKey(q))
	fraction := float64(hash>>(hashBits-fractionBits)) / (1 << fractionBits)
	for i, border := range c.cumulative {
		if fraction < border {
			return c.To[i].Service
		}
	}
	return c.To[len(c.To)-1].Service
}

// splitKey is a request's key; empty if it has none.
func (c *compiledRule) splitKey(q *Request) string {
	switch c.SplitBy {
	case splitByTrace:
		return q.TraceID
	case splitByTenant:
		return q.Tenant
	case splitByMark:
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
