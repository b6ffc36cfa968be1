package decide

// Slow start: the budget of a server that has just started, over all nodes.

import "math"

const (
	unitHalf = 10.0 // of a server's rate: its best must not be chance at a node with an RPC a second
)

// cold is the part of its capacity that a server is sure to have.
func (b *Balancer) cold(s *Server, now float64) float64 {
	if s.cameUp <= 0 || now >= s.cameUp+b.coldFor || b.coldFor <= 0 {
		return 1
	}
	return b.coldFrom + (1-b.coldFrom)*max(0, now-s.cameUp)/b.coldFor
}

// unit is the rate of one warm server here at its best: by a jam's, cold ones could not take over from it.
func (b *Balancer) unit(now float64) float64 {
	rate := b.done.read(now, unitHalf) * math.Ln2 / unitHalf
	b.best = max(b.best*math.Exp2((b.bestAt-now)/baseHalf), rate)
	b.bestAt = now
	return max(b.best, b.floorRate)
}

// SlowStartRate is the rate of a server in slow start, as far as this node knows: by what one warm server answers it. It changes nothing.
func (b *Balancer) SlowStartRate(s *Server) (rate float64, starting bool) {
	now := b.host.Now()
	part := b.cold(s, now)
	if part >= 1 {
		return 0, false
	}
	best := b.best * math.Exp2((b.bestAt-now)/baseHalf)
	return max(best, b.done.read(now, unitHalf)*math.Ln2/unitHalf, b.floorRate) * part, true
}

// warm guards a cold server: it gets picks no faster than its part of what a warm one answers this node.
// Since every node keeps to its own part, all together keep under the multiple that pushes it over; half of
// the multiple is left for chance, and the other half lets a fleet grow out of being cold all together.
func (b *Balancer) warm(s *Server, unit, now float64) bool {
	part := b.cold(s, now)
	if part >= 1 {
		return true
	}
	rate := b.coldPush * unit * part
	s.tokens += rate * (now - s.tokensAt)
	s.tokensAt = now
	// A token not used lapses, else a fleet that was idle could spend one a node at once. One that waited half the
	// time in which a server falls is past: of nodes due less than one by then only so large a part holds one.
	s.tokens -= max(0, math.Ceil(s.tokens-1-max(rate/4, min(1, rate*b.fallFor/2))))
	return s.tokens >= 1
}
