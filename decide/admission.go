package decide

import "math"

// A wait is the time for which an RPC was open, divided by the latency objective of its method.
const (
	waitGoal = 0.6 // above this mean wait, too many RPCs are late and the servers become overloaded
	// If the mean wait exceeds this multiple of the base wait, the limit is lowered: additional open RPCs would only be
	// queued.
	congestedWaitFactor = 1.4
	// If the long-term mean wait is below this multiple of the base wait, the baseline is raised to the mean number of
	// open RPCs, unless it is already higher.
	uncongestedWaitFactor = 1.3
	negligibleWait        = 0.02 // lower bound of the base wait: shorter waits are harmless
	baselineHalfLife      = 60.0 // seconds; time in which the baseline halves and the base wait at most doubles
	longWaitHalfLife      = 5.0  // seconds; half-life of the long-term mean wait and of the mean number of open RPCs
	recentWaitHalfLife    = 0.7  // seconds; half-life of the recent mean wait
	minWaitSamples        = 6.0  // if there are fewer recent waits, the long-term mean is used for each missing wait
	// The prior of the long-term mean wait counts as this many samples: a mean of only a few waits can be low by
	// chance.
	longWaitPriorSamples = 2.0
)

// The limit and the baseline are numbers of open RPCs. The baseline is the number that is usually open. The limit is
// adjusted with each answer; a round is as many answers as there are open RPCs, but at least minRoundLength.
const (
	initialLimitFactor = 5.0 // initial limit, as a multiple of its lower bound minConcurrencyLimit
	// The limit is at most this multiple of the baseline, plus an allowance for random variation: a burst could fill a
	// higher limit before any answer is late.
	maxLimitFactor = 1.1
	// The limit is at least this multiple of the baseline. It need not be lower, because overloaded servers already
	// recover at this number of open RPCs.
	minLimitFactor  = 0.5
	variationHalfAt = 4.0 // the baseline, in open RPCs, at which boundLimit halves the allowance for random variation
	limitIncrease   = 0.2 // increase of the limit per round, as a fraction of the limit
	// Decrease of the limit per round, as a fraction of the limit. The decrease is higher than limitIncrease, since
	// overload costs more than an idle server.
	limitDecrease = 0.3
	// While the mean wait exceeds waitGoal, the limit decreases per round by the fraction (mean wait - waitGoal), but
	// at most by this fraction.
	maxOverloadDecrease = 0.5
	minUtilization      = 0.6  // the limit is raised only if more than this fraction of the limit is in use
	minRoundLength      = 4.0  // answers; lower bound of the length of a round
	minUnreportedShare  = 0.05 // lower bound of the unreported share of load; the limit is divided by this share
	zeroWeightShare     = 0.65 // fraction of the limit that an RPC of weight 0 may use; the rest is for higher weights
)

// admission is an adaptive concurrency limit: it bounds the number of open RPCs at the node so that the mean wait stays
// near waitGoal. If more RPCs were open, all of them would be late and the servers would be overloaded.
type admission struct {
	limit         float64 // highest number of open RPCs; 0: start has not been called
	baselineOpen  float64 // decaying maximum of the mean number of open RPCs, raised only while waits are near baseWait
	baseWait      float64 // recent minimum of the long-term mean wait
	baselineAt    float64 // seconds; time of the last update of baselineOpen and baseWait
	recentWaits   decayingMean
	longWaits     decayingMean
	openOnArrival decayingMean // number of open RPCs, sampled when an RPC arrives
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

// admits reports whether a new RPC is admitted. open is the number of other open RPCs, and share is the fraction of the
// limit that the new RPC may use. The limit is divided by unreportedShare, the fraction of the servers' load that is
// unknown: if the servers report their load, rejectLate rejects most of the excess RPCs, so the limit may be higher.
func (a *admission) admits(open int, share, unreportedShare, now float64) bool {
	wait := a.meanWait(now)
	limit := a.limit * share
	limit /= max(minUnreportedShare, unreportedShare)
	// If the mean wait is below waitGoal, the servers have spare capacity, so the limit is raised. If the limit were
	// not raised, RPCs would be rejected whenever the number of open RPCs randomly exceeds the baseline by a few.
	limit *= math.Sqrt(max(1, waitGoal/wait))
	count := float64(open)
	a.openOnArrival.add(count, now, longWaitHalfLife)
	// A limit below one would reject every RPC. Then no wait would be measured, and the limit would stay below one. So
	// while no other RPC is open, the new RPC is admitted unless the mean wait has reached waitGoal.
	if open == 0 && wait < waitGoal {
		return true
	}
	// The number of open RPCs varies at random, with a standard deviation of about the square root of its mean. The
	// limit may be exceeded by this standard deviation minus one. Without the subtraction, a node that usually has one
	// open RPC could have two, and the excess of hundreds of such nodes would add up.
	return count <= limit+math.Sqrt(a.meanOpen(now))-1
}

// finished records the wait of an RPC that was sent to a server, and adjusts the limit. open is the number of open
// RPCs, including this RPC. minLimit is the lowest limit that keeps this node's share of the servers busy.
func (a *admission) finished(wait float64, open int, minLimit, now float64) {
	a.recentWaits.add(wait, now, recentWaitHalfLife)
	a.longWaits.add(wait, now, longWaitHalfLife)
	longWait := a.longWaits.read(now, longWaitHalfLife, waitGoal/2, longWaitPriorSamples)
	a.updateBaseline(longWait, now)
	a.adjustLimit(a.meanWait(now), open)
	a.boundLimit(longWait, minLimit)
}

// updateBaseline updates the base wait and the baseline of open RPCs. The baseline rises only while the long-term mean
// wait is near the base wait.
func (a *admission) updateBaseline(longWait, now float64) {
	grown := a.baseWait * math.Exp2((now-a.baselineAt)/baselineHalfLife)
	a.baseWait = max(negligibleWait, min(grown, longWait))
	a.baselineOpen *= math.Exp2((a.baselineAt - now) / baselineHalfLife)
	a.baselineAt = now
	if longWait < uncongestedWaitFactor*a.baseWait {
		a.baselineOpen = max(a.baselineOpen, a.meanOpen(now))
	}
}

// adjustLimit raises or lowers the limit by one step, or keeps it, depending on the mean wait.
func (a *admission) adjustLimit(wait float64, open int) {
	roundLength := max(float64(open), minRoundLength)
	switch {
	case wait > waitGoal:
		a.limit *= 1 + max(waitGoal-wait, -maxOverloadDecrease)/roundLength
	case wait > congestedWaitFactor*a.baseWait:
		// The limit is lowered to the baseline, but no further. By Little's law, the baseline of open RPCs keeps the
		// servers busy even while all of them are slower than usual.
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
	// If longWait is below negligibleWait, the upper bound is raised by the factor negligibleWait / longWait.
	a.limit = min(a.limit, highest*max(1, negligibleWait/longWait))
	a.limit = max(a.limit, minLimit, minLimitFactor*a.baselineOpen)
}

// meanWait returns the mean of the recent waits. If there are fewer than minWaitSamples recent waits, the long-term
// mean wait is used for each missing wait. If a constant were used instead of the long-term mean wait, a node that gets
// one RPC per second would not detect that all its RPCs are late.
func (a *admission) meanWait(now float64) float64 {
	missing := max(0, minWaitSamples-a.recentWaits.samples(now, recentWaitHalfLife))
	older := a.longWaits.read(now, longWaitHalfLife, waitGoal/2, 1)
	return a.recentWaits.read(now, recentWaitHalfLife, older, missing)
}

// meanOpen returns the decaying mean of the number of open RPCs, sampled when RPCs arrive.
func (a *admission) meanOpen(now float64) float64 {
	return a.openOnArrival.read(now, longWaitHalfLife, 0, 0)
}

// admissionShare returns the fraction of the concurrency limit that an RPC may use. The fraction also limits the RPC's
// expected latency relative to the time left, see rejectLate. It is:
//
//	zeroWeightShare + (1 - zeroWeightShare) * cbrt(relativeWeight)
//
// Thus RPCs of low weight are rejected before RPCs of high weight.
func admissionShare(relativeWeight float64) float64 {
	return zeroWeightShare + (1-zeroWeightShare)*math.Cbrt(relativeWeight)
}

// admit decides whether a new RPC is admitted. A node of an inner tier admits every RPC whose answer can still be in
// time: a pushback would waste the work that the tiers above have already done for the RPC.
func (b *Balancer) admit(r *RPC, now float64) bool {
	if r.usefulUntil <= now {
		return false
	}
	others := b.openRPCs
	if r.counted {
		others--
	}
	return b.innerTier || b.admission.admits(others, r.admissionShare, b.loadReports.unreportedShare(now), now)
}

// minConcurrencyLimit returns the lower bound of the concurrency limit, 2 * ready servers * nodeShare. The limit falls
// while all servers are slow; below this bound it would leave servers idle.
func (b *Balancer) minConcurrencyLimit() float64 {
	return 2 * max(1, float64(b.readyServers)) * b.nodeShare
}

// recordWait records the wait of an RPC that is about to end. It ignores an RPC that was never sent to a server, and an
// RPC whose body is still being streamed.
func (b *Balancer) recordWait(r *RPC, now float64) {
	if len(r.attempts) == 0 || r.BodyPending {
		return
	}
	wait := (now - r.clockStart) / r.rules.LatencyObjective
	b.admission.finished(wait, b.openRPCs, b.minConcurrencyLimit(), now)
}
