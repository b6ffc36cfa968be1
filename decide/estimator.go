package decide

// The time-to-go estimator: the paper's Q-table with load levels, its learning and ageing, servers' pace and load reports.

import (
	"math"
	"math/bits"
)

const (
	alpha       = 0.7  // the paper's learning rate
	levels      = 5    // load levels: 0, 1-2, 3-6, 7-14, 15 and more
	rowLife     = 60.0 // an entry idle that long is dropped
	fade        = 8.0  // mean times in which half of what one sample says beyond its row's mean is past
	maxFade     = 4.0  // seconds that it takes at most: a slow server may be another by then
	paceHalf    = 6.0  // half-life of a server's pace, long enough for a few samples at an inner node
	othersHalf  = 20.0 // half-life of the pace of all servers tried, the jammed ones included
	unknownPace = 1.4  // times that for a server not known: on a par with those known, every node tries it
	paceDoubt   = 2.0  // samples' worth of doubt that holds a pace near 1
	paceCap     = 4.0  // no sample counts as more than this many times its due: one outlier is no verdict
	freshFor    = 2.5  // mean times in which half of a load report is past
	doneHalf    = 5.0  // of times and rates that hardly change
)

type entry struct {
	q, at  float64
	failed bool
}

type row struct {
	sum float64 // over the entries of servers whose last answer was ok
	n   int
}

// estimate is the time-to-go of an RPC at a server.
func (b *Balancer) estimate(r *RPC, s *Server, typical, now float64) (est, due float64) {
	i := b.row(r, s, now)
	mean, own := b.mean(i, typical), b.paceAt(s, typical, now, 1)
	q, known := mean*b.pace(s, typical, now), mean*own
	// One sample counts for seven tenths of an entry, so an old one misleads: it fades towards the mean of
	// the row at the server's own pace, which is also where a new entry starts.
	if e := &s.entries[i]; e.at > 0 {
		if now-e.at > rowLife {
			b.forget(s, i)
		} else {
			weight := math.Exp2((e.at-now)/min(fade*typical, maxFade)) * (1 - b.fresh(s, typical, now))
			q += (e.q - q) * weight
			if !e.failed {
				known += (e.q - known) * weight // one failure is no reason to turn the next RPC away
			}
		}
	}
	more := typical * (b.theirs(s, typical, now) + r.size*own)
	more = max(more, -0.8*min(q, known))
	q += more
	due = known + more
	q += 2 * typical * float64(len(s.pending)) * b.weight / s.weight
	if !s.linked {
		q += b.setup.read(now, othersHalf, 0, 1)
	}
	// A hung server looks sound until its time-outs land: a late pick counts before it ends.
	if len(s.pending) > 0 {
		if p := s.pending[0]; now-p.sent > p.late && !p.RPC.BodyPending {
			q += now - p.sent
		}
	}
	if s.zone != b.zone {
		q *= 1 + 4*b.cross
	}
	return q, due
}

// theirs is how many RPCs a server holds for others: as it reported, which soon says no more than the mean.
func (b *Balancer) theirs(s *Server, typical, now float64) float64 {
	mean := b.heldThere.read(now, doneHalf, 0, 0)
	return mean + (s.others-mean)*b.fresh(s, typical, now)
}

// fresh is what a server's last report still says.
func (b *Balancer) fresh(s *Server, typical, now float64) float64 {
	return math.Exp2((s.othersAt - now) / (freshFor * typical))
}

func (b *Balancer) row(r *RPC, s *Server, now float64) int {
	return b.blocks[r.Method][r.Tenant] + min(bits.Len(uint(len(s.pending)+1))-1, levels-1)
}

// mean is where a new entry starts: at the mean of the other servers' matching entries.
func (b *Balancer) mean(i int, typical float64) float64 {
	if w := &b.rows[i]; w.n > 0 { // a few slow answers are no verdict on all servers
		return min(w.sum/float64(w.n), (w.sum+paceDoubt*typical)/(float64(w.n)+paceDoubt))
	}
	return typical
}

func (b *Balancer) typical(method int, now float64) float64 {
	m := &b.methods[method]
	return m.took.read(now, doneHalf, 0.3*m.LatencyObjective, 1)
}

// pace is how long a server takes over what its rows lead to expect, whatever the method or tenant. One not
// known is taken for more than those tried lately, failures included: on a par, each node would try every
// jammed one once, and hundreds of nodes would keep it jammed.
func (b *Balancer) pace(s *Server, typical, now float64) float64 {
	unknown := b.others
	if b.cold(s, now) < 1 {
		unknown = 1 // it cannot have jammed yet, and a deploy leaves no others
	}
	return b.paceAt(s, typical, now, unknown)
}

func (b *Balancer) paceAt(s *Server, typical, now, unknown float64) float64 {
	doubt := paceDoubt * typical
	return (s.cost.read(now, paceHalf) + doubt*unknown) / (s.due.read(now, paceHalf) + doubt)
}

func (b *Balancer) pay(p *Attempt, cost, now float64) {
	p.Server.cost.add(cost, now, paceHalf)
	p.Server.due.add(p.due, now, paceHalf)
	b.cost.add(cost, now, othersHalf)
	b.due.add(p.due, now, othersHalf)
}

// learn is the Q-router's update of the entry that the pick used.
func (b *Balancer) learn(p *Attempt, cost float64, failed bool, now float64) {
	s := p.Server
	e := &s.entries[p.row]
	q := p.due
	if e.at > 0 {
		q = e.q
	}
	b.forget(s, p.row)
	*e = entry{q: (1-alpha)*q + alpha*cost, at: max(now, 1e-9), failed: failed}
	if !failed {
		b.rows[p.row].sum += e.q
		b.rows[p.row].n++
	}
}

// forget takes an entry out of its row's mean.
func (b *Balancer) forget(s *Server, i int) {
	e := &s.entries[i]
	if w := &b.rows[i]; e.at > 0 && !e.failed {
		w.sum -= e.q
		if w.n--; w.n == 0 {
			w.sum = 0
		}
	}
	*e = entry{}
}
