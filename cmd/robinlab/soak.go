package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
	"robincart/internal/lab/soak"
)

// eventsVariable is the environment variable with which a node logs each of its events.
const eventsVariable = "EDGE_EVENTS"

const soakHelp = `Plays experiments that are drawn from seeds: at three moments several faults overlap, of servers
and the network before them, of nodes and their clients, of discovery, and of nodes' system calls and clocks. Each seed
has one kind of process fault (several configurations, successors, pauses, bans, short memory). At each moment
discovery's messages are cut or nodes are moved in series, nodes are stopped or get signals that cross, and clocks are
stepped once more. A node is killed at the earliest: the longest deadline, at most 3 s, and 0.7 s after SIGTERM.`

// soakFlags are the flags of soak.
type soakFlags struct {
	firstSeed uint64
	seeds     int
	node, out string
	patience  time.Duration
	logEvents bool
	base      bool
	size      soak.Size
}

func soakCommand() *cobra.Command {
	flags := soakFlags{size: soak.DefaultSize}
	size := &flags.size
	command := &cobra.Command{
		Use:   "soak",
		Short: "Real nodes under overlapping faults, drawn from seeds; exits 1 if a rule or an invariant was broken",
		Long:  soakHelp,
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return playSoaks(command, &flags) },
	}
	set := command.Flags()
	set.Uint64Var(&flags.firstSeed, "first", 1, "the first seed")
	set.IntVar(&flags.seeds, "seeds", 1, "how many")
	registerNodeFlag(command, &flags.node)
	set.StringVar(&flags.out, "out", "runs", "where experiments, results, configurations and logs go")
	set.DurationVar(&flags.patience, "patience", 250*time.Millisecond,
		"added to the rules' times, for a machine that stalls")
	set.BoolVar(&flags.base, "base", false, "only the faults that seeds of earlier versions had")
	set.BoolVar(&flags.logEvents, "events", false, "nodes log each event")
	set.IntVar(&size.Nodes, "nodes", size.Nodes, "nodes")
	set.IntVar(&size.Servers, "servers", size.Servers, "servers")
	set.IntVar(&size.Rate, "rate", size.Rate, "calls a second")
	set.DurationVar(&size.Duration, "for", size.Duration, "how long a seed lasts")
	return command
}

// playSoaks plays one seed after another.
func playSoaks(command *cobra.Command, flags *soakFlags) error {
	program, err := run.FindProgram(flags.node)
	if err != nil {
		return err
	}
	if flags.logEvents {
		if err := os.Setenv(eventsVariable, "1"); err != nil {
			return err
		}
	}
	out := command.OutOrStdout()
	failed := 0
	faults := map[string]int{}
	end := flags.firstSeed + uint64(flags.seeds)
	for seed := flags.firstSeed; seed < end && command.Context().Err() == nil; seed++ {
		result, err := playSoak(command, flags, seed, program)
		if err != nil {
			return err
		}
		if !printSoak(out, seed, result) {
			failed++
		}
		countFaults(faults, result)
	}
	printFaults(out, faults)
	fmt.Fprintf(out, "%d of %d seeds broke something\n", failed, flags.seeds)
	if failed > 0 {
		return errFailed
	}
	return nil
}

// playSoak plays one seed in a directory of its own, which it clears before. The experiment is left there.
func playSoak(command *cobra.Command, flags *soakFlags, seed uint64, program string) (*run.Result, error) {
	text := soak.PlatformText(seed, flags.size)
	if flags.base {
		text = soak.ExperimentText(seed, flags.size)
	}
	parsed, err := experiment.Parse([]byte(text), ".")
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	parsed.Fleet.Program = program
	dir := filepath.Join(flags.out, fmt.Sprintf("soak-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	result, err := run.Play(command.Context(), parsed, run.Options{Dir: dir, Patience: flags.patience})
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	const fileMode = 0o644
	return result, os.WriteFile(filepath.Join(dir, "soak.toml"), []byte(text), fileMode)
}

// printSoak prints a seed's verdict, and returns whether it passed.
func printSoak(out io.Writer, seed uint64, result *run.Result) bool {
	arm := result.Arms[0]
	metrics := arm.Metrics
	passed := len(arm.Broken) == 0 && len(arm.Violations) == 0 && metrics["crashes"] == 0 && len(result.Invalid) == 0
	verdict := "kept"
	if !passed {
		verdict = "BROKEN"
	}
	fmt.Fprintf(out, "seed %d: %s; %.0f calls, goodput %.3f, %.0f system calls changed, %v\n",
		seed, verdict, metrics["calls"], metrics["goodput"], metrics["injected"], arm.Ends)
	for rule, broken := range arm.Broken {
		fmt.Fprintf(out, "  %s: %d\n", rule, broken.Count)
		for _, example := range broken.Examples {
			fmt.Fprintf(out, "    %s\n", example)
		}
	}
	for invariant, count := range arm.Violations {
		fmt.Fprintf(out, "  the nodes found %q: %d\n", invariant, count)
	}
	for _, note := range append(arm.Notes, result.Invalid...) {
		fmt.Fprintf(out, "    %s\n", note)
	}
	return passed
}

// countFaults adds a seed's faults to the counts by kind.
func countFaults(counts map[string]int, result *run.Result) {
	for _, fault := range result.Faults {
		kind, _, _ := strings.Cut(fault.Name, " ")
		counts[kind]++
	}
}

// printFaults prints how many faults of each kind were played.
func printFaults(out io.Writer, counts map[string]int) {
	fmt.Fprint(out, "faults played:")
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, " %s %d", kind, counts[kind])
	}
	fmt.Fprintln(out)
}
