package decide

// The time-to-go estimator: the paper's Q-table with load levels, its learning and ageing, servers' pace and load reports.

import (
	"math"
	"math/bits"
)

const (
	alpha             = 0.7  // the paper's learning rate
	loadLevels        = 5    // load levels: 0, 1-2, 3-6, 7-14, 15 and more
	entryLifetime     = 60.0 // an entry idle that long is dropped
	entryHalfLife     = 8.0  // mean times in which half of what one sample says beyond its row's mean is past
	maxEntryHalfLife  = 4.0  // seconds that it takes at most: a slow server may be another by then
	paceHalfLife      = 6.0  // half-life of a server's pace, long enough for a few samples at an inner node
	fleetPaceHalfLife = 20.0 // half-life of the pace of all servers tried, the jammed ones included
	unknownPaceFactor = 1.4  // times that for a server not known: on a par with those known, every node tries it
	priorSamples      = 2.0  // samples' worth of doubt that holds a pace near 1
	maxPaceSample     = 4.0  // no sample counts as more than this many times its due: one outlier is no verdict
	reportHalfLife    = 2.5  // mean times in which half of a load report is past
	slowHalfLife      = 5.0  // of times and rates that hardly change
)

type qEntry struct {
	q, updatedAt float64
	failed       bool
}

type qRow struct {
	sum   float64 // over the entries of servers whose last answer was ok
	count int
}

// estimate is the time-to-go of an RPC at a server.
func (b *Balancer) estimate(r *RPC, s *Server, typical, now float64) (est, due float64) {
	i := b.row(r, s, now)
	mean, own := b.rowMean(i, typical), b.paceWithPrior(s, typical, now, 1)
	q, known := mean*b.pace(s, typical, now), mean*own
	// One sample counts for seven tenths of an entry, so an old one misleads: it fades towards the mean of
	// the row at the server's own pace, which is also where a new entry starts.
	if e := &s.entries[i]; e.updatedAt > 0 {
		if now-e.updatedAt > entryLifetime {
			b.forget(s, i)
		} else {
			weight := math.Exp2((e.updatedAt-now)/min(entryHalfLife*typical, maxEntryHalfLife)) * (1 - b.reportFreshness(s, typical, now))
			q += (e.q - q) * weight
			if !e.failed {
				known += (e.q - known) * weight // one failure is no reason to turn the next RPC away
			}
		}
	}
	more := typical * (b.othersInFlight(s, typical, now) + r.extraWork*own)
	more = max(more, -0.8*min(q, known))
	q += more
	due = known + more
	q += 2 * typical * float64(len(s.inFlight)) * b.meanWeight / s.weight
	if !s.connections.open {
		q += b.idleConnections.setupTime(now)
	}
	// A hung server looks sound until its time-outs land: a late pick counts before it ends.
	if len(s.inFlight) > 0 {
		if p := s.inFlight[0]; now-p.sentAt > p.lateAfter && !p.RPC.BodyPending {
			q += now - p.sentAt
		}
	}
	if s.zone != b.zone {
		q *= 1 + 4*b.crossZoneCost
	}
	return q, due
}

// othersInFlight is how many RPCs a server holds for others: as it reported, which soon says no more than the mean.
func (b *Balancer) othersInFlight(s *Server, typical, now float64) float64 {
	mean := b.meanReportedOthers.read(now, slowHalfLife, 0, 0)
	return mean + (s.reportedOthers-mean)*b.reportFreshness(s, typical, now)
}

// reportFreshness is what a server's last report still says.
func (b *Balancer) reportFreshness(s *Server, typical, now float64) float64 {
	return math.Exp2((s.reportedAt - now) / (reportHalfLife * typical))
}

func (b *Balancer) row(r *RPC, s *Server, now float64) int {
	return b.firstRows[r.Method][r.Tenant] + min(bits.Len(uint(len(s.inFlight)+1))-1, loadLevels-1)
}

// rowMean is where a new entry starts: at the mean of the other servers' matching entries.
func (b *Balancer) rowMean(i int, typical float64) float64 {
	if w := &b.qRows[i]; w.count > 0 { // a few slow answers are no verdict on all servers
		return min(w.sum/float64(w.count), (w.sum+priorSamples*typical)/(float64(w.count)+priorSamples))
	}
	return typical
}

func (b *Balancer) methodLatency(method int, now float64) float64 {
	m := &b.methods[method]
	return m.latency.read(now, slowHalfLife, 0.3*m.LatencyObjective, 1)
}

// pace is how long a server takes over what its rows lead to expect, whatever the method or tenant. One not
// known is taken for more than those tried lately, failures included: on a par, each node would try every
// jammed one once, and hundreds of nodes would keep it jammed.
func (b *Balancer) pace(s *Server, typical, now float64) float64 {
	unknown := b.unknownServerPace
	if b.warmFraction(s, now) < 1 {
		unknown = 1 // it cannot have jammed yet, and a deploy leaves no others
	}
	return b.paceWithPrior(s, typical, now, unknown)
}

func (b *Balancer) paceWithPrior(s *Server, typical, now, unknown float64) float64 {
	doubt := priorSamples * typical
	return (s.observedLatency.read(now, paceHalfLife) + doubt*unknown) / (s.expectedLatency.read(now, paceHalfLife) + doubt)
}

func (b *Balancer) recordPace(p *Attempt, cost, now float64) {
	p.Server.observedLatency.add(cost, now, paceHalfLife)
	p.Server.expectedLatency.add(p.expectedLatency, now, paceHalfLife)
	b.observedLatency.add(cost, now, fleetPaceHalfLife)
	b.expectedLatency.add(p.expectedLatency, now, fleetPaceHalfLife)
}

// learn is the Q-router's update of the entry that the pick used.
func (b *Balancer) learn(p *Attempt, cost float64, failed bool, now float64) {
	s := p.Server
	e := &s.entries[p.row]
	q := p.expectedLatency
	if e.updatedAt > 0 {
		q = e.q
	}
	b.forget(s, p.row)
	*e = qEntry{q: (1-alpha)*q + alpha*cost, updatedAt: max(now, 1e-9), failed: failed}
	if !failed {
		b.qRows[p.row].sum += e.q
		b.qRows[p.row].count++
	}
}

// forget takes an entry out of its row's mean.
func (b *Balancer) forget(s *Server, i int) {
	e := &s.entries[i]
	if w := &b.qRows[i]; e.updatedAt > 0 && !e.failed {
		w.sum -= e.q
		if w.count--; w.count == 0 {
			w.sum = 0
		}
	}
	*e = qEntry{}
}
