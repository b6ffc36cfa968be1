package decide

import "math"

// decayingValue is a value that decays exponentially: after t seconds it is value * 2^(-t/halfLife). Each read stores
// the decayed value. All calls for the same value must pass the same half-life, in seconds. Initially the value is 0.
type decayingValue struct {
	value     float64
	updatedAt float64 // seconds; time of the last update
}

// read returns the current value.
func (d *decayingValue) read(now, halfLife float64) float64 {
	if now > d.updatedAt {
		d.value *= math.Exp2((d.updatedAt - now) / halfLife)
		d.updatedAt = now
	}
	return d.value
}

// peek returns what read would return, without updating the value.
func (d *decayingValue) peek(now, halfLife float64) float64 {
	return d.value * math.Exp2((d.updatedAt-now)/halfLife)
}

// add adds x to the decayed value. The result is a decaying sum of all x.
func (d *decayingValue) add(x, now, halfLife float64) { d.value = d.read(now, halfLife) + x }

// raiseTo sets the value to x if x is higher than the decayed value. The result is a decaying maximum of all x.
func (d *decayingValue) raiseTo(x, now, halfLife float64) { d.value = max(d.read(now, halfLife), x) }

// decayingMean is a weighted mean of samples. The weight of a sample is 1 at first and halves in each half-life.
// Initially there are no samples.
type decayingMean struct {
	sum    decayingValue
	weight decayingValue // sum of the weights of all samples
}

// add adds a sample.
func (m *decayingMean) add(x, now, halfLife float64) {
	m.sum.add(x, now, halfLife)
	m.weight.add(1, now, halfLife)
}

// samples returns the sum of the weights of all samples.
func (m *decayingMean) samples(now, halfLife float64) float64 { return m.weight.read(now, halfLife) }

// read returns (sum + prior*priorWeight) / (weight + priorWeight): the prior counts as priorWeight new samples.
func (m *decayingMean) read(now, halfLife, prior, priorWeight float64) float64 {
	const minWeight = 1e-9 // prevents a division by zero: without samples and without a prior, the mean is 0
	return (m.sum.read(now, halfLife) + prior*priorWeight) / max(m.samples(now, halfLife)+priorWeight, minWeight)
}
