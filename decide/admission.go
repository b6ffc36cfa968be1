package decide

import "math"

// Waits are measured in latency objectives of the RPC's method.
const (
	waitGoal              = 0.6  // above this mean wait too many RPCs are late, and servers begin to be overloaded
	congestedWaitFactor   = 1.4  // times the base wait: above it, more open RPCs would only queue
	uncongestedWaitFactor = 1.3  // times the base wait: below it, the open RPCs count towards the baseline
	negligibleWait        = 0.02 // a shorter wait is harmless, whatever multiple of the base wait it is
	baselineHalfLife      = 60.0 // seconds in which the base wait may double and the baseline of open RPCs is halved
	longWaitHalfLife      = 5.0  // seconds; of the long-term mean wait and of the mean number of open RPCs
	recentWaitHalfLife    = 0.7  // seconds; of the recent mean wait
	minWaitSamples        = 6.0  // if there are fewer recent waits, the long-term mean stands in for the missing ones
	longWaitPriorSamples  = 2.0  // samples of the long-term mean's prior: the lowest of a few waits is random
)

// The limit and its baseline are numbers of open RPCs; the baseline is the number that is usually open. A round of
// answers is one answer for each open RPC.
const (
	initialLimitFactor  = 5.0  // times the lowest limit: the limit at the start
	maxLimitFactor      = 1.1  // times the baseline: a burst would fill a higher limit before the first late answer
	minLimitFactor      = 0.5  // times the baseline: overloaded servers recover with that few open RPCs anyway
	variationHalfAt     = 4.0  // open RPCs; baseline at which half of the allowance for random variation applies
	limitIncrease       = 0.2  // increase of the limit per round of answers, as a fraction of the limit
	limitDecrease       = 0.3  // decrease per round; higher than the increase: overload costs more than an idle server
	maxOverloadDecrease = 0.5  // above waitGoal the decrease per round is the mean wait - waitGoal, at most this
	minUtilization      = 0.6  // the limit grows only while a higher fraction of it is in use
	minRoundLength      = 4.0  // answers; lowest length of a round
	minUnreportedShare  = 0.05 // lower bound of the unreported share, by which the limit is divided
	zeroWeightShare     = 0.65 // fraction of the limit open to an RPC of weight 0; the rest is for RPCs of more weight
)

// admission is an adaptive concurrency limit: it bounds the open RPCs at the node so that the mean wait stays near
// waitGoal. With more open RPCs all of them would be late, and the servers would be overloaded.
type admission struct {
	limit         float64 // highest number of open RPCs that is allowed; 0: not started
	baselineOpen  float64 // decaying maximum of the mean open RPCs while waits were near the base wait
	baseWait      float64 // recent minimum of the long-term mean wait
	baselineAt    float64 // seconds; last update of baselineOpen and baseWait
	recentWaits   decayingMean
	longWaits     decayingMean
	openOnArrival decayingMean // open RPCs, sampled at each arrival
}

// start sets the initial limit. Later calls do nothing.
func (a *admission) start(minLimit, now float64) {
	if a.limit != 0 {
		return
	}
	a.limit = initialLimitFactor * minLimit
	a.baselineOpen = a.limit / maxLimitFactor
	a.baseWait, a.baselineAt = waitGoal, now
}

// admits reports whether one more RPC is admitted while the given number of RPCs is open. share is the fraction of the
// limit that the RPC may use. The limit is divided by unreportedShare: where servers report their load, rejectLate does
// most of the work, so the limit may be higher.
func (a *admission) admits(open int, share, unreportedShare, now float64) bool {
	wait := a.meanWait(now)
	limit := a.limit * share
	limit /= max(minUnreportedShare, unreportedShare)
	// If waits are far below the goal, servers have spare capacity, and a few RPCs above the baseline are random
	// variation.
	limit *= math.Sqrt(max(1, waitGoal/wait))
	count := float64(open)
	a.openOnArrival.add(count, now, longWaitHalfLife)
	// A limit below one would reject every RPC, and no waits would be measured from then on. So an RPC that would be
	// the only open one is admitted unless recent RPCs were late.
	if open == 0 && wait < waitGoal {
		return true
	}
	// The number of open RPCs varies at random; its standard deviation is about its square root. One is subtracted
	// from the root: at a node with a single open RPC the root would double the load, and hundreds of such nodes add
	// up.
	return count <= limit+math.Sqrt(a.meanOpen(now))-1
}

// finished records the wait of an RPC that was sent to a server, and adjusts the limit. The open RPCs include this one.
// minLimit is the lowest limit that keeps this node's share of the servers busy.
func (a *admission) finished(wait float64, open int, minLimit, now float64) {
	a.recentWaits.add(wait, now, recentWaitHalfLife)
	a.longWaits.add(wait, now, longWaitHalfLife)
	longWait := a.longWaits.read(now, longWaitHalfLife, waitGoal/2, longWaitPriorSamples)
	a.updateBaseline(longWait, now)
	a.adjustLimit(a.meanWait(now), open)
	a.boundLimit(longWait, minLimit)
}

// updateBaseline updates the base wait, and the number of RPCs that are open while waits are near it.
func (a *admission) updateBaseline(longWait, now float64) {
	grown := a.baseWait * math.Exp2((now-a.baselineAt)/baselineHalfLife)
	a.baseWait = max(negligibleWait, min(grown, longWait))
	a.baselineOpen *= math.Exp2((a.baselineAt - now) / baselineHalfLife)
	a.baselineAt = now
	if longWait < uncongestedWaitFactor*a.baseWait {
		a.baselineOpen = max(a.baselineOpen, a.meanOpen(now))
	}
}

// adjustLimit moves the limit by one step, depending on the mean wait.
func (a *admission) adjustLimit(wait float64, open int) {
	roundLength := max(float64(open), minRoundLength)
	switch {
	case wait > waitGoal:
		a.limit *= 1 + max(waitGoal-wait, -maxOverloadDecrease)/roundLength
	case wait > congestedWaitFactor*a.baseWait:
		// By Little's law, while all servers are slower, the baseline of open RPCs still keeps them busy: the limit
		// need not be higher, and should not be lower.
		a.limit = max(a.limit*(1-limitDecrease/roundLength), min(a.limit, a.baselineOpen))
	case float64(open-1) > minUtilization*a.limit:
		a.limit *= 1 + limitIncrease/roundLength
	}
}

// boundLimit keeps the limit between two bounds:
//
//	lower: max(minLimit, minLimitFactor * baseline)
//	upper: maxLimitFactor * baseline + 2 * sqrt(baseline) * baseline / (baseline + variationHalfAt)
//
// The second term of the upper bound is an allowance for random variation.
func (a *admission) boundLimit(longWait, minLimit float64) {
	variation := 2 * math.Sqrt(a.baselineOpen) * a.baselineOpen / (a.baselineOpen + variationHalfAt)
	highest := maxLimitFactor*a.baselineOpen + variation
	// If the long-term mean wait is below negligibleWait, the upper bound is multiplied by negligibleWait / wait.
	a.limit = min(a.limit, highest*max(1, negligibleWait/longWait))
	a.limit = max(a.limit, minLimit, minLimitFactor*a.baselineOpen)
}

// meanWait returns the mean of the recent waits. If there are few, the long-term mean stands in: at one RPC per second,
// a constant prior alone would hide that all RPCs are late.
func (a *admission) meanWait(now float64) float64 {
	missing := max(0, minWaitSamples-a.recentWaits.samples(now, recentWaitHalfLife))
	older := a.longWaits.read(now, longWaitHalfLife, waitGoal/2, 1)
	return a.recentWaits.read(now, recentWaitHalfLife, older, missing)
}

// meanOpen returns the mean number of RPCs that were open when others arrived.
func (a *admission) meanOpen(now float64) float64 {
	return a.openOnArrival.read(now, longWaitHalfLife, 0, 0)
}

// admissionShare returns the fraction of the limit, and of the time left, that an RPC may use:
//
//	zeroWeightShare + (1 - zeroWeightShare) * cbrt(relativeWeight)
//
// RPCs of low weight are thus rejected earlier.
func admissionShare(relativeWeight float64) float64 {
	return zeroWeightShare + (1-zeroWeightShare)*math.Cbrt(relativeWeight)
}

// admit decides whether a new RPC is admitted. Inner tiers admit every RPC that can still be in time: a pushback there
// wastes the work of the tiers above.
func (b *Balancer) admit(r *RPC, now float64) bool {
	if r.usefulUntil <= now {
		return false
	}
	return b.innerTier || b.admission.admits(b.openRPCs-1, r.admissionShare, b.loadReports.unreportedShare(now), now)
}

// minConcurrencyLimit returns the lowest limit, 2 * ready servers * nodeShare. With a lower limit, a slowdown of all
// servers would leave servers idle.
func (b *Balancer) minConcurrencyLimit() float64 {
	return 2 * max(1, float64(b.readyServers)) * b.nodeShare
}

// recordWait records the wait of an RPC that is about to end, if it was sent to a server: the time that it was open,
// divided by its latency objective.
func (b *Balancer) recordWait(r *RPC, now float64) {
	if len(r.attempts) == 0 || r.BodyPending {
		return
	}
	wait := (now - r.clockStart) / r.rules.LatencyObjective
	b.admission.finished(wait, b.openRPCs, b.minConcurrencyLimit(), now)
}
