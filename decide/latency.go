package decide

const (
	latencyHalfLife   = 5.0  // seconds; of a method's typical latency
	firstLatency      = 0.3  // of the latency objective: the typical latency before there are answers
	workHintHalfLife  = 20.0 // seconds
	minRelativeWork   = 0.2  // times the mean work of the method: a hint is rough
	maxRelativeWork   = 5.0  // times the mean work of the method
	paceHalfLife      = 6.0  // seconds; of a server's pace, long enough for a few samples at an inner node
	fleetPaceHalfLife = 20.0 // seconds; of the pace of all servers tried, those in overload included
	pacePriorSamples  = 2.0  // samples of the typical latency that hold a pace near its prior
	maxPaceSample     = 4.0  // times the expected: no sample counts as more, one slow answer is no verdict
)

// methodState is a method's rules of now and what its RPCs take.
type methodState struct {
	*methodRules
	latency  decayingMean // seconds that answers took, less what their work hints explain
	workHint decayingMean
}

// typicalLatency is what an RPC of the method takes on average, in seconds. Half-lives and other times are given in it.
func (m *methodState) typicalLatency(now float64) float64 {
	return m.latency.read(now, latencyHalfLife, firstLatency*m.LatencyObjective, 1)
}

// extraWork notes an RPC's work hint and is what its work has beyond the method's mean, as a part of that. Without a
// hint it is 0.
func (m *methodState) extraWork(hint, now float64) float64 {
	if hint <= 0 {
		return 0
	}
	m.workHint.add(hint, now, workHintHalfLife)
	mean := m.workHint.read(now, workHintHalfLife, hint, 1)
	return min(max(hint/mean, minRelativeWork), maxRelativeWork) - 1
}

// pace compares what attempts took with what their rows of the Q-table led to expect, over all methods and tenants:
// each row alone is rarely sampled.
type pace struct {
	observed decayingValue // seconds
	expected decayingValue // seconds
}

// add adds an attempt's observed and expected latency.
func (p *pace) add(observed, expected, now, halfLife float64) {
	p.observed.add(observed, now, halfLife)
	p.expected.add(expected, now, halfLife)
}

// ratio is the observed over the expected latency: 1 is as expected, more is slower. Without samples it is the prior.
func (p *pace) ratio(prior, typical, now, halfLife float64) float64 {
	doubt := pacePriorSamples * typical
	return (p.observed.read(now, halfLife) + doubt*prior) / (p.expected.read(now, halfLife) + doubt)
}
