package experiment

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

const good = `name = "x"
duration = "10s"
arms = ["robincart", "random"]
[fleet]
nodes = 2
zones = ["a", "b"]
[[fleet.tier]]
servers = 4
[[method]]
name = "find"
share = 1
target = "1s"
deadline = "2s"
work_ms = 5
[[load]]
shape = "ramp"
rate = 10
to = 100
[[fault]]
at = "2s"
for = "2s"
kind = "freeze"
on = "zone:b"
keep = true
[expect]
goodput = { min = 0.9 }
"goodput/random" = { min = 1.0 }
"method.find.goodput" = { min = 0.5 }
[short]
duration = "5s"
`

func TestParse_Defaults(t *testing.T) {
	e, err := Parse([]byte(good), ".")
	require.NoError(t, err)
	assert.Equal(t, 2, e.Fleet.Tiers[0].Cores)
	arrivals, err := e.Plan()
	require.NoError(t, err)
	assert.InDelta(t, 550, len(arrivals), 120)
}

func TestShorten(t *testing.T) {
	e, err := Parse([]byte(good), ".")
	require.NoError(t, err)
	e.Shorten()
	assert.Equal(t, Duration(5*time.Second), e.Duration)
	assert.Equal(t, Duration(time.Second), e.Faults[0].At)
	assert.Equal(t, Duration(2*time.Second), e.Faults[0].For)
	assert.Equal(t, []string{"robincart"}, e.Arms)
	assert.Len(t, e.Expect, 2, "what compares with an arm that is not played is left out")
}

func TestScale(t *testing.T) {
	e, err := Parse([]byte(good), ".")
	require.NoError(t, err)
	e.Shorten()
	require.NoError(t, e.Scale(2))
	assert.Equal(t, 8, e.Fleet.Tiers[0].Servers)
	assert.Error(t, e.Scale(1000))
}

// Operators' trials have up to 350 processes and some hundreds of servers, and production up to 3,200.
func TestParse_MaxSize(t *testing.T) {
	parseSized := func(nodes, servers int) error {
		text := strings.Replace(good, "nodes = 2", fmt.Sprint("nodes = ", nodes), 1)
		text = strings.Replace(text, "servers = 4", fmt.Sprint("servers = ", servers), 1)
		_, err := Parse([]byte(text), ".")
		return err
	}
	assert.NoError(t, parseSized(1024, 3200))
	assert.ErrorContains(t, parseSized(1025, 4), "fleet.nodes: 1025 is not in 1 to 1024")
	assert.ErrorContains(t, parseSized(2, 3201), "3201 servers, 3200 at most")
}

// Each mistake is reported, by line where the text is wrong and by key where its meaning is.
func TestParse_Mistakes(t *testing.T) {
	for change, message := range map[string]string{
		"rate = 10>rate = -1":                              "load[1]: a rate below 0",
		`on = "zone:b">on = "zone:c"`:                      `fault[1].on: "zone:c" is not in the fleet`,
		`on = "zone:b">on = "server:9"`:                    `fault[1].on: "server:9" is not in the fleet`,
		`on = "zone:b">on = "tier:2/all"`:                  "is not in the fleet",
		`on = "zone:b">on = "nodes"`:                       "freeze goes on a server",
		`on = "zone:b">on = "servers:2"`:                   "is no share",
		`kind = "freeze">kind = "melt"`:                    `fault[1].kind: "melt"`,
		"servers = 4>servers = 4\ncolour = 3":              "line 9: unknown key fleet.tier.colour",
		"servers = 4>servers = 400000":                     "at most",
		`target = "1s">target = "soon"`:                    "line 12",
		`target = "1s">target = "3s"`:                      "method[1].target",
		"goodput = {>goodness = {":                         "expect.goodness: no such figure",
		"/random>/two-choices":                             "is not played",
		`nodes = 2>nodes = 2` + "\n" + `host = "10.0.0.1"`: "no loopback address",
		`duration = "10s">duration = "10h"`:                "duration",
		`shape = "ramp">shape = "hill"`:                    `shape "hill"`,
		`shape = "ramp">trace = "none.csv"`:                "none.csv",
		`share = 1>share = 1` + "\n" + `body = 9`:          "is a GET",
		`share = 1>share = 1` + "\n" + `repeat = "maybe"`:  `"maybe"`,
		"to = 100>to = 100000000":                          "is the most",
	} {
		t.Run(change, func(t *testing.T) {
			from, to, _ := strings.Cut(change, ">")
			require.Contains(t, good, from)
			e, err := Parse([]byte(strings.Replace(good, from, to, 1)), ".")
			if err == nil {
				_, err = e.Plan()
			}
			assert.ErrorContains(t, err, message)
		})
	}
}

func TestParse_AllMistakes(t *testing.T) {
	_, err := Parse([]byte(strings.NewReplacer(`"zone:b"`, `"zone:c"`, "rate = 10", "rate = -1").Replace(good)), ".")
	assert.Len(t, strings.Split(fmt.Sprint(err), "\n"), 3, "all mistakes at once: %v", err)
}

func TestRead_ShippedExperiments(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			e, err := Read(file)
			require.NoError(t, err)
			assert.Equal(t, strings.TrimSuffix(filepath.Base(file), ".toml"), e.Name)
			assert.NotEmpty(t, e.Expect)
			assert.NotEmpty(t, e.About)
			e.Shorten()
			assert.LessOrEqual(t, e.Duration.Std()*time.Duration(len(e.Arms)), 30*time.Second)
			_, err = e.Plan()
			assert.NoError(t, err)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	files, err := filepath.Glob("../../../experiments/*.toml")
	require.NoError(f, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte("[[load]]\npoints = [[1,2],[0,1]]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Parse(text, ".")
		if err != nil {
			return
		}
		e.Shorten()
		for i := range e.Loads {
			e.Loads[i].Trace = "" // no files here
		}
		arrivals, err := e.Plan()
		if err == nil {
			assert.NotEmpty(t, arrivals)
		}
	})
}
