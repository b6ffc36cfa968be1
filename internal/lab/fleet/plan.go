package fleet

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"robincart/internal/system/tomlfile"
)

// Duration is a time as Go writes it.
type Duration = tomlfile.Duration

// File is a day of the fleet, as it is written.
type File struct {
	Name     string `toml:"name"`
	About    string `toml:"about"`
	Seed     int64  `toml:"seed"`
	Sizes    []int  `toml:"sizes"` // nodes; each is a run of its own
	Services int    `toml:"services"`
	Regions  int    `toml:"regions"`
	Zones    int    `toml:"zones"`    // in all
	Racks    int    `toml:"racks"`    // a zone
	Replicas int    `toml:"replicas"` // of the controller
	Real     int    `toml:"real"`     // nodes that are processes, beside the hollow ones
	Record   *bool  `toml:"record"`
	Through  bool   `toml:"through"` // nodes are told the record by the controllers, instead of by the store
	Cold     bool   `toml:"cold"`    // the record is empty when all nodes start; else one node was there before
	Latency  struct {
		Region Duration `toml:"region"`
		Zone   Duration `toml:"zone"`
		Rack   Duration `toml:"rack"`
	} `toml:"latency"` // one way
	Quiet  Duration         `toml:"quiet"`  // that the record's first writing is waited for
	Settle Duration         `toml:"settle"` // that a step's changes are waited for
	Step   []Step           `toml:"step"`
	Expect map[string]Bound `toml:"expect"`
}

// Step is one thing done.
type Step struct {
	Do     string   `toml:"do"`
	Name   string   `toml:"name"` // in results and expectations; empty: as Do
	For    Duration `toml:"for"`
	Count  int      `toml:"count"`
	Over   Duration `toml:"over"`  // that Count is spread over; 0: at once
	Ready  Duration `toml:"ready"` // of "replace": after the drain the new server comes so long later
	Place  string   `toml:"place"`
	To     string   `toml:"to"`
	OneWay bool     `toml:"one_way"`
	What   string   `toml:"what"`
	Notice Duration `toml:"notice"` // of the cluster manager, when a machine fails
	Settle Duration `toml:"settle"`
}

// Bound is what is expected of a figure.
type Bound struct {
	Most  *float64 `toml:"most"`
	Least *float64 `toml:"least"`
}

// The most that a file may ask for: ten times the target is a mistake, not a size.
const (
	MaxNodes    = 2000
	mostServices = 100
	mostSteps    = 100
	mostCount    = 2000
	mostTime     = 10 * time.Minute
)

// Read reads a file. The error holds every mistake.
func Read(path string) (*File, error) {
	text, err := tomlfile.Read(path, 1<<20)
	if err != nil {
		return nil, err
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// steps are what can be done, with what each needs.
var steps = map[string]string{
	"rest": "for", "wait": "for", "settings": "count", "replace": "count", "start": "count place", "drain": "count place",
	"fail": "place", "back": "place", "cut": "place", "join": "", "kill": "what", "begin": "what", "stall": "what for", "stop": "what for",
}

// Parse reads and checks a text.
func Parse(text []byte) (*File, error) {
	f := &File{}
	if err := tomlfile.Decode(text, f); err != nil {
		return nil, err
	}
	yes := true
	tomlfile.Default(&f.Services, 30)
	tomlfile.Default(&f.Regions, 2)
	tomlfile.Default(&f.Zones, 8)
	tomlfile.Default(&f.Racks, 3)
	tomlfile.Default(&f.Replicas, 3)
	tomlfile.Default(&f.Record, &yes)
	tomlfile.Default(&f.Seed, 1)
	tomlfile.Default(&f.Settle, Duration(15*time.Second))
	tomlfile.Default(&f.Quiet, Duration(30*time.Second))
	tomlfile.Default(&f.Latency.Region, Duration(15*time.Millisecond))
	tomlfile.Default(&f.Latency.Zone, Duration(500*time.Microsecond))
	tomlfile.Default(&f.Latency.Rack, Duration(100*time.Microsecond))
	if len(f.Sizes) == 0 {
		f.Sizes = []int{55}
	}
	var all []error
	bad := func(is bool, format string, args ...any) {
		if is {
			all = append(all, fmt.Errorf(format, args...))
		}
	}
	bad(f.Name == "", "name is missing")
	for _, n := range f.Sizes {
		bad(n < f.Zones || n > MaxNodes, "sizes: %d is not in %d to %d", n, f.Zones, MaxNodes)
	}
	bad(f.Services < 1 || f.Services > mostServices, "services: %d is not in 1 to %d", f.Services, mostServices)
	bad(f.Regions < 1 || f.Regions > 8 || f.Zones < f.Regions || f.Zones > 64 || f.Zones%max(f.Regions, 1) != 0, "zones: %d can't be parted over %d regions (8 regions, 64 zones at most)", f.Zones, f.Regions)
	bad(f.Racks < 1 || f.Racks > 100, "racks: %d a zone", f.Racks)
	bad(f.Replicas < 1 || f.Replicas > 9, "replicas: %d is not in 1 to 9", f.Replicas)
	bad(f.Through && !*f.Record, "through: there is no store of record here")
	bad(f.Real < 0 || f.Real > 20, "real: %d is not in 0 to 20", f.Real)
	for name, d := range map[string]Duration{"latency.region": f.Latency.Region, "latency.zone": f.Latency.Zone, "latency.rack": f.Latency.Rack} {
		bad(d < 0 || d.Std() > time.Second, "%s: %v is not in 0s to 1s", name, d.Std())
	}
	for name, d := range map[string]Duration{"quiet": f.Quiet, "settle": f.Settle} {
		bad(d < 0 || d.Std() > mostTime, "%s: %v is not in 0s to %v", name, d.Std(), mostTime)
	}
	bad(len(f.Step) == 0 || len(f.Step) > mostSteps, "step: %d are not in 1 to %d", len(f.Step), mostSteps)
	names := map[string]bool{}
	for i := range f.Step {
		s := &f.Step[i]
		at := fmt.Sprintf("step[%d]", i+1)
		needs, known := steps[s.Do]
		bad(!known, "%s.do: %q is none of %s", at, s.Do, strings.Join(sortedKeys(steps), ", "))
		has := map[string]bool{"for": s.For > 0, "count": s.Count > 0, "place": s.Place != "", "what": s.What != ""}
		for need := range strings.FieldsSeq(needs) {
			bad(!has[need], "%s: %s needs %s", at, s.Do, need)
		}
		bad(s.Count < 0 || s.Count > mostCount, "%s.count: %d is not in 0 to %d", at, s.Count, mostCount)
		for name, d := range map[string]Duration{"for": s.For, "over": s.Over, "ready": s.Ready, "notice": s.Notice, "settle": s.Settle} {
			bad(d < 0 || d.Std() > mostTime, "%s.%s: %v is not in 0s to %v", at, name, d.Std(), mostTime)
		}
		for name, text := range map[string]string{"place": s.Place, "to": s.To} {
			scope, err := ParseScope(text)
			bad(err != nil, "%s.%s: %v", at, name, err)
			most := map[string]int{"region": f.Regions, "zone": f.Zones, "rack": f.Zones * f.Racks, "machine": slices.Min(f.Sizes)}[scope.Kind]
			bad(err == nil && scope.Kind != "" && scope.N >= most, "%s.%s: there is no %s, they go to %d", at, name, text, most-1)
		}
		bad(s.What != "" && !f.part(s.What), "%s.what: %q is none of store, controllers, controller:N", at, s.What)
		bad((s.Do == "stall" || s.Do == "stop") && s.What != "store", "%s.what: only the store can be stalled or stopped for a while", at)
		bad((s.Do == "drain" || s.What == "store" || s.Do == "settings") && !*f.Record, "%s: there is no store of record here", at)
		if s.Name == "" {
			if s.Name = s.Do; s.What != "" {
				s.Name += " " + s.What
			}
		}
		for name, n := s.Name, 2; names[s.Name]; n++ {
			s.Name = fmt.Sprint(name, " ", n)
		}
		names[s.Name] = true
	}
	for key, b := range f.Expect {
		step, figure, ok := strings.Cut(key, ".")
		bad(!ok || !names[step] && step != "start" && step != "all" || !slices.Contains(figures, figure), "expect.%q: it is STEP.FIGURE, where a figure is one of %s", key, strings.Join(figures, ", "))
		bad(b.Most == nil && b.Least == nil, "expect.%q: neither most nor least", key)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Error() < all[j].Error() })
	return f, errors.Join(all...)
}

func (f *File) part(what string) bool {
	if what == "store" || what == "controllers" {
		return true
	}
	for i := range f.Replicas {
		if what == fmt.Sprint("controller:", i) {
			return true
		}
	}
	return false
}

func sortedKeys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Places are where so many machines stand: zone by zone, and rack by rack in it.
func (f *File) Places(nodes int) []Place {
	out := make([]Place, nodes)
	for i := range out {
		zone := i * f.Zones / nodes
		first := (zone*nodes + f.Zones - 1) / f.Zones
		next := ((zone+1)*nodes + f.Zones - 1) / f.Zones
		out[i] = Place{Region: zone * f.Regions / f.Zones, Zone: zone, Rack: zone*f.Racks + (i-first)*f.Racks/max(1, next-first), Machine: i}
	}
	return out
}
