package decide

import "math"

const (
	// Half-life in seconds of the count of answers: long enough to average out random variation at one RPC per second.
	warmRateHalfLife = 10.0
	// Half-life in seconds of a warm server's highest rate: in the course of a day, traffic changes within minutes.
	bestRateHalfLife    = 60.0
	unusedTokenLifetime = 0.25 // seconds; the bucket holds the tokens earned in this time, in addition to one token
)

// slowStart limits the rate of attempts to servers that have just started. Each node sends such a server at most
// rateMultiple * capacityFraction * the rate at which a warm server answers this node. The sum over all nodes is then
// below Settings.OverloadMultiple * current capacity, above which the server is overloaded. Half of OverloadMultiple is
// reserved for random variation. The other half lets a fleet recover after all of its servers have started at once.
type slowStart struct {
	initialFraction float64 // fraction of its capacity that a server has at its start
	duration        float64 // seconds from a server's start to its full capacity; 0: there is no slow start
	overloadWindow  float64 // seconds over which the load of a server in slow start is measured
	rateMultiple    float64 // highest rate of attempts, as a multiple of capacityFraction * warm server's rate
	minRate         float64 // answers per second; lower bound of a warm server's rate, used while there are no answers

	answers  decayingValue // answers per warm server; decaying count, half-life warmRateHalfLife
	bestRate decayingValue // answers per second per warm server; decaying maximum, half-life bestRateHalfLife
}

// slowStartBudget is the token bucket of the attempts that this node may send to one server in slow start.
type slowStartBudget struct {
	tokens    float64 // one token for each attempt
	updatedAt float64 // seconds; time of the last refill
}

// configure applies the settings. nodeShare is 1 / number of nodes in the tier.
func (s *slowStart) configure(settings *Settings, nodeShare float64) {
	s.initialFraction, s.duration = settings.SlowStartFraction, settings.SlowStartDuration
	s.overloadWindow = settings.OverloadWindow
	s.rateMultiple = max(1, settings.OverloadMultiple/2)
	if settings.OverloadWindow <= 0 || settings.OverloadMultiple <= 0 {
		s.duration, s.minRate = 0, 0 // no slow start: no rate counts as an overload
		return
	}
	s.minRate = settings.OverloadMultiple / settings.OverloadWindow * nodeShare
}

// capacityFraction returns the fraction of its capacity that a server has now. The fraction rises linearly from
// initialFraction, at the time startedAt, to 1 at startedAt + duration.
func (s *slowStart) capacityFraction(startedAt, now float64) float64 {
	if startedAt <= 0 || now >= startedAt+s.duration || s.duration <= 0 {
		return 1
	}
	return s.initialFraction + (1-s.initialFraction)*max(0, now-startedAt)/s.duration
}

// answered counts an answer as 1/fractions, where fractions is the sum of the capacity fractions of the servers in the
// subset at the time of the answer. If the sum were taken later, and all servers had been replaced since the answer,
// the answers of the old servers would be attributed to the new servers.
func (s *slowStart) answered(fractions, now float64) {
	s.answers.add(1/max(fractions, 1), now, warmRateHalfLife)
}

// currentRate returns the rate at which a warm server answers this node now, in answers per second. It is computed from
// the decaying count of answers: count * ln 2 / half-life.
func (s *slowStart) currentRate(now float64) float64 {
	return s.answers.read(now, warmRateHalfLife) * math.Ln2 / warmRateHalfLife
}

// warmServerRate returns the highest recent rate at which a warm server answered this node, in answers per second, or
// minRate if that is higher. The current rate alone is not used, since it may fall during an overload. Servers in slow
// start would then be left idle although they could relieve the overloaded servers.
func (s *slowStart) warmServerRate(now float64) float64 {
	s.bestRate.raiseTo(s.currentRate(now), now, bestRateHalfLife)
	return max(s.bestRate.read(now, bestRateHalfLife), s.minRate)
}

// rate returns the rate in attempts per second that a server can take from this node, and whether the server is in slow
// start. Unlike warmServerRate, it does not update bestRate.
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
	// The bucket holds at most 1 + spare tokens. Tokens that are not used within half the overload window expire.
	// Otherwise every node of an idle fleet could hold a token, and all could be spent at the same time. Only whole
	// tokens are removed: if each node earns a fraction f of a token in half the window, a fraction f of the nodes
	// holds a token.
	spare := max(rate*unusedTokenLifetime, min(1, rate*s.overloadWindow/2))
	budget.tokens -= max(0, math.Ceil(budget.tokens-1-spare))
	return budget.tokens >= 1
}

// sent records that an attempt is sent to a server. If the server is in slow start, a token is removed from the
// server's bucket.
func (s *slowStart) sent(budget *slowStartBudget, startedAt, now float64) {
	if s.capacityFraction(startedAt, now) < 1 {
		budget.tokens--
	}
}

// SlowStartRate returns the rate in attempts per second that a server in slow start can take from this node, estimated
// from the rate at which a warm server answers this node. No decision depends on this rate.
func (b *Balancer) SlowStartRate(s *Server) (rate float64, starting bool) {
	return b.slowStart.rate(s.startedAt, b.host.Now())
}

// isWarm reports whether a server has its full capacity, that is, whether it is not in slow start.
func (b *Balancer) isWarm(s *Server, now float64) bool {
	return b.slowStart.capacityFraction(s.startedAt, now) >= 1
}
