package run

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"robincart/internal/lab/judge"
)

// columns of the table of arms.
var columns = []string{"goodput", "goodput_faults", "worst_second", "ok_share", "p50_ms", "p99_ms", "p999_ms", "service_p99_ms", "retries",
	"picks_per_call", "late_work_share", "unsent", "rules_broken", "schedule_p99_us", "schedule_worst"}

// WriteText writes a result for people.
func WriteText(w io.Writer, r *Result) {
	fmt.Fprintf(w, "%s: %s\n%.0f s, seed %d, %s", r.Name, r.About, r.Seconds, r.Seed, r.Machine)
	if r.Short {
		fmt.Fprint(w, ", short form")
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\t")
	for _, a := range r.Arms {
		fmt.Fprintf(t, "%s\t", a.Name)
	}
	fmt.Fprintln(t)
	for _, m := range columns {
		fmt.Fprintf(t, "%s\t", m)
		for _, a := range r.Arms {
			fmt.Fprintf(t, "%s\t", FormatNumber(a.Metrics[m]))
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	if len(r.Arms) > 0 {
		a := r.Arms[0]
		fmt.Fprintf(w, "node: %.0f µs of CPU a call, %.1f MB; last new call after word of a drain: %.0f ms\n", a.Metrics["node_cpu_us"],
			a.Metrics["node_rss_mb"], a.Metrics["drain_last_ms"])
		ends := []string{}
		for name, n := range a.Ends {
			ends = append(ends, fmt.Sprintf("%s %d", name, n))
		}
		sort.Strings(ends)
		fmt.Fprintf(w, "%s's tries: %s\n", a.Name, strings.Join(ends, ", "))
	}
	for _, a := range r.Arms {
		for _, rule := range judge.RuleNames {
			if b, ok := a.Broken[rule]; ok {
				fmt.Fprintf(w, "BROKEN by %s, %d times: %s\n    %s\n", a.Name, b.Count, rule, strings.Join(b.Examples, "\n    "))
			}
		}
		for _, n := range a.Notes {
			fmt.Fprintf(w, "%s: %s\n", a.Name, n)
		}
	}
	for _, c := range r.Checks {
		bounds := []string{}
		if c.Min != nil {
			bounds = append(bounds, "at least "+FormatNumber(*c.Min))
		}
		if c.Max != nil {
			bounds = append(bounds, "at most "+FormatNumber(*c.Max))
		}
		word := "ok    "
		if !c.OK {
			word = "FAILED"
		}
		fmt.Fprintf(w, "%s %s = %s, expected %s\n", word, c.Metric, FormatNumber(c.Value), strings.Join(bounds, " and "))
	}
	for _, why := range r.Invalid {
		fmt.Fprintf(w, "INVALID: %s\n", why)
	}
	if r.Cut {
		fmt.Fprintln(w, "INTERRUPTED: this is what was played until then")
	}
	word := map[bool]string{true: "passed", false: "FAILED"}[r.Passed]
	fmt.Fprintln(w, word)
}

// FormatNumber writes a figure for people.
func FormatNumber(v float64) string {
	switch {
	case v == float64(int64(v)) && v < 1e9 && v > -1e9:
		return fmt.Sprintf("%d", int64(v))
	case v < 10:
		return fmt.Sprintf("%.3f", v)
	}
	return fmt.Sprintf("%.1f", v)
}
