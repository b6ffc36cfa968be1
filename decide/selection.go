package decide

// Server selection: the lowest time-to-go, near ties and exploration at random, among a node's neighbours.

import (
	"math"
	"slices"
)

const (
	explore             = 0.01 // chance of a random server that is no neighbour
	nearTie             = 1.1  // entries within a tenth of the lowest are tied
	neighborLimit       = 128  // neighbours at most
	minNeighbors        = 4    // neighbours at least: one may be ill, and a retry needs another
	neighborsPerAttempt = 2.5  // and as many for each pick that is out on average
	exploreCandidates   = 4    // others looked at for a pick
	newNeighborShare    = 0.1  // of the picks may bring a new neighbour in place of another
	lateMargin          = 1.2  // times what is left: what is expected to take longer is turned away; times scatter
	sendLateShare       = 0.02 // of those are sent all the same: without picks nothing would be learnt of a recovery
)

// choose is the Q-router: the lowest time-to-go at the present load, near-ties and exploration at random.
func (b *Balancer) choose(r *RPC, now float64) *Server {
	unit, typical := b.unit(now), b.typical(r.Method, now)
	few := paceDoubt * typical
	b.others = unknownPace * max(1, (b.cost.read(now, othersHalf)+few)/(b.due.read(now, othersHalf)+few))
	best, due := math.Inf(1), 0.0
	look := func(s *Server, pass int) {
		if s.state != Ready || r.ran != nil && !r.rules.within(s, r.ran.Server) || !b.warm(s, unit, now) {
			return
		}
		// The second pass takes what is left when all sound servers have been tried: an ejected one is
		// better than none, and where all fail the fault lies elsewhere.
		ill := now < s.ejected || s.strikes >= ejectAfter && len(s.pending) > 0
		if pass == 0 && (ill || r.met(s, false)) || r.met(s, true) {
			return
		}
		e, d := b.estimate(r, s, typical, now)
		if e < best {
			best, due = e, d
		}
		b.cands, b.ests = append(b.cands, s), append(b.ests, e)
	}
	b.cands, b.ests = b.cands[:0], b.ests[:0]
	exploring := b.rng.Float64() < explore
	for i := 0; i < len(b.near) && !exploring; i++ {
		look(b.near[i], 0)
	}
	spent := b.moved.read(now, extraHalf) + b.rng.Float64()
	open := exploring || len(b.near) < b.maxNeighbors(now) || spent < newNeighborShare*b.sent.read(now, extraHalf)
	for i := 0; i < exploreCandidates && open && len(b.near) < len(b.servers); i++ {
		if s := b.servers[b.rng.Intn(len(b.servers))]; !s.near {
			look(s, 0)
		}
	}
	for pass := 0; pass < 2 && len(b.cands) == 0; pass++ {
		for _, s := range b.servers {
			look(s, pass)
		}
	}
	if len(b.cands) == 0 {
		return nil
	}
	// What would be late anyway only keeps others waiting.
	if !b.inner && !exploring && due > lateMargin*(r.useful-now)*r.early && b.rng.Float64() >= sendLateShare {
		return nil
	}
	n := 0
	for i, s := range b.cands {
		if exploring || b.ests[i] <= max(best, best*nearTie) {
			b.cands[n] = s
			n++
		}
	}
	return b.cands[b.rng.Intn(n)]
}

// maxNeighbors is how many neighbours the node's picks need.
func (b *Balancer) maxNeighbors(now float64) int {
	return min(minNeighbors+int(neighborsPerAttempt*b.outs.read(now, doneHalf, 0, 0)), neighborLimit)
}

// join makes a server a neighbour. The paper's router knows its neighbours only: a node that sends to all
// servers by turns hears too seldom from each. As many are kept as picks need; the worst leaves for the new.
func (b *Balancer) join(r *RPC, s *Server, typical, now float64) {
	b.outs.add(float64(b.out+1), now, doneHalf)
	if s.near || r.out+len(r.picks) > 0 {
		return
	}
	if len(b.near) >= b.maxNeighbors(now) {
		b.moved.add(1, now, extraHalf)
	}
	for len(b.near) >= b.maxNeighbors(now) {
		worst, high := 0, -1.0
		for i, o := range b.near {
			e, _ := b.estimate(r, o, typical, now)
			if now < o.ejected {
				e = math.Inf(1)
			}
			if e > high {
				worst, high = i, e
			}
		}
		b.near[worst].near = false
		for i := range b.near[worst].entries {
			b.forget(b.near[worst], i)
		}
		b.near = slices.Delete(b.near, worst, worst+1)
	}
	s.near = true
	b.near = append(b.near, s)
}

// met tells whether a server has had a pick of the RPC, or has one out.
func (r *RPC) met(s *Server, out bool) bool {
	return slices.ContainsFunc(r.picks, func(p *Attempt) bool { return p.Server == s && (p.out || !out) })
}
