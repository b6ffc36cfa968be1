package main

import (
	"fmt"
	"io"
	"path/filepath"
	"sort"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/chaos"
	"robincart/internal/lab/cost"
	"robincart/internal/lab/run"
)

func recordCommand() *cobra.Command {
	var program string
	var length time.Duration
	var seed int64
	var short, sqlite, latency bool
	c := &cobra.Command{Use: "record", Short: "Kill nodes and their store of record at random under load; exits 1 if anything was lost", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if short {
				length = min(length, 40*time.Second)
			}
			if length < time.Second {
				return fmt.Errorf("--for must be 1s or more")
			}
			path, err := run.FindProgram(program)
			if err != nil {
				return err
			}
			if latency {
				l := &cost.Stall{Program: path, Rate: 500, For: 4 * time.Second}
				if err := l.Play(c.Context()); err != nil {
					return err
				}
				for _, p := range l.Phases {
					fmt.Fprintf(c.OutOrStdout(), "store %-10s  %d of %d ok, p50 %v, p99 %v (%.2f of well)\n", p.Name, p.OK, p.Asked, p.P50, p.P99, float64(p.P99)/float64(l.Phases[0].P99))
				}
				return nil
			}
			if seed == 0 {
				seed = time.Now().UnixNano() % 1_000_000
			}
			out := c.OutOrStdout()
			fmt.Fprintf(out, "seed %d, %v\n", seed, length)
			r := &chaos.Record{Program: path, For: length, Seed: seed, Nodes: 2, Servers: 40, Rate: 100, SQLite: sqlite}
			if err := r.Play(c.Context()); err != nil {
				return err
			}
			counts(out, r.Counts)
			return verdict(out, r.Broken, "nothing was lost")
		}}
	c.Flags().StringVar(&program, "node", "", "the node's program")
	c.Flags().DurationVar(&length, "for", 20*time.Minute, "how long")
	c.Flags().Int64Var(&seed, "seed", 0, "of the faults; 0: another each time")
	c.Flags().BoolVar(&short, "short", false, "40 s at most")
	c.Flags().BoolVar(&sqlite, "sqlite", false, "SQLite instead of the stand-in for PostgreSQL")
	c.Flags().BoolVar(&latency, "latency", false, "instead: requests with the store well, stalled and gone")
	return c
}

func controllerCommand() *cobra.Command {
	var program, node string
	var drains, pace int
	var seed int64
	var calm, secure bool
	c := &cobra.Command{Use: "controller", Short: "Drain servers by the cluster manager's word under faults; exits 1 if one is called 400 ms after it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if drains < 1 || pace < 1 || pace > 1000 {
				return fmt.Errorf("--drains must be 1 or more, --pace between 1 and 1000")
			}
			path, err := run.FindProgram(node)
			if err != nil {
				return err
			}
			if program == "" {
				program = filepath.Join(filepath.Dir(path), "robincart-controller")
			}
			run.RaiseDescriptors()
			out := c.OutOrStdout()
			r := &chaos.Controller{Program: program, Node: path, Drains: drains, Pace: pace, Servers: 200, Replicas: 3, Nodes: 2, Rate: 400, Seed: seed, Faults: !calm, Keys: secure}
			if err := r.Play(c.Context()); err != nil {
				return err
			}
			counts(out, r.Counts)
			fmt.Fprintf(out, "%7d calls reached servers\nfrom the word to the last call, of %d servers that got one after it: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, most %.1f ms\n", r.Calls,
				r.Last.TotalCount(), float64(r.Last.ValueAtQuantile(50))/1000, float64(r.Last.ValueAtQuantile(99))/1000, float64(r.Last.ValueAtQuantile(99.9))/1000,
				float64(r.Last.Max())/1000)
			for _, b := range r.Broken {
				fmt.Fprintln(out, "BROKEN", b)
			}
			if len(r.Broken) > 0 {
				fmt.Fprintf(out, "began at %.3f; the programs' logs are in %s\n", float64(r.Begin().UnixNano())/1e9, r.Kept)
				return errFailed
			}
			fmt.Fprintln(out, "none was called later than 400 ms after the word")
			return nil
		}}
	c.Flags().StringVar(&program, "controller", "", "the controller's program")
	c.Flags().StringVar(&node, "node", "", "the node's program")
	c.Flags().IntVar(&drains, "drains", 10_000, "drains in all")
	c.Flags().IntVar(&pace, "pace", 100, "drains a second")
	c.Flags().Int64Var(&seed, "seed", 1, "of the faults")
	c.Flags().BoolVar(&calm, "calm", false, "without faults")
	c.Flags().BoolVar(&secure, "keys", false, "mutual TLS between nodes and controllers")
	return c
}

func viewCommand() *cobra.Command {
	var program string
	var servers, watchers []int
	c := &cobra.Command{Use: "view", Short: "How long a controller takes to its full view, from nothing and with all nodes coming back in one moment", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(servers) != len(watchers) {
				return fmt.Errorf("--servers and --watchers go together, one of each a run")
			}
			path, err := run.FindProgram("")
			if err != nil {
				return err
			}
			if program == "" {
				program = filepath.Join(filepath.Dir(path), "robincart-controller")
			}
			run.RaiseDescriptors()
			fmt.Fprintf(c.OutOrStdout(), "%8s %9s %14s %12s %12s %12s %10s %10s %10s\n", "servers", "watchers", "whole list KB", "from nothing", "half back", "all back", "CPU", "MB", "most MB")
			for i, n := range servers {
				if n < 1 || n > 20_000 || watchers[i] < 1 || watchers[i] > 10_000 {
					return fmt.Errorf("%d servers and %d watchers: up to 20,000 and 10,000", n, watchers[i])
				}
				v := &chaos.View{Program: program, Servers: n, Watchers: watchers[i]}
				if err := v.Play(c.Context()); err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%8d %9d %14d %12v %12v %12v %10v %10.1f %10.1f\n", n, watchers[i], v.Wholes>>10, v.First.Round(time.Millisecond), v.Half.Round(time.Millisecond),
					v.Last.Round(time.Millisecond), v.CPU, float64(v.Idle)/(1<<20), float64(v.Most)/(1<<20))
			}
			return nil
		}}
	c.Flags().StringVar(&program, "controller", "", "the controller's program")
	c.Flags().IntSliceVar(&servers, "servers", []int{1000, 1000, 20000}, "of each run")
	c.Flags().IntSliceVar(&watchers, "watchers", []int{100, 5000, 500}, "of each run")
	return c
}

func counts(w io.Writer, all map[string]int) {
	var names []string
	for n := range all {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "%7d %s\n", all[n], n)
	}
}

// verdict says what was broken, or that all is well.
func verdict(out io.Writer, broken []string, well string) error {
	for _, b := range broken {
		fmt.Fprintln(out, "BROKEN", b)
	}
	if len(broken) > 0 {
		return errFailed
	}
	fmt.Fprintln(out, well)
	return nil
}
