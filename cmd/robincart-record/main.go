// Command robincart-record is the only program that links the drivers of the store of record. A node starts it beside
// itself to reach its store (serve); operators use it to create, show, change, save and check a record.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

const defaultTimeout = 5 * time.Second // of a command's calls to the store

func main() {
	if err := recordCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "robincart-record:", err)
		os.Exit(1)
	}
}

// recordCommand returns the program's command line.
func recordCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "robincart-record",
		Short:         "Make, show, change, save and check the store of record",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.CompletionOptions.DisableDefaultCmd = true
	options := &storeOptions{}
	flags := command.PersistentFlags()
	flags.StringVar(&options.address, "store", "", "its address: sqlite:PATH or postgres://...")
	flags.DurationVar(&options.timeout, "wait", defaultTimeout, "for the store, at most")
	command.AddCommand(
		serveCommand(),
		initCommand(options),
		showCommand(options),
		exportCommand(options),
		importCommand(options),
		verifyCommand(options),
		repairPlanCommand(options),
		drainCommand(options),
		undrainCommand(options),
		setCommand(options),
		deleteCommand(options),
	)
	return command
}

// storeOptions are the flags of all commands but serve.
type storeOptions struct {
	address string
	timeout time.Duration
}

// withDatabase returns a command's RunE: it opens the store, and bounds the time of a function that uses it.
func (o *storeOptions) withDatabase(
	run func(ctx context.Context, command *cobra.Command, database store.Database, args []string) error,
) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		if o.address == "" {
			return errors.New("--store is missing")
		}
		database, err := sqlstore.Open(o.address)
		if err != nil {
			return err
		}
		defer database.Close()
		ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
		defer cancel()
		err = run(ctx, command, database, args)
		if errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("the store at %s did not answer within %v", store.Redact(o.address), o.timeout)
		}
		return err
	}
}
