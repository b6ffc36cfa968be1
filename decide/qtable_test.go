package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestQTable_LoadLevels(t *testing.T) {
	var table qTable
	table.addMethod()
	table.addMethod()
	table.addTenants(2)
	assert.Len(t, table.rows, 2*2*loadLevels)
	first := table.row(1, 1, 0)
	for inFlight, level := range map[int]int{0: 0, 1: 1, 2: 1, 3: 2, 6: 2, 7: 3, 14: 3, 15: 4, 1000: 4} {
		assert.Equal(t, first+level, table.row(1, 1, inFlight), "%d in flight", inFlight)
	}
}

// After any sequence of updates and drops, the sum of a row must include exactly the entries whose last update was a
// success.
func TestQTable_RowSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table qTable
		table.addMethod()
		table.addTenants(1)
		servers := [][]qEntry{table.newEntries(), table.newEntries(), table.newEntries()}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			entries := rapid.SampledFrom(servers).Draw(t, "server")
			row := rapid.IntRange(0, loadLevels-1).Draw(t, "row")
			if rapid.IntRange(0, 4).Draw(t, "step") == 0 {
				table.drop(entries, row)
				continue
			}
			cost := rapid.Float64Range(0, 10).Draw(t, "cost")
			failed := rapid.Bool().Draw(t, "failed")
			table.update(entries, row, 1, cost, failed, 100)
		}
		for row := range table.rows {
			want := qRow{}
			for _, entries := range servers {
				if entry := entries[row]; entry.isLearnt() && !entry.failed {
					want.sum += entry.q
					want.count++
				}
			}
			assert.Equal(t, want.count, table.rows[row].count)
			assert.InDelta(t, want.sum, table.rows[row].sum, 1e-6)
		}
	})
}
