package decide

import "math"

// Waits are measured in latency objectives of the RPC's method.
const (
	waitGoal           = 0.6  // a higher mean wait leaves too many RPCs late, and servers begin to overload there
	crowdedWait        = 1.4  // times the base wait: more open RPCs would only queue
	calmWait           = 1.3  // times the base wait: the number of open RPCs is usual while waits are below it
	negligibleWait     = 0.02 // a wait below it hurts nobody, however many times the base wait it is
	baselineHalfLife   = 60.0 // seconds in which the base wait may double and the usual number of open RPCs halve
	longWaitHalfLife   = 5.0  // seconds
	recentWaitHalfLife = 0.7  // seconds
	minWaits           = 6.0  // fewer recent waits are no evidence: older ones fill in for those missing
	longWaitPrior      = 2.0  // samples that the prior of the base wait counts for: the lowest of a few waits is chance
)

// The limit is in open RPCs. Its factors are parts of the limit itself or of the number usually open.
const (
	firstLimitFactor   = 5.0  // times the minimal limit: the limit at the start
	maxLimitFactor     = 1.1  // a burst would fill a larger limit before the first late answer
	minLimitFactor     = 0.5  // servers in overload recover with that few RPCs anyway
	chanceHalfAt       = 4.0  // RPCs usually open at which half of the allowance for random variation counts
	limitIncrease      = 0.2  // an answer raises it by a part of one RPC: by a fifth for each round of answers
	limitDecrease      = 0.3  // somewhat faster, since overload costs more than an idle server
	maxOverloadCut     = 0.5  // at most, where waits are beyond the goal
	limitUsed          = 0.6  // the limit grows only while more than this part of it is used
	minStepCount       = 4.0  // open RPCs over which a change of the limit is spread at least
	minUnreportedShare = 0.05 // bounds by how much load reports may raise the limit
	zeroWeightShare    = 0.65 // the part of the limit open to an RPC of no weight: the rest is reserved for others
)

// admission is an adaptive concurrency limit: only so many RPCs are open at the node as keep their waits near the
// goal. More would all be late, and overload the servers.
type admission struct {
	limit         float64 // open RPCs at most; 0: not started
	usualOpen     float64 // open RPCs at most while waits were near the base wait
	baseWait      float64 // the lowest mean wait of late
	baselineAt    float64 // seconds; when usualHeld and baseWait were last updated
	recentWaits   decayingMean
	longWaits     decayingMean
	openOnArrival decayingMean // open RPCs when others arrived
}

// start sets the first limit. It does nothing later.
func (a *admission) start(minLimit, now float64) {
	if a.limit != 0 {
		return
	}
	a.limit = firstLimitFactor * minLimit
	a.usualOpen = a.limit / maxLimitFactor
	a.baseWait, a.baselineAt = waitGoal, now
}

// admits reports whether one more RPC is admitted beside those open. Its share is the part of the limit that is open to
// it. The limit makes up for what is not known of the servers' load: where servers report it, the estimates of
// rejectLate do most of the work, and the limit is raised.
func (a *admission) admits(open int, share, unreportedShare, now float64) bool {
	wait := a.meanWait(now)
	limit := a.limit * share
	limit /= max(minUnreportedShare, unreportedShare)
	// With waits far below the goal servers have capacity left, and a few RPCs above the usual are random variation.
	limit *= math.Sqrt(max(1, waitGoal/wait))
	count := float64(open)
	a.openOnArrival.add(count, now, longWaitHalfLife)
	// A limit below one would reject everything, and nothing would be learnt from then on. So an RPC that would be the
	// only one is admitted unless the last ones were late.
	if open == 0 && wait < waitGoal {
		return true
	}
	// The number of open RPCs varies at random by about its square root. The root counts less one: at a node with a
	// single RPC it would double the load, and hundreds of such nodes add up.
	return count <= limit+math.Sqrt(a.meanOpen(now))-1
}

// finished notes the wait of an RPC that found a server, and moves the limit. The open RPCs include this one; minLimit
// is the lowest limit that keeps the node's part of the servers busy.
func (a *admission) finished(wait float64, open int, minLimit, now float64) {
	a.recentWaits.add(wait, now, recentWaitHalfLife)
	a.longWaits.add(wait, now, longWaitHalfLife)
	longWait := a.longWaits.read(now, longWaitHalfLife, waitGoal/2, longWaitPrior)
	a.updateBaseline(longWait, now)
	a.adjustLimit(a.meanWait(now), open)
	a.boundLimit(longWait, minLimit)
}

// updateBaseline follows the lowest wait of late, and the number of RPCs open while waits are near it.
func (a *admission) updateBaseline(longWait, now float64) {
	grown := a.baseWait * math.Exp2((now-a.baselineAt)/baselineHalfLife)
	a.baseWait = max(negligibleWait, min(grown, longWait))
	a.usualOpen *= math.Exp2((a.baselineAt - now) / baselineHalfLife)
	a.baselineAt = now
	if longWait < calmWait*a.baseWait {
		a.usualOpen = max(a.usualOpen, a.meanOpen(now))
	}
}

// adjustLimit moves the limit a step by the mean wait.
func (a *admission) adjustLimit(wait float64, open int) {
	count := max(float64(open), minStepCount)
	switch {
	case wait > waitGoal:
		a.limit *= 1 + max(waitGoal-wait, -maxOverloadCut)/count
	case wait > crowdedWait*a.baseWait:
		// By Little's law a slowdown of all servers needs no more open RPCs than usual to keep them at work, and no
		// fewer either.
		a.limit = max(a.limit*(1-limitDecrease/count), min(a.limit, a.usualOpen))
	case float64(open-1) > limitUsed*a.limit:
		a.limit *= 1 + limitIncrease/count
	}
}

// boundLimit keeps the limit near the number usually open.
func (a *admission) boundLimit(longWait, minLimit float64) {
	chance := 2 * math.Sqrt(a.usualOpen) * a.usualOpen / (a.usualOpen + chanceHalfAt)
	highest := maxLimitFactor*a.usualOpen + chance
	// Where waits are negligible, the limit may rise until they no longer are.
	a.limit = min(a.limit, highest*max(1, negligibleWait/longWait))
	a.limit = max(a.limit, minLimit, minLimitFactor*a.usualOpen)
}

// meanWait is the mean of the recent waits. Where there are few, older ones fill in: at one RPC a second a constant
// prior alone would hide that all are late.
func (a *admission) meanWait(now float64) float64 {
	missing := max(0, minWaits-a.recentWaits.samples(now, recentWaitHalfLife))
	older := a.longWaits.read(now, longWaitHalfLife, waitGoal/2, 1)
	return a.recentWaits.read(now, recentWaitHalfLife, older, missing)
}

// meanOpen is the mean number of RPCs that were open when others arrived.
func (a *admission) meanOpen(now float64) float64 {
	return a.openOnArrival.read(now, longWaitHalfLife, 0, 0)
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

// minConcurrencyLimit is the lowest limit: a slowdown of all servers must not lead to idle servers.
func (b *Balancer) minConcurrencyLimit() float64 {
	return 2 * max(1, float64(b.readyServers)) * b.nodeShare
}

// recordWait counts how long an RPC was open that is about to end, if it found a server.
func (b *Balancer) recordWait(r *RPC, now float64) {
	if len(r.attempts) == 0 || r.BodyPending {
		return
	}
	wait := (now - r.clockStart) / r.rules.LatencyObjective
	b.admission.finished(wait, b.openRPCs, b.minConcurrencyLimit(), now)
}
