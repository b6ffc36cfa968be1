package decide

const (
	latencyHalfLife      = 5.0  // seconds; of a method's typical latency
	priorLatencyShare    = 0.3  // prior of the typical latency, as a fraction of the latency objective
	workHintHalfLife     = 20.0 // seconds; of a method's mean work hint
	minRelativeWork      = 0.2  // lower bound of an RPC's work, times the method's mean work: hints are rough
	maxRelativeWork      = 5.0  // upper bound of an RPC's work, times the method's mean work
	latencyRatioHalfLife = 6.0  // seconds; of a server's latency ratio: long enough for a few samples at an inner node
	fleetRatioHalfLife   = 20.0 // seconds; of the latency ratio of all servers tried, including overloaded ones
	ratioPriorSamples    = 2.0  // weight of the prior of a latency ratio, in samples of the typical latency
	maxRatioSample       = 4.0  // times the expected latency: highest sample, since one slow answer must not dominate
)

// methodState holds a method's current rules and the means of its RPCs.
type methodState struct {
	*methodRules
	latency  decayingMean // seconds; latency of answers without the part that is due to their work hints
	workHint decayingMean // mean hint, in the unit of the hints
}

// typicalLatency returns the decaying mean of the method's latency in seconds. Its prior is priorLatencyShare * latency
// objective. Some half-lives and costs are multiples of the typical latency.
func (m *methodState) typicalLatency(now float64) float64 {
	return m.latency.read(now, latencyHalfLife, priorLatencyShare*m.LatencyObjective, 1)
}

// extraWork adds an RPC's work hint to the mean and returns hint/mean - 1, where hint/mean is kept between
// minRelativeWork and maxRelativeWork. Without a hint it returns 0.
func (m *methodState) extraWork(hint, now float64) float64 {
	if hint <= 0 {
		return 0
	}
	m.workHint.add(hint, now, workHintHalfLife)
	mean := m.workHint.read(now, workHintHalfLife, hint, 1)
	return min(max(hint/mean, minRelativeWork), maxRelativeWork) - 1
}

// latencyRatio is the ratio of the observed to the expected latency of attempts. It is taken over all methods and
// tenants, because a single row of the Q-table has too few samples.
type latencyRatio struct {
	observed decayingValue // seconds; decaying sum
	expected decayingValue // seconds; decaying sum of the means of the rows
}

// add adds the observed and the expected latency of an attempt, in seconds.
func (r *latencyRatio) add(observed, expected, now, halfLife float64) {
	r.observed.add(observed, now, halfLife)
	r.expected.add(expected, now, halfLife)
}

// value returns the latency ratio: 1 is as expected, a higher value is slower. It is
// (observed + w*prior) / (expected + w), where w is ratioPriorSamples * typical.
func (r *latencyRatio) value(prior, typical, now, halfLife float64) float64 {
	priorWeight := ratioPriorSamples * typical
	return (r.observed.read(now, halfLife) + priorWeight*prior) / (r.expected.read(now, halfLife) + priorWeight)
}
