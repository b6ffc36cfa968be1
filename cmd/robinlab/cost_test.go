package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/cost"
)

// What a failing tenth multiplies to down a chain of real nodes: by counts alone, with one caller and no hedging, so
// that no clock affects it. A node retries on a failure, at most twice, so that a hop takes 1.11 attempts. What fails
// before its work calls nobody: retries make good what is missing, and the last tier gets little over one for each
// call. What fails after its work has called the next tier each time, and the hops multiply.
func TestChain_AttemptsStayWithinRetries(t *testing.T) {
	t.Parallel()
	const share, calls, depth = 0.1, 400, 6
	hop := 1 + share + share*share
	chain := &cost.Chain{RigConfig: cost.RigConfig{
		Program:     program("robincart"),
		Servers:     3,
		Cores:       1,
		MemoryMB:    64,
		Sockets:     500,
		MaxAttempts: 3,
		NoHedging:   true,
		Deadline:    30 * time.Second,
	}}
	for failAt, want := range map[cost.FailurePoint]float64{
		cost.FailNowhere:    1,
		cost.FailAtLastTier: hop,
		cost.FailBeforeWork: 1.11,
		cost.FailAfterWork:  math.Pow(hop, depth),
	} {
		t.Run(string(failAt), func(t *testing.T) {
			t.Parallel()
			counts, err := chain.CountAttempts(t.Context(), cost.AttemptCase{
				Depth:     depth,
				FailAt:    failAt,
				FailShare: share,
				Calls:     calls,
				Callers:   1,
				Seed:      7,
			})
			require.NoError(t, err)
			t.Logf("%+v", counts)
			assert.Equal(t, calls, counts.OK+counts.Rejected+counts.Aborted, "each call has one answer")
			assert.GreaterOrEqual(t, counts.OK, calls-calls/50, "of three attempts one nearly always succeeds")
			limit := 1.1 * want
			if failAt == cost.FailNowhere {
				limit = want // nothing failed: no attempt was for nothing
			}
			assert.LessOrEqual(t, counts.LastTierPerCall(), limit)
			assert.GreaterOrEqual(t, counts.LastTierPerCall(), 0.9*want)
			for i, requests := range counts.Tiers[1:] {
				assert.LessOrEqual(t, float64(requests), 1.2*float64(counts.Tiers[i]),
					"tier %d made the calls for what it got, and its node's retries", i)
			}
		})
	}
}

// A node makes no more system calls that read or write, by the kernel's count, than a proxy that only copies bytes, at
// low rates and at full speed.
func TestComparison_ReadsAndWritesOfNodeAndProxy(t *testing.T) {
	t.Parallel()
	comparison := &cost.Comparison{
		RigConfig:  cost.RigConfig{Servers: 5, Cores: 1, MemoryMB: 64, Sockets: 500},
		LabProgram: program("robinlab"),
		Programs:   []cost.Program{{Name: "node", Path: program("robincart")}},
		Rates:      []int{300, cost.Unlimited},
		Callers:    4,
		Duration:   time.Second,
		Rounds:     1,
		Seed:       3,
	}
	samples, err := comparison.Measure(t.Context())
	require.NoError(t, err)
	require.Len(t, samples, 6)
	readsAndWrites := func(s *cost.Sample) float64 { return s.PerCall(float64(s.Usage.ReadWriteCalls)) }
	for i := range samples {
		sample := &samples[i]
		assert.Positive(t, sample.Calls, "%+v", sample)
		assert.Equal(t, sample.Calls, sample.OK, "%+v", sample)
	}
	for _, rate := range comparison.Rates {
		proxy := samples.Summarize(cost.Proxy, "", rate, readsAndWrites).Median
		node := samples.Summarize("node", "", rate, readsAndWrites).Median
		t.Logf("%d a second: proxy %.2f, node %.2f", rate, proxy, node)
		assert.InDelta(t, 6, proxy, 0.7, "two ways: a read that finds nothing, a read, a write")
		assert.LessOrEqual(t, node, 5.6, "one more for each call would be seen")
	}
}

func TestCost_BadInput(t *testing.T) {
	t.Parallel()
	node := program("robincart")
	for message, args := range map[string][]string{
		"--rate must be":               {"cost", "--programs", node, "--rate", "175,-1"},
		"invalid argument \"fast\"":    {"cost", "--programs", node, "--rate", "fast"},
		"all plays together":           {"cost", "--programs", node, "--rate", "1,2,3,4,5,6,7,8", "--rounds", "50", "--for", "30s"},
		"no program may be called":     {"cost", "--programs", "relay=" + node, "--rate", "175"},
		"--servers must be 500":        {"cost", "--programs", node, "--rate", "175", "--servers", "501"},
		"--depth must be":              {"chain", "--node", node, "--depth", "5,33"},
		"--fail must be":               {"chain", "--node", node, "--attempts", "10", "--fail", "1.5"},
		"--attempts must be":           {"chain", "--node", node, "--attempts", "-1"},
		"no node program at":           {"chain", "--node", "/nowhere"},
		"a relay needs a server":       {"relay"},
		"is no loopback address":       {"relay", "--to", "192.0.2.1:80"},
		"--servers and --callers must": {"chain", "--node", node, "--servers", "0"},
	} {
		t.Run(message, func(t *testing.T) {
			out, code := runLab(t, args...)
			assert.Equal(t, exitError, code, "%v: %s", args, out)
			assert.Contains(t, out, message)
			assert.LessOrEqual(t, strings.Count(out, "\n"), 1, "one plain message: %s", out)
		})
	}
}

// Both commands, as a user starts them, print a line for each target and depth, and leave nothing behind.
func TestCost_Output(t *testing.T) {
	t.Parallel()
	node := program("robincart")
	out, code := runLab(t, "cost", "--programs", "now="+node, "--rate", "150", "--for", "300ms", "--servers", "2")
	require.Zero(t, code, out)
	for _, target := range []string{"straight", "relay", "now"} {
		assert.Contains(t, out, " "+target+" ")
	}
	out, code = runLab(t, "chain", "--node", node, "--depth", "1,3", "--rate", "50", "--for", "300ms", "--rounds", "1")
	require.Zero(t, code, out)
	assert.Contains(t, out, "added p99 a node")
	out, code = runLab(t, "chain", "--node", node, "--depth", "2", "--attempts", "20")
	require.Zero(t, code, out)
	assert.Contains(t, out, "each tier, after its work")
	logs, err := filepath.Glob(filepath.Join(os.TempDir(), "chain*", "n0.log"))
	assert.NoError(t, err)
	for _, log := range logs { // those of a chain that is played now are not older than this test binary
		info, err := os.Stat(log)
		assert.True(t, err != nil || time.Since(info.ModTime()) < 10*time.Minute, log)
	}
}
