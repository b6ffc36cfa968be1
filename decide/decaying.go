package decide

import "math"

// decayingValue halves with each half-life. It is brought up to date when it is read. All calls on one value take the
// same half-life, in seconds. The zero value is 0.
type decayingValue struct {
	value     float64
	updatedAt float64 // seconds
}

// read is the value now.
func (d *decayingValue) read(now, halfLife float64) float64 {
	if now > d.updatedAt {
		d.value *= math.Exp2((d.updatedAt - now) / halfLife)
		d.updatedAt = now
	}
	return d.value
}

// peek is the value now, as read has it, without bringing it up to date.
func (d *decayingValue) peek(now, halfLife float64) float64 {
	return d.value * math.Exp2((d.updatedAt-now)/halfLife)
}

// add makes the value a decaying sum.
func (d *decayingValue) add(x, now, halfLife float64) { d.value = d.read(now, halfLife) + x }

// raiseTo makes the value a decaying maximum.
func (d *decayingValue) raiseTo(x, now, halfLife float64) { d.value = max(d.read(now, halfLife), x) }

// decayingMean is a mean of samples whose weights halve with each half-life. The zero value has no samples.
type decayingMean struct {
	sum    decayingValue
	weight decayingValue // of all samples; a new one has a weight of one
}

// add adds a sample.
func (m *decayingMean) add(x, now, halfLife float64) {
	m.sum.add(x, now, halfLife)
	m.weight.add(1, now, halfLife)
}

// samples is the weight of all samples.
func (m *decayingMean) samples(now, halfLife float64) float64 { return m.weight.read(now, halfLife) }

// read is the mean, in which a prior counts as much as priorWeight new samples.
func (m *decayingMean) read(now, halfLife, prior, priorWeight float64) float64 {
	const minWeight = 1e-9 // with neither samples nor prior the mean is 0
	return (m.sum.read(now, halfLife) + prior*priorWeight) / max(m.samples(now, halfLife)+priorWeight, minWeight)
}
