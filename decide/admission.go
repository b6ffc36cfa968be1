package decide

import "math"

// Waits are measured in latency objectives of the RPC's method.
const (
	waitGoal           = 0.6  // a mean wait above it leaves too many RPCs late, and is where servers begin to overload
	crowdedWait        = 1.4  // times the base wait: more RPCs held would only queue
	calmWait           = 1.3  // times the base wait: what is held below it is held while all is well
	negligibleWait     = 0.02 // a wait below it hurts nobody, however many times the base wait it is
	baselineHalfLife   = 60.0 // seconds in which the base wait doubles and the usual number held halves without news
	longWaitHalfLife   = 5.0  // seconds
	recentWaitHalfLife = 0.7  // seconds
	minWaits           = 6.0  // fewer recent waits say little: older ones stand in for the missing ones
	longWaitPrior      = 2.0  // waits' worth of doubt in the base wait: the lowest of a few waits is chance
)

// The limit is in RPCs held, its factors are parts of it or of the number usually held.
const (
	firstLimitFactor   = 5.0  // times the least limit: the first one
	maxLimitFactor     = 1.1  // a burst fills a larger limit before the first late answer shows it
	minLimitFactor     = 0.5  // below it servers in overload have recovered anyway
	chanceHalfAt       = 4.0  // RPCs usually held at which half of the allowance for chance counts
	limitIncrease      = 0.2  // a server's answer admits a part of the next RPC: a fifth more for each round of answers
	limitDecrease      = 0.3  // somewhat faster, since a crowd costs more than an idle server
	maxOverloadCut     = 0.5  // at most, where waits are beyond the goal
	limitUsed          = 0.6  // the limit grows only while more than this part of it is used
	minStepCount       = 4.0  // RPCs held that a change of the limit is spread over at least
	minUnreportedShare = 0.05 // bounds what load reports may widen the limit by
	zeroWeightShare    = 0.65 // the part of the limit open to an RPC of no weight: the rest is kept for others
)

// admission limits the RPCs that the node holds, so that their waits stay near the goal. A crowd above the limit would
// be late to the last one, and overload servers.
type admission struct {
	limit         float64 // RPCs held at most; 0: not started
	usualHeld     float64 // RPCs held at most while waits were near the base wait
	baseWait      float64 // the lowest mean wait of late
	baselineAt    float64 // seconds; when usualHeld and baseWait were last updated
	recentWaits   decayingMean
	longWaits     decayingMean
	heldOnArrival decayingMean // RPCs held when others arrived
}

// start sets the first limit. It does nothing later.
func (a *admission) start(minLimit, now float64) {
	if a.limit != 0 {
		return
	}
	a.limit = firstLimitFactor * minLimit
	a.usualHeld = a.limit / maxLimitFactor
	a.baseWait, a.baselineAt = waitGoal, now
}

// admits tells whether one more RPC is admitted beside those held. Its share is the part of the limit that is open to
// it. The limit stands in for what is not known of the servers' load: where they report it, the estimates reject RPCs.
func (a *admission) admits(held int, share, unreportedShare, now float64) bool {
	wait := a.meanWait(now)
	limit := a.limit * share
	limit /= max(minUnreportedShare, unreportedShare)
	// Waits far below the goal say that servers have capacity left: what a few RPCs held exceed the usual by is chance.
	limit *= math.Sqrt(max(1, waitGoal/wait))
	count := float64(held)
	a.heldOnArrival.add(count, now, longWaitHalfLife)
	// A lone RPC is sent unless the last ones were late: a limit below one would reject all, and nothing be learnt.
	if held == 0 && wait < waitGoal {
		return true
	}
	// Chance moves the number held by its root. Of one held that is none or two, and over hundreds of such nodes one
	// more at each is a crowd.
	return count <= limit+math.Sqrt(a.meanHeld(now))-1
}

// finished takes the wait of an RPC that found a server, and moves the limit. The RPCs held include this one; minLimit
// keeps the node's part of the servers at work.
func (a *admission) finished(wait float64, held int, minLimit, now float64) {
	a.recentWaits.add(wait, now, recentWaitHalfLife)
	a.longWaits.add(wait, now, longWaitHalfLife)
	longWait := a.longWaits.read(now, longWaitHalfLife, waitGoal/2, longWaitPrior)
	a.updateBaseline(longWait, now)
	a.adjustLimit(a.meanWait(now), held)
	a.boundLimit(longWait, minLimit)
}

// updateBaseline follows the lowest wait of late, and the number of RPCs held while waits are near it.
func (a *admission) updateBaseline(longWait, now float64) {
	grown := a.baseWait * math.Exp2((now-a.baselineAt)/baselineHalfLife)
	a.baseWait = max(negligibleWait, min(grown, longWait))
	a.usualHeld *= math.Exp2((a.baselineAt - now) / baselineHalfLife)
	a.baselineAt = now
	if longWait < calmWait*a.baseWait {
		a.usualHeld = max(a.usualHeld, a.meanHeld(now))
	}
}

// adjustLimit moves the limit a step by the mean wait.
func (a *admission) adjustLimit(wait float64, held int) {
	count := max(float64(held), minStepCount)
	switch {
	case wait > waitGoal:
		a.limit *= 1 + max(waitGoal-wait, -maxOverloadCut)/count
	case wait > crowdedWait*a.baseWait:
		// By Little's law a slowdown of all servers needs no more RPCs held than usual to keep them at work, and no
		// fewer either.
		a.limit = max(a.limit*(1-limitDecrease/count), min(a.limit, a.usualHeld))
	case float64(held-1) > limitUsed*a.limit:
		a.limit *= 1 + limitIncrease/count
	}
}

// boundLimit keeps the limit near the number usually held.
func (a *admission) boundLimit(longWait, minLimit float64) {
	chance := 2 * math.Sqrt(a.usualHeld) * a.usualHeld / (a.usualHeld + chanceHalfAt)
	highest := maxLimitFactor*a.usualHeld + chance
	// Where waits are next to nothing, so many more may come as would still wait little.
	a.limit = min(a.limit, highest*max(1, negligibleWait/longWait))
	a.limit = max(a.limit, minLimit, minLimitFactor*a.usualHeld)
}

// meanWait is the mean of the last waits. Where few are recent, older ones stand in, and a prior for those: at an RPC a
// second the prior alone would hide that all are late.
func (a *admission) meanWait(now float64) float64 {
	missing := max(0, minWaits-a.recentWaits.weight.read(now, recentWaitHalfLife))
	older := a.longWaits.read(now, longWaitHalfLife, waitGoal/2, 1)
	return a.recentWaits.read(now, recentWaitHalfLife, older, missing)
}

// meanHeld is the mean number of RPCs held when others arrived.
func (a *admission) meanHeld(now float64) float64 {
	return a.heldOnArrival.read(now, longWaitHalfLife, 0, 0)
}

// admissionShare is the part of the limit, and of the time left, that an RPC may use, by its weight relative to the
// highest. The less it is worth, the earlier it is rejected.
func admissionShare(relativeWeight float64) float64 {
	return zeroWeightShare + (1-zeroWeightShare)*math.Cbrt(relativeWeight)
}

// admit decides whether an RPC that has arrived is admitted. Inner tiers admit all that can still be in time: a
// pushback there wastes the work of the tiers above.
func (b *Balancer) admit(r *RPC, now float64) bool {
	if r.usefulUntil <= now {
		return false
	}
	return b.innerTier || b.admission.admits(b.openRPCs-1, r.admissionShare, b.loadReports.unreportedShare(now), now)
}

// minConcurrencyLimit is the least limit: a slowdown of all servers is not answered by idling them.
func (b *Balancer) minConcurrencyLimit() float64 {
	return 2 * max(1, float64(b.readyServers)) * b.nodeShare
}

// recordWait counts how long an RPC was held that is about to end, if it found a server.
func (b *Balancer) recordWait(r *RPC, now float64) {
	if len(r.attempts) == 0 || r.BodyPending {
		return
	}
	wait := (now - r.clockStart) / r.rules.LatencyObjective
	b.admission.finished(wait, b.openRPCs, b.minConcurrencyLimit(), now)
}
