package run

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/labtest"
	"robincart/internal/lab/standin"
	"robincart/internal/protocol/settings"
	"robincart/internal/testutil/golden"
)

// The golden files hold the forms of the text at 0cdd5b2: result.json, node.json and operator.toml were written by
// it; fleet.toml, services.toml and n0.log were written by hand and read by it. They must never be changed or written
// anew to follow a rename: stored results stay readable, and nodes read the rest.

func goldenResult() *Result {
	number := func(value float64) *float64 { return &value }
	return &Result{
		Version:     Version,
		Name:        "golden",
		About:       "about-101",
		Began:       time.Date(2026, 2, 3, 4, 5, 6, 789_000_000, time.UTC),
		Seed:        102,
		Seconds:     103.5,
		Short:       true,
		Interrupted: true,
		Arms: []*Arm{{
			Name:       "robincart",
			Metrics:    map[string]float64{"goodput": 0.25, "p99_ms": 201.5},
			Broken:     map[string]judge.Violation{judge.EffectTwice: {Count: 202, Examples: []string{"case 203"}}},
			Ends:       map[string]int{judge.OK.String(): 204, judge.PushedBack.String(): 205},
			Violations: map[string]int{"rule-206": 207},
			Seconds:    []Second{{Calls: 208, Goodput: 0.5, P50: 209.5, P99: 210.5, Open: 211}},
			Quantiles:  []Quantile{{Q: 99.9, Planned: 212.5, Service: 213.5}},
			Methods:    []judge.Tally{{Name: "find", Calls: 214, InTime: 215, OK: 216, OfferedUtility: 217.5, EarnedUtility: 218.5}},
			Tenants:    []judge.Tally{{Name: "acme", Calls: 219, InTime: 220, OK: 221, OfferedUtility: 222.5, EarnedUtility: 223.5}},
			Windows:    [][2]int{{224, 225}, {226, 227}},
			Notes:      []string{"note-228"},
		}},
		Checks:  []Check{{Metric: "goodput", Value: 301.5, Min: number(302.5), Max: number(303.5), OK: true}},
		Invalid: []string{"invalid-104"},
		Passed:  true,
		Faults:  []Span{{Name: "freeze server:3", From: 401 * time.Millisecond, To: 402 * time.Millisecond}},
		Machine: "machine-105",
	}
}

func TestResult_Golden(t *testing.T) {
	want := goldenResult()
	labtest.RequireEveryFieldSet(t, "json", want)
	read, err := Load(labtest.GoldenPath("result.json"))
	require.NoError(t, err)
	assert.Equal(t, want, read)
	written, err := json.MarshalIndent(read, "", " ") // as Play writes it
	require.NoError(t, err)
	golden.Check(t, "result.json", written)
}

// A switch alone: where all are on, two that are mixed up would not be seen.
func TestResult_GoldenSwitches(t *testing.T) {
	for text, want := range map[string]Result{
		`{"short":true}`:  {Short: true},
		`{"cut":true}`:    {Interrupted: true},
		`{"passed":true}`: {Passed: true},
	} {
		t.Run(text, func(t *testing.T) {
			var read Result
			require.NoError(t, json.Unmarshal([]byte(text), &read))
			assert.Equal(t, want, read)
		})
	}
}

func TestResult_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "json", Result{}) }

// goldenFleet is the fleet of one of the files in testdata, without anything started but its discoveries.
func goldenFleet(t *testing.T, file string) *fleet {
	e, err := experiment.Read(labtest.GoldenPath(file))
	require.NoError(t, err)
	f := &fleet{
		fleetOptions: fleetOptions{dir: t.TempDir(), quotas: true},
		experiment:   e,
		listeners:    map[int32][]*standin.DiscoveryListener{},
	}
	for range e.Fleet.Tiers {
		d := standin.NewDiscovery(&judge.Ledger{}, time.Now())
		t.Cleanup(d.Stop)
		d.Update(standin.Member{ID: "s0-0", Addr: "127.0.0.1:501", Zone: "zone-a", Flavor: "lab", Cell: 502,
			Phase: "ready", Size: 1, UpSince: 503})
		f.discoveries = append(f.discoveries, d)
	}
	return f
}

// written is the file that a node reads, with fixed names in the place of the addresses that the kernel gave.
func written(t *testing.T, f *fleet, n *standin.Node, file string) []byte {
	require.NoError(t, n.Write())
	text, err := os.ReadFile(filepath.Join(f.dir, file))
	require.NoError(t, err)
	replaced := []string{n.Addr, "NODE"}
	for i, listener := range f.listeners[0] {
		replaced = append(replaced, listener.Addr(), []string{"DOOR-0", "DOOR-1"}[i])
	}
	return []byte(strings.NewReplacer(replaced...).Replace(string(text)))
}

func TestNewNode_GoldenConfiguration(t *testing.T) {
	f := goldenFleet(t, "fleet.toml")
	n, err := f.newNode(0, "zone-b")
	require.NoError(t, err)
	golden.Check(t, "node.json", written(t, f, n, "n0.json"))
	var config struct {
		Settings json.RawMessage `json:"settings"`
	}
	require.NoError(t, json.Unmarshal(golden.Read(t, "node.json"), &config))
	read, err := settings.Parse(config.Settings)
	require.NoError(t, err)
	assert.Equal(t, []string{"find", "book", "charge"}, read.MethodNames)
	assert.Equal(t, 0.205, read.Methods[1].DedupWindow)
	assert.Equal(t, 1, read.Zone)
}

func TestNewNode_GoldenOperatorFile(t *testing.T) {
	f := goldenFleet(t, "services.toml")
	n, err := f.newNode(0, "a")
	require.NoError(t, err)
	golden.Check(t, "operator.toml", written(t, f, n, "n0.toml"))
	_, err = nodeconfig.Parse([]byte(n.OperatorFile), 0)
	require.NoError(t, err)
}

// A node logs the invariants that it has found broken.
func TestViolations_GoldenLog(t *testing.T) {
	f := &fleet{nodes: []*standin.Node{{Name: "n0", Dir: "testdata"}}}
	counts, examples := f.violations()
	assert.Equal(t, map[string]int{"rule-101": 2, "rule-201": 1}, counts)
	assert.Equal(t, []string{
		"node n0: rule-101: request request-102, server server-103: detail-104",
		"node n0: rule-201: request request-202, server server-203: detail-204",
		"node n0: rule-101: request request-302, server server-303: detail-304",
	}, examples)
}
