package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
)

// runDirTime is the time of day in the name of a run's directory.
const runDirTime = "150405.000"

// experimentFlags are the flags with which run and check change an experiment.
type experimentFlags struct {
	seed  uint64 // 0: the file's
	scale float64
	short bool
	node  string
	arms  []string // nil: the file's
}

func (e *experimentFlags) register(command *cobra.Command) {
	set := command.Flags()
	set.Uint64Var(&e.seed, "seed", 0, "play another seed than the file's")
	set.Float64Var(&e.scale, "scale", 1, "fleet and load, so many times as large")
	set.BoolVar(&e.short, "short", false, "the short form, under 40 s")
	registerNodeFlag(command, &e.node)
	set.StringSliceVar(&e.arms, "arms", nil, "play these arms only; bounds on others are left out")
}

// read reads an experiment and changes it by the flags.
func (e *experimentFlags) read(path string) (*experiment.Experiment, error) {
	read, err := experiment.Read(path)
	if err != nil {
		return nil, err
	}
	if e.seed != 0 {
		read.Seed = e.seed
	}
	if err := e.selectArms(read); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if e.scale != 1 {
		if err := read.Scale(e.scale); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	if read.Fleet.Program == "" || e.node != "" {
		read.Fleet.Program = e.node
	}
	read.Fleet.Program, err = run.FindProgram(read.Fleet.Program)
	return read, err
}

// selectArms shortens the experiment and keeps the arms of the flags.
func (e *experimentFlags) selectArms(read *experiment.Experiment) error {
	switch {
	case e.short:
		if e.arms != nil {
			read.Short.Arms = e.arms
		}
		read.Shorten()
	case e.arms != nil:
		return read.Only(e.arms)
	}
	return nil
}

func checkCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Read experiments and print what they would play, without playing",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			var all error
			for _, file := range files {
				all = errors.Join(all, checkExperiment(command, &flags, file))
			}
			return all
		},
	}
	flags.register(command)
	return command
}

// checkExperiment reads an experiment, plans its load, and prints its size.
func checkExperiment(command *cobra.Command, flags *experimentFlags, file string) error {
	read, err := flags.read(file)
	if err != nil {
		return err
	}
	arrivals, err := read.Plan()
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	fmt.Fprintf(command.OutOrStdout(), "%s: %d requests in %v, %d tiers, %d nodes, %d faults, arms %v\n",
		file, len(arrivals), time.Duration(read.Duration), len(read.Fleet.Tiers), read.Fleet.Nodes, len(read.Faults),
		read.Arms)
	return nil
}

// runFlags are the flags of run.
type runFlags struct {
	experimentFlags
	out, export string
	quiet       bool
}

func runCommand() *cobra.Command {
	var flags runFlags
	command := &cobra.Command{
		Use:   "run FILE...",
		Short: "Play experiments; exits 0 if all met their expectations, 1 if not, 2 on bad input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			experiments, err := readExperiments(&flags.experimentFlags, files)
			if err != nil {
				return err
			}
			return playExperiments(command, &flags, experiments)
		},
	}
	flags.register(command)
	set := command.Flags()
	set.StringVar(&flags.out, "out", "runs", "where results, configurations and logs go")
	set.StringVar(&flags.export, "export", "", "write the first arm as a trace, .jsonl or .csv")
	set.BoolVar(&flags.quiet, "quiet", false, "no progress")
	return command
}

// readExperiments reads all files, and plans their load, before anything is started: a mistake in the last file is
// found at once.
func readExperiments(flags *experimentFlags, files []string) ([]*experiment.Experiment, error) {
	var experiments []*experiment.Experiment
	for _, file := range files {
		read, err := flags.read(file)
		if err != nil {
			return nil, err
		}
		if _, err := read.Plan(); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		experiments = append(experiments, read)
	}
	return experiments, nil
}

// playExperiments plays one after another, until one is interrupted.
func playExperiments(command *cobra.Command, flags *runFlags, experiments []*experiment.Experiment) error {
	failed := false
	for _, e := range experiments {
		if command.Context().Err() != nil {
			return errFailed
		}
		result, err := playExperiment(command, flags, e)
		if err != nil {
			return err
		}
		failed = failed || !result.Passed
		if result.Interrupted {
			return errFailed
		}
	}
	if failed {
		return errFailed
	}
	return nil
}

// playExperiment plays one and prints its result.
func playExperiment(command *cobra.Command, flags *runFlags, e *experiment.Experiment) (*run.Result, error) {
	name := fmt.Sprintf("%s-%d-%s", e.Name, e.Seed, time.Now().Format(runDirTime))
	options := run.Options{Dir: filepath.Join(flags.out, name), Short: flags.short, Trace: flags.export}
	if !flags.quiet {
		options.Progress = newProgress(command.ErrOrStderr(), time.Duration(e.Duration)).print
		options.Notes = notes(command)
	}
	result, err := run.Play(command.Context(), e, options)
	if err != nil {
		return nil, err
	}
	out := command.OutOrStdout()
	run.WriteText(out, result)
	fmt.Fprintf(out, "kept in %s\n\n", options.Dir)
	return result, nil
}
