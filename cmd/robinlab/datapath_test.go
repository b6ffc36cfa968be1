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

// What a failing tenth multiplies to down a chain of real nodes: by counts alone, with one caller and no second copies, so
// that no clock has a part in it. A node tries again on a failure, at most twice, so that a hop takes 1.11 attempts. What
// fails before its work calls nobody: retries make good what is missing, and the last tier gets little over one for each
// call. What fails after its work has called the tier behind each time, and the hops multiply.
func TestAttemptsDownAChainStayWithinAHopsRetries(t *testing.T) {
	t.Parallel()
	const share, calls, depth = 0.1, 400, 6
	hop := 1 + share + share*share
	k := &cost.Chain{Shape: cost.Shape{Program: filepath.Join(bins, "robincart"), Servers: 3, Cores: 1, MemoryMB: 64, Sockets: 500, Picks: 3, NoCopies: true,
		Deadline: 30 * time.Second}}
	for where, want := range map[cost.Fails]float64{cost.Nowhere: 1, cost.Last: hop, cost.Before: 1.11, cost.After: math.Pow(hop, depth)} {
		t.Run(string(where), func(t *testing.T) {
			t.Parallel()
			a, err := k.Count(t.Context(), depth, where, share, calls, 1, 7)
			require.NoError(t, err)
			t.Logf("%+v", a)
			assert.Equal(t, calls, a.OK+a.PushedBack+a.Aborted, "each call has one answer")
			assert.GreaterOrEqual(t, a.OK, calls-calls/50, "of three tries one nearly always goes well")
			most := 1.1 * want
			if where == cost.Nowhere {
				most = want // nothing failed: no attempt was for nothing
			}
			assert.LessOrEqual(t, a.LastTier(), most)
			assert.GreaterOrEqual(t, a.LastTier(), 0.9*want)
			for i, n := range a.Tiers[1:] {
				assert.LessOrEqual(t, float64(n), 1.2*float64(a.Tiers[i]), "tier %d sent on what it got, and its node's retries", i)
			}
		})
	}
}

// The system calls of a call, by the kernel's count: a node reads and writes no more often than a relay that only copies
// bytes, at sparse rates and at full speed.
func TestANodeReadsAndWritesNoMoreOftenThanARelay(t *testing.T) {
	t.Parallel()
	node := filepath.Join(bins, "robincart")
	r := &cost.Rate{Shape: cost.Shape{Servers: 5, Cores: 1, MemoryMB: 64, Sockets: 500}, Self: filepath.Join(bins, "robinlab"), Names: []string{"node"},
		Paths: []string{node}, Rates: []int{300, cost.Full}, Callers: 4, For: time.Second, Rounds: 1, Seed: 3}
	require.NoError(t, r.Play(t.Context()))
	require.Len(t, r.Samples, 6)
	each := func(s cost.Sample) float64 { return s.PerCall(float64(s.Use.Calls)) }
	for _, rate := range r.Rates {
		for _, s := range r.Samples {
			assert.Positive(t, s.Calls, "%+v", s)
			assert.Equal(t, s.Calls, s.OK, "%+v", s)
		}
		relay, node := r.Over(cost.ThroughRelay, "", rate, each).Median, r.Over("node", "", rate, each).Median
		t.Logf("%d a second: relay %.2f, node %.2f", rate, relay, node)
		assert.InDelta(t, 6, relay, 0.7, "two ways: a read that finds nothing, a read, a write")
		assert.LessOrEqual(t, node, 5.6, "one more for each call would be seen")
	}
}

func TestCostAtRatesAndChainTellBadInputInOneMessage(t *testing.T) {
	t.Parallel()
	node := filepath.Join(bins, "robincart")
	for says, args := range map[string][]string{
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
		out, code := lab(t, args...)
		assert.Equal(t, 2, code, "%v: %s", args, out)
		assert.Contains(t, out, says)
		assert.LessOrEqual(t, strings.Count(out, "\n"), 1, "one plain message: %s", out)
	}
}

// Both commands, as a user starts them, print a line for each way and depth, and leave nothing behind.
func TestCostAtRatesAndChainPrintWhatTheyMeasured(t *testing.T) {
	t.Parallel()
	node := filepath.Join(bins, "robincart")
	out, code := lab(t, "cost", "--programs", "now="+node, "--rate", "150", "--for", "300ms", "--servers", "2")
	require.Zero(t, code, out)
	for _, way := range []string{"straight", "relay", "now"} {
		assert.Contains(t, out, " "+way+" ")
	}
	out, code = lab(t, "chain", "--node", node, "--depth", "1,3", "--rate", "50", "--for", "300ms", "--rounds", "1")
	require.Zero(t, code, out)
	assert.Contains(t, out, "added p99 a node")
	out, code = lab(t, "chain", "--node", node, "--depth", "2", "--attempts", "20")
	require.Zero(t, code, out)
	assert.Contains(t, out, "each tier, after its work")
	left, err := filepath.Glob(filepath.Join(os.TempDir(), "chain*", "n0.log"))
	assert.NoError(t, err)
	for _, l := range left { // another chain's, which plays now: not older than this test binary
		info, err := os.Stat(l)
		assert.True(t, err != nil || time.Since(info.ModTime()) < 10*time.Minute, l)
	}
}
