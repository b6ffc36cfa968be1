package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/cost"
)

// Bounds of a run at given rates. What is over them is a slip, and not a measurement.
const (
	mostRate   = 20_000
	mostRounds = 50
	mostPlays  = time.Hour // all of them together
)

// playRate plays nodes, straight callers and a relay in turns, and prints what each cost.
func playRate(c *cobra.Command, r *cost.Rate) (err error) {
	switch {
	case slices.ContainsFunc(r.Rates, func(n int) bool { return n < 0 || n > mostRate }):
		return fmt.Errorf("--rate must be between 0 and %d, each of them", mostRate)
	case r.Rounds > mostRounds || r.For > time.Minute:
		return fmt.Errorf("with --rate, --rounds must be %d at most, --for 1m", mostRounds)
	case r.Servers > 500 || r.Callers > 1000 || r.Cores > 64:
		return fmt.Errorf("with --rate, --servers must be 500 at most, --callers 1000, --cores 64")
	case slices.Contains(r.Names, cost.Straight) || slices.Contains(r.Names, cost.ThroughRelay):
		return fmt.Errorf("no program may be called %q or %q", cost.Straight, cost.ThroughRelay)
	}
	if all := time.Duration(r.Rounds*len(r.Rates)*(len(r.Paths)+2)) * (r.For + r.For/5 + time.Second/2); all > mostPlays {
		return fmt.Errorf("all plays together would take %v, %v is the most", all.Round(time.Second), mostPlays)
	}
	if r.Self, err = os.Executable(); err != nil {
		return err
	}
	r.Tell = func(format string, args ...any) { fmt.Fprintf(c.ErrOrStderr(), "  "+format+"\n", args...) }
	if err := r.Play(c.Context()); err != nil {
		return err
	}
	printRate(c.OutOrStdout(), r)
	return nil
}

// printRate prints how long calls took, and under it what the processes between did for them.
func printRate(out io.Writer, r *cost.Rate) {
	for _, why := range r.Invalid {
		fmt.Fprintf(out, "INVALID: %s\n", why)
	}
	fmt.Fprintf(out, "%d servers, %d cores, %v each, %d rounds: median (least..most) of the rounds\n", r.Servers, r.Cores, r.For, r.Rounds)
	fmt.Fprintf(out, "ms from the planned moment, and from the sending; full: %d callers that ask one call after another, from the sending\n", r.Callers)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	p50, p99 := func(s cost.Sample) float64 { return ms(s.P50) }, func(s cost.Sample) float64 { return ms(s.P99) }
	sent99, late := func(s cost.Sample) float64 { return ms(s.Sent99) }, func(s cost.Sample) float64 { return ms(s.Late) }
	at := func(rate int, way string) string {
		if rate != cost.Full {
			return fmt.Sprint(rate)
		}
		return fmt.Sprintf("full: %.0f", r.Over(way, "", rate, func(s cost.Sample) float64 { return float64(s.OK) / s.Took.Seconds() }).Median)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "a second\tway\tok\tof\tp50\tp99\tadded p50\tadded p99\tp99 sent\tadded p99 sent\tgenerator late p99\t\n")
	for _, rate := range r.Rates {
		for _, way := range append([]string{cost.Straight, cost.ThroughRelay}, r.Names...) {
			calls, ok := 0, 0
			for _, s := range r.Samples {
				if s.Way == way && s.Rate == rate {
					calls, ok = calls+s.Calls, ok+s.OK
				}
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t", at(rate, way), way, ok, calls)
			for _, x := range []struct {
				of      func(cost.Sample) float64
				against string
			}{{p50, ""}, {p99, ""}, {p50, cost.Straight}, {p99, cost.Straight}, {sent99, ""}, {sent99, cost.Straight}, {late, ""}} {
				text := "-"
				if x.against != way {
					text = show(r.Over(way, x.against, rate, x.of), "%.2f")
				}
				fmt.Fprintf(t, "%s\t", text)
			}
			fmt.Fprintln(t)
		}
	}
	t.Flush()
	fmt.Fprintln(out, "\na call, of the process between: CPU; time able to run with no core free; threads that slept and were woken; system calls that read or write")
	fmt.Fprint(t, "a second\tway\tCPU µs\twaited µs\tsleeps\treads and writes\t\n")
	for _, rate := range r.Rates {
		for _, way := range append([]string{cost.ThroughRelay}, r.Names...) {
			fmt.Fprintf(t, "%s\t%s\t", at(rate, way), way)
			for _, x := range []struct {
				form string
				of   func(cost.Usage) float64
			}{{"%.0f", func(u cost.Usage) float64 { return float64(u.CPU.Nanoseconds()) / 1000 }},
				{"%.0f", func(u cost.Usage) float64 { return float64(u.Waited.Nanoseconds()) / 1000 }},
				{"%.2f", func(u cost.Usage) float64 { return float64(u.Sleeps) }}, {"%.2f", func(u cost.Usage) float64 { return float64(u.Calls) }}} {
				fmt.Fprintf(t, "%s\t", show(r.Over(way, "", rate, func(s cost.Sample) float64 { return s.PerCall(x.of(s.Use)) }), x.form))
			}
			fmt.Fprintln(t)
		}
	}
	t.Flush()
}

// show prints a figure's median, and its least and most over the rounds.
func show(s cost.Spread, form string) string {
	return fmt.Sprintf(form+" ("+form+".."+form+")", s.Median, s.Least, s.Most)
}

// relayCommand is what playRate starts as a process of its own.
func relayCommand() *cobra.Command {
	var to []string
	var cores int
	c := &cobra.Command{Use: "relay", Short: "Copy bytes between callers and servers on loopback, and nothing else: what a node is compared with", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return cost.Relay(c.Context(), to, cores, c.OutOrStdout()) }}
	c.Flags().StringSliceVar(&to, "to", nil, "servers, in turn a connection each")
	c.Flags().IntVar(&cores, "cores", 1, "cores that it may use")
	return c
}
