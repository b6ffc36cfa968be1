package plan

import "math"

// Point is one corner of a curve.
type Point struct {
	At   float64 // seconds
	Rate float64 // requests a second
}

// Curve is a rate over time: straight between its points, which are in order of time.
type Curve []Point

// Total is the number of requests under the curve.
func (c Curve) Total() float64 {
	sum := 0.0
	for i := 1; i < len(c); i++ {
		sum += (c[i].At - c[i-1].At) * (c[i].Rate + c[i-1].Rate) / 2
	}
	return sum
}

// until cuts the curve off at a time.
func (c Curve) until(end float64) Curve {
	var cut Curve
	for i, p := range c {
		if p.At <= end {
			cut = append(cut, p)
			continue
		}
		if i > 0 {
			before := c[i-1]
			rate := before.Rate + (p.Rate-before.Rate)*(end-before.At)/(p.At-before.At)
			cut = append(cut, Point{end, rate})
		}
		break
	}
	return cut
}

// eachArrival calls f with each moment at which the curve's integral has grown by the next of a series of gaps: gaps of
// one space arrivals evenly, exponential gaps make a Poisson process of the curve's rate.
func (c Curve) eachArrival(nextGap func() float64, f func(at float64)) {
	due, integral := nextGap(), 0.0
	for i := 1; i < len(c); i++ {
		from, to := c[i-1], c[i]
		length := to.At - from.At
		area := length * (from.Rate + to.Rate) / 2
		for due <= integral+area && area > 0 {
			slope := (to.Rate - from.Rate) / length
			f(from.At + min(solveArea(from.Rate, slope, due-integral), length))
			due += nextGap()
		}
		integral += area
	}
}

// solveArea returns after what time the area under a straight line reaches a value: the root of
// rate·x + slope·x²/2 = area, in the form that stays exact as the slope goes to zero.
func solveArea(rate, slope, area float64) float64 {
	return 2 * area / (rate + math.Sqrt(max(0, rate*rate+2*slope*area)))
}
