package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/labtest"
	"robincart/internal/system/tomlfile"
	"robincart/internal/testutil/golden"
)

// Experiment files are written by people and only read here. The golden file was written by hand and was read with
// these values by the text at 0cdd5b2. It must never be changed to follow a rename: the keys stay what users' files
// have.

// everyKey is the content of testdata/every-key.toml.
func everyKey() Experiment {
	milliseconds := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	number := func(value float64) *float64 { return &value }
	return Experiment{
		Name:     "every-key",
		About:    "Every key that an experiment knows.",
		Seed:     101,
		Duration: milliseconds(102_000),
		Arms:     []string{"arm-103", "arm-104"},
		Fleet: Fleet{
			Nodes:          201,
			Zones:          []string{"zone-202", "zone-203"},
			Host:           "host-204",
			Listen:         "listen-205",
			DetectionDelay: milliseconds(206),
			Cores:          207.5,
			MemoryMB:       208,
			Sockets:        209,
			MaxAttempts:    210,
			NoHedging:      true,
			Program:        "program-211",
			Tiers: []Tier{
				{
					Servers:            401,
					Cores:              402,
					Speed:              []float64{403.5, 404.5},
					Queue:              405,
					MaxConns:           406,
					Idle:               milliseconds(407),
					MaxRequestsPerConn: 408,
					WarmUpSpeed:        409.5,
					WarmUpTime:         milliseconds(410),
					OverloadMultiple:   411.5,
					OverloadWindow:     milliseconds(412),
					DropsCanceled:      true,
					WorkShare:          413.5,
					NextTierCalls:      414,
					Service:            "service-415",
					Host:               "host-416",
					Guarantee:          417.5,
					Weight:             418.5,
				},
				{Servers: 451},
			},
			Discovery: Discovery{
				Watch:        "watch-301",
				Wait:         milliseconds(302),
				CallWork:     milliseconds(303),
				MaxCallDelay: milliseconds(304),
				NotifyBound:  milliseconds(305),
			},
		},
		Methods: []Method{
			{
				Name:        "method-501",
				Service:     "service-502",
				Share:       503.5,
				Repeat:      "repeat-504",
				Target:      milliseconds(505),
				Deadline:    milliseconds(506),
				Window:      milliseconds(507),
				Utility:     508.5,
				LateUtility: 509.5,
				WorkMS:      510.5,
				Spread:      "spread-511",
				CV:          512.5,
				WaitMS:      513.5,
				Body:        514,
			},
			{Name: "method-551"},
		},
		Tenants: []Tenant{{Name: "tenant-601", Share: 602.5, Quota: 603.5}, {Name: "tenant-651"}},
		Loads: []Load{
			{
				Shape:  "shape-701",
				Rate:   702.5,
				To:     703.5,
				At:     milliseconds(704),
				For:    milliseconds(705),
				Points: [][2]float64{{706.5, 707.5}, {708.5, 709.5}},
				Even:   true,
				Method: "method-710",
				Tenant: "tenant-711",
				Trace:  "trace-712",
				Pace:   713.5,
			},
			{Shape: "shape-751"},
		},
		Clients: Clients{
			RetryShare:      801.5,
			MaxRetries:      802,
			Backoff:         milliseconds(803),
			RetryAfterShare: 804.5,
			MarkRetries:     true,
			Connections:     805,
			Waiting:         806,
			Warm:            807,
		},
		Faults: []Fault{
			{
				At:                 milliseconds(901),
				For:                milliseconds(902),
				Kind:               "kind-903",
				Target:             "on-904",
				Share:              905.5,
				Factor:             906.5,
				By:                 milliseconds(907),
				NewID:              true,
				AnswersDuringDrain: true,
				KeepDuration:       true,
				Call:               "call-908",
				Errors:             []string{"error-909", "error-910"},
				Folder:             "folder-911",
			},
			{Kind: "kind-951", AnswersDuringDrain: true},
			{Kind: "kind-961", KeepDuration: true},
		},
		Expect: map[string]Bound{
			"figure-1001": {Min: number(1002.5), Max: number(1003.5)},
			"figure-1004": {Max: number(1005.5)},
		},
		Short: Short{Duration: milliseconds(1101), Arms: []string{"arm-1102"}, Rate: 1103.5},
	}
}

func TestExperiment_GoldenKeys(t *testing.T) {
	var read Experiment
	require.NoError(t, tomlfile.Decode(golden.Read(t, "every-key.toml"), &read))
	assert.Equal(t, everyKey(), read)
}

func TestExperiment_GoldenShowsEveryField(t *testing.T) {
	complete := everyKey()
	// The further elements of each list are there to be told from the first, and have few keys.
	complete.Fleet.Tiers, complete.Methods = complete.Fleet.Tiers[:1], complete.Methods[:1]
	complete.Tenants, complete.Loads = complete.Tenants[:1], complete.Loads[:1]
	complete.Faults = complete.Faults[:1]
	delete(complete.Expect, "figure-1004")
	labtest.RequireEveryFieldSet(t, "toml", complete)
}

func TestExperiment_ExplicitNames(t *testing.T) {
	labtest.RequireExplicitNames(t, "toml", Experiment{})
}
