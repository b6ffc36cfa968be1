// Command robinlab is the project's test lab: it starts fleets of real nodes on loopback, sends them planned load,
// injects faults, and judges the outcome from a ledger of every request and every effect.
//
// The command line is here, a file for each group of subcommands; what they run is in internal/lab. Every subcommand
// exits with 0 when it has measured or when a run passed, with 1 when a run was played and failed, and with 2 when
// nothing could be played: bad input, a missing program, a fault of the machine.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"robincart/internal/lab/peers"
)

// Exit codes.
const (
	exitFailed = 1 // a run was played and failed
	exitError  = 2 // nothing was played, or not to its end
)

// errFailed reports a run that was played and failed. What failed was printed before.
var errFailed = errors.New("failed")

func main() {
	if spec := os.Getenv(peers.StrainVariable); spec != "" { // started by peers --strain
		if err := peers.RunStrainProcess(spec); err != nil {
			fmt.Fprintln(os.Stderr, "robinlab:", err)
			os.Exit(exitError)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	switch {
	case errors.Is(err, errFailed):
		os.Exit(exitFailed)
	case err != nil:
		fmt.Fprintln(os.Stderr, "robinlab:", err)
		os.Exit(exitError)
	}
}

func rootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "robinlab",
		Short:         "Fleets, load, faults and verdicts on loopback",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(
		apiserverCommand(),
		chainCommand(),
		checkCommand(),
		controllerCommand(),
		costCommand(),
		demoCommand(),
		fleetCommand(),
		fleetPartCommand(),
		idleCommand(),
		pairsCommand(),
		proxyCommand(),
		recordCommand(),
		reportCommand(),
		runCommand(),
		selfCheckCommand(),
		shimCommand(),
		shimExecCommand(),
		soakCommand(),
		peersCommand(),
		viewCommand(),
	)
	return command
}
