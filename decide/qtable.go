package decide

import (
	"math"
	"math/bits"
)

const (
	alpha            = 0.7  // the paper's learning rate
	loadLevels       = 5    // by own attempts in flight at the server: 0, 1-2, 3-6, 7-14, 15 and more
	entryLifetime    = 60.0 // seconds after which an entry that was not updated is dropped
	entryHalfLife    = 8.0  // typical latencies after which half of an entry's difference from its row counts
	maxEntryHalfLife = 4.0  // seconds: a slow server may have recovered by then
	rowPriorSamples  = 2.0  // samples of the typical latency that count in each row's mean
	firstUpdate      = 1e-9 // seconds; the earliest time of an update, since 0 stands for none
)

// qTable is the paper's Q-table: estimates of the time to go by method, tenant and load level (a row) and by server (an
// entry of the row). A server has its entries with it; the table has the rows' means.
type qTable struct {
	rows      []qRow
	firstRows [][]int // by method and tenant; the rows of their load levels follow
}

// qRow sums the entries of the servers whose last answer was a success.
type qRow struct {
	sum   float64 // seconds
	count int
}

// qEntry is the estimate of one row at one server.
type qEntry struct {
	q         float64 // seconds
	updatedAt float64 // seconds; 0: nothing learnt yet
	failed    bool    // the last answer was a failure
}

// addMethod makes place for one more method.
func (t *qTable) addMethod() { t.firstRows = append(t.firstRows, nil) }

// addTenants makes place for so many tenants of each method.
func (t *qTable) addTenants(tenants int) {
	for method := range t.firstRows {
		for len(t.firstRows[method]) < tenants {
			t.firstRows[method] = append(t.firstRows[method], len(t.rows))
			t.rows = append(t.rows, make([]qRow, loadLevels)...)
		}
	}
}

// newEntries are the entries of a server that nothing is known of. They are never nil.
func (t *qTable) newEntries() []qEntry { return make([]qEntry, len(t.rows)) }

// grow gives a server's entries the length of the table.
func (t *qTable) grow(entries []qEntry) []qEntry {
	return append(entries, make([]qEntry, len(t.rows)-len(entries))...)
}

// row is the row of a method and tenant at a server that has so many own attempts in flight.
func (t *qTable) row(method, tenant, inFlight int) int {
	level := bits.Len(uint(inFlight+1)) - 1
	return t.firstRows[method][tenant] + min(level, loadLevels-1)
}

// mean is the mean of a row's entries, where a new entry starts. A few slow answers are no verdict on all servers:
// samples of the typical latency are mixed in where that lowers the mean.
func (t *qTable) mean(row int, typical float64) float64 {
	r := &t.rows[row]
	if r.count == 0 {
		return typical
	}
	count := float64(r.count)
	return min(r.sum/count, (r.sum+rowPriorSamples*typical)/(count+rowPriorSamples))
}

// update is equation 5 of the paper: it moves an entry towards the cost of an attempt. An entry that is new starts at
// what was expected of the attempt. All three are in seconds.
func (t *qTable) update(entries []qEntry, row int, expected, cost float64, failed bool, now float64) {
	entry := &entries[row]
	q := expected
	if entry.isLearnt() {
		q = entry.q
	}
	t.drop(entries, row)
	*entry = qEntry{q: (1-alpha)*q + alpha*cost, updatedAt: max(now, firstUpdate), failed: failed}
	if !failed {
		t.rows[row].sum += entry.q
		t.rows[row].count++
	}
}

// drop forgets an entry and takes it out of its row's mean.
func (t *qTable) drop(entries []qEntry, row int) {
	entry := &entries[row]
	if entry.isLearnt() && !entry.failed {
		r := &t.rows[row]
		r.sum -= entry.q
		r.count--
		if r.count == 0 {
			r.sum = 0 // what rounding has left
		}
	}
	*entry = qEntry{}
}

// isLearnt reports whether the entry has been updated since it was last dropped.
func (e *qEntry) isLearnt() bool { return e.updatedAt > 0 }

// isExpired reports whether the entry is too old to be used.
func (e *qEntry) isExpired(now float64) bool { return now-e.updatedAt > entryLifetime }

// weight is the part of the entry's difference from its row's mean that still holds. One sample makes up most of an
// entry (alpha), so an old one misleads.
func (e *qEntry) weight(typical, now float64) float64 {
	return math.Exp2((e.updatedAt - now) / min(entryHalfLife*typical, maxEntryHalfLife))
}
