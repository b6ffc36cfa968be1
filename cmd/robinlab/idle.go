package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/cost"
	"robincart/internal/lab/run"
)

const (
	minIdleConnections = 10
	maxIdleConnections = 1e6
	minIdleDuration    = time.Second
)

// idleFlags are the flags of idle.
type idleFlags struct {
	programs                             []string
	connections                          []int
	phaseDuration, idleTimeout           time.Duration
	rate, sockets, maxRequests, memoryMB int
}

func idleCommand() *cobra.Command {
	var flags idleFlags
	command := &cobra.Command{
		Use: "idle",
		Short: "Memory of idle connections, and how a few at work fare beside them, " +
			"through a wave and a second of timers",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			programs, err := findPrograms(flags.programs)
			if err != nil {
				return err
			}
			if err := flags.check(); err != nil {
				return err
			}
			run.RaiseDescriptors()
			return measureIdleConnections(command, &flags, programs)
		},
	}
	set := command.Flags()
	registerProgramsFlag(command, &flags.programs)
	set.IntSliceVar(&flags.connections, "connections", []int{1000, 10000}, "idle connections")
	set.DurationVar(&flags.phaseDuration, "for", 5*time.Second, "time of each phase")
	set.DurationVar(&flags.idleTimeout, "expire", 0,
		"also play a second in which all idle connections' times end, so long after they rested")
	set.IntVar(&flags.rate, "rate", 500, "RPCs a second of those at work")
	set.IntVar(&flags.sockets, "sockets", 19900, "machine.sockets of the node")
	set.IntVar(&flags.maxRequests, "requests", 0,
		"write an operator's file with so many requests at once; 0: the platform's form")
	set.IntVar(&flags.memoryMB, "memory", 512, "memory_mb of the node")
	return command
}

func (i *idleFlags) check() error {
	if i.phaseDuration < minIdleDuration || i.rate < 1 || i.maxRequests < 0 || i.idleTimeout < 0 ||
		i.memoryMB < minMemoryMB {
		return fmt.Errorf("--for must be %v or more, --rate 1 or more, --requests and --expire 0 or more, "+
			"--memory %d or more", minIdleDuration, minMemoryMB)
	}
	return nil
}

func measureIdleConnections(command *cobra.Command, flags *idleFlags, programs []cost.Program) error {
	for _, count := range flags.connections {
		if count < minIdleConnections || count > maxIdleConnections {
			return errors.New("--connections must be between 10 and a million")
		}
		for _, program := range programs {
			config := flags.measurement(count)
			config.Program = program.Path
			result, err := config.Measure(command.Context())
			if err != nil {
				return fmt.Errorf("%s with %d connections: %w", program.Name, count, err)
			}
			printIdle(command.OutOrStdout(), program.Name, config, result)
		}
	}
	return nil
}

// measurement returns the measurement of so many connections. The idle timeout can be set in a configuration file
// alone, which the node has with --requests.
func (i *idleFlags) measurement(connections int) *cost.IdleConnections {
	config := &cost.IdleConnections{
		RigConfig:     cost.RigConfig{Servers: 16, Cores: 1, MemoryMB: i.memoryMB, Sockets: i.sockets},
		Count:         connections,
		Rate:          i.rate,
		PhaseDuration: i.phaseDuration,
	}
	if i.maxRequests == 0 {
		return config
	}
	const spareConnections = 200 // of the steady load, beside a tenth for what comes anew
	config.ExtraTables = fmt.Sprintf("[callers]\nrequests = %d\nconnections = %d\n",
		i.maxRequests, connections+connections/10+spareConnections)
	if i.idleTimeout > 0 {
		config.IdleTimeout = i.idleTimeout
		config.ExtraTables += fmt.Sprintf("idle = %q\n", i.idleTimeout)
	}
	return config
}

func printIdle(out io.Writer, name string, config *cost.IdleConnections, result *cost.IdleResult) {
	fmt.Fprintf(out, "%s, %d connections: %.0f bytes of the node each, %.0f of the kernel a socket "+
		"(both ends' slab); %.1f MB at most\n",
		name, config.Count, result.BytesPerConnection, result.KernelBytesPerSocket, mebibytes(result.PeakBytes))
	table := newTable(out)
	fmt.Fprint(table, "phase\tasked\tok\tp50\tp99\tworst\tp99 against none\t\n")
	baseline := float64(result.Phases[0].P99)
	for _, phase := range result.Phases {
		fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%v\t%.2f\t\n",
			phase.Name, phase.Calls, phase.OK, phase.P50, phase.P99, phase.Max, float64(phase.P99)/baseline)
	}
	table.Flush()
	fmt.Fprintf(out, "the wave: %d ok, %d pushed back, %d neither (half of them drip)\n",
		result.Wave.OK, result.Wave.Rejected, result.Wave.Other)
	fmt.Fprintf(out, "from SIGTERM to the end: %v\n", result.ShutdownTime.Round(time.Millisecond))
	if config.IdleTimeout > 0 {
		fmt.Fprintf(out, "open still 3 s after the second of timers: %d\n", result.OpenAfterTimeout)
	}
}
