package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"robincart/internal/lab/chaos"
	"robincart/internal/lab/run"
)

const (
	maxDrainPace    = 1000
	maxViewServers  = 20_000
	maxViewWatchers = 10_000
)

// controllerFlags are the flags of controller.
type controllerFlags struct {
	controller, node string
	drains, pace     int
	seed             int64
	calm, mutualTLS  bool
}

func controllerCommand() *cobra.Command {
	var flags controllerFlags
	command := &cobra.Command{
		Use: "controller",
		Short: "Drain servers by the cluster manager's API under faults; " +
			"exits 1 if one is called more than 400 ms later",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.drains < 1 || flags.pace < 1 || flags.pace > maxDrainPace {
				return fmt.Errorf("--drains must be 1 or more, --pace between 1 and %d", maxDrainPace)
			}
			program, err := run.FindProgram(flags.node)
			if err != nil {
				return err
			}
			run.RaiseDescriptors()
			return playDrains(command, &flags, program)
		},
	}
	set := command.Flags()
	registerControllerFlag(command, &flags.controller)
	registerNodeFlag(command, &flags.node)
	set.IntVar(&flags.drains, "drains", 10_000, "drains in all")
	set.IntVar(&flags.pace, "pace", 100, "drains a second")
	set.Int64Var(&flags.seed, "seed", 1, "of the faults")
	set.BoolVar(&flags.calm, "calm", false, "without faults")
	set.BoolVar(&flags.mutualTLS, "keys", false, "mutual TLS between nodes and controllers")
	return command
}

// playDrains drains servers under faults and prints how long each was called after that.
func playDrains(command *cobra.Command, flags *controllerFlags, nodeProgram string) error {
	drains := &chaos.Controller{
		Program:  findController(flags.controller, nodeProgram),
		Node:     nodeProgram,
		Drains:   flags.drains,
		Pace:     flags.pace,
		Servers:  200,
		Replicas: 3,
		Nodes:    2,
		Rate:     400,
		Seed:     flags.seed,
		Faults:   !flags.calm,
		Keys:     flags.mutualTLS,
	}
	if err := drains.Play(command.Context()); err != nil {
		return err
	}
	out := command.OutOrStdout()
	printCounts(out, drains.Counts)
	fmt.Fprintf(out, "%7d calls reached servers\n", drains.Calls)
	printLastCalls(out, drains.Last)
	err := printVerdict(out, drains.Broken, "none was called later than 400 ms after the word")
	if errors.Is(err, errFailed) {
		fmt.Fprintf(out, "began at %.3f; the programs' logs are in %s\n",
			float64(drains.Begin().UnixNano())/float64(time.Second), drains.Kept)
	}
	return err
}

// printLastCalls prints when servers got their last calls, in microseconds since their drains.
func printLastCalls(out io.Writer, lastCalls *hdrhistogram.Histogram) {
	at := func(percentile float64) float64 {
		return milliseconds(time.Duration(lastCalls.ValueAtQuantile(percentile)) * time.Microsecond)
	}
	fmt.Fprintf(out, "from the word to the last call, of %d servers that got one after it: "+
		"p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, most %.1f ms\n",
		lastCalls.TotalCount(), at(50), at(99), at(99.9),
		milliseconds(time.Duration(lastCalls.Max())*time.Microsecond))
}

// viewFlags are the flags of view.
type viewFlags struct {
	controller        string
	servers, watchers []int // one of each a run
}

func viewCommand() *cobra.Command {
	var flags viewFlags
	command := &cobra.Command{
		Use: "view",
		Short: "How long a controller takes to its full view, from nothing " +
			"and with all nodes coming back in one moment",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if len(flags.servers) != len(flags.watchers) {
				return errors.New("--servers and --watchers go together, one of each a run")
			}
			nodeProgram, err := run.FindProgram("")
			if err != nil {
				return err
			}
			run.RaiseDescriptors()
			return measureViews(command, &flags, findController(flags.controller, nodeProgram))
		},
	}
	registerControllerFlag(command, &flags.controller)
	command.Flags().IntSliceVar(&flags.servers, "servers", []int{1000, 1000, 20000}, "of each run")
	command.Flags().IntSliceVar(&flags.watchers, "watchers", []int{100, 5000, 500}, "of each run")
	return command
}

func measureViews(command *cobra.Command, flags *viewFlags, program string) error {
	out := command.OutOrStdout()
	fmt.Fprintf(out, "%8s %9s %14s %12s %12s %12s %10s %10s %10s\n", "servers", "watchers", "whole list KB",
		"from nothing", "half back", "all back", "CPU", "MB", "most MB")
	for i, servers := range flags.servers {
		view := &chaos.View{Program: program, Servers: servers, Watchers: flags.watchers[i]}
		if view.Servers < 1 || view.Servers > maxViewServers || view.Watchers < 1 || view.Watchers > maxViewWatchers {
			return fmt.Errorf("%d servers and %d watchers: up to 20,000 and 10,000", view.Servers, view.Watchers)
		}
		if err := view.Play(command.Context()); err != nil {
			return err
		}
		fmt.Fprintf(out, "%8d %9d %14d %12v %12v %12v %10v %10.1f %10.1f\n",
			view.Servers, view.Watchers, view.Wholes/kibibyte, view.First.Round(time.Millisecond),
			view.Half.Round(time.Millisecond), view.Last.Round(time.Millisecond), view.CPU,
			mebibytes(view.Idle), mebibytes(view.Most))
	}
	return nil
}
