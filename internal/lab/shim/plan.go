// Package shim makes system calls of one process fail, return short or late, and steps its wall clock, by a plan that
// may change while the process runs. The process runs under a tracer of its own (Tracer), which needs no special
// rights and touches nothing else. Linux on amd64 and arm64: what depends on the processor is in architecture_*.go.
//
// A seccomp filter stops the process at the calls that its plan names; all others run at full speed. The wall clock is
// stepped by replacing the process's clock_gettime (clock.go); the monotonic clock is left as it is.
package shim

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Injection is what happens to a share of one system call.
type Injection struct {
	Call   string        `json:"call"`
	Errors []string      `json:"errors,omitempty"` // one of them is returned, and the call is not made
	Short  bool          `json:"short,omitempty"`  // it is made with one byte, or one buffer
	Delay  time.Duration `json:"delay,omitempty"`  // it is made that much later
	Share  float64       `json:"share"`
	Folder string        `json:"folder,omitempty"` // only calls on files below it; an absolute path
}

// Plan is what happens to a process from now on.
type Plan struct {
	Seed       uint64        `json:"seed"`
	Calls      []string      `json:"calls"` // all that may be injected into while the process runs: fixed at its start
	Injections []Injection   `json:"injections"`
	ClockStep  time.Duration `json:"clock_step"` // of the wall clock against the machine's, in whole seconds
}

// ReadPlan reads and checks a plan.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Write replaces a plan's file.
func (p *Plan) Write(path string) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
