package decide

// Admission control: how many requests are held, and what is turned away, by utility and by tenants' quotas.

import "math"

const (
	waitGoal           = 0.6  // a mean wait above it leaves too many RPCs late, and is where servers begin to jam
	crowdedWait        = 1.4  // times the base wait: more RPCs held would only queue
	negligibleWait     = 0.02 // a wait below it hurts nobody, however many times the lowest it is
	baselineHalfLife   = 60.0 // the base rises, and the usual falls, by half in that time: a day changes in minutes
	maxLimitFactor     = 1.1  // times the usual: a burst fills a larger room before the first late answer tells of it
	minLimitFactor     = 0.5  // of the usual: below that, servers that jammed rest anyway
	countConfidence    = 0.25 // weight of a count of one: a crowd doubles the RPCs held, chance moves them by their root
	limitIncrease      = 0.2  // a server's answer makes room for a part of the next: a fifth more a turn
	limitDecrease      = 0.3  // and shrinks somewhat faster, since a crowd costs more than an idle server
	zeroWeightShare    = 0.65 // of the room is open to an RPC of no utility: the rest is kept for dearer ones
	minWaits           = 6.0  // fewer waits than that say little; below it older ones stand in
	longWaitHalfLife   = 5.0  // seconds
	recentWaitHalfLife = 0.7  // of waits
)

// admit takes an RPC only if there is room; the less it is worth, the earlier it gives way. That keeps crowds
// away of which all are late. Inner nodes take what can be in time: a pushback wastes the work above.
func (b *Balancer) admit(r *RPC, now float64) bool {
	if b.innerTier || r.usefulUntil <= now {
		return r.usefulUntil > now
	}
	waited := b.meanWait(now)
	room := b.concurrencyLimit * r.admissionShare
	// The room stands in for what is not known of the servers: where they report, the estimates turn RPCs away.
	room /= max(0.05, b.loadReports.unreportedShare(now))
	// Waits far below the goal say that it is not full: what a few RPCs held exceed their usual by is chance.
	room *= math.Sqrt(max(1, waitGoal/waited))
	n := float64(b.openRPCs - 1)
	b.heldOnArrival.add(n, now, longWaitHalfLife)
	// Chance moves the number held by its root. Of one held that is none or two, and over hundreds of such nodes
	// one more at each is a crowd.
	// A lone one goes unless the last were late: room below one would else refuse all, and nothing would be learnt.
	return n == 0 && waited < waitGoal || n <= room+math.Sqrt(b.heldOnArrival.read(now, longWaitHalfLife, 0, 0))-1
}

// meanWait is what the last RPCs waited, as a part of their latency targets. Where few are recent, older ones
// stand in, and a guess for those: at an RPC a second a guess alone would hide that all are late.
func (b *Balancer) meanWait(now float64) float64 {
	lack := max(0, minWaits-b.recentWaits.weight.read(now, recentWaitHalfLife))
	return b.recentWaits.read(now, recentWaitHalfLife, b.longWaits.read(now, longWaitHalfLife, waitGoal/2, 1), lack)
}

// minConcurrencyLimit keeps this node's part of the servers at work: a slowdown of all is not answered by idling them.
func (b *Balancer) minConcurrencyLimit() float64 {
	return 2 * max(1, float64(b.readyServers)) * b.nodeShare
}

// recordWait notes how long an RPC was held that found a server, and moves the room: RPCs are held only as many as
// keep the waits near the goal. A crowd above that would be late to the last one, and tip servers over.
func (b *Balancer) recordWait(r *RPC, now float64) {
	if len(r.attempts) == 0 || r.BodyPending {
		return
	}
	wait := (now - r.clockStart) / r.rules.LatencyObjective
	b.recentWaits.add(wait, now, recentWaitHalfLife)
	b.longWaits.add(wait, now, longWaitHalfLife)
	w := b.meanWait(now)
	// The lowest of a few waits is chance, and a base found by chance lies under what any room can keep to.
	long := b.longWaits.read(now, longWaitHalfLife, waitGoal/2, 2)
	b.baseWait = max(negligibleWait, min(b.baseWait*math.Exp2((now-b.baseWaitAt)/baselineHalfLife), long))
	b.usualHeld *= math.Exp2((b.baseWaitAt - now) / baselineHalfLife)
	b.baseWaitAt = now
	if long < 1.3*b.baseWait {
		b.usualHeld = max(b.usualHeld, b.heldOnArrival.read(now, longWaitHalfLife, 0, 0))
	}
	switch {
	case w > waitGoal:
		b.concurrencyLimit *= 1 + max(waitGoal-w, -0.5)/max(float64(b.openRPCs), 4)
	case w > crowdedWait*b.baseWait:
		// By Little's law a slowdown of all servers needs no more RPCs held than usual to keep them at work, and
		// no fewer either.
		b.concurrencyLimit = max(b.concurrencyLimit*(1-limitDecrease/max(float64(b.openRPCs), 4)), min(b.concurrencyLimit, b.usualHeld))
	case float64(b.openRPCs-1) > 0.6*b.concurrencyLimit:
		b.concurrencyLimit *= 1 + limitIncrease/max(float64(b.openRPCs), 4)
	}
	most := maxLimitFactor*b.usualHeld + 2*math.Sqrt(b.usualHeld)*b.usualHeld/(b.usualHeld+1/countConfidence)
	// Where waits are next to nothing, so many more may come as would still wait little.
	b.concurrencyLimit = min(b.concurrencyLimit, most*max(1, negligibleWait/long))
	b.concurrencyLimit = max(b.concurrencyLimit, b.minConcurrencyLimit(), minLimitFactor*b.usualHeld)
}
