package decide

import (
	"math"
	"math/bits"
)

const (
	alpha            = 0.7  // learning rate, from the paper: weight of a new sample in an entry, from 0 to 1
	loadLevels       = 5    // levels of this node's attempts in flight at the server: 0, 1-2, 3-6, 7-14, 15 and more
	entryLifetime    = 60.0 // seconds; an entry is dropped if it has not been updated for longer
	entryHalfLife    = 8.0  // half-life of an entry's weight, as a multiple of the typical latency
	maxEntryHalfLife = 4.0  // seconds; upper bound of the half-life: a slow server may have recovered after this time
	rowPriorSamples  = 2.0  // number of samples with the typical latency that may be mixed into a row's mean
	minUpdatedAt     = 1e-9 // seconds; lowest updatedAt of an updated entry, since 0 means that there was no update
)

// qTable is the Q-table of the paper: estimates of the time to go by method, tenant and load level (a row) and by
// server (an entry of the row). Each server stores its own entries; the table stores the rows' sums.
type qTable struct {
	rows      []qRow
	firstRows [][]int // index of the row of load level 0, by method and tenant; the rows of the other levels follow it
}

// qRow holds the sum and the number of those entries of a row whose last update was a success.
type qRow struct {
	sum   float64 // seconds
	count int
}

// qEntry is the estimate for one row at one server.
type qEntry struct {
	q         float64 // seconds; the estimated time to go
	updatedAt float64 // seconds; 0: no update yet
	failed    bool    // the last update was a failure
}

// addMethod adds a method that has no rows yet.
func (t *qTable) addMethod() { t.firstRows = append(t.firstRows, nil) }

// addTenants adds rows so that each method has the given number of tenants.
func (t *qTable) addTenants(tenants int) {
	for method := range t.firstRows {
		for len(t.firstRows[method]) < tenants {
			t.firstRows[method] = append(t.firstRows[method], len(t.rows))
			t.rows = append(t.rows, make([]qRow, loadLevels)...)
		}
	}
}

// newEntries returns empty entries for a server. The slice is never nil.
func (t *qTable) newEntries() []qEntry { return make([]qEntry, len(t.rows)) }

// grow extends a server's entries to the current number of rows.
func (t *qTable) grow(entries []qEntry) []qEntry {
	return append(entries, make([]qEntry, len(t.rows)-len(entries))...)
}

// row returns the index of the row for a method and a tenant. inFlight is the number of this node's attempts in flight
// at the server.
func (t *qTable) row(method, tenant, inFlight int) int {
	level := bits.Len(uint(inFlight+1)) - 1
	return t.firstRows[method][tenant] + min(level, loadLevels-1)
}

// mean returns the mean of a row's entries in seconds, which is also the initial value of a new entry. If the mean is
// above the typical latency, rowPriorSamples samples with the typical latency are mixed in, so that a few slow answers
// do not raise the estimates of all servers.
func (t *qTable) mean(row int, typical float64) float64 {
	r := &t.rows[row]
	if r.count == 0 {
		return typical
	}
	count := float64(r.count)
	return min(r.sum/count, (r.sum+rowPriorSamples*typical)/(count+rowPriorSamples))
}

// update applies equation 5 of the paper, q = (1-alpha)*q + alpha*cost. For a new entry, q starts at the expected
// latency of the attempt. expected, cost and now are in seconds.
func (t *qTable) update(entries []qEntry, row int, expected, cost float64, failed bool, now float64) {
	entry := &entries[row]
	q := expected
	if entry.isLearnt() {
		q = entry.q
	}
	t.drop(entries, row)
	*entry = qEntry{q: (1-alpha)*q + alpha*cost, updatedAt: max(now, minUpdatedAt), failed: failed}
	if !failed {
		t.rows[row].sum += entry.q
		t.rows[row].count++
	}
}

// drop clears an entry and removes it from its row's sum.
func (t *qTable) drop(entries []qEntry, row int) {
	entry := &entries[row]
	if entry.isLearnt() && !entry.failed {
		r := &t.rows[row]
		r.sum -= entry.q
		r.count--
		if r.count == 0 {
			r.sum = 0 // removes the rounding error
		}
	}
	*entry = qEntry{}
}

// isLearnt reports whether the entry has been updated since it was created or last dropped.
func (e *qEntry) isLearnt() bool { return e.updatedAt > 0 }

// isExpired reports whether the entry is older than entryLifetime.
func (e *qEntry) isExpired(now float64) bool { return now-e.updatedAt > entryLifetime }

// weight returns the fraction of the difference between the entry and its row's mean that still applies:
// 2^(-age/halfLife), where halfLife is min(entryHalfLife*typical, maxEntryHalfLife). The difference must decay, since
// most of an entry (the fraction alpha) comes from a single sample.
func (e *qEntry) weight(typical, now float64) float64 {
	return math.Exp2((e.updatedAt - now) / min(entryHalfLife*typical, maxEntryHalfLife))
}
