package run

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"robincart/internal/lab/judge"
)

// columns lists the metrics of the table of arms.
var columns = []string{
	"goodput",
	"goodput_faults",
	"worst_second",
	"ok_share",
	"p50_ms",
	"p99_ms",
	"p999_ms",
	"service_p99_ms",
	"retries",
	"picks_per_call",
	"late_work_share",
	"unsent",
	"rules_broken",
	"schedule_p99_us",
	"schedule_worst",
}

// WriteText writes a result for people.
func WriteText(w io.Writer, r *Result) {
	r.writeTitle(w)
	r.writeArms(w)
	if len(r.Arms) > 0 {
		r.Arms[0].writeJudged(w)
	}
	for _, arm := range r.Arms {
		arm.writeBroken(w)
	}
	for _, check := range r.Checks {
		check.write(w)
	}
	for _, reason := range r.Invalid {
		fmt.Fprintf(w, "INVALID: %s\n", reason)
	}
	if r.Interrupted {
		fmt.Fprintln(w, "INTERRUPTED: this is what was played until then")
	}
	if r.Passed {
		fmt.Fprintln(w, "passed")
	} else {
		fmt.Fprintln(w, "FAILED")
	}
}

// writeTitle writes what was played.
func (r *Result) writeTitle(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n%.0f s, seed %d, %s", r.Name, r.About, r.Seconds, r.Seed, r.Machine)
	if r.Short {
		fmt.Fprint(w, ", short form")
	}
	fmt.Fprintln(w)
}

// writeArms writes the table of arms.
func (r *Result) writeArms(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer t.Flush()
	fmt.Fprint(t, "\t")
	for _, arm := range r.Arms {
		fmt.Fprintf(t, "%s\t", arm.Name)
	}
	fmt.Fprintln(t)
	for _, metric := range columns {
		fmt.Fprintf(t, "%s\t", metric)
		for _, arm := range r.Arms {
			fmt.Fprintf(t, "%s\t", FormatNumber(arm.Metrics[metric]))
		}
		fmt.Fprintln(t)
	}
}

// writeJudged writes further figures of the arm that is judged.
func (a *Arm) writeJudged(w io.Writer) {
	fmt.Fprintf(w, "node: %.0f µs of CPU a call, %.1f MB; last new call after word of a drain: %.0f ms\n",
		a.Metrics["node_cpu_us"], a.Metrics["node_rss_mb"], a.Metrics["drain_last_ms"])
	var outcomes []string
	for _, outcome := range slices.Sorted(maps.Keys(a.Ends)) {
		outcomes = append(outcomes, fmt.Sprintf("%s %d", outcome, a.Ends[outcome]))
	}
	fmt.Fprintf(w, "%s's tries: %s\n", a.Name, strings.Join(outcomes, ", "))
}

// writeBroken writes an arm's violations and notes.
func (a *Arm) writeBroken(w io.Writer) {
	for _, rule := range judge.RuleNames {
		violation, broken := a.Broken[rule]
		if !broken {
			continue
		}
		fmt.Fprintf(w, "BROKEN by %s, %d times: %s\n    %s\n",
			a.Name, violation.Count, rule, strings.Join(violation.Examples, "\n    "))
	}
	for _, note := range a.Notes {
		fmt.Fprintf(w, "%s: %s\n", a.Name, note)
	}
}

// write writes a check.
func (c Check) write(w io.Writer) {
	var bounds []string
	if c.Min != nil {
		bounds = append(bounds, "at least "+FormatNumber(*c.Min))
	}
	if c.Max != nil {
		bounds = append(bounds, "at most "+FormatNumber(*c.Max))
	}
	verdict := "ok    "
	if !c.OK {
		verdict = "FAILED"
	}
	fmt.Fprintf(w, "%s %s = %s, expected %s\n",
		verdict, c.Metric, FormatNumber(c.Value), strings.Join(bounds, " and "))
}

// maxWhole is the number from which whole numbers are written like others.
const maxWhole = 1e9

// FormatNumber writes a figure for people.
func FormatNumber(v float64) string {
	switch {
	case v == float64(int64(v)) && v < maxWhole && v > -maxWhole:
		return fmt.Sprintf("%d", int64(v))
	case v < 10:
		return fmt.Sprintf("%.3f", v)
	}
	return fmt.Sprintf("%.1f", v)
}
