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
)

// The golden files hold the forms of the text at 0cdd5b2: every-key.toml was written by hand and read by it, the
// others were written by it. They must never be changed or written anew to follow a rename.

// everyKey is what testdata/every-key.toml says.
func everyKey() File {
	milliseconds := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	number := func(value float64) *float64 { return &value }
	yes := true
	f := File{
		Name:     "every-key",
		About:    "Every key that a day knows.",
		Seed:     101,
		Sizes:    []int{102, 103},
		Services: 104,
		Regions:  105,
		Zones:    106,
		Racks:    107,
		Replicas: 108,
		Real:     109,
		Record:   &yes,
		Through:  true,
		Cold:     true,
		Quiet:    milliseconds(110),
		Settle:   milliseconds(111),
		Step: []Step{
			{
				Do:     "do-301",
				Name:   "name-302",
				For:    milliseconds(303),
				Count:  304,
				Over:   milliseconds(305),
				Ready:  milliseconds(306),
				Place:  "place-307",
				To:     "to-308",
				OneWay: true,
				What:   "what-309",
				Notice: milliseconds(310),
				Settle: milliseconds(311),
			},
			{Do: "do-351"},
		},
		Expect: map[string]Bound{
			"step-401.figure": {Most: number(402.5), Least: number(403.5)},
			"step-404.figure": {Least: number(405.5)},
		},
	}
	f.Latency.Region, f.Latency.Zone, f.Latency.Rack = milliseconds(201), milliseconds(202), milliseconds(203)
	return f
}

func TestFile_GoldenKeys(t *testing.T) {
	var read File
	require.NoError(t, tomlfile.Decode(labtest.ReadGolden(t, "every-key.toml"), &read))
	assert.Equal(t, everyKey(), read)
}

// A switch alone: where all are on, two that are mixed up would not be seen.
func TestFile_GoldenSwitches(t *testing.T) {
	no := false
	for key, want := range map[string]File{
		"record = false": {Record: &no},
		"through = true": {Through: true},
		"cold = true":    {Cold: true},
	} {
		var read File
		require.NoError(t, tomlfile.Decode([]byte(key), &read))
		assert.Equal(t, want, read, key)
	}
}

func TestFile_GoldenShowsEveryField(t *testing.T) {
	whole := everyKey()
	// The second of each list is there to be told from the first, and says nothing else.
	whole.Step = whole.Step[:1]
	delete(whole.Expect, "step-404.figure")
	labtest.RequireEveryFieldSet(t, "toml", whole)
}

func TestFile_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "toml", File{}) }

func goldenResult() *Result {
	told := func(n int) Told {
		milliseconds := func(k int) time.Duration { return time.Duration(n+k) * time.Millisecond }
		return Told{
			Changes:  n + 1,
			P50:      milliseconds(2),
			P99:      milliseconds(3),
			Max:      milliseconds(4),
			One50:    milliseconds(5),
			One99:    milliseconds(6),
			NotTold:  n + 7,
			Missing:  []string{"missing"},
			ByRegion: map[int]string{0: "region 0", 10: "region 10"},
		}
	}
	return &Result{
		File:  "golden",
		Nodes: 101,
		Steps: []Outcome{{
			Name:   "step-201",
			Took:   202 * time.Millisecond,
			Told:   told(300),
			Drains: told(400),
			Roles: []Role{{
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
			Disagree: 203,
			Waiting:  204,
			Behind:   205,
			Commits:  206,
			Note:     "note-207",
		}},
		CameBack: []string{"came back"},
		Failed:   []string{"failed"},
		Broken:   []string{"broken"},
	}
}

// robinlab fleet --json prints a result so.
func TestResult_Golden(t *testing.T) {
	want := goldenResult()
	labtest.RequireEveryFieldSet(t, "json", want)
	read := &Result{}
	require.NoError(t, json.Unmarshal(labtest.ReadGolden(t, "result.json"), read))
	assert.Equal(t, want, read)
	var written bytes.Buffer
	e := json.NewEncoder(&written)
	e.SetIndent("", " ")
	require.NoError(t, e.Encode(read))
	labtest.RequireGolden(t, "result.json", written.Bytes())
}

func TestResult_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "json", Result{}) }

// Nodes, hollow and real, are started with such a file.
func TestNodeFile_Golden(t *testing.T) {
	s := &Setup{
		Zones:    []string{"z0", "z1"},
		Services: []string{"s0", "s1"},
		Doors:    []string{"127.0.0.1:201", "127.0.0.1:202"},
	}
	text := []byte(NodeFile(s, "golden", "127.0.0.1:101", 1, 55, "[record]\nstore = \"controllers:127.0.0.1:301\"\n"))
	labtest.RequireGolden(t, "node.toml", text)
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
