package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// readPageSize is the maximum number of entries that one call to the store returns.
const readPageSize = 2000

// readRecord returns all entries, including deleted entries, and the record's position.
func readRecord(ctx context.Context, database store.Database) ([]record.Entry, record.Meta, error) {
	var entries []record.Entry
	var meta record.Meta
	for page, err := range store.Pages(ctx, database.Since, 0, readPageSize) {
		if err != nil {
			return nil, meta, err
		}
		entries = append(entries, page.Entries...)
		meta = page.Meta
	}
	return entries, meta, nil
}

func initCommand(options *storeOptions) *cobra.Command {
	var dryRun bool
	command := &cobra.Command{
		Use:   "init",
		Short: "Create the record, or migrate an older one to the current schema",
		Args:  cobra.NoArgs,
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, _ []string,
		) error {
			out := command.OutOrStdout()
			verb := "done"
			if dryRun {
				verb = "dry run"
			}
			steps, err := database.Init(ctx, dryRun)
			for _, step := range steps {
				fmt.Fprintf(out, "%s: %s\n", verb, step)
			}
			if err == nil && len(steps) == 0 {
				fmt.Fprintln(out, "nothing to do")
			}
			return err
		}),
	}
	command.Flags().BoolVar(&dryRun, "dry", false, "try the steps and roll them back")
	return command
}

func showCommand(options *storeOptions) *cobra.Command {
	var kind string
	command := &cobra.Command{
		Use:   "show",
		Short: "Print the entries of the record",
		Args:  cobra.NoArgs,
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, _ []string,
		) error {
			entries, meta, err := readRecord(ctx, database)
			if err != nil {
				return err
			}
			out := command.OutOrStdout()
			fmt.Fprintf(out, "epoch %s, revision %d\n", meta.Epoch, meta.Revision)
			table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			for _, entry := range record.SortEntries(entries) {
				if kind == string(entry.Kind) || kind == "" && !entry.Deleted {
					fmt.Fprintln(table, tableRow(entry))
				}
			}
			return table.Flush()
		}),
	}
	usage := "print only entries of this kind, deleted ones included: drain, service, tenant, route or server"
	command.Flags().StringVar(&kind, "kind", "", usage)
	return command
}

func tableRow(entry record.Entry) string {
	value := string(entry.Value)
	if entry.Deleted {
		value = "deleted"
	}
	written := time.UnixMilli(entry.WrittenAt).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s",
		entry.Kind, entry.Name, entry.Revision, entry.Writer, written, value)
}

func verifyCommand(options *storeOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "verify",
		Short: "Check the consistency of the record",
		Args:  cobra.NoArgs,
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, _ []string,
		) error {
			out := command.OutOrStdout()
			wrong, err := database.Verify(ctx)
			for _, finding := range wrong {
				fmt.Fprintln(out, finding)
			}
			if err != nil {
				return err
			}
			if len(wrong) > 0 {
				return fmt.Errorf("the record has %d inconsistencies", len(wrong))
			}
			fmt.Fprintln(out, "sound")
			return nil
		}),
	}
}
