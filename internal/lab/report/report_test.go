package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/run"
)

func testResult() *run.Result {
	floor := 0.9
	return &run.Result{
		Name:    "x",
		About:   "a <claim>",
		Seconds: 2,
		Faults:  []run.Span{{Name: "freeze server:3", From: time.Second, To: 2 * time.Second}},
		Checks:  []run.Check{{Metric: "goodput", Value: 0.5, Min: &floor}},
		Invalid: []string{"too slow"},
		Arms: []*run.Arm{{
			Name:    "robincart",
			Metrics: map[string]float64{"goodput": 0.5},
			Windows: [][2]int{{5, 5}, {5, 4}},
			Broken:  map[string]judge.Violation{judge.EffectTwice: {Count: 7}},
			Seconds: []run.Second{{Calls: 5, Goodput: 1, P99: 20, Open: 1}, {Goodput: 0.5, P99: 2000, Open: 9}},
			Quantiles: []run.Quantile{
				{Q: 50, Planned: 1, Service: 1},
				{Q: 99, Planned: 0, Service: 3},
				{Q: 100, Planned: 9, Service: 3},
			},
		}},
	}
}

func TestHTML_OneRun(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, HTML(&b, testResult()))
	text := b.String()
	assert.Equal(t, 5, strings.Count(text, "<svg"))
	for _, part := range []string{"a &lt;claim&gt;", "failed", "too slow", "freeze server:3", `class="bad">7<`, "0.900"} {
		assert.Contains(t, text, part)
	}
	for _, outside := range []string{"src=", "href=\"http", "<script", "@import"} {
		assert.NotContains(t, text, outside, "it needs nothing beside it")
	}
}

func TestHTML_SeveralRuns(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, HTML(&b, testResult(), testResult()))
	assert.Contains(t, b.String(), "robincart (2)")
}

func TestHTML_NoArm(t *testing.T) {
	assert.ErrorIs(t, HTML(&bytes.Buffer{}, &run.Result{}), ErrNoArm)
}
