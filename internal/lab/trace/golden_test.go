package trace

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/labtest"
	"robincart/internal/lab/plan"
	"robincart/internal/testutil/golden"
)

// The golden files were written by Write of the text at 0cdd5b2. They must never be written anew to follow a rename:
// traces that users have recorded keep their form.

func goldenRows() []Row {
	return []Row{
		{
			AtUS:      1000.25,
			Method:    "book-table",
			Tenant:    "zeta",
			Key:       11,
			Body:      12,
			WorkMS:    13.5,
			WaitMS:    14.25,
			Outcome:   "pushed back",
			SentUS:    1015.5,
			LatencyUS: 16.75,
		},
		{AtUS: 2000.5, Method: "find-table"},
		{
			AtUS:      3000,
			Method:    "find-table",
			Tenant:    "acme",
			Key:       4294967295,
			Outcome:   "ok",
			SentUS:    3001,
			LatencyUS: 1234567.125,
		},
	}
}

var goldenNames = Names{Methods: []string{"find-table", "book-table"}, Tenants: []string{"acme", "zeta"}}

func TestTrace_Golden(t *testing.T) {
	arrivals := []plan.Arrival{
		{Method: 1, Tenant: 1, Key: 11, Body: 12, Work: 13.5, Wait: 14.25},
		{At: 1000250 * time.Nanosecond},
		{At: 1999750 * time.Nanosecond, Key: 4294967295},
	}
	for form, file := range map[string]string{"jsonl": "rows.jsonl", "csv": "rows.csv"} {
		t.Run(form, func(t *testing.T) {
			read, err := Read(bytes.NewReader(golden.Read(t, file)), goldenNames)
			require.NoError(t, err)
			assert.Equal(t, arrivals, read)
			var written bytes.Buffer
			require.NoError(t, Write(&written, form, goldenRows()))
			golden.Check(t, file, written.Bytes())
		})
	}
}

func TestTrace_GoldenRows(t *testing.T) {
	var rows []Row
	for lines := json.NewDecoder(bytes.NewReader(golden.Read(t, "rows.jsonl"))); lines.More(); {
		var row Row
		require.NoError(t, lines.Decode(&row))
		rows = append(rows, row)
	}
	assert.Equal(t, goldenRows(), rows)
	labtest.RequireEveryFieldSet(t, "json", rows[0])
}

func TestTrace_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "json", Row{}) }
