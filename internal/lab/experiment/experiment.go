// Package experiment reads and checks the files that state a claim about the software: a fleet, a load, faults, and
// what is expected of the figures. It plans an experiment's load and derives its shorter and larger forms; playing it
// is up to package run.
package experiment

import (
	"fmt"
	"path/filepath"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/system/tomlfile"
)

// Duration is a time as Go writes it: "250ms".
type Duration = tomlfile.Duration

// maxFileSize bounds an experiment's file.
const maxFileSize = 1 << 20

// The times that a run's rules allow.
const (
	drainGrace  = 400 * time.Millisecond // from a drain's notification to the last new attempt
	socketSlack = 50 * time.Millisecond
	wireSlack   = 250 * time.Millisecond // of this machine, for what is seen at the other end of a socket
)

// Experiment is one file. The names of its keys are part of the lab's interface.
type Experiment struct {
	Name     string           `toml:"name"`
	About    string           `toml:"about"`
	Seed     uint64           `toml:"seed"`
	Duration Duration         `toml:"duration"`
	Arms     []string         `toml:"arms"` // the first is the one that is judged
	Fleet    Fleet            `toml:"fleet"`
	Methods  []Method         `toml:"method"`
	Tenants  []Tenant         `toml:"tenant"`
	Loads    []Load           `toml:"load"`
	Clients  Clients          `toml:"callers"`
	Faults   []Fault          `toml:"fault"`
	Expect   map[string]Bound `toml:"expect"` // by metric
	Short    Short            `toml:"short"`

	dir string // of the file, for traces
}

// Bound limits a metric.
type Bound struct {
	Min *float64 `toml:"min"`
	Max *float64 `toml:"max"`
}

// Short is the experiment's short form.
type Short struct {
	Duration Duration `toml:"duration"`
	Arms     []string `toml:"arms"`
	Rate     float64  `toml:"rate"` // factor on the load
}

// Read reads and checks a file. The error holds every mistake, a line each.
func Read(path string) (*Experiment, error) {
	text, err := tomlfile.Read(path, maxFileSize)
	if err != nil {
		return nil, err
	}
	e, err := Parse(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return e, nil
}

// Parse reads and checks a file's text. Traces are looked for in dir.
func Parse(text []byte, dir string) (*Experiment, error) {
	e := &Experiment{dir: dir}
	if err := tomlfile.Decode(text, e); err != nil {
		return nil, err
	}
	e.setDefaults()
	if err := e.check(); err != nil {
		return nil, err
	}
	return e, nil
}

// Rules returns what the run is judged by.
func (e *Experiment) Rules() judge.Rules {
	rules := judge.Rules{
		Tenants: e.TenantNames(),
		Grace:   drainGrace,
		Slack:   socketSlack,
		Wire:    wireSlack,
		Length:  e.Duration.Std(),
	}
	for _, m := range e.Methods {
		rules.Methods = append(rules.Methods, judge.Method{
			Name:        m.Name,
			Idempotency: m.Idempotency(),
			Target:      m.Target.Std(),
			Deadline:    m.Deadline.Std(),
			Window:      m.Window.Std(),
			Utility:     m.Utility,
			LateUtility: m.LateUtility,
		})
	}
	return rules
}
