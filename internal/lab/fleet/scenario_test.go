package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRead_ShippedScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../../experiments/fleet/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		scenario, err := Read(path)
		require.NoError(t, err, path)
		assert.Equal(t, filepath.Base(path), scenario.Name+".toml")
		assert.NotEmpty(t, scenario.Expect, path)
	}
}

// wrongScenario has many mistakes, each of which is in mistakesOfIt.
const wrongScenario = `
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
`

var mistakesOfIt = []string{
	"name is missing",
	"sizes: 3 is not",
	"sizes: 8800 is not",
	"services: 300 is not",
	"zones: 7 can't",
	"racks: 1000",
	"real: 4000",
	"quiet: 1h0m0s",
	"latency.region: 2m0s",
	`step[1].do: "dance"`,
	"step[2].count: 11000",
	`step[3].place: "moon:1"`,
	"step[4].place: there is no zone:70",
	`step[5].what: "controller:9"`,
	"step[6].what: only the store",
	`expect."rest.beauty"`,
	`expect."nowhere.not_told"`,
	"neither most nor least",
}

func TestParse_EveryMistake(t *testing.T) {
	_, err := Parse([]byte(wrongScenario))
	require.Error(t, err)
	for _, mistake := range mistakesOfIt {
		assert.ErrorContains(t, err, mistake)
	}
}

func TestParse_Mistake(t *testing.T) {
	for name, c := range map[string]struct{ text, message string }{
		"unknown key": {"name = \"x\"\nnodes = 3\n", "line 2: unknown key nodes"},
		"no time":     {"name = \"x\"\nsettle = \"soon\"\n", "no time"},
		"many steps":  {"name = \"x\"\n" + strings.Repeat("[[step]]\ndo = \"join\"\n", 101), "step: 101 are not"},
		"no record":   {"name = \"x\"\nrecord = false\n[[step]]\ndo = \"settings\"\ncount = 1\n", "no store of record"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			assert.ErrorContains(t, err, c.message)
		})
	}
}

func TestRead_FileTooLarge(t *testing.T) {
	path := filepath.Join(t.TempDir(), "big.toml")
	require.NoError(t, os.WriteFile(path, make([]byte, 2*maxScenarioBytes), 0o600))
	_, err := Read(path)
	assert.ErrorContains(t, err, "longer than")
}

func FuzzParse(f *testing.F) {
	f.Add("name = \"x\"\n[[step]]\ndo = \"rest\"\nfor = \"1s\"\n")
	f.Add("sizes = [-1]\nregions = -1\nzones = -9\nracks = -1\n[[step]]\nplace = \"zone:-1\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		scenario, err := Parse([]byte(text))
		if err != nil {
			return
		}
		for _, size := range scenario.Sizes {
			assert.Len(t, scenario.Places(size), size)
		}
	})
}

func TestScenario_PlacesAreSpreadEvenly(t *testing.T) {
	scenario := &Scenario{Regions: 2, Zones: 8, Racks: 3}
	for _, machines := range []int{8, 55, 110, 440, 881} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			inZone, racksOfZone := map[int]int{}, map[int]map[int]bool{}
			for i, place := range scenario.Places(machines) {
				assert.Equal(t, i, place.Machine)
				assert.Equal(t, place.Zone/4, place.Region)
				assert.Equal(t, place.Zone, place.Rack/3)
				inZone[place.Zone]++
				if racksOfZone[place.Zone] == nil {
					racksOfZone[place.Zone] = map[int]bool{}
				}
				racksOfZone[place.Zone][place.Rack] = true
			}
			assert.Len(t, inZone, 8)
			for zone, count := range inZone {
				assert.InDelta(t, machines/8, count, 1)
				assert.Len(t, racksOfZone[zone], min(3, count))
			}
		})
	}
}
