package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"robincart/internal/lab/fleet"
	"robincart/internal/lab/run"
)

// fleetFlags are the flags of fleet.
type fleetFlags struct {
	node, out            string
	sizes                []int // nodes; empty: the files' own sizes
	recordByControllers  bool
	asJSON, quiet, check bool
}

func fleetCommand() *cobra.Command {
	var flags fleetFlags
	command := &cobra.Command{
		Use: "fleet FILE...",
		Short: "Play days of a whole fleet's control side, its nodes hollow; " +
			"exits 0 if all met their expectations, 1 if not, 2 on bad input",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			files, err := readFleets(&flags, paths)
			if err != nil {
				return err
			}
			if flags.check {
				printFleets(command, files)
				return nil
			}
			return playFleets(command, &flags, files)
		},
	}
	set := command.Flags()
	set.IntSliceVar(&flags.sizes, "nodes", nil, "other sizes than the file's")
	set.BoolVar(&flags.recordByControllers, "through", false,
		"nodes get the record from the controllers, whatever the files say")
	set.StringVar(&flags.node, "node", "", "the node's program (default: robincart beside this program, "+
		"or bin/robincart); "+controllerProgram+" is taken from beside it")
	set.StringVar(&flags.out, "out", "", "where files and logs go (default: the system's place for temporary files)")
	set.BoolVar(&flags.asJSON, "json", false, "print the figures as JSON")
	set.BoolVar(&flags.quiet, "quiet", false, "no progress")
	set.BoolVar(&flags.check, "check", false, "read the files and play nothing")
	return command
}

// readFleets reads all files before anything is started: a mistake in the last one is found at once.
func readFleets(flags *fleetFlags, paths []string) ([]*fleet.Scenario, error) {
	var files []*fleet.Scenario
	for _, path := range paths {
		file, err := fleet.Read(path)
		if err != nil {
			return nil, err
		}
		if flags.recordByControllers {
			file.RecordByControllers = true
		}
		for _, nodes := range flags.sizes {
			if nodes < file.Zones || nodes > fleet.MaxNodes {
				return nil, fmt.Errorf("--nodes: %d is not in %d to %d", nodes, file.Zones, fleet.MaxNodes)
			}
		}
		files = append(files, file)
	}
	return files, nil
}

func printFleets(command *cobra.Command, files []*fleet.Scenario) {
	for _, f := range files {
		fmt.Fprintf(command.OutOrStdout(), "%s: sizes %v, %d services, %d regions, %d zones, %d steps\n",
			f.Name, f.Sizes, f.Services, f.Regions, f.Zones, len(f.Steps))
	}
}

// playFleets plays each file in each size.
func playFleets(command *cobra.Command, flags *fleetFlags, files []*fleet.Scenario) error {
	options, err := fleetOptions(command, flags)
	if err != nil {
		return err
	}
	failed := false
	for _, file := range files {
		sizes := file.Sizes
		if len(flags.sizes) > 0 {
			sizes = flags.sizes
		}
		for _, nodes := range sizes {
			passed, err := playFleet(command, flags, file, nodes, options)
			if err != nil {
				return err
			}
			failed = failed || !passed
		}
	}
	if failed {
		return errFailed
	}
	return nil
}

// fleetOptions returns what all plays have in common: the programs, and where notes go.
func fleetOptions(command *cobra.Command, flags *fleetFlags) (fleet.Options, error) {
	var options fleet.Options
	var err error
	if options.NodeProgram, err = run.FindProgram(flags.node); err != nil {
		return options, err
	}
	if options.LabProgram, err = os.Executable(); err != nil {
		return options, err
	}
	if !flags.quiet {
		options.Notes = notes(command)
	}
	options.ControllerProgram = findController("", options.NodeProgram)
	if _, err := os.Stat(options.ControllerProgram); err != nil {
		return options, fmt.Errorf("the controller's program: %w", err)
	}
	return options, nil
}

// playFleet plays a file in one size, prints the result, and returns whether it passed. If not, its logs are left.
func playFleet(
	command *cobra.Command, flags *fleetFlags, file *fleet.Scenario, nodes int, options fleet.Options,
) (passed bool, err error) {
	if options.Dir, err = os.MkdirTemp(flags.out, "fleet-"); err != nil {
		return false, err
	}
	result, err := fleet.Play(command.Context(), file, nodes, options)
	if err != nil {
		return false, fmt.Errorf("%s, %d nodes (logs in %s): %w", file.Name, nodes, options.Dir, err)
	}
	out := command.OutOrStdout()
	if flags.asJSON {
		printJSON(out, result)
	} else {
		result.WriteText(out)
	}
	if result.Passed() {
		os.RemoveAll(options.Dir)
		return true, nil
	}
	fmt.Fprintf(out, " logs in %s\n", options.Dir)
	return false, nil
}

// fleetPartCommand is what package fleet starts: a process of hollow nodes, or the store's stand-in.
func fleetPartCommand() *cobra.Command {
	return &cobra.Command{
		Use:    fleet.PartCommand,
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE:   func(_ *cobra.Command, arguments []string) error { return fleet.Part(arguments[0]) },
	}
}
