package decide

// Sums and means that fade with time.

import "math"

// decayingSum is a sum that halves every half seconds, brought up to date when read.
type decayingSum struct{ sum, updatedAt float64 }

func (d *decayingSum) read(now, half float64) float64 {
	if now > d.updatedAt {
		d.sum *= math.Exp2((d.updatedAt - now) / half)
		d.updatedAt = now
	}
	return d.sum
}

func (d *decayingSum) add(x, now, half float64) { d.sum = d.read(now, half) + x }

// decayingMean is a decaying mean, held to a guess by some samples' worth of doubt.
type decayingMean struct{ sum, weight decayingSum }

func (a *decayingMean) add(x, now, half float64) {
	a.sum.add(x, now, half)
	a.weight.add(1, now, half)
}

func (a *decayingMean) read(now, half, guess, doubt float64) float64 {
	return (a.sum.read(now, half) + guess*doubt) / max(a.weight.read(now, half)+doubt, 1e-9)
}
