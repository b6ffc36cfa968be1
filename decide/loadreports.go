package decide

import "math"

const (
	reportHalfLife       = 2.5 // half-life of a load report's freshness, as a multiple of the typical latency
	reportedMeanHalfLife = 5.0 // seconds; half-life of the mean values over all attempts
	// Freshness, from 0 to 1. An attempt is counted as sent without a fresh report if the freshness of the server's
	// report is below this value.
	minFreshness = 0.5
)

// serverLoad is the load that other nodes put on a server, as of its last report.
type serverLoad struct {
	others     float64 // number of RPCs of other nodes in flight at the server
	reportedAt float64 // seconds; time of the last report
}

// forget discards the report.
func (l *serverLoad) forget() { l.reportedAt = math.Inf(-1) }

// update stores a new report. inFlight is the reported number of RPCs in flight at the server. ownInFlight is the
// number of this node's attempts that are still in flight there. These attempts and the answered RPC are subtracted.
func (l *serverLoad) update(inFlight float64, ownInFlight int, now float64) {
	l.others = max(0, inFlight-float64(ownInFlight)-1)
	l.reportedAt = now
}

// freshness returns the weight of the report, in [0, 1]: 2^(-age/(reportHalfLife*typical)), where age is the time since
// the report.
func (l *serverLoad) freshness(typical, now float64) float64 {
	return math.Exp2((l.reportedAt - now) / (reportHalfLife * typical))
}

// loadReports holds mean values over the load reports of all servers.
type loadReports struct {
	others     decayingMean // number of other nodes' RPCs in flight at servers that were chosen without a fresh report
	unreported decayingMean // 1 - freshness of the server's report, sampled when an attempt is sent
}

// sent adds a sample for an attempt to a server whose report has the given freshness. withoutReport says whether the
// attempt counts as sent without a fresh report.
func (l *loadReports) sent(freshness, now float64) (withoutReport bool) {
	l.unreported.add(1-freshness, now, reportedMeanHalfLife)
	return freshness < minFreshness
}

// received adds a sample from a report that came with an answer. The answered attempt was sent without a fresh report.
func (l *loadReports) received(load *serverLoad, now float64) {
	l.others.add(load.others, now, reportedMeanHalfLife)
}

// othersInFlight returns the estimated number of RPCs that a server has in flight for other nodes:
//
//	mean + (reported - mean) * freshness
//
// The mean is taken over the servers that were chosen without a fresh report. As a report ages, the estimate approaches
// the mean. Otherwise all nodes would send to the same servers, those with low but outdated reports.
func (l *loadReports) othersInFlight(load *serverLoad, freshness, now float64) float64 {
	mean := l.others.read(now, reportedMeanHalfLife, 0, 0)
	return mean + (load.others-mean)*freshness
}

// unreportedShare returns the mean fraction of the servers' load that was unknown when attempts were sent, in [0, 1].
func (l *loadReports) unreportedShare(now float64) float64 {
	return l.unreported.read(now, reportedMeanHalfLife, 1, 1)
}
