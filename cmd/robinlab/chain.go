package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/cost"
	"robincart/internal/lab/run"
)

// Bounds of a chain's flags.
const (
	maxChainServers     = 100
	maxChainCallers     = 100
	maxChainMaxAttempts = 10
	maxChainCalls       = 100_000
	maxChainRate        = 5000
	minChainDeadline    = time.Second
	maxChainDeadline    = time.Minute
	minChainDuration    = 100 * time.Millisecond
)

// chainFlags are the flags of chain.
type chainFlags struct {
	node        string
	depths      []int
	servers     int
	maxAttempts int
	noHedging   bool
	deadline    time.Duration

	calls      int // of a case in which attempts are counted; 0: latency is measured instead
	failShares []float64
	callers    int

	rate, rounds int
	duration     time.Duration
	seed         int64
}

func chainCommand() *cobra.Command {
	var flags chainFlags
	command := &cobra.Command{
		Use: "chain",
		Short: "Real nodes in a row, each server calling the next tier: latency added by depth, " +
			"or (--attempts) what a failing share multiplies to",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			program, err := run.FindProgram(flags.node)
			if err != nil {
				return err
			}
			run.RaiseDescriptors()
			chain := flags.chain(program)
			chain.Progress = notes(command)
			if flags.calls > 0 {
				return countAttempts(command, chain, &flags)
			}
			return measureDepths(command, chain, &flags)
		},
	}
	set := command.Flags()
	registerNodeFlag(command, &flags.node)
	set.IntSliceVar(&flags.depths, "depth", []int{1, 2, 5, 10, 20}, "nodes on a call's way")
	set.IntVar(&flags.servers, "servers", 3, "servers a tier")
	set.IntVar(&flags.maxAttempts, "picks", 3, "attempts of a node for a call, at most")
	set.BoolVar(&flags.noHedging, "no-copies", false, "no hedged requests: then no count depends on time")
	set.DurationVar(&flags.deadline, "deadline", 20*time.Second, "of a call at the first node")
	set.IntVar(&flags.calls, "attempts", 0, "count attempts over so many calls for each case, instead of timing")
	set.Float64SliceVar(&flags.failShares, "fail", []float64{0.1},
		"with --attempts: share of requests that fail, where they do")
	set.IntVar(&flags.callers, "callers", 4, "with --attempts: callers, each making one call after another")
	set.IntVar(&flags.rate, "rate", 175, "calls a second at the first node, open loop")
	set.IntVar(&flags.rounds, "rounds", 5, "times that each is measured, in turns")
	set.DurationVar(&flags.duration, "for", 2*time.Second,
		"measured time of each; a fifth of it, 300 ms at least, goes before")
	set.Int64Var(&flags.seed, "seed", 1, "of the plan and of what fails")
	return command
}

func (c *chainFlags) check() error {
	isBadDepth := func(depth int) bool { return depth < 1 || depth > cost.MaxDepth }
	isBadShare := func(share float64) bool { return !(share >= 0 && share <= 1) } // NaN is bad, too
	switch {
	case len(c.depths) == 0 || slices.ContainsFunc(c.depths, isBadDepth):
		return fmt.Errorf("--depth must be between 1 and %d, each of them", cost.MaxDepth)
	case !isBetween(c.servers, maxChainServers) || !isBetween(c.callers, maxChainCallers) ||
		!isBetween(c.maxAttempts, maxChainMaxAttempts):
		return fmt.Errorf("--servers and --callers must be between 1 and %d, --picks between 1 and %d",
			maxChainServers, maxChainMaxAttempts)
	case c.calls < 0 || c.calls > maxChainCalls || c.deadline < minChainDeadline || c.deadline > maxChainDeadline:
		return errors.New("--attempts must be 100,000 at most, --deadline between 1s and 1m")
	case slices.ContainsFunc(c.failShares, isBadShare):
		return errors.New("--fail must be between 0 and 1, each of them")
	case !isBetween(c.rate, maxChainRate) || !isBetween(c.rounds, maxRounds) ||
		c.duration < minChainDuration || c.duration > maxPlayDuration:
		return fmt.Errorf("--rate must be between 1 and %d, --rounds between 1 and %d, --for between %v and 1m",
			maxChainRate, maxRounds, minChainDuration)
	}
	if c.calls > 0 {
		return nil
	}
	const targets = 2 // the nodes, and past them
	return checkPlays(targets*c.rounds*len(c.depths), c.duration)
}

// chain returns the chain of a node's program.
func (c *chainFlags) chain(program string) *cost.Chain {
	return &cost.Chain{
		RigConfig: cost.RigConfig{
			Program:     program,
			Servers:     c.servers,
			Cores:       1,
			MemoryMB:    64,
			Sockets:     2000,
			MaxAttempts: c.maxAttempts,
			Deadline:    c.deadline,
			NoHedging:   c.noHedging,
		},
		Depths: c.depths,
	}
}

// cases returns the cases of a depth: one without failures, and for each share one of each failure point.
func (c *chainFlags) cases(depth int) []cost.AttemptCase {
	base := cost.AttemptCase{
		Depth:   depth,
		FailAt:  cost.FailNowhere,
		Calls:   c.calls,
		Callers: c.callers,
		Seed:    c.seed,
	}
	cases := []cost.AttemptCase{base}
	for _, share := range c.failShares {
		for _, at := range []cost.FailurePoint{cost.FailAtLastTier, cost.FailBeforeWork, cost.FailAfterWork} {
			failing := base
			failing.FailAt, failing.FailShare = at, share
			cases = append(cases, failing)
		}
	}
	return cases
}

// countAttempts plays the cases of each depth and prints a line for each.
func countAttempts(command *cobra.Command, chain *cost.Chain, flags *chainFlags) error {
	out := command.OutOrStdout()
	fmt.Fprintf(out, "%d servers a tier, %d attempts a node at most, %d calls of %d callers each, deadline %v; "+
		"attempts that reach servers for a call at the first node\n",
		chain.Servers, chain.MaxAttempts, flags.calls, flags.callers, chain.Deadline)
	table := newTable(out)
	fmt.Fprint(table, "depth\tfailing\tshare\tok\tpushed back\taborted\tunanswered\tfirst tier\tlast tier\t"+
		"all tiers\ta hop\t\n")
	for _, depth := range flags.depths {
		for _, attemptCase := range flags.cases(depth) {
			counts, err := chain.CountAttempts(command.Context(), attemptCase)
			if err != nil {
				return err
			}
			printAttempts(table, counts)
			chain.Progress("%d deep, %s failing %v: %.3f attempts at the last tier a call, by tier %v",
				depth, counts.FailAt, counts.FailShare, counts.LastTierPerCall(), counts.Tiers)
		}
	}
	return table.Flush()
}

func printAttempts(table *tabwriter.Writer, a *cost.AttemptCounts) {
	all := int64(0)
	for _, requests := range a.Tiers {
		all += requests
	}
	perCall := float64(all) / float64(a.Calls)
	fmt.Fprintf(table, "%d\t%s\t%v\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.2f\t%.3f\t\n",
		a.Depth, a.FailAt, a.FailShare, a.OK, a.Rejected, a.Aborted, a.Unanswered, a.FirstTierPerCall(),
		a.LastTierPerCall(), perCall, perCall/float64(a.Depth))
}

// measureDepths measures and prints what depth adds to calls past the nodes.
func measureDepths(command *cobra.Command, chain *cost.Chain, flags *chainFlags) error {
	samples, err := chain.MeasureLatency(command.Context(), cost.LatencyConfig{
		Rate:     flags.rate,
		Duration: flags.duration,
		Rounds:   flags.rounds,
		Seed:     uint64(flags.seed),
	})
	if err != nil {
		return err
	}
	printDepths(command.OutOrStdout(), flags, samples)
	return nil
}

func printDepths(out io.Writer, flags *chainFlags, samples cost.Samples) {
	printInvalid(out, samples)
	fmt.Fprintf(out, "%d calls a second, %d servers a tier, %v each, %d rounds: median (least..most) of the rounds, "+
		"ms from the planned moment\n", flags.rate, flags.servers, flags.duration, flags.rounds)
	table := newTable(out)
	fmt.Fprint(table, "depth\tway\tok\tof\tp50\tp99\tadded p50\tadded p99\tadded p50 a node\tadded p99 a node\t"+
		"generator late p99\t\n")
	for _, depth := range flags.depths {
		printDepth(table, depth, cost.Direct, samples)
		printDepth(table, depth, cost.ChainNode, samples)
	}
	table.Flush()
}

func printDepth(table *tabwriter.Writer, depth int, target string, samples cost.Samples) {
	columns := []struct {
		figure   cost.Figure
		baseline string
		perNode  bool
		format   string
	}{
		{figure: sampleP50, format: "%.2f"},
		{figure: sampleP99, format: "%.2f"},
		{figure: sampleP50, format: "%.2f", baseline: cost.Direct},
		{figure: sampleP99, format: "%.2f", baseline: cost.Direct},
		{figure: sampleP50, format: "%.3f", baseline: cost.Direct, perNode: true},
		{figure: sampleP99, format: "%.3f", baseline: cost.Direct, perNode: true},
		{figure: sampleGeneratorLag, format: "%.2f"},
	}
	calls, ok := samples.Calls(target, depth)
	fmt.Fprintf(table, "%d\t%s\t%d\t%d\t", depth, target, ok, calls)
	for _, column := range columns {
		text := "-"
		if column.baseline != target {
			figure := column.figure
			if column.perNode {
				figure = func(s *cost.Sample) float64 { return column.figure(s) / float64(depth) }
			}
			text = summaryText(samples.Summarize(target, column.baseline, depth, figure), column.format)
		}
		fmt.Fprintf(table, "%s\t", text)
	}
	fmt.Fprintln(table)
}
