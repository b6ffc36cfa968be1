// Command robinlab is the project's lab: it starts whole fleets on loopback, plays load and faults against real nodes,
// and judges what came of it.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/load"
	"robincart/internal/lab/report"
	"robincart/internal/lab/run"
)

// errFailed is an experiment that was played and did not keep to its expectations.
var errFailed = errors.New("failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().ExecuteContext(ctx)
	switch {
	case errors.Is(err, errFailed):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "robinlab:", err)
		os.Exit(2)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "robinlab", Short: "Fleets, load, faults and verdicts on loopback", SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(runCommand(), costCommand(), chainCommand(), relayCommand(), recordCommand(), controllerCommand(), pairsCommand(), apiserverCommand(), viewCommand(), fleetCommand(), fleetPartCommand(), idleCommand(), checkCommand(), reportCommand(), selfCheckCommand(), demoCommand(), shimCommand(), shimExecCommand(), soakCommand())
	return c
}

// shape is what run and check take beside a file.
type shape struct {
	seed  uint64
	scale float64
	short bool
	node  string
	arms  []string
}

func (s *shape) flags(c *cobra.Command) {
	c.Flags().Uint64Var(&s.seed, "seed", 0, "play another seed than the file's")
	c.Flags().Float64Var(&s.scale, "scale", 1, "fleet and load, so many times as large")
	c.Flags().BoolVar(&s.short, "short", false, "the short form, under 40 s")
	c.Flags().StringVar(&s.node, "node", "", "the node's program (default: robincart beside this program, or bin/robincart)")
	c.Flags().StringSliceVar(&s.arms, "arms", nil, "play these arms only; bounds on others are left out")
}

func (s *shape) read(path string) (*experiment.Experiment, error) {
	e, err := experiment.Read(path)
	if err != nil {
		return nil, err
	}
	if s.seed != 0 {
		e.Seed = s.seed
	}
	if s.short {
		if s.arms != nil { // else each file's own: one file's arms are none of the next's
			e.Short.Arms = s.arms
		}
		e.Shorten()
	} else if s.arms != nil {
		if err := e.Only(s.arms); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	if s.scale != 1 {
		if err := e.Scale(s.scale); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	if e.Fleet.Program == "" || s.node != "" {
		e.Fleet.Program = s.node
	}
	if e.Fleet.Program, err = run.FindProgram(e.Fleet.Program); err != nil {
		return nil, err
	}
	return e, nil
}

func checkCommand() *cobra.Command {
	var s shape
	c := &cobra.Command{Use: "check FILE...", Short: "Read experiments and say what they would play, without playing", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var all error
			for _, f := range files {
				e, err := s.read(f)
				if err != nil {
					all = errors.Join(all, err)
					continue
				}
				plan, err := e.Plan()
				if err != nil {
					all = errors.Join(all, fmt.Errorf("%s: %w", f, err))
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %d requests in %v, %d tiers, %d nodes, %d faults, arms %v\n", f, len(plan),
					time.Duration(e.Duration), len(e.Fleet.Tier), e.Fleet.Nodes, len(e.Fault), e.Arms)
			}
			return all
		}}
	s.flags(c)
	return c
}

func runCommand() *cobra.Command {
	var s shape
	var out, export string
	var quiet bool
	c := &cobra.Command{Use: "run FILE...", Short: "Play experiments; exits 0 if all kept to what they expect, 1 if not, 2 on bad input",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var all []*experiment.Experiment
			for _, f := range files { // nothing is started before all of it is read
				e, err := s.read(f)
				if err != nil {
					return err
				}
				if _, err := e.Plan(); err != nil {
					return fmt.Errorf("%s: %w", f, err)
				}
				all = append(all, e)
			}
			failed := false
			for _, e := range all {
				if c.Context().Err() != nil {
					return errFailed
				}
				o := run.Options{Dir: filepath.Join(out, fmt.Sprintf("%s-%d-%s", e.Name, e.Seed, time.Now().Format("150405.000"))), Short: s.short,
					Trace: export}
				if !quiet {
					o.Progress = progress(c, e)
					o.Notes = func(format string, args ...any) { fmt.Fprintf(c.ErrOrStderr(), "  "+format+"\n", args...) }
				}
				r, err := run.Play(c.Context(), e, o)
				if err != nil {
					return err
				}
				run.WriteText(c.OutOrStdout(), r)
				fmt.Fprintf(c.OutOrStdout(), "kept in %s\n\n", o.Dir)
				failed = failed || !r.Passed
				if r.Cut {
					return errFailed
				}
			}
			if failed {
				return errFailed
			}
			return nil
		}}
	s.flags(c)
	c.Flags().StringVar(&out, "out", "runs", "where results, configurations and logs go")
	c.Flags().StringVar(&export, "export", "", "write the first arm as a trace, .jsonl or .csv")
	c.Flags().BoolVar(&quiet, "quiet", false, "no progress")
	return c
}

func reportCommand() *cobra.Command {
	var out string
	var asJSON bool
	c := &cobra.Command{Use: "report RUN...", Short: "Show one run, or several side by side: text, and a page with plots (--html)",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			var runs []*run.Result
			for _, p := range paths {
				r, err := run.Load(p)
				if err != nil {
					return err
				}
				runs = append(runs, r)
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", " ")
				return e.Encode(runs)
			}
			for _, r := range runs {
				run.WriteText(c.OutOrStdout(), r)
			}
			if out == "" {
				return nil
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			return errors.Join(report.HTML(f, runs...), f.Close())
		}}
	c.Flags().StringVar(&out, "html", "", "write the page here")
	c.Flags().BoolVar(&asJSON, "json", false, "print the figures as JSON")
	return c
}

func selfCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "selfcheck", Short: "Put nodes made wrong on purpose before the judge; exits 1 if one gets away", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			found, err := run.SelfCheck(c.Context())
			if err != nil {
				return err
			}
			if !run.WriteFindings(c.OutOrStdout(), found) {
				return errFailed
			}
			return nil
		}}
}

//go:embed demo.toml
var demoFile []byte

func demoCommand() *cobra.Command {
	var listen, node string
	var lasts time.Duration
	c := &cobra.Command{Use: "demo", Short: "A small fleet on loopback with load and a trouble now and then, to look at and to ask", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			e, err := experiment.Parse(demoFile, ".")
			if err != nil {
				return err
			}
			e.Duration, e.Fleet.Listen = experiment.Duration(lasts), listen
			if err := e.Only(e.Arms); err != nil {
				return err
			}
			if e.Fleet.Program, err = run.FindProgram(node); err != nil {
				return err
			}
			return run.Demo(c.Context(), e, c.OutOrStdout())
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:3000", "where the node serves")
	c.Flags().StringVar(&node, "node", "", "the node's program (default: robincart beside this program, or bin/robincart)")
	c.Flags().DurationVar(&lasts, "for", 10*time.Minute, "how long it goes on by itself, 30m at most")
	return c
}

// progress tells how a run goes: on a terminal in one line that changes, else a line each half second.
func progress(c *cobra.Command, e *experiment.Experiment) func(string, time.Duration, load.Counts) {
	var last load.Counts
	start, end := "", "\n"
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		start, end = "\r\x1b[K", ""
	}
	return func(arm string, at time.Duration, n load.Counts) {
		if n.Sent < last.Sent {
			last = load.Counts{}
		}
		fmt.Fprintf(c.ErrOrStderr(), start+"%-17s %5.1f/%.0fs  sent %6d/s  ok %6d/s  pushed back %5d/s  failed %5d/s  open %5d  waiting %d"+end, arm,
			at.Seconds(), time.Duration(e.Duration).Seconds(), 2*(n.Sent-last.Sent), 2*(n.OK-last.OK), 2*(n.PushedBack-last.PushedBack),
			2*(n.Failed-last.Failed), n.Open, n.Waiting)
		last = n
	}
}
