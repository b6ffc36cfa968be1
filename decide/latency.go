package decide

const (
	latencyHalfLife   = 5.0  // seconds; half-life of a method's typical latency
	priorLatencyShare = 0.3  // prior of the typical latency, as a fraction of the latency objective
	workHintHalfLife  = 20.0 // seconds; half-life of a method's mean work hint
	minRelativeWork   = 0.2  // lower bound of an RPC's work, relative to the method's mean work: hints are rough
	maxRelativeWork   = 5.0  // upper bound of an RPC's work, relative to the method's mean work
	// Half-life in seconds of a server's latency ratio: inner nodes get a few samples in this time.
	latencyRatioHalfLife = 6.0
	// Half-life in seconds of the latency ratio of all servers that got attempts, including overloaded servers.
	fleetRatioHalfLife = 20.0
	ratioPriorSamples  = 2.0 // the prior of a latency ratio counts as this many samples with the typical latency
	// Highest observed latency of a sample, as a multiple of the expected latency: one slow answer must not dominate.
	maxRatioSample = 4.0
)

// methodState holds a method's current rules and the decaying means of its latencies and work hints.
type methodState struct {
	*methodRules
	latency  decayingMean // seconds; latencies of answers, without the time that is due to the RPCs' work hints
	workHint decayingMean // work hints of RPCs, in the unit of the hints
}

// typicalLatency returns the decaying mean of the method's latency in seconds. Its prior is priorLatencyShare * latency
// objective. Some half-lives and costs are multiples of the typical latency.
func (m *methodState) typicalLatency(now float64) float64 {
	return m.latency.read(now, latencyHalfLife, priorLatencyShare*m.LatencyObjective, 1)
}

// extraWork adds an RPC's work hint to the method's mean hint and returns hint/mean - 1. The quotient hint/mean is
// limited to the range from minRelativeWork to maxRelativeWork. Without a hint, extraWork returns 0.
func (m *methodState) extraWork(hint, now float64) float64 {
	if hint <= 0 {
		return 0
	}
	m.workHint.add(hint, now, workHintHalfLife)
	mean := m.workHint.read(now, workHintHalfLife, hint, 1)
	return min(max(hint/mean, minRelativeWork), maxRelativeWork) - 1
}

// latencyRatio is the ratio of the observed to the expected latency of attempts. The latencies are summed over all
// methods and tenants, because a single row of the Q-table has too few samples.
type latencyRatio struct {
	observed decayingValue // seconds; decaying sum of the observed latencies
	expected decayingValue // seconds; decaying sum of the expected latencies
}

// add adds the observed latency of an attempt to the sum of observed latencies, and the attempt's expected latency to
// the sum of expected latencies. Both latencies are in seconds.
func (r *latencyRatio) add(observed, expected, now, halfLife float64) {
	r.observed.add(observed, now, halfLife)
	r.expected.add(expected, now, halfLife)
}

// value returns the latency ratio, (observed + w*prior) / (expected + w), where w is ratioPriorSamples * typical. A
// ratio above 1 means that answers are slower than expected.
func (r *latencyRatio) value(prior, typical, now, halfLife float64) float64 {
	priorWeight := ratioPriorSamples * typical
	return (r.observed.read(now, halfLife) + priorWeight*prior) / (r.expected.read(now, halfLife) + priorWeight)
}
