package main

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/cost"
	"robincart/internal/lab/run"
)

func chainCommand() *cobra.Command {
	var program string
	var attempts, callers, rate, rounds int
	var shares []float64
	var lasts time.Duration
	var seed int64
	k := &cost.Chain{Shape: cost.Shape{Cores: 1, MemoryMB: 64, Sockets: 2000}}
	c := &cobra.Command{Use: "chain", Short: "Real nodes in a row, each server calling the next tier: latency added by depth, or (--attempts) what a failing share multiplies to",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) (err error) {
			switch {
			case len(k.Depths) == 0 || slices.ContainsFunc(k.Depths, func(d int) bool { return d < 1 || d > cost.MaxDepth }):
				return fmt.Errorf("--depth must be between 1 and %d, each of them", cost.MaxDepth)
			case k.Servers < 1 || k.Servers > 100 || callers < 1 || callers > 100 || k.Picks < 1 || k.Picks > 10:
				return fmt.Errorf("--servers and --callers must be between 1 and 100, --picks between 1 and 10")
			case attempts < 0 || attempts > 100_000 || k.Deadline < time.Second || k.Deadline > time.Minute:
				return fmt.Errorf("--attempts must be 100,000 at most, --deadline between 1s and 1m")
			case slices.ContainsFunc(shares, func(x float64) bool { return !(x >= 0 && x <= 1) }):
				return fmt.Errorf("--fail must be between 0 and 1, each of them")
			case rate < 1 || rate > 5000 || rounds < 1 || rounds > mostRounds || lasts < 100*time.Millisecond || lasts > time.Minute:
				return fmt.Errorf("--rate must be between 1 and 5000, --rounds between 1 and %d, --for between 100ms and 1m", mostRounds)
			}
			if all := time.Duration(2*rounds*len(k.Depths)) * (lasts + lasts/5 + time.Second/2); attempts == 0 && all > mostPlays {
				return fmt.Errorf("all plays together would take %v, %v is the most", all.Round(time.Second), mostPlays)
			}
			if k.Program, err = run.FindProgram(program); err != nil {
				return err
			}
			run.RaiseDescriptors()
			k.Tell = func(format string, args ...any) { fmt.Fprintf(c.ErrOrStderr(), "  "+format+"\n", args...) }
			if attempts > 0 {
				return countAttempts(c, k, shares, attempts, callers, seed)
			}
			r := &cost.Rate{For: lasts, Rounds: rounds, Seed: uint64(seed)}
			if r.Samples, r.Invalid, err = k.Latency(c.Context(), rate, rounds, lasts, uint64(seed)); err != nil {
				return err
			}
			printDepths(c, k, r, rate)
			return nil
		}}
	c.Flags().StringVar(&program, "node", "", "the node's program (default: robincart beside this program, or bin/robincart)")
	c.Flags().IntSliceVar(&k.Depths, "depth", []int{1, 2, 5, 10, 20}, "nodes on a call's way")
	c.Flags().IntVar(&k.Servers, "servers", 3, "servers a tier")
	c.Flags().IntVar(&k.Picks, "picks", 3, "attempts of a node for a call, at most")
	c.Flags().BoolVar(&k.NoCopies, "no-copies", false, "no second attempt while the first is out: counts hang on no clock then")
	c.Flags().DurationVar(&k.Deadline, "deadline", 20*time.Second, "of a call at the first node")
	c.Flags().IntVar(&attempts, "attempts", 0, "count attempts over so many calls for each case, instead of timing")
	c.Flags().Float64SliceVar(&shares, "fail", []float64{0.1}, "with --attempts: share of requests that fail, where they do")
	c.Flags().IntVar(&callers, "callers", 4, "with --attempts: callers, each asking one call after another")
	c.Flags().IntVar(&rate, "rate", 175, "calls a second at the first node, open loop")
	c.Flags().IntVar(&rounds, "rounds", 5, "times that each is measured, in turns")
	c.Flags().DurationVar(&lasts, "for", 2*time.Second, "measured time of each; a fifth of it, 300 ms at least, goes before")
	c.Flags().Int64Var(&seed, "seed", 1, "of the plan and of what fails")
	return c
}

// countAttempts plays each case on a chain of its own: what a node has learned in one must not help it in the next.
func countAttempts(c *cobra.Command, k *cost.Chain, shares []float64, calls, callers int, seed int64) error {
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%d servers a tier, %d attempts a node at most, %d calls of %d callers each, deadline %v; attempts that reach servers for a call at the first node\n",
		k.Servers, k.Picks, calls, callers, k.Deadline)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "depth\tfailing\tshare\tok\tpushed back\taborted\tunanswered\tfirst tier\tlast tier\tall tiers\ta hop\t\n")
	for _, depth := range k.Depths {
		cases := []cost.Fails{cost.Nowhere}
		for range shares {
			cases = append(cases, cost.Last, cost.Before, cost.After)
		}
		for i, where := range cases {
			share := 0.0
			if i > 0 {
				share = shares[(i-1)/3]
			}
			a, err := k.Count(c.Context(), depth, where, share, calls, callers, seed)
			if err != nil {
				return err
			}
			all := int64(0)
			for _, n := range a.Tiers {
				all += n
			}
			fmt.Fprintf(t, "%d\t%s\t%v\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.2f\t%.3f\t\n", depth, where, share, a.OK, a.PushedBack, a.Aborted, a.Unanswered, a.First(),
				a.LastTier(), float64(all)/float64(calls), float64(all)/float64(calls)/float64(depth))
			k.Tell("%d deep, %s failing %v: %.3f attempts at the last tier a call, by tier %v", depth, where, share, a.LastTier(), a.Tiers)
		}
	}
	return t.Flush()
}

// printDepths prints what depth adds to calls past the nodes.
func printDepths(c *cobra.Command, k *cost.Chain, r *cost.Rate, rate int) {
	out := c.OutOrStdout()
	for _, why := range r.Invalid {
		fmt.Fprintf(out, "INVALID: %s\n", why)
	}
	fmt.Fprintf(out, "%d calls a second, %d servers a tier, %v each, %d rounds: median (least..most) of the rounds, ms from the planned moment\n", rate, k.Servers, r.For, r.Rounds)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "depth\tway\tok\tof\tp50\tp99\tadded p50\tadded p99\tadded p50 a node\tadded p99 a node\tgenerator late p99\t\n")
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	p50, p99 := func(s cost.Sample) float64 { return ms(s.P50) }, func(s cost.Sample) float64 { return ms(s.P99) }
	for _, depth := range k.Depths {
		for _, way := range []string{cost.Straight, "node"} {
			calls, ok := 0, 0
			for _, s := range r.Samples {
				if s.Way == way && s.Rate == depth {
					calls, ok = calls+s.Calls, ok+s.OK
				}
			}
			of := func(f func(cost.Sample) float64, against string, parts int, form string) string {
				if way == against {
					return "-"
				}
				return show(r.Over(way, against, depth, func(s cost.Sample) float64 { return f(s) / float64(parts) }), form)
			}
			fmt.Fprintln(t, strings.Join([]string{fmt.Sprint(depth), way, fmt.Sprint(ok), fmt.Sprint(calls), of(p50, "", 1, "%.2f"), of(p99, "", 1, "%.2f"),
				of(p50, cost.Straight, 1, "%.2f"), of(p99, cost.Straight, 1, "%.2f"), of(p50, cost.Straight, depth, "%.3f"), of(p99, cost.Straight, depth, "%.3f"),
				of(func(s cost.Sample) float64 { return ms(s.Late) }, "", 1, "%.2f"), ""}, "\t"))
		}
	}
	t.Flush()
}
