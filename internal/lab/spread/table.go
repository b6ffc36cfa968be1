package spread

import "math"

// table counts arrivals by server and window.
type table struct {
	windows int
	rows    map[int32]int // by server
	counts  [][]int       // by row and window
	byNode  []nodeCounts  // by window
}

// nodeCounts counts the arrivals of one window by node and row.
type nodeCounts map[int32]map[int]int

// newTable returns a table without any arrival.
func newTable(servers []int32, windows int) *table {
	t := &table{windows: windows, rows: map[int32]int{}, byNode: make([]nodeCounts, windows)}
	for row, server := range servers {
		t.rows[server] = row
		t.counts = append(t.counts, make([]int, windows))
	}
	for window := range t.byNode {
		t.byNode[window] = nodeCounts{}
	}
	return t
}

// add counts an arrival, if its server and window are of the table.
func (t *table) add(a Arrival, window int) {
	row, listed := t.rows[a.Server]
	if !listed || window >= t.windows {
		return
	}
	t.counts[row][window]++
	if a.Node < 0 {
		return
	}
	counts := t.byNode[window][a.Node]
	if counts == nil {
		counts = map[int]int{}
		t.byNode[window][a.Node] = counts
	}
	counts[row]++
}

// mean is the mean over the servers in a window.
func (t *table) mean(window int) float64 {
	sum := 0
	for _, counts := range t.counts {
		sum += counts[window]
	}
	return float64(sum) / float64(len(t.counts))
}

// dispersion is Measures.Dispersion.
func (t *table) dispersion() float64 {
	sum, servers := 0.0, 0
	for _, counts := range t.counts {
		mean := t.serverMean(counts)
		if mean == 0 {
			continue
		}
		squares := 0.0
		for _, c := range counts {
			squares += (float64(c) - mean) * (float64(c) - mean)
		}
		sum += squares / float64(t.windows-1) / mean
		servers++
	}
	return ratio(sum, servers)
}

// serverMean is the mean over the windows of a server.
func (t *table) serverMean(counts []int) float64 {
	sum := 0
	for _, c := range counts {
		sum += c
	}
	return float64(sum) / float64(t.windows)
}

// peak is Measures.Peak.
func (t *table) peak() float64 {
	sum, windows := 0.0, 0
	for window := range t.windows {
		busiest := 0
		for _, counts := range t.counts {
			busiest = max(busiest, counts[window])
		}
		if mean := t.mean(window); mean > 0 {
			sum += float64(busiest) / mean
			windows++
		}
	}
	return ratio(sum, windows)
}

// idle is Measures.Idle.
func (t *table) idle() float64 {
	idle, all := 0, 0
	for window := range t.windows {
		if t.mean(window) < minIdleMean {
			continue
		}
		for _, counts := range t.counts {
			all++
			if counts[window] == 0 {
				idle++
			}
		}
	}
	return ratio(float64(idle), all)
}

// herds is Measures.Herds.
func (t *table) herds() int {
	herds := 0
	for window := range t.windows {
		mean := t.mean(window)
		bound := math.Max(minHerdMultiple*mean, mean+minHerdDeviations*math.Sqrt(mean))
		for _, counts := range t.counts {
			if float64(counts[window]) > bound && counts[window] > minHerdMultiple {
				herds++
			}
		}
	}
	return herds
}

// agreement is Measures.Agreement: the pairs of requests of different nodes that met at a server in a window, over
// those that would have if each request went to a server by its share of all arrivals.
func (t *table) agreement() float64 {
	met, pairs := 0.0, 0.0
	for _, counts := range t.byNode {
		windowMet, windowPairs := counts.pairs()
		met += windowMet
		pairs += windowPairs
	}
	expected := pairs * t.meetingChance()
	if expected == 0 {
		return 0
	}
	return met / expected
}

// meetingChance is the probability that two requests go to the same server, if each goes by the servers' shares.
func (t *table) meetingChance() float64 {
	rowSums, sum := make([]float64, len(t.counts)), 0.0
	for row, counts := range t.counts {
		for _, c := range counts {
			rowSums[row] += float64(c)
			sum += float64(c)
		}
	}
	chance := 0.0
	for _, rowSum := range rowSums {
		chance += rowSum / sum * rowSum / sum
	}
	return chance
}

// pairs counts the ordered pairs of requests of different nodes: those that met at a server, and all.
func (n nodeCounts) pairs() (met, all float64) {
	rowSums, sum := map[int]float64{}, 0.0
	for _, rows := range n {
		nodeSum := 0.0
		for row, c := range rows {
			count := float64(c)
			rowSums[row] += count
			nodeSum += count
			met -= count * count // pairs of one node
		}
		sum += nodeSum
		all -= nodeSum * nodeSum
	}
	for _, rowSum := range rowSums {
		met += rowSum * rowSum
	}
	all += sum * sum
	return met, all
}
