package decide

// Admission control: how many requests are held, and what is turned away, by utility and by tenants' quotas.

import "math"

const (
	goal           = 0.6  // a mean wait above it leaves too many RPCs late, and is where servers begin to jam
	crowdedWait    = 1.4  // times the base wait: more RPCs held would only queue
	negligibleWait = 0.02 // a wait below it hurts nobody, however many times the lowest it is
	baseHalf       = 60.0 // the base rises, and the usual falls, by half in that time: a day changes in minutes
	maxRoom        = 1.1  // times the usual: a burst fills a larger room before the first late answer tells of it
	minRoom        = 0.5  // of the usual: below that, servers that jammed rest anyway
	countTrust     = 0.25 // weight of a count of one: a crowd doubles the RPCs held, chance moves them by their root
	roomUp         = 0.2  // a server's answer makes room for a part of the next: a fifth more a turn
	roomDown       = 0.3  // and shrinks somewhat faster, since a crowd costs more than an idle server
	roomForFree    = 0.65 // of the room is open to an RPC of no utility: the rest is kept for dearer ones
	fewWaits       = 6.0  // fewer waits than that say little; below it older ones stand in
	recentHalf     = 0.7  // of waits
	shareHalf      = 3.0  // of a tenant's rate: short enough for a burst, long enough for chance
)

// admit takes an RPC only if there is room; the less it is worth, the earlier it gives way. That keeps crowds
// away of which all are late. Inner nodes take what can be in time: a pushback wastes the work above.
func (b *Balancer) admit(r *RPC, now float64) bool {
	if b.inner || r.useful <= now {
		return r.useful > now
	}
	waited := b.waited(now)
	room := b.room * r.early
	// The room stands in for what is not known of the servers: where they report, the estimates turn RPCs away.
	room /= max(0.05, b.blinds.read(now, doneHalf, 1, 1))
	// Waits far below the goal say that it is not full: what a few RPCs held exceed their usual by is chance.
	room *= math.Sqrt(max(1, goal/waited))
	n := float64(b.open - 1)
	b.held.add(n, now, doneHalf)
	// Chance moves the number held by its root. Of one held that is none or two, and over hundreds of such nodes
	// one more at each is a crowd.
	// A lone one goes unless the last were late: room below one would else refuse all, and nothing would be learnt.
	return n == 0 && waited < goal || n <= room+math.Sqrt(b.held.read(now, doneHalf, 0, 0))-1
}

// waited is what the last RPCs waited, as a part of their latency targets. Where few are recent, older ones
// stand in, and a guess for those: at an RPC a second a guess alone would hide that all are late.
func (b *Balancer) waited(now float64) float64 {
	lack := max(0, fewWaits-b.waits.n.read(now, recentHalf))
	return b.waits.read(now, recentHalf, b.old.read(now, doneHalf, goal/2, 1), lack)
}

// roomFloor keeps this node's part of the servers at work: a slowdown of all is not answered by idling them.
func (b *Balancer) roomFloor() float64 { return 2 * max(1, float64(b.ready)) * b.part }

// ended notes how long an RPC was held that found a server, and moves the room: RPCs are held only as many as
// keep the waits near the goal. A crowd above that would be late to the last one, and tip servers over.
func (b *Balancer) ended(r *RPC, now float64) {
	if len(r.picks) == 0 || r.BodyPending {
		return
	}
	wait := (now - r.came) / r.rules.LatencyObjective
	b.waits.add(wait, now, recentHalf)
	b.old.add(wait, now, doneHalf)
	w := b.waited(now)
	// The lowest of a few waits is chance, and a base found by chance lies under what any room can keep to.
	long := b.old.read(now, doneHalf, goal/2, 2)
	b.base = max(negligibleWait, min(b.base*math.Exp2((now-b.baseAt)/baseHalf), long))
	b.usual *= math.Exp2((b.baseAt - now) / baseHalf)
	b.baseAt = now
	if long < 1.3*b.base {
		b.usual = max(b.usual, b.held.read(now, doneHalf, 0, 0))
	}
	switch {
	case w > goal:
		b.room *= 1 + max(goal-w, -0.5)/max(float64(b.open), 4)
	case w > crowdedWait*b.base:
		// By Little's law a slowdown of all servers needs no more RPCs held than usual to keep them at work, and
		// no fewer either.
		b.room = max(b.room*(1-roomDown/max(float64(b.open), 4)), min(b.room, b.usual))
	case float64(b.open-1) > 0.6*b.room:
		b.room *= 1 + roomUp/max(float64(b.open), 4)
	}
	most := maxRoom*b.usual + 2*math.Sqrt(b.usual)*b.usual/(b.usual+1/countTrust)
	// Where waits are next to nothing, so many more may come as would still wait little.
	b.room = min(b.room, most*max(1, negligibleWait/long))
	b.room = max(b.room, b.roomFloor(), minRoom*b.usual)
}
