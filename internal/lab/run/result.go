package run

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"robincart/internal/lab/judge"
)

// Version of the result's form. No other is read.
const Version = 1

// resultFile is the name of the file in a run's folder that holds the result.
const resultFile = "result.json"

// Result is one run, as it is stored and reported.
type Result struct {
	Version     int       `json:"version"`
	Name        string    `json:"name"`
	About       string    `json:"about"`
	Began       time.Time `json:"began"`
	Seed        uint64    `json:"seed"`
	Seconds     float64   `json:"seconds"`
	Short       bool      `json:"short,omitempty"`
	Interrupted bool      `json:"cut,omitempty"` // interrupted
	Arms        []*Arm    `json:"arms"`          // the first is the one that is judged
	Checks      []Check   `json:"checks"`
	Invalid     []string  `json:"invalid,omitempty"` // why the figures must not be used
	Passed      bool      `json:"passed"`
	Faults      []Span    `json:"faults"`
	Machine     string    `json:"machine"`
}

// Arm holds the figures of one arm.
type Arm struct {
	Name    string                     `json:"name"`
	Metrics map[string]float64         `json:"metrics"`
	Broken  map[string]judge.Violation `json:"broken"` // by rule of the judge
	Ends    map[string]int             `json:"ends"`   // of attempts, by outcome
	// Violations counts the broken invariants that the nodes themselves have logged.
	Violations map[string]int `json:"violations,omitempty"`
	Seconds    []Second       `json:"seconds"`
	Quantiles  []Quantile     `json:"quantiles"`
	Methods    []judge.Tally  `json:"methods"`
	Tenants    []judge.Tally  `json:"tenants"`
	Windows    [][2]int       `json:"planned_and_sent_per_100ms"`
	Notes      []string       `json:"notes,omitempty"`
}

// Second is one second of an arm.
type Second struct {
	Calls   int     `json:"calls"`
	Goodput float64 `json:"goodput"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Open    int     `json:"open"`
}

// Quantile is a point of the latency distributions, in ms.
type Quantile struct {
	Q       float64 `json:"q"`
	Planned float64 `json:"planned_ms"`
	Service float64 `json:"service_ms"`
}

// Check is one bound of a metric, as it came out.
type Check struct {
	Metric string   `json:"metric"`
	Value  float64  `json:"value"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
	OK     bool     `json:"ok"`
}

// Span is a fault as it was played.
type Span struct {
	Name string        `json:"Name"`
	From time.Duration `json:"From"` // from the load's start
	To   time.Duration `json:"To"`
}

// VersionError is returned for a result of another version.
type VersionError struct {
	Path    string
	Version int
}

// Error names the file and both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: version %d of the form, %d is read", e.Path, e.Version, Version)
}

// Load reads a stored result: its file, or a run's folder.
func Load(path string) (*Result, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, resultFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Version != Version {
		return nil, &VersionError{Path: path, Version: r.Version}
	}
	return r, nil
}

// store writes the result to a run's folder.
func (r *Result) store(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, resultFile), text, 0o644)
}
