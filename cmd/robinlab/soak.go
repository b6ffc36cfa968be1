package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
	"robincart/internal/lab/soak"
)

// soakCommand plays fleets in trouble, a seed after another.
func soakCommand() *cobra.Command {
	var first uint64
	var seeds int
	var node, out string
	var patience time.Duration
	var events bool
	size := soak.DefaultSize
	c := &cobra.Command{Use: "soak", Short: "Real nodes under troubles that overlap, drawn from seeds; exits 1 if a rule or an invariant was broken", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			program, err := run.FindProgram(node)
			if err != nil {
				return err
			}
			if events {
				os.Setenv("EDGE_EVENTS", "1")
			}
			failed := 0
			for seed := first; seed < first+uint64(seeds) && c.Context().Err() == nil; seed++ {
				text := soak.ExperimentText(seed, size)
				e, err := experiment.Parse([]byte(text), ".")
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed, err)
				}
				e.Fleet.Program = program
				dir := filepath.Join(out, fmt.Sprintf("soak-%d", seed))
				if err := os.RemoveAll(dir); err != nil {
					return err
				}
				r, err := run.Play(c.Context(), e, run.Options{Dir: dir, Patience: patience})
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed, err)
				}
				if err := os.WriteFile(filepath.Join(dir, "soak.toml"), []byte(text), 0o644); err != nil {
					return err
				}
				if !soakLine(c, seed, r) {
					failed++
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d of %d seeds broke something\n", failed, seeds)
			if failed > 0 {
				return errFailed
			}
			return nil
		}}
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many")
	c.Flags().StringVar(&node, "node", "", "the node's program (default: robincart beside this program, or bin/robincart)")
	c.Flags().StringVar(&out, "out", "runs", "where experiments, results, configurations and logs go")
	c.Flags().DurationVar(&patience, "patience", 250*time.Millisecond, "added to the rules' times, for a machine that stalls")
	c.Flags().BoolVar(&events, "events", false, "nodes log each event")
	c.Flags().IntVar(&size.Nodes, "nodes", size.Nodes, "nodes")
	c.Flags().IntVar(&size.Servers, "servers", size.Servers, "servers")
	c.Flags().IntVar(&size.Rate, "rate", size.Rate, "calls a second")
	c.Flags().DurationVar(&size.Duration, "for", size.Duration, "how long a seed lasts")
	return c
}

// soakLine prints a seed's verdict and tells whether nothing was broken.
func soakLine(c *cobra.Command, seed uint64, r *run.Result) bool {
	arm := r.Arms[0]
	ok := len(arm.Broken) == 0 && len(arm.Violations) == 0 && arm.Metrics["crashes"] == 0 && len(r.Invalid) == 0
	verdict := "kept"
	if !ok {
		verdict = "BROKEN"
	}
	fmt.Fprintf(c.OutOrStdout(), "seed %d: %s; %.0f calls, goodput %.3f, %.0f system calls changed, %v\n", seed, verdict, arm.Metrics["calls"], arm.Metrics["goodput"],
		arm.Metrics["injected"], arm.Ends)
	for name, b := range arm.Broken {
		fmt.Fprintf(c.OutOrStdout(), "  %s: %d\n", name, b.Count)
		for _, example := range b.Examples {
			fmt.Fprintf(c.OutOrStdout(), "    %s\n", example)
		}
	}
	for rule, n := range arm.Violations {
		fmt.Fprintf(c.OutOrStdout(), "  the nodes found %q: %d\n", rule, n)
	}
	for _, note := range append(arm.Notes, r.Invalid...) {
		fmt.Fprintf(c.OutOrStdout(), "    %s\n", note)
	}
	return ok
}
