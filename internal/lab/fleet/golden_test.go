package fleet

import (
	"bytes"
	"encoding/json"
	"net/rpc"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/lab/labtest"
	"robincart/internal/system/tomlfile"
	"robincart/internal/testutil/golden"
)

// The golden files hold the forms of the text at 0cdd5b2: every-key.toml was written by hand and read by it, the
// others were written by it. They must never be changed or written anew to follow a rename.

// everyKey is what testdata/every-key.toml says.
func everyKey() Scenario {
	milliseconds := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	number := func(value float64) *float64 { return &value }
	yes := true
	scenario := Scenario{
		Name:                "every-key",
		About:               "Every key that a day knows.",
		Seed:                101,
		Sizes:               []int{102, 103},
		Services:            104,
		Regions:             105,
		Zones:               106,
		Racks:               107,
		Replicas:            108,
		RealNodes:           109,
		Record:              &yes,
		RecordByControllers: true,
		EmptyRecord:         true,
		Latency: ScenarioLatency{
			Region: milliseconds(201),
			Zone:   milliseconds(202),
			Rack:   milliseconds(203),
		},
		RecordTimeout: milliseconds(110),
		SettleTimeout: milliseconds(111),
		Steps: []Step{
			{
				Action:         "do-301",
				Name:           "name-302",
				Duration:       milliseconds(303),
				Count:          304,
				Spread:         milliseconds(305),
				ReplaceDelay:   milliseconds(306),
				Place:          "place-307",
				To:             "to-308",
				OneWay:         true,
				Target:         "what-309",
				DetectionDelay: milliseconds(310),
				SettleTimeout:  milliseconds(311),
			},
			{Action: "do-351"},
		},
		Expect: map[string]Bound{
			"step-401.figure": {Max: number(402.5), Min: number(403.5)},
			"step-404.figure": {Min: number(405.5)},
		},
	}
	return scenario
}

func TestScenario_GoldenKeys(t *testing.T) {
	var read Scenario
	require.NoError(t, tomlfile.Decode(golden.Read(t, "every-key.toml"), &read))
	assert.Equal(t, everyKey(), read)
}

// A switch alone: where all are on, two that are mixed up would not be seen.
func TestScenario_GoldenSwitches(t *testing.T) {
	no := false
	for key, want := range map[string]Scenario{
		"record = false": {Record: &no},
		"through = true": {RecordByControllers: true},
		"cold = true":    {EmptyRecord: true},
	} {
		var read Scenario
		require.NoError(t, tomlfile.Decode([]byte(key), &read))
		assert.Equal(t, want, read, key)
	}
}

func TestScenario_GoldenShowsEveryField(t *testing.T) {
	scenario := everyKey()
	// The second of each list is there to be distinguished from the first, and sets nothing else.
	scenario.Steps = scenario.Steps[:1]
	delete(scenario.Expect, "step-404.figure")
	labtest.RequireEveryFieldSet(t, "toml", scenario)
}

func TestScenario_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "toml", Scenario{}) }

func goldenResult() *Result {
	propagation := func(n int) Propagation {
		milliseconds := func(k int) time.Duration { return time.Duration(n+k) * time.Millisecond }
		return Propagation{
			Changes:   n + 1,
			P50:       milliseconds(2),
			P99:       milliseconds(3),
			Max:       milliseconds(4),
			NodeP50:   milliseconds(5),
			NodeP99:   milliseconds(6),
			Missed:    n + 7,
			Examples:  []string{"missing"},
			ByRegions: map[int]string{0: "region 0", 10: "region 10"},
		}
	}
	return &Result{
		Scenario: "golden",
		Nodes:    101,
		Steps: []StepResult{{
			Name:     "step-201",
			Duration: 202 * time.Millisecond,
			Updates:  propagation(300),
			Drains:   propagation(400),
			Roles: []RoleUsage{{
				Name:     "role-501",
				Count:    502,
				Bytes:    503.5,
				Payload:  504.5,
				Messages: 505.5,
				CPU:      0.25,
				RSS:      506,
				Heap:     507,
				Conns:    508.5,
			}},
			Disagreements: 203,
			PendingWrites: 204,
			NotFollowing:  205,
			Commits:       206,
			Note:          "note-207",
		}},
		CameBack: []string{"came back"},
		Unmet:    []string{"failed"},
		Errors:   []string{"broken"},
	}
}

// robinlab fleet --json prints a result so.
func TestResult_Golden(t *testing.T) {
	want := goldenResult()
	labtest.RequireEveryFieldSet(t, "json", want)
	read := &Result{}
	require.NoError(t, json.Unmarshal(golden.Read(t, "result.json"), read))
	assert.Equal(t, want, read)
	var written bytes.Buffer
	encoder := json.NewEncoder(&written)
	encoder.SetIndent("", " ")
	require.NoError(t, encoder.Encode(read))
	golden.Check(t, "result.json", written.Bytes())
}

func TestResult_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "json", Result{}) }

// Nodes, hollow and real, are started with such a file.
func TestNodeFile_Golden(t *testing.T) {
	config := &HollowConfig{
		Zones: []string{"z0", "z1"},
		Services: []Service{
			{Name: "s0", Discovery: "127.0.0.1:201"},
			{Name: "s1", Discovery: "127.0.0.1:202"},
		},
	}
	const recordTable = "[record]\nstore = \"controllers:127.0.0.1:301\"\n"
	text := []byte(NodeFile(config, "golden", "127.0.0.1:101", 1, 55, recordTable))
	golden.Check(t, "node.toml", text)
	_, err := nodeconfig.Parse(text, 0)
	require.NoError(t, err)
}

// The lab calls its own processes by these names. They are strings where the calls are made: a method that is renamed
// would be missed only when a fleet is played. The arguments are gob, which has no tags; both ends are the same
// program.
func TestPart_GoldenCalls(t *testing.T) {
	for service, x := range map[string]struct {
		receiver any
		methods  []string
	}{
		"Nodes": {&Nodes{}, []string{"Prepare", "Start", "Kill", "Cuts", "Events", "Use", "Drain"}},
		"Store": {&Store{}, []string{"Begin", "Stall", "Commits"}},
	} {
		require.NoError(t, rpc.NewServer().RegisterName(service, x.receiver))
		for _, method := range x.methods {
			_, found := reflect.TypeOf(x.receiver).MethodByName(method)
			assert.True(t, found, "%s.%s", service, method)
		}
	}
}
