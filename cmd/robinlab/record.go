package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/chaos"
	"robincart/internal/lab/cost"
	"robincart/internal/lab/run"
)

const (
	minRecordDuration = time.Second
	maxShortDuration  = 40 * time.Second
	drawnSeeds        = 1_000_000
)

// recordFlags are the flags of record.
type recordFlags struct {
	node     string
	duration time.Duration
	seed     int64 // 0: drawn
	short    bool
	sqlite   bool
	latency  bool
}

func recordCommand() *cobra.Command {
	var flags recordFlags
	command := &cobra.Command{
		Use:   "record",
		Short: "Kill nodes and their store of record at random under load; exits 1 if anything was lost",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.short {
				flags.duration = min(flags.duration, maxShortDuration)
			}
			if flags.duration < minRecordDuration {
				return fmt.Errorf("--for must be %v or more", minRecordDuration)
			}
			program, err := run.FindProgram(flags.node)
			if err != nil {
				return err
			}
			if flags.latency {
				return measureStoreStall(command, program)
			}
			return playRecord(command, &flags, program)
		},
	}
	set := command.Flags()
	registerNodeFlag(command, &flags.node)
	set.DurationVar(&flags.duration, "for", 20*time.Minute, "how long")
	set.Int64Var(&flags.seed, "seed", 0, "of the faults; 0: another each time")
	set.BoolVar(&flags.short, "short", false, "40 s at most")
	set.BoolVar(&flags.sqlite, "sqlite", false, "SQLite instead of the stand-in for PostgreSQL")
	set.BoolVar(&flags.latency, "latency", false, "instead: requests with the store well, stalled and gone")
	return command
}

// measureStoreStall prints the latency of calls while the store is well, stalled and gone.
func measureStoreStall(command *cobra.Command, program string) error {
	stall := &cost.StoreStall{Program: program, Rate: 500, PhaseDuration: 4 * time.Second}
	phases, err := stall.Measure(command.Context())
	if err != nil {
		return err
	}
	healthy := float64(phases[0].P99)
	for _, phase := range phases {
		fmt.Fprintf(command.OutOrStdout(), "store %-10s  %d of %d ok, p50 %v, p99 %v (%.2f of well)\n",
			phase.Name, phase.OK, phase.Calls, phase.P50, phase.P99, float64(phase.P99)/healthy)
	}
	return nil
}

// playRecord kills nodes and the store under load and prints whether anything was lost.
func playRecord(command *cobra.Command, flags *recordFlags, program string) error {
	if flags.seed == 0 {
		flags.seed = time.Now().UnixNano() % drawnSeeds
	}
	out := command.OutOrStdout()
	fmt.Fprintf(out, "seed %d, %v\n", flags.seed, flags.duration)
	record := &chaos.Record{
		Program: program,
		For:     flags.duration,
		Seed:    flags.seed,
		Nodes:   2,
		Servers: 40,
		Rate:    100,
		SQLite:  flags.sqlite,
	}
	if err := record.Play(command.Context()); err != nil {
		return err
	}
	printCounts(out, record.Counts)
	return printVerdict(out, record.Broken, "nothing was lost")
}
