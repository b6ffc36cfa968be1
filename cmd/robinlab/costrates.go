package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/cost"
)

// Bounds of a comparison at given rates. What exceeds them is a slip, not a measurement.
const (
	maxRate         = 20_000
	maxRounds       = 50
	maxPlayDuration = time.Minute
	maxPlaysTime    = time.Hour // of all plays together
	maxRateServers  = 500
	maxRateCallers  = 1000
	maxRateCores    = 64
)

// Defaults of a comparison at given rates, other than those of closed loops.
const (
	defaultRateServers = 15
	defaultRateCores   = 1
	defaultRateCallers = 64
)

// compareAtRates plays direct callers, a proxy and nodes in turns, and prints what each cost.
func compareAtRates(command *cobra.Command, flags *costFlags, programs []cost.Program) error {
	if len(flags.servers) == 0 || len(flags.cores) == 0 || len(flags.callers) == 0 {
		return errors.New("--servers, --cores and --callers need a number")
	}
	first := func(flag string, numbers []int, otherwise int) int {
		if command.Flags().Changed(flag) {
			return numbers[0]
		}
		return otherwise
	}
	comparison := &cost.Comparison{
		RigConfig: flags.rig(),
		Programs:  programs,
		Rates:     flags.rates,
		Callers:   first("callers", flags.callers, defaultRateCallers),
		Duration:  flags.duration,
		Rounds:    flags.rounds,
		Seed:      flags.seed,
		Progress:  notes(command),
	}
	comparison.Servers = first("servers", flags.servers, defaultRateServers)
	comparison.Cores = first("cores", flags.cores, defaultRateCores)
	if err := checkComparison(comparison); err != nil {
		return err
	}
	var err error
	if comparison.LabProgram, err = os.Executable(); err != nil {
		return err
	}
	samples, err := comparison.Measure(command.Context())
	if err != nil {
		return err
	}
	printComparison(command.OutOrStdout(), comparison, samples)
	return nil
}

func checkComparison(c *cost.Comparison) error {
	isReserved := func(p cost.Program) bool { return p.Name == cost.Direct || p.Name == cost.Proxy }
	switch {
	case slices.ContainsFunc(c.Rates, func(rate int) bool { return rate < 0 || rate > maxRate }):
		return fmt.Errorf("--rate must be between 0 and %d, each of them", maxRate)
	case c.Rounds > maxRounds || c.Duration > maxPlayDuration:
		return fmt.Errorf("with --rate, --rounds must be %d at most, --for 1m", maxRounds)
	case c.Servers > maxRateServers || c.Callers > maxRateCallers || c.Cores > maxRateCores:
		return fmt.Errorf("with --rate, --servers must be %d at most, --callers %d, --cores %d",
			maxRateServers, maxRateCallers, maxRateCores)
	case slices.ContainsFunc(c.Programs, isReserved):
		return fmt.Errorf("no program may be called %q or %q", cost.Direct, cost.Proxy)
	}
	targets := len(c.Programs) + 2 // the direct callers and the proxy
	return checkPlays(c.Rounds*len(c.Rates)*targets, c.Duration)
}

// checkPlays checks how long so many plays take together: besides its measured time, each takes a fifth of it to warm
// up and half a second to start and to end.
func checkPlays(count int, duration time.Duration) error {
	const startAndEnd = time.Second / 2
	all := time.Duration(count) * (duration + duration/5 + startAndEnd)
	if all > maxPlaysTime {
		return fmt.Errorf("all plays together would take %v, %v is the most", all.Round(time.Second), maxPlaysTime)
	}
	return nil
}

// printComparison prints how long calls took, and under it what the processes between did for them.
func printComparison(out io.Writer, c *cost.Comparison, samples cost.Samples) {
	printInvalid(out, samples)
	fmt.Fprintf(out, "%d servers, %d cores, %v each, %d rounds: median (least..most) of the rounds\n",
		c.Servers, c.Cores, c.Duration, c.Rounds)
	fmt.Fprintf(out, "ms from the planned moment, and from the sending; "+
		"full: %d callers that ask one call after another, from the sending\n", c.Callers)
	var nodes []string
	for _, program := range c.Programs {
		nodes = append(nodes, program.Name)
	}
	table := newTable(out)
	printRateLatencies(table, c.Rates, append([]string{cost.Direct, cost.Proxy}, nodes...), samples)
	table.Flush()
	fmt.Fprintln(out, "\na call, of the process between: CPU; time able to run with no core free; "+
		"threads that slept and were woken; system calls that read or write")
	printRateUsage(table, c.Rates, append([]string{cost.Proxy}, nodes...), samples)
	table.Flush()
}

// printInvalid prints why the figures must not be used, if so.
func printInvalid(out io.Writer, samples cost.Samples) {
	for _, reason := range samples.Invalid() {
		fmt.Fprintf(out, "INVALID: %s\n", reason)
	}
}

// Figures of a sample.
func sampleP50(s *cost.Sample) float64          { return milliseconds(s.P50) }
func sampleP99(s *cost.Sample) float64          { return milliseconds(s.P99) }
func sampleSentP99(s *cost.Sample) float64      { return milliseconds(s.SentP99) }
func sampleGeneratorLag(s *cost.Sample) float64 { return milliseconds(s.GeneratorLag) }
func sampleThroughput(s *cost.Sample) float64   { return float64(s.OK) / s.Duration.Seconds() }

// rateText returns a rate, and for cost.Unlimited the rate that a target's callers got through.
func rateText(samples cost.Samples, target string, rate int) string {
	if rate != cost.Unlimited {
		return fmt.Sprint(rate)
	}
	return fmt.Sprintf("full: %.0f", samples.Summarize(target, "", rate, sampleThroughput).Median)
}

func printRateLatencies(table *tabwriter.Writer, rates []int, targets []string, samples cost.Samples) {
	columns := []struct {
		figure   cost.Figure
		baseline string
	}{
		{sampleP50, ""},
		{sampleP99, ""},
		{sampleP50, cost.Direct},
		{sampleP99, cost.Direct},
		{sampleSentP99, ""},
		{sampleSentP99, cost.Direct},
		{sampleGeneratorLag, ""},
	}
	fmt.Fprint(table, "a second\tway\tok\tof\tp50\tp99\tadded p50\tadded p99\tp99 sent\tadded p99 sent\t"+
		"generator late p99\t\n")
	for _, rate := range rates {
		for _, target := range targets {
			calls, ok := samples.Calls(target, rate)
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t", rateText(samples, target, rate), target, ok, calls)
			for _, column := range columns {
				text := "-"
				if column.baseline != target {
					text = summaryText(samples.Summarize(target, column.baseline, rate, column.figure), "%.2f")
				}
				fmt.Fprintf(table, "%s\t", text)
			}
			fmt.Fprintln(table)
		}
	}
}

func printRateUsage(table *tabwriter.Writer, rates []int, targets []string, samples cost.Samples) {
	columns := []struct {
		format string
		amount func(*cost.Usage) float64
	}{
		{"%.0f", func(u *cost.Usage) float64 { return microseconds(u.CPU) }},
		{"%.0f", func(u *cost.Usage) float64 { return microseconds(u.RunQueueWait) }},
		{"%.2f", func(u *cost.Usage) float64 { return float64(u.VoluntarySwitches) }},
		{"%.2f", func(u *cost.Usage) float64 { return float64(u.ReadWriteCalls) }},
	}
	fmt.Fprint(table, "a second\tway\tCPU µs\twaited µs\tsleeps\treads and writes\t\n")
	for _, rate := range rates {
		for _, target := range targets {
			fmt.Fprintf(table, "%s\t%s\t", rateText(samples, target, rate), target)
			for _, column := range columns {
				perCall := func(s *cost.Sample) float64 { return s.PerCall(column.amount(&s.Usage)) }
				fmt.Fprintf(table, "%s\t", summaryText(samples.Summarize(target, "", rate, perCall), column.format))
			}
			fmt.Fprintln(table)
		}
	}
}

// summaryText returns a figure's median, and its least and most over the rounds, each in the format of a number.
func summaryText(s cost.Summary, format string) string {
	return fmt.Sprintf(format+" ("+format+".."+format+")", s.Median, s.Min, s.Max)
}

// proxyCommand is what a comparison starts as a process of its own.
func proxyCommand() *cobra.Command {
	var servers []string
	var cores int
	command := &cobra.Command{
		Use:   cost.ProxyCommand,
		Short: "Copy bytes between callers and servers on loopback, and nothing else: what a node is compared with",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return cost.RunProxy(command.Context(), servers, cores, command.OutOrStdout())
		},
	}
	command.Flags().StringSliceVar(&servers, "to", nil, "servers, in turn a connection each")
	command.Flags().IntVar(&cores, "cores", 1, "cores that it may use")
	return command
}
