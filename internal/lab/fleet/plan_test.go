package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTheShippedDaysAreRead(t *testing.T) {
	paths, err := filepath.Glob("../../../experiments/fleet/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, p := range paths {
		f, err := Read(p)
		require.NoError(t, err, p)
		assert.Equal(t, filepath.Base(p), f.Name+".toml")
		assert.NotEmpty(t, f.Expect, p)
	}
}

func TestEachMistakeOfAFileIsNamed(t *testing.T) {
	_, err := Parse([]byte("name = \"x\"\nnodes = 3\n"))
	assert.ErrorContains(t, err, "line 2: unknown key nodes")
	_, err = Parse([]byte("name = \"x\"\nsettle = \"soon\"\n"))
	assert.ErrorContains(t, err, "no time")
	_, err = Parse([]byte(`
sizes = [3, 8800]
services = 300
zones = 7
racks = 1000
replicas = 0
real = 4000
quiet = "1h"
[latency]
region = "2m"
[[step]]
do = "dance"
[[step]]
do = "settings"
count = 11000
[[step]]
do = "fail"
place = "moon:1"
[[step]]
do = "fail"
place = "zone:70"
[[step]]
do = "kill"
what = "controller:9"
[[step]]
do = "stall"
what = "controllers"
for = "1s"
[expect]
"rest.beauty" = {most = 1}
"nowhere.not_told" = {most = 1}
"all.not_told" = {}
`))
	require.Error(t, err)
	for _, want := range []string{"name is missing", "sizes: 3 is not", "sizes: 8800 is not", "services: 300 is not", "zones: 7 can't", "racks: 1000", "real: 4000",
		"quiet: 1h0m0s", "latency.region: 2m0s", `step[1].do: "dance"`, "step[2].count: 11000", `step[3].place: "moon:1"`, "step[4].place: there is no zone:70",
		`step[5].what: "controller:9"`, "step[6].what: only the store", `expect."rest.beauty"`, `expect."nowhere.not_told"`, "neither most nor least"} {
		assert.ErrorContains(t, err, want)
	}
	_, err = Parse([]byte("name = \"x\"\n" + strings.Repeat("[[step]]\ndo = \"join\"\n", 101)))
	assert.ErrorContains(t, err, "step: 101 are not")
	_, err = Parse([]byte("name = \"x\"\nrecord = false\n[[step]]\ndo = \"settings\"\ncount = 1\n"))
	assert.ErrorContains(t, err, "no store of record")
	big := filepath.Join(t.TempDir(), "big.toml")
	require.NoError(t, os.WriteFile(big, make([]byte, 2<<20), 0o600))
	_, err = Read(big)
	assert.ErrorContains(t, err, "longer than")
}

func FuzzParse(f *testing.F) {
	f.Add("name = \"x\"\n[[step]]\ndo = \"rest\"\nfor = \"1s\"\n")
	f.Add("sizes = [-1]\nregions = -1\nzones = -9\nracks = -1\n[[step]]\nplace = \"zone:-1\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		if p, err := Parse([]byte(text)); err == nil {
			for _, n := range p.Sizes {
				assert.Len(t, p.Places(n), n)
			}
		}
	})
}

func TestPlacesArePartedEvenly(t *testing.T) {
	f := &File{Regions: 2, Zones: 8, Racks: 3}
	for _, n := range []int{8, 55, 110, 440, 881} {
		zones, racks := map[int]int{}, map[int]map[int]bool{}
		for i, p := range f.Places(n) {
			assert.Equal(t, i, p.Machine)
			assert.Equal(t, p.Zone/4, p.Region)
			assert.Equal(t, p.Zone, p.Rack/3)
			zones[p.Zone]++
			if racks[p.Zone] == nil {
				racks[p.Zone] = map[int]bool{}
			}
			racks[p.Zone][p.Rack] = true
		}
		assert.Len(t, zones, 8)
		for z, of := range zones {
			assert.InDelta(t, n/8, of, 1)
			assert.Len(t, racks[z], min(3, of))
		}
	}
}

// What a run is judged by: each bound that is not met is named, what was not measured as well.
func TestARunIsJudgedByItsFile(t *testing.T) {
	one, three := 1.0, 3.0
	f := &File{Expect: map[string]Bound{"rest.node_bytes": {Most: &three}, "pace.not_told": {Most: &one}, "pace.change_most_s": {Most: &three}, "all.came_back": {Most: &one},
		"rest.change_most_s": {Most: &one}, "pace.changes": {Least: &three}, "all.change_p50_s": {Most: &one}}}
	res := &Result{Steps: []Outcome{{Name: "start"}, {Name: "rest", Roles: []Role{{Name: "hollow node", Bytes: 4}}},
		{Name: "pace", Told: Told{Changes: 2, P50: 500 * time.Millisecond, Max: 2 * time.Second, NotTold: 2}}}, CameBack: []string{"a", "b"}}
	res.judge(f)
	assert.Equal(t, []string{"pace.came_back is 2, 1 at most was expected", "pace.changes is 2, 3 at least was expected", "pace.not_told is 2, 1 at most was expected",
		"rest.came_back is 2, 1 at most was expected", "rest.change_most_s: it was not measured", "rest.node_bytes is 4, 3 at most was expected"}, res.Failed)
	assert.False(t, res.Passed())
	assert.True(t, (&Result{}).Passed())
	assert.False(t, (&Result{Broken: []string{"x"}}).Passed())
}

// Who is not told of a change, and a server that is ready again after its drain, are found.
func TestWhatNodesHeardIsFollowed(t *testing.T) {
	r := &run{f: &File{Regions: 2, Zones: 8, Racks: 3}, nodes: 8, dead: map[int]bool{}, since: map[int]int64{}, open: map[string][]*expectation{}, phase: map[int]map[string]string{},
		drained: map[string]int64{}}
	r.setup.Places = r.f.Places(8)
	for n := range 8 {
		r.phase[n] = map[string]string{}
	}
	r.take(Event{1, 7, "a", Ready})
	r.leaves(&Pod{Addr: "a"})
	at := r.all[0].at
	for n := range 7 {
		r.take(Event{at + int64(n+1)*1e9, n, "a", Draining})
	}
	told := r.told(0, true)
	assert.Equal(t, 1, told.NotTold)
	assert.Equal(t, []string{"node 7 (region 1, zone 7): a"}, told.Missing)
	assert.Equal(t, 7*time.Second, told.Max)
	assert.Contains(t, told.ByRegion[1], "3 told, 1 not")
	assert.Empty(t, r.cameBack)
	assert.Equal(t, 1, r.disagree())
	r.take(Event{at + 9e9, 3, "a", Ready})
	assert.Equal(t, []string{fmt.Sprintf("node 3: a is ready %.2f s after its drain", float64(at+9e9-r.drained["a"])/1e9)}, r.cameBack)
	assert.Equal(t, 1, r.disagree(), "nodes 3 and 7 would send there")
	r.take(Event{at + 10e9, 7, "a", Gone})
	r.take(Event{at + 10e9, 3, "a", Draining})
	assert.Zero(t, r.disagree(), "draining is gone for who would send")
	assert.Zero(t, r.told(0, true).NotTold, "gone is as good as draining")
}
