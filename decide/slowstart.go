package decide

import "math"

const (
	warmRateHalfLife    = 10.0 // seconds; of the count of answers: averages out random variation at one RPC per second
	bestRateHalfLife    = 60.0 // seconds; of a warm server's highest rate: over a day, traffic changes within minutes
	unusedTokenLifetime = 0.25 // seconds; the bucket keeps the tokens of this time in addition to the one to be spent
)

// slowStart limits the rate of attempts to servers that have just started. Each node sends such a server at most
// rateMultiple * capacityFraction * the rate at which a warm server answers this node. The sum over all nodes is then
// below the multiple of its capacity that overloads the server. Half of that multiple is reserved for random variation.
// The other half lets a fleet recover whose servers have all started at once.
type slowStart struct {
	initialFraction float64 // fraction of its capacity that a server has at its start
	duration        float64 // seconds from its start until it has its full capacity; 0: there is no slow start
	overloadWindow  float64 // seconds over which the overload of a starting server is measured
	rateMultiple    float64 // highest rate of attempts, as a multiple of capacityFraction * warm server's rate
	minRate         float64 // attempts per second; lower bound of a warm server's rate, used while nothing is known

	answers  decayingValue // answers per warm server; decaying count, half-life warmRateHalfLife
	bestRate decayingValue // answers per second per warm server; decaying maximum, half-life bestRateHalfLife
}

// slowStartBudget is the token bucket of the attempts that this node may send to one starting server.
type slowStartBudget struct {
	tokens    float64 // attempts
	updatedAt float64 // seconds
}

// configure applies the settings. nodeShare is 1 / number of nodes in the tier.
func (s *slowStart) configure(settings *Settings, nodeShare float64) {
	s.initialFraction, s.duration = settings.SlowStartFraction, settings.SlowStartDuration
	s.overloadWindow = settings.OverloadWindow
	s.rateMultiple = max(1, settings.OverloadMultiple/2)
	if settings.OverloadWindow <= 0 || settings.OverloadMultiple <= 0 {
		s.duration, s.minRate = 0, 0 // no rate overloads a starting server
		return
	}
	s.minRate = settings.OverloadMultiple / settings.OverloadWindow * nodeShare
}

// capacityFraction returns the fraction of its capacity that a server has now. It rises linearly from initialFraction
// at startedAt to 1 after duration.
func (s *slowStart) capacityFraction(startedAt, now float64) float64 {
	if startedAt <= 0 || now >= startedAt+s.duration || s.duration <= 0 {
		return 1
	}
	return s.initialFraction + (1-s.initialFraction)*max(0, now-startedAt)/s.duration
}

// answered counts an answer. fractions is the sum of the capacity fractions of the servers in the subset; the answer
// counts as 1/fractions. The sum must be that at the time of the answer: with a later sum, just after all servers were
// replaced, the new ones would seem to have given all answers.
func (s *slowStart) answered(fractions, now float64) {
	s.answers.add(1/max(fractions, 1), now, warmRateHalfLife)
}

// currentRate returns count * ln 2 / half-life: the rate at which a warm server answers this node now, in answers per
// second.
func (s *slowStart) currentRate(now float64) float64 {
	return s.answers.read(now, warmRateHalfLife) * math.Ln2 / warmRateHalfLife
}

// warmServerRate returns the highest recent rate at which a warm server answered this node, in answers per second, or
// minRate if that is higher. With the rate during an overload, starting servers that could relieve the others would be
// left idle.
func (s *slowStart) warmServerRate(now float64) float64 {
	s.bestRate.raiseTo(s.currentRate(now), now, bestRateHalfLife)
	return max(s.bestRate.read(now, bestRateHalfLife), s.minRate)
}

// rate returns the rate in attempts per second that a server can take from this node, and whether it is in slow start.
// It does not update the highest rate.
func (s *slowStart) rate(startedAt, now float64) (rate float64, starting bool) {
	fraction := s.capacityFraction(startedAt, now)
	if fraction >= 1 {
		return 0, false
	}
	best := s.bestRate.peek(now, bestRateHalfLife)
	return max(best, s.currentRate(now), s.minRate) * fraction, true
}

// allows refills the server's bucket and reports whether the server may get one more attempt.
func (s *slowStart) allows(budget *slowStartBudget, startedAt, warmServerRate, now float64) bool {
	fraction := s.capacityFraction(startedAt, now)
	if fraction >= 1 {
		return true
	}
	rate := s.rateMultiple * warmServerRate * fraction
	budget.tokens += rate * (now - budget.updatedAt)
	budget.updatedAt = now
	// The capacity of the bucket is 1 + spare tokens. Unused tokens expire after half the overload window, otherwise
	// all nodes of an idle fleet could spend one at the same time. Only whole tokens are removed: of nodes that earn a
	// fraction f of a token in that time, a fraction f holds one.
	spare := max(rate*unusedTokenLifetime, min(1, rate*s.overloadWindow/2))
	budget.tokens -= max(0, math.Ceil(budget.tokens-1-spare))
	return budget.tokens >= 1
}

// sent takes the token of an attempt to a server in slow start from the server's bucket.
func (s *slowStart) sent(budget *slowStartBudget, startedAt, now float64) {
	if s.capacityFraction(startedAt, now) < 1 {
		budget.tokens--
	}
}

// SlowStartRate returns the rate in attempts per second that a server in slow start can take from this node, estimated
// from the rate at which a warm server answers this node. No decision depends on it.
func (b *Balancer) SlowStartRate(s *Server) (rate float64, starting bool) {
	return b.slowStart.rate(s.startedAt, b.host.Now())
}

// isWarm reports whether a server has its full capacity, that is, whether it is not in slow start.
func (b *Balancer) isWarm(s *Server, now float64) bool {
	return b.slowStart.capacityFraction(s.startedAt, now) >= 1
}
