package decide

import "math"

const (
	warmRateHalfLife = 10.0 // seconds: a warm server's best rate must not be chance at a node with an RPC a second
	bestRateHalfLife = 60.0 // seconds: the traffic of a day changes in minutes
	unusedTokenLife  = 0.25 // seconds; tokens of that time stay in the bucket, beside the one that may be spent
)

// slowStart limits what servers that have just started are sent. It binds over all nodes: each node sends a starting
// server its fraction of what a warm server answers this node, so all together stay below the multiple of its capacity
// that overloads it. Half of the multiple is left for chance, and the other half lets a fleet recover that has started
// all at once.
type slowStart struct {
	initialFraction float64 // of its capacity that a server is sure to have at its start
	duration        float64 // seconds from then until it has all of it; 0: there is no slow start
	overloadWindow  float64 // seconds within which too many attempts overload a starting server
	rateMultiple    float64 // times its fraction of a warm server's rate that a starting server is sent at most
	minRate         float64 // attempts a second to a warm server as long as nothing is known

	answers  decayingValue // per warm server
	bestRate decayingValue // answers a second of a warm server, the highest of late
}

// slowStartBudget is a token bucket: what this node may send to one starting server.
type slowStartBudget struct {
	tokens    float64 // attempts
	updatedAt float64 // seconds
}

// configure applies the settings. The node's share is its part of the tier's nodes.
func (s *slowStart) configure(settings *Settings, nodeShare float64) {
	s.initialFraction, s.duration = settings.SlowStartFraction, settings.SlowStartDuration
	s.overloadWindow = settings.OverloadWindow
	s.rateMultiple = max(1, settings.OverloadMultiple/2)
	if settings.OverloadWindow <= 0 || settings.OverloadMultiple <= 0 {
		s.duration, s.minRate = 0, 0 // nothing overloads a starting server
		return
	}
	s.minRate = settings.OverloadMultiple / settings.OverloadWindow * nodeShare
}

// capacityFraction is the part of its capacity that a server started at a time is sure to have now.
func (s *slowStart) capacityFraction(startedAt, now float64) float64 {
	if startedAt <= 0 || now >= startedAt+s.duration || s.duration <= 0 {
		return 1
	}
	return s.initialFraction + (1-s.initialFraction)*max(0, now-startedAt)/s.duration
}

// answered counts an answer beside servers whose fractions have this sum. Each answer counts by the servers of its
// moment: divided by those of later, a fleet that was just replaced would seem to have given all of them.
func (s *slowStart) answered(fractions, now float64) {
	s.answers.add(1/max(fractions, 1), now, warmRateHalfLife)
}

// currentRate is what a warm server answers this node now, a second.
func (s *slowStart) currentRate(now float64) float64 {
	return s.answers.read(now, warmRateHalfLife) * math.Ln2 / warmRateHalfLife
}

// warmServerRate is what a warm server answers this node at its best, a second. The rate during an overload would leave
// starting servers idle that could relieve the others.
func (s *slowStart) warmServerRate(now float64) float64 {
	s.bestRate.raiseTo(s.currentRate(now), now, bestRateHalfLife)
	return max(s.bestRate.read(now, bestRateHalfLife), s.minRate)
}

// rate is the rate that a server started at a time can take, if it is in slow start. It leaves the best rate as it is.
func (s *slowStart) rate(startedAt, now float64) (rate float64, starting bool) {
	fraction := s.capacityFraction(startedAt, now)
	if fraction >= 1 {
		return 0, false
	}
	best := s.bestRate.peek(now, bestRateHalfLife)
	return max(best, s.currentRate(now), s.minRate) * fraction, true
}

// allows reports whether a server started at a time may get one more attempt.
func (s *slowStart) allows(budget *slowStartBudget, startedAt, warmServerRate, now float64) bool {
	fraction := s.capacityFraction(startedAt, now)
	if fraction >= 1 {
		return true
	}
	rate := s.rateMultiple * warmServerRate * fraction
	budget.tokens += rate * (now - budget.updatedAt)
	budget.updatedAt = now
	// A token that is not used lapses after half the overload window, else all nodes of an idle fleet could spend one
	// at once. Of nodes due less than one in that time only so large a part holds one.
	spare := max(rate*unusedTokenLife, min(1, rate*s.overloadWindow/2))
	budget.tokens -= max(0, math.Ceil(budget.tokens-1-spare))
	return budget.tokens >= 1
}

// sent takes an attempt to a server started at a time off its budget.
func (s *slowStart) sent(budget *slowStartBudget, startedAt, now float64) {
	if s.capacityFraction(startedAt, now) < 1 {
		budget.tokens--
	}
}

// SlowStartRate is the rate that a server in slow start can take of this node, in attempts a second, as far as the node
// knows: by what a warm server answers it. It decides nothing.
func (b *Balancer) SlowStartRate(s *Server) (rate float64, starting bool) {
	return b.slowStart.rate(s.startedAt, b.host.Now())
}

// isWarm reports whether a server has all of its capacity: it is not in slow start, or no longer.
func (b *Balancer) isWarm(s *Server, now float64) bool {
	return b.slowStart.capacityFraction(s.startedAt, now) >= 1
}
