package decide

import "math"

const (
	reportHalfLife       = 2.5 // typical latencies after which half of a load report still counts
	reportedMeanHalfLife = 5.0 // seconds; of means over all attempts
	freshReport          = 0.5 // a server counts as known while so much of its report holds
)

// serverLoad is what a server last reported of other nodes' RPCs.
type serverLoad struct {
	others     float64 // RPCs in flight there for other nodes
	reportedAt float64 // seconds
}

// forget discards the report.
func (l *serverLoad) forget() { l.reportedAt = math.Inf(-1) }

// update notes a new report. Of the RPCs that the server had in flight, one is the one that it answered and ownInFlight
// are other attempts of this node.
func (l *serverLoad) update(inFlight float64, ownInFlight int, now float64) {
	l.others = max(0, inFlight-float64(ownInFlight)-1)
	l.reportedAt = now
}

// freshness is the part of the report that still holds.
func (l *serverLoad) freshness(typical, now float64) float64 {
	return math.Exp2((l.reportedAt - now) / (reportHalfLife * typical))
}

// loadReports has the means of what servers report.
type loadReports struct {
	others     decayingMean // RPCs for other nodes, at servers chosen without a fresh report
	unreported decayingMean // the part of what attempts should have known of their servers' load and did not
}

// sent notes an attempt to a server with a report of that freshness, and reports whether it counts as chosen without
// one.
func (l *loadReports) sent(freshness, now float64) (withoutReport bool) {
	l.unreported.add(1-freshness, now, reportedMeanHalfLife)
	return freshness < freshReport
}

// received notes what a server has just reported, in answer to an attempt that was chosen without a fresh report.
func (l *loadReports) received(load *serverLoad, now float64) {
	l.others.add(load.others, now, reportedMeanHalfLife)
}

// othersInFlight is how many RPCs a server has in flight for other nodes, by a report of that freshness. An old report
// fades to the mean of the servers that were chosen without a report, so that nodes do not herd by old reports.
func (l *loadReports) othersInFlight(load *serverLoad, freshness, now float64) float64 {
	mean := l.others.read(now, reportedMeanHalfLife, 0, 0)
	return mean + (load.others-mean)*freshness
}

// unreportedShare is the part of the servers' load that attempts were sent without knowing.
func (l *loadReports) unreportedShare(now float64) float64 {
	return l.unreported.read(now, reportedMeanHalfLife, 1, 1)
}
