package decide

// Slow start: the budget of a server that has just started, over all nodes.

import "math"

const (
	warmRateHalfLife = 10.0 // of a server's rate: its best must not be chance at a node with an RPC a second
)

// warmFraction is the part of its capacity that a server is sure to have.
func (b *Balancer) warmFraction(s *Server, now float64) float64 {
	if s.startedAt <= 0 || now >= s.startedAt+b.slowStartDuration || b.slowStartDuration <= 0 {
		return 1
	}
	return b.slowStartFraction + (1-b.slowStartFraction)*max(0, now-s.startedAt)/b.slowStartDuration
}

// warmServerRate is the rate of one warm server here at its best: by a jam's, cold ones could not take over from it.
func (b *Balancer) warmServerRate(now float64) float64 {
	rate := b.answersPerWarmServer.read(now, warmRateHalfLife) * math.Ln2 / warmRateHalfLife
	b.bestWarmRate = max(b.bestWarmRate*math.Exp2((b.bestWarmRateAt-now)/baselineHalfLife), rate)
	b.bestWarmRateAt = now
	return max(b.bestWarmRate, b.minWarmRate)
}

// SlowStartRate is the rate of a server in slow start, as far as this node knows: by what one warm server answers it. It changes nothing.
func (b *Balancer) SlowStartRate(s *Server) (rate float64, starting bool) {
	now := b.host.Now()
	part := b.warmFraction(s, now)
	if part >= 1 {
		return 0, false
	}
	best := b.bestWarmRate * math.Exp2((b.bestWarmRateAt-now)/baselineHalfLife)
	return max(best, b.answersPerWarmServer.read(now, warmRateHalfLife)*math.Ln2/warmRateHalfLife, b.minWarmRate) * part, true
}

// slowStartAllows guards a cold server: it gets picks no faster than its part of what a warm one answers this node.
// Since every node keeps to its own part, all together keep under the multiple that pushes it over; half of
// the multiple is left for chance, and the other half lets a fleet grow out of being cold all together.
func (b *Balancer) slowStartAllows(s *Server, unit, now float64) bool {
	part := b.warmFraction(s, now)
	if part >= 1 {
		return true
	}
	rate := b.slowStartMultiple * unit * part
	s.tokens += rate * (now - s.tokensAt)
	s.tokensAt = now
	// A token not used lapses, else a fleet that was idle could spend one a node at once. One that waited half the
	// time in which a server falls is past: of nodes due less than one by then only so large a part holds one.
	s.tokens -= max(0, math.Ceil(s.tokens-1-max(rate/4, min(1, rate*b.overloadWindow/2))))
	return s.tokens >= 1
}
