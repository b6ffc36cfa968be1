package decide

import "math"

// decayingValue is a value that decays exponentially: after t seconds it is value * 2^(-t/halfLife). It is updated when
// it is read. All calls on one value must pass the same half-life, in seconds. The zero value is 0.
type decayingValue struct {
	value     float64
	updatedAt float64 // seconds
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

// add adds x to the value, which makes it a decaying sum.
func (d *decayingValue) add(x, now, halfLife float64) { d.value = d.read(now, halfLife) + x }

// raiseTo raises the value to x if it is lower, which makes it a decaying maximum.
func (d *decayingValue) raiseTo(x, now, halfLife float64) { d.value = max(d.read(now, halfLife), x) }

// decayingMean is a mean of samples whose weights halve in each half-life. The zero value has no samples.
type decayingMean struct {
	sum    decayingValue
	weight decayingValue // of all samples; a new sample has a weight of one
}

// add adds a sample.
func (m *decayingMean) add(x, now, halfLife float64) {
	m.sum.add(x, now, halfLife)
	m.weight.add(1, now, halfLife)
}

// samples returns the total weight of all samples; a new sample has a weight of one.
func (m *decayingMean) samples(now, halfLife float64) float64 { return m.weight.read(now, halfLife) }

// read returns (sum + prior*priorWeight) / (weight + priorWeight): the prior counts as priorWeight new samples.
func (m *decayingMean) read(now, halfLife, prior, priorWeight float64) float64 {
	const minWeight = 1e-9 // with neither samples nor prior the mean is 0
	return (m.sum.read(now, halfLife) + prior*priorWeight) / max(m.samples(now, halfLife)+priorWeight, minWeight)
}
