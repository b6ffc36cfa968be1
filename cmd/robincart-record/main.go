// Command robincart-record gives access to the store of record. A node starts it as a child process to reach its store
// (serve), so that the node itself links no database drivers. Operators use it to create, show, change, export, import
// and check a record.
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

const defaultTimeout = 5 * time.Second // timeout for all calls of one command to the store together

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
		Short:         "Create, show, change, export, import and check the store of record",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.CompletionOptions.DisableDefaultCmd = true
	options := &storeOptions{}
	flags := command.PersistentFlags()
	flags.StringVar(&options.address, "store", "", "address of the store: sqlite:PATH or postgres://...")
	flags.DurationVar(&options.timeout, "wait", defaultTimeout, "timeout of the command's calls to the store")
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

// storeOptions has the flags of all commands except serve.
type storeOptions struct {
	address string
	timeout time.Duration
}

// withDatabase returns the RunE function of a command. That function opens the store, and calls run with a context that
// ends after the timeout.
func (o *storeOptions) withDatabase(
	run func(ctx context.Context, command *cobra.Command, database store.Database, args []string) error,
) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		if o.address == "" {
			return errors.New("--store is missing: expected sqlite:PATH or postgres://HOST/DATABASE")
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
