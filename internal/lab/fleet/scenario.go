package fleet

import (
	"fmt"
	"time"

	"robincart/internal/system/tomlfile"
)

// Duration is a time as Go writes it.
type Duration = tomlfile.Duration

// maxScenarioBytes bounds a scenario's file.
const maxScenarioBytes = 1 << 20

// Scenario is a day of the fleet: what the fleet is, what is done to it step by step, and what is expected of it. It is
// written as a TOML file.
type Scenario struct {
	Name     string `toml:"name"`
	About    string `toml:"about"`
	Seed     int64  `toml:"seed"`
	Sizes    []int  `toml:"sizes"` // nodes; each is a run of its own
	Services int    `toml:"services"`
	Regions  int    `toml:"regions"`
	Zones    int    `toml:"zones"`    // in all
	Racks    int    `toml:"racks"`    // in each zone
	Replicas int    `toml:"replicas"` // of the controller
	// RealNodes are processes, beside the hollow nodes.
	RealNodes int   `toml:"real"`
	Record    *bool `toml:"record"`
	// RecordByControllers has nodes get the record from the controllers instead of the store.
	RecordByControllers bool `toml:"through"`
	// EmptyRecord has all nodes start on an empty record; else one node was there before.
	EmptyRecord   bool             `toml:"cold"`
	Latency       ScenarioLatency  `toml:"latency"`
	RecordTimeout Duration         `toml:"quiet"`  // that the record's first writes are waited for
	SettleTimeout Duration         `toml:"settle"` // that a step's changes are waited for
	Steps         []Step           `toml:"step"`
	Expect        map[string]Bound `toml:"expect"` // by STEP.FIGURE
}

// ScenarioLatency is the latency of links, one way, by the nearest thing that their two ends have in common.
type ScenarioLatency struct {
	Region Duration `toml:"region"` // between regions
	Zone   Duration `toml:"zone"`   // between zones of a region
	Rack   Duration `toml:"rack"`   // between machines of a zone
}

// Step is one thing done to the fleet.
type Step struct {
	Action   Action   `toml:"do"`
	Name     string   `toml:"name"` // in results and expectations; empty: the action
	Duration Duration `toml:"for"`
	Count    int      `toml:"count"`
	// Spread is the time that Count is spread over; 0: all at once.
	Spread Duration `toml:"over"`
	// ReplaceDelay is when, after a server's drain, its replacement starts.
	ReplaceDelay Duration `toml:"ready"`
	Place        string   `toml:"place"`
	To           string   `toml:"to"`
	OneWay       bool     `toml:"one_way"`
	Target       string   `toml:"what"`
	// DetectionDelay is when the cluster manager notices a failed machine.
	DetectionDelay Duration `toml:"notice"`
	SettleTimeout  Duration `toml:"settle"`
}

// Action is what a step does.
type Action string

// The actions.
const (
	actionRest       Action = "rest" // measure the fleet while nothing is done
	actionWait       Action = "wait"
	actionSettings   Action = "settings"
	actionReplace    Action = "replace" // drain servers and start others
	actionStart      Action = "start"   // start servers
	actionDrain      Action = "drain"   // servers, by an operator's command to one node
	actionFail       Action = "fail"    // a place, with all that is there
	actionRestore    Action = "back"    // what has failed
	actionPartition  Action = "cut"     // links between places
	actionReconnect  Action = "join"    // all partitioned links
	actionKill       Action = "kill"    // a target
	actionRestart    Action = "begin"   // a target that was killed
	actionStallStore Action = "stall"   // for a while: statements wait
	actionStopStore  Action = "stop"    // for a while: the process is killed
)

// Targets of the actions on the control side, beside one controller as "controller:2".
const (
	targetStore       = "store"
	targetControllers = "controllers"
)

// controllerName returns the name of a replica of the controller, also as a target.
func controllerName(replica int) string { return fmt.Sprint("controller:", replica) }

// Bound is what is expected of a figure.
type Bound struct {
	Max *float64 `toml:"most"`
	Min *float64 `toml:"least"`
}

// Read reads and checks a scenario's file. The error holds every mistake.
func Read(path string) (*Scenario, error) {
	text, err := tomlfile.Read(path, maxScenarioBytes)
	if err != nil {
		return nil, err
	}
	scenario, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return scenario, nil
}

// Parse reads and checks a scenario. The error holds every mistake.
func Parse(text []byte) (*Scenario, error) {
	scenario := &Scenario{}
	if err := tomlfile.Decode(text, scenario); err != nil {
		return nil, err
	}
	scenario.setDefaults()
	return scenario, scenario.check()
}

func (s *Scenario) setDefaults() {
	yes := true
	tomlfile.Default(&s.Services, 30)
	tomlfile.Default(&s.Regions, 2)
	tomlfile.Default(&s.Zones, 8)
	tomlfile.Default(&s.Racks, 3)
	tomlfile.Default(&s.Replicas, 3)
	tomlfile.Default(&s.Record, &yes)
	tomlfile.Default(&s.Seed, 1)
	tomlfile.Default(&s.SettleTimeout, Duration(15*time.Second))
	tomlfile.Default(&s.RecordTimeout, Duration(30*time.Second))
	tomlfile.Default(&s.Latency.Region, Duration(15*time.Millisecond))
	tomlfile.Default(&s.Latency.Zone, Duration(500*time.Microsecond))
	tomlfile.Default(&s.Latency.Rack, Duration(100*time.Microsecond))
	if len(s.Sizes) == 0 {
		s.Sizes = []int{55}
	}
}

// Places returns the places of so many machines: zone by zone, and in a zone rack by rack.
func (s *Scenario) Places(machines int) []Place {
	places := make([]Place, machines)
	for i := range places {
		zone := i * s.Zones / machines
		first := (zone*machines + s.Zones - 1) / s.Zones
		next := ((zone+1)*machines + s.Zones - 1) / s.Zones
		places[i] = Place{
			Region:  zone * s.Regions / s.Zones,
			Zone:    zone,
			Rack:    zone*s.Racks + (i-first)*s.Racks/max(1, next-first),
			Machine: i,
		}
	}
	return places
}

func (s *Scenario) latency() Latency {
	return Latency{Region: s.Latency.Region.Std(), Zone: s.Latency.Zone.Std(), Rack: s.Latency.Rack.Std()}
}
