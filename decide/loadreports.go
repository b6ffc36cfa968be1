package decide

import "math"

const (
	reportHalfLife       = 2.5 // typical latencies; half-life of a load report's freshness
	reportedMeanHalfLife = 5.0 // seconds; of the means over all attempts
	minFreshness         = 0.5 // an attempt counts as sent without a report if the report's freshness is lower
)

// serverLoad is the load from other nodes that a server last reported.
type serverLoad struct {
	others     float64 // RPCs of other nodes in flight at the server
	reportedAt float64 // seconds
}

// forget discards the report.
func (l *serverLoad) forget() { l.reportedAt = math.Inf(-1) }

// update stores a new report. inFlight is the number of RPCs that the server had in flight; the RPC that it answered
// and the ownInFlight other attempts of this node are subtracted.
func (l *serverLoad) update(inFlight float64, ownInFlight int, now float64) {
	l.others = max(0, inFlight-float64(ownInFlight)-1)
	l.reportedAt = now
}

// freshness returns the weight of the report, in [0, 1]: 2^(-age/(reportHalfLife*typical)).
func (l *serverLoad) freshness(typical, now float64) float64 {
	return math.Exp2((l.reportedAt - now) / (reportHalfLife * typical))
}

// loadReports holds means over the load reports of all servers.
type loadReports struct {
	others     decayingMean // RPCs of other nodes in flight, at servers that were chosen without a fresh report
	unreported decayingMean // 1 - freshness of the server's report, sampled when an attempt is sent
}

// sent adds a sample for an attempt to a server whose report has the given freshness. It reports whether the attempt
// counts as sent without a fresh report.
func (l *loadReports) sent(freshness, now float64) (withoutReport bool) {
	l.unreported.add(1-freshness, now, reportedMeanHalfLife)
	return freshness < minFreshness
}

// received adds the report that answered an attempt which was sent without a fresh report.
func (l *loadReports) received(load *serverLoad, now float64) {
	l.others.add(load.others, now, reportedMeanHalfLife)
}

// othersInFlight returns the estimated number of RPCs that a server has in flight for other nodes:
//
//	mean + (reported - mean) * freshness
//
// The mean is over the servers that were chosen without a fresh report. As a report ages, the estimate returns to the
// mean, so that nodes do not herd to the servers with the lowest old reports.
func (l *loadReports) othersInFlight(load *serverLoad, freshness, now float64) float64 {
	mean := l.others.read(now, reportedMeanHalfLife, 0, 0)
	return mean + (load.others-mean)*freshness
}

// unreportedShare returns the mean fraction of the servers' load that was unknown when attempts were sent, in [0, 1].
func (l *loadReports) unreportedShare(now float64) float64 {
	return l.unreported.read(now, reportedMeanHalfLife, 1, 1)
}
