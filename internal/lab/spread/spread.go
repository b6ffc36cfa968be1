// Package spread measures how evenly requests reach servers: from the arrivals at each server alone, whoever sent them. It is pure.
package spread

import (
	"math"
	"time"
)

// Arrival is one request that has reached a server.
type Arrival struct {
	Server int32
	Node   int32 // that sent it; below 0: not known
	At     time.Duration
}

// Measures of one run over windows of one length. What chance gives, servers chosen at random by callers that know of nobody else,
// is 1 for Dispersion and Agreement.
type Measures struct {
	Dispersion float64 // variance over mean of a server's arrivals in a window, the mean over the servers
	Peak       float64 // arrivals at the busiest server over the mean of all, the mean over the windows
	Idle       float64 // the share of windows in which a server got nothing though chance would have given it something (99%)
	Herds      int     // windows in which a server got far more than its fair part
	Agreement  float64 // how much more often two nodes choose one server in one window than independent ones with its part would
}

const (
	// Chance gives a server nothing in a window with a likelihood of 1% where the mean is that many.
	idleMean = 4.6
	// A herd is so many times the fair part, and so many standard deviations of chance beyond it.
	herdTimes, herdDeviations = 3, 5
)

// Measure takes the arrivals at these servers from one time on to another. Servers that get nothing count.
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
	return Measures{Dispersion: t.dispersion(), Peak: t.peak(), Idle: t.idle(), Herds: t.herds(), Agreement: t.agreement()}
}

// table counts arrivals by server and window.
type table struct {
	windows int
	row     map[int32]int // of a server
	counts  [][]int       // by server, then window
	byNode  []map[int32]map[int]int
}

func newTable(servers []int32, windows int) *table {
	t := &table{windows: windows, row: map[int32]int{}, byNode: make([]map[int32]map[int]int, windows)}
	for i, s := range servers {
		t.row[s] = i
		t.counts = append(t.counts, make([]int, windows))
	}
	for i := range t.byNode {
		t.byNode[i] = map[int32]map[int]int{}
	}
	return t
}

func (t *table) add(a Arrival, window int) {
	row, listed := t.row[a.Server]
	if !listed || window >= t.windows {
		return
	}
	t.counts[row][window]++
	if a.Node < 0 {
		return
	}
	of := t.byNode[window][a.Node]
	if of == nil {
		of = map[int]int{}
		t.byNode[window][a.Node] = of
	}
	of[row]++
}

func (t *table) dispersion() float64 {
	sum, n := 0.0, 0
	for _, counts := range t.counts {
		mean, square := 0.0, 0.0
		for _, c := range counts {
			mean += float64(c)
		}
		mean /= float64(t.windows)
		if mean == 0 {
			continue
		}
		for _, c := range counts {
			square += (float64(c) - mean) * (float64(c) - mean)
		}
		sum += square / float64(t.windows-1) / mean
		n++
	}
	return sum / math.Max(1, float64(n))
}

// fair is the mean over the servers in a window.
func (t *table) fair(window int) float64 {
	all := 0
	for _, counts := range t.counts {
		all += counts[window]
	}
	return float64(all) / float64(len(t.counts))
}

func (t *table) peak() float64 {
	sum, n := 0.0, 0
	for w := range t.windows {
		busiest := 0
		for _, counts := range t.counts {
			busiest = max(busiest, counts[w])
		}
		if fair := t.fair(w); fair > 0 {
			sum += float64(busiest) / fair
			n++
		}
	}
	return sum / math.Max(1, float64(n))
}

func (t *table) idle() float64 {
	idle, n := 0, 0
	for w := range t.windows {
		if t.fair(w) < idleMean {
			continue
		}
		for _, counts := range t.counts {
			n++
			if counts[w] == 0 {
				idle++
			}
		}
	}
	return float64(idle) / math.Max(1, float64(n))
}

func (t *table) herds() (n int) {
	for w := range t.windows {
		fair := t.fair(w)
		bound := math.Max(herdTimes*fair, fair+herdDeviations*math.Sqrt(fair))
		for _, counts := range t.counts {
			if float64(counts[w]) > bound && counts[w] > herdTimes {
				n++
			}
		}
	}
	return n
}

// agreement counts pairs of requests of different nodes at one server in one window, over those that would meet there if each
// request went to a server by its part of all arrivals.
func (t *table) agreement() float64 {
	part, all := make([]float64, len(t.counts)), 0.0
	for row, counts := range t.counts {
		for _, c := range counts {
			part[row] += float64(c)
			all += float64(c)
		}
	}
	meet := 0.0 // that two requests go to one server
	for _, p := range part {
		meet += p / all * p / all
	}
	met, pairs := 0.0, 0.0
	for _, nodes := range t.byNode {
		at, total, own := map[int]float64{}, 0.0, 0.0
		ownAt := 0.0
		for _, rows := range nodes {
			n := 0.0
			for row, c := range rows {
				at[row] += float64(c)
				ownAt += float64(c) * float64(c)
				n += float64(c)
			}
			total += n
			own += n * n
		}
		for _, c := range at {
			met += c * c
		}
		met -= ownAt
		pairs += total*total - own
	}
	if pairs*meet == 0 {
		return 0
	}
	return met / (pairs * meet)
}
