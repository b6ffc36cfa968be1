package decide

// Sums and means that fade with time.

import "math"

// decaying is a sum that halves every half seconds, brought up to date when read.
type decaying struct{ sum, at float64 }

func (d *decaying) read(now, half float64) float64 {
	if now > d.at {
		d.sum *= math.Exp2((d.at - now) / half)
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(x, now, half float64) { d.sum = d.read(now, half) + x }

// average is a decaying mean, held to a guess by some samples' worth of doubt.
type average struct{ sum, n decaying }

func (a *average) add(x, now, half float64) {
	a.sum.add(x, now, half)
	a.n.add(1, now, half)
}

func (a *average) read(now, half, guess, doubt float64) float64 {
	return (a.sum.read(now, half) + guess*doubt) / max(a.n.read(now, half)+doubt, 1e-9)
}
