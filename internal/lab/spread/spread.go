// Package spread measures how evenly requests reach servers, from the arrivals at each server alone, whichever node
// sent them. It is pure; what is a good measure is up to an experiment's bounds.
package spread

import (
	"math"
	"time"
)

// Arrival is one request that has reached a server.
type Arrival struct {
	Server int32
	Node   int32 // that sent it; below 0: unknown
	At     time.Duration
}

// Measures are those of one run, over windows of one length. Servers that clients choose at random, each by itself,
// give 1 for Dispersion and Agreement.
type Measures struct {
	Dispersion float64 // variance over mean of a server's arrivals in a window; the mean over the servers
	Peak       float64 // arrivals at the busiest server over the servers' mean; the mean over the windows
	Idle       float64 // the share of windows in which a server got nothing that at random gets something with 99%
	Herds      int     // windows in which a server got far more than the servers' mean
	Agreement  float64 // how much more often two nodes choose the same server in a window than independent ones would
}

const (
	// minIdleMean is the mean number of arrivals from which on a server at random gets nothing with less than 1%.
	minIdleMean = 4.6
	// A herd is more than so many times the mean, and so many standard deviations of a Poisson distribution above it.
	minHerdMultiple   = 3
	minHerdDeviations = 5
)

// Measure measures the arrivals at these servers between two times. Servers without any arrival count. Less than two
// windows measure nothing.
func Measure(arrivals []Arrival, servers []int32, from, to, window time.Duration) Measures {
	windows := int((to - from) / window)
	if windows < 2 || len(servers) == 0 {
		return Measures{}
	}
	t := newTable(servers, windows)
	for _, a := range arrivals {
		if a.At >= from {
			t.add(a, int((a.At-from)/window))
		}
	}
	return Measures{
		Dispersion: t.dispersion(),
		Peak:       t.peak(),
		Idle:       t.idle(),
		Herds:      t.herds(),
		Agreement:  t.agreement(),
	}
}

// ratio divides; over nothing it is 0.
func ratio(dividend float64, divisor int) float64 { return dividend / math.Max(1, float64(divisor)) }
