package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/cost"
	"robincart/internal/lab/run"
)

const (
	defaultNodeName = "node"
	costSockets     = 16000 // of a measured node
	minMemoryMB     = 16
	minCostDuration = 100 * time.Millisecond
	maxCostNumber   = 1e6 // of servers, cores or callers
)

// costFlags are the flags of cost.
type costFlags struct {
	programs                []string
	servers, cores, callers []int
	duration                time.Duration
	churn, rounds, memoryMB int
	rates                   []int
	seed                    uint64
}

func costCommand() *cobra.Command {
	var flags costFlags
	command := &cobra.Command{
		Use: "cost",
		Short: "CPU and memory of a node an RPC, by servers, cores and callers, several programs in turns; " +
			"latency added at given rates",
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
			if len(flags.rates) > 0 {
				return compareAtRates(command, &flags, programs)
			}
			return measureClosedLoops(command, &flags, programs)
		},
	}
	set := command.Flags()
	registerProgramsFlag(command, &flags.programs)
	set.IntSliceVar(&flags.servers, "servers", []int{16, 100, 400, 5000}, "servers")
	set.IntSliceVar(&flags.cores, "cores", []int{1}, "the node's cores")
	set.IntSliceVar(&flags.callers, "callers", []int{64}, "callers, each making one RPC after another")
	set.DurationVar(&flags.duration, "for", 3*time.Second, "measured time of each; a third of it goes before")
	set.IntVar(&flags.churn, "churn", 0, "servers that leave and come a second")
	set.IntVar(&flags.rounds, "rounds", 1, "times that each is measured, the programs in turns")
	set.IntVar(&flags.memoryMB, "memory", 64, "memory_mb of the node")
	set.IntSliceVar(&flags.rates, "rate", nil, "calls a second, open loop, beside callers straight to 15 servers "+
		"and a relay that only copies bytes; 0: as many as the callers get through")
	set.Uint64Var(&flags.seed, "seed", 1, "of the plan, with --rate")
	return command
}

func (c *costFlags) check() error {
	if c.duration < minCostDuration || c.rounds < 1 || c.churn < 0 || c.memoryMB < minMemoryMB {
		return fmt.Errorf("--for must be %v or more, --rounds 1 or more, --churn 0 or more, --memory %d or more",
			minCostDuration, minMemoryMB)
	}
	for _, numbers := range [][]int{c.servers, c.cores, c.callers} {
		for _, number := range numbers {
			if number < 1 || number > maxCostNumber {
				return errors.New("--servers, --cores and --callers must be between 1 and a million")
			}
		}
	}
	return nil
}

// registerProgramsFlag adds the flag that names the programs to compare, for findPrograms.
func registerProgramsFlag(command *cobra.Command, programs *[]string) {
	command.Flags().StringSliceVar(programs, "programs", nil, "nodes to compare, as NAME=PATH,...")
}

// findPrograms finds the programs of nodes that are to be compared, each given as NAME=PATH or a path alone. With none
// it is the usual one.
func findPrograms(given []string) ([]cost.Program, error) {
	if len(given) == 0 {
		given = []string{defaultNodeName + "="}
	}
	var programs []cost.Program
	for _, text := range given {
		name, path, named := strings.Cut(text, "=")
		if !named {
			path = text
		}
		found, err := run.FindProgram(path)
		if err != nil {
			return nil, err
		}
		programs = append(programs, cost.Program{Name: name, Path: found})
	}
	return programs, nil
}

// measureClosedLoops measures each program with each number of cores, callers and servers, and prints a line for each.
func measureClosedLoops(command *cobra.Command, flags *costFlags, programs []cost.Program) error {
	table := newTable(command.OutOrStdout())
	fmt.Fprint(table, "program\tservers\tcores\tcallers\tok/s\tCPU µs/RPC\tpushed back\tfailed\tp50\tp99\t"+
		"idle MB\tbusy MB\tmost MB\t\n")
	for _, config := range flags.closedLoops() {
		for _, program := range programs {
			config.Program = program.Path
			result, err := config.Measure(command.Context())
			if err != nil {
				return fmt.Errorf("%s with %d servers: %w", program.Name, config.Servers, err)
			}
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.0f\t%.1f\t%.4f\t%d\t%v\t%v\t%.1f\t%.1f\t%.1f\t\n",
				program.Name, config.Servers, config.Cores, config.Callers, result.Throughput,
				result.CPUMicroseconds, result.RejectedShare, result.Failed, result.P50, result.P99,
				mebibytes(result.IdleBytes), mebibytes(result.BusyBytes), mebibytes(result.PeakBytes))
		}
	}
	return table.Flush()
}

// closedLoops returns the measurements of one program, each as often as there are rounds.
func (c *costFlags) closedLoops() []cost.ClosedLoop {
	var all []cost.ClosedLoop
	for _, cores := range c.cores {
		for _, callers := range c.callers {
			for _, servers := range c.servers {
				for range c.rounds {
					config := c.rig()
					config.Servers, config.Cores = servers, cores
					all = append(all, cost.ClosedLoop{RigConfig: config, Callers: callers, Duration: c.duration})
				}
			}
		}
	}
	return all
}

// rig returns what all measurements have in common.
func (c *costFlags) rig() cost.RigConfig {
	return cost.RigConfig{MemoryMB: c.memoryMB, Sockets: costSockets, Churn: c.churn}
}
