package fleet

import (
	"fmt"
	"io"
	"strings"
)

// Text writes a result for people.
func (r *Result) Text(w io.Writer) {
	fmt.Fprintf(w, "%s, %d nodes\n", r.File, r.Nodes)
	for i := range r.Steps {
		o := &r.Steps[i]
		fmt.Fprintf(w, " %s: %.1f s", o.Name, o.Took.Seconds())
		if o.Note != "" {
			fmt.Fprintf(w, "; %s", o.Note)
		}
		if o.Commits > 0 {
			fmt.Fprintf(w, "; %d commits at the store", o.Commits)
		}
		if o.Disagree > 0 || o.Waiting > 0 || o.Behind > 0 {
			fmt.Fprintf(w, "; at its end nodes differ over %d servers, have %d changes to write, and %d do not follow the store", o.Disagree, o.Waiting, o.Behind)
		}
		fmt.Fprintln(w)
		for _, t := range []struct {
			name string
			*Told
		}{{"settings and starts", &o.Told}, {"drains and ends", &o.Drains}} {
			if t.Changes == 0 {
				continue
			}
			fmt.Fprintf(w, "  %d %s: in force at the last node p50 %.2f s, p99 %.2f s, most %.2f s; at each node p50 %.2f s, p99 %.2f s; not told %d\n", t.Changes, t.name,
				t.P50.Seconds(), t.P99.Seconds(), t.Max.Seconds(), t.One50.Seconds(), t.One99.Seconds(), t.NotTold)
			if t.NotTold > 0 {
				fmt.Fprintf(w, "   not told: %s\n", strings.Join(t.Missing, "; "))
				for reg := range len(t.ByRegion) {
					fmt.Fprintf(w, "   region %d: %s\n", reg, t.ByRegion[reg])
				}
			}
		}
		for _, x := range o.Roles {
			fmt.Fprintf(w, "   %-15s x%-4d %9.0f bytes/s (%9.0f payload) %8.1f messages/s", x.Name, x.Count, x.Bytes, x.Payload, x.Messages)
			if x.CPU > 0 {
				fmt.Fprintf(w, "  %6.2f%% CPU", 100*x.CPU)
			}
			if x.RSS > 0 {
				fmt.Fprintf(w, "  %6.1f MB resident", float64(x.RSS)/1e6)
			}
			if x.Heap > 0 {
				fmt.Fprintf(w, "  %6.2f MB live", float64(x.Heap)/1e6)
			}
			if x.Conns > 0 {
				fmt.Fprintf(w, "  %.1f connections", x.Conns)
			}
			fmt.Fprintln(w)
		}
	}
	for i, s := range r.CameBack {
		if i == 5 {
			fmt.Fprintf(w, " and %d more came back\n", len(r.CameBack)-5)
			break
		}
		fmt.Fprintf(w, " CAME BACK: %s\n", s)
	}
	for _, s := range r.Broken {
		fmt.Fprintf(w, " BROKEN: %s\n", s)
	}
	for _, s := range r.Failed {
		fmt.Fprintf(w, " NOT MET: %s\n", s)
	}
	fmt.Fprintf(w, " %s\n", map[bool]string{true: "passed", false: "FAILED"}[r.Passed()])
}
