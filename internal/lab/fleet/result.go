package fleet

import (
	"fmt"
	"io"
	"strings"
	"time"
)

const bytesPerMegabyte = 1e6

// Names of the roles in results.
const (
	roleHollow     = "hollow node"
	roleEndpoints  = "  its lists" // of a hollow node's traffic
	roleRecord     = "  its record"
	roleReal       = "real node"
	roleController = "controller"
	roleStore      = "store"
	roleLab        = "API and relays"
)

// RoleUsage is what one role used in one step, in the mean of its members.
type RoleUsage struct {
	Name     string  `json:"Name"`
	Count    int     `json:"Count"`
	Bytes    float64 `json:"Bytes"` // a second, both ways, headers estimated
	Payload  float64 `json:"Payload"`
	Messages float64 `json:"Messages"` // a second, both ways
	CPU      float64 `json:"CPU"`      // of one core
	RSS      int64   `json:"RSS"`      // bytes
	Heap     int64   `json:"Heap"`     // live bytes, of hollow nodes
	Conns    float64 `json:"Conns"`    // open
}

// Propagation is how the changes of a step came into force.
type Propagation struct {
	Changes   int            `json:"Changes"`
	P50       time.Duration  `json:"P50"` // until each was in force at its last node
	P99       time.Duration  `json:"P99"`
	Max       time.Duration  `json:"Max"`
	NodeP50   time.Duration  `json:"One50"` // until each was in force, at each node
	NodeP99   time.Duration  `json:"One99"`
	Missed    int            `json:"NotTold"` // pairs of a change and a node where it is not in force
	Examples  []string       `json:"Missing"` // of the missed
	ByRegions map[int]string `json:"ByRegion"`
}

// StepResult is what came of one step.
type StepResult struct {
	Name          string        `json:"Name"`
	Duration      time.Duration `json:"Took"`
	Updates       Propagation   `json:"Told"` // settings and starts of servers
	Drains        Propagation   `json:"Drains"`
	Roles         []RoleUsage   `json:"Roles"`
	Disagreements int           `json:"Disagree"` // servers that some nodes would send to at its end, and others not
	PendingWrites int           `json:"Waiting"`  // changes that nodes have not written to the store at its end
	NotFollowing  int           `json:"Behind"`   // nodes whose copy does not follow the store
	Commits       int           `json:"Commits"`  // of the store
	Note          string        `json:"Note"`
}

// Result is what came of one run.
type Result struct {
	Scenario string       `json:"File"`
	Nodes    int          `json:"Nodes"`
	Steps    []StepResult `json:"Steps"`
	CameBack []string     `json:"CameBack"` // servers ready again at a node after their drain
	Unmet    []string     `json:"Failed"`   // expectations
	Errors   []string     `json:"Broken"`   // what went wrong in the lab itself
}

// Passed reports whether all expectations were met and nothing went wrong in the lab.
func (r *Result) Passed() bool { return len(r.Unmet) == 0 && len(r.Errors) == 0 }

// WriteText writes the result for people.
func (r *Result) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s, %d nodes\n", r.Scenario, r.Nodes)
	for i := range r.Steps {
		r.Steps[i].writeText(w)
	}
	const shown = 5
	for i, server := range r.CameBack {
		if i == shown {
			fmt.Fprintf(w, " and %d more came back\n", len(r.CameBack)-shown)
			break
		}
		fmt.Fprintf(w, " CAME BACK: %s\n", server)
	}
	for _, text := range r.Errors {
		fmt.Fprintf(w, " BROKEN: %s\n", text)
	}
	for _, text := range r.Unmet {
		fmt.Fprintf(w, " NOT MET: %s\n", text)
	}
	verdict := "FAILED"
	if r.Passed() {
		verdict = "passed"
	}
	fmt.Fprintf(w, " %s\n", verdict)
}

func (s *StepResult) writeText(w io.Writer) {
	fmt.Fprintf(w, " %s: %.1f s", s.Name, s.Duration.Seconds())
	if s.Note != "" {
		fmt.Fprintf(w, "; %s", s.Note)
	}
	if s.Commits > 0 {
		fmt.Fprintf(w, "; %d commits at the store", s.Commits)
	}
	if s.Disagreements > 0 || s.PendingWrites > 0 || s.NotFollowing > 0 {
		fmt.Fprintf(w, "; at its end nodes differ over %d servers, have %d changes to write, "+
			"and %d do not follow the store", s.Disagreements, s.PendingWrites, s.NotFollowing)
	}
	fmt.Fprintln(w)
	s.Updates.writeText(w, "settings and starts")
	s.Drains.writeText(w, "drains and ends")
	for i := range s.Roles {
		s.Roles[i].writeText(w)
	}
}

func (p *Propagation) writeText(w io.Writer, changes string) {
	if p.Changes == 0 {
		return
	}
	fmt.Fprintf(w, "  %d %s: in force at the last node p50 %.2f s, p99 %.2f s, most %.2f s; "+
		"at each node p50 %.2f s, p99 %.2f s; not told %d\n",
		p.Changes, changes, p.P50.Seconds(), p.P99.Seconds(), p.Max.Seconds(),
		p.NodeP50.Seconds(), p.NodeP99.Seconds(), p.Missed)
	if p.Missed == 0 {
		return
	}
	fmt.Fprintf(w, "   not told: %s\n", strings.Join(p.Examples, "; "))
	for region := range len(p.ByRegions) {
		fmt.Fprintf(w, "   region %d: %s\n", region, p.ByRegions[region])
	}
}

func (r *RoleUsage) writeText(w io.Writer) {
	fmt.Fprintf(w, "   %-15s x%-4d %9.0f bytes/s (%9.0f payload) %8.1f messages/s",
		r.Name, r.Count, r.Bytes, r.Payload, r.Messages)
	if r.CPU > 0 {
		fmt.Fprintf(w, "  %6.2f%% CPU", 100*r.CPU)
	}
	if r.RSS > 0 {
		fmt.Fprintf(w, "  %6.1f MB resident", float64(r.RSS)/bytesPerMegabyte)
	}
	if r.Heap > 0 {
		fmt.Fprintf(w, "  %6.2f MB live", float64(r.Heap)/bytesPerMegabyte)
	}
	if r.Conns > 0 {
		fmt.Fprintf(w, "  %.1f connections", r.Conns)
	}
	fmt.Fprintln(w)
}
