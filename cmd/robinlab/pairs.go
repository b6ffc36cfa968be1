package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"robincart/internal/lab/chaos"
	"robincart/internal/lab/run"
)

func pairsCommand() *cobra.Command {
	var program string
	r := &chaos.Pairs{}
	c := &cobra.Command{Use: "pairs", Short: "HTTP and FastCGI on either side of a node, with servers that die in their answers; exits 1 if an answer or an effect is one too many or too few", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if r.Requests < 1 || r.Calm < 1 || r.Callers < 1 || r.Callers > 1000 || r.Requests > 10_000_000 || r.Calm > 10_000_000 {
				return fmt.Errorf("--requests and --calm must be between 1 and 10,000,000, --callers between 1 and 1000")
			}
			if r.Program, err = run.FindProgram(program); err != nil {
				return err
			}
			run.RaiseDescriptors()
			if err := r.Play(c.Context()); err != nil {
				return err
			}
			out := c.OutOrStdout()
			fmt.Fprintf(out, "%-8s %-8s  %12s %8s %8s   %8s %8s %8s  %8s %8s\n", "in", "out", "CPU a req.", "p50", "p99", "ok", "503", "504", "effects", "repeats")
			for _, p := range r.All {
				fmt.Fprintf(out, "%-8s %-8s  %12v %5d µs %5d µs   %8d %8d %8d  %8d %8d  %v\n", p.In, p.Out, p.CPU, p.Latency.ValueAtQuantile(50), p.Latency.ValueAtQuantile(99), p.Answers[200], p.Answers[503],
					p.Answers[504], p.Effects, p.Repeats(), p.Faults)
			}
			return verdict(out, r.Broken, "one answer each, and no effect twice")
		}}
	c.Flags().StringVar(&program, "node", "", "the node's program")
	c.Flags().IntVar(&r.Requests, "requests", 25_000, "of each pair, to servers that die")
	c.Flags().IntVar(&r.Calm, "calm", 20_000, "of each pair before that, to servers that do well")
	c.Flags().IntVar(&r.Callers, "callers", 32, "at once")
	c.Flags().Int64Var(&r.Seed, "seed", 1, "of the deaths")
	return c
}
