package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/controlplane/recordcache"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// noLimit is a limit of changes that is never reached.
const noLimit = 1 << 30

func repairPlanCommand(options *storeOptions) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "repair-plan",
		Short: "Print the entries of a node's snapshot that the store lacks, and those that a node would write",
		Args:  cobra.NoArgs,
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, _ []string,
		) error {
			return repairPlan(ctx, command.OutOrStdout(), database, path)
		}),
	}
	command.Flags().StringVar(&path, "snapshot", "", "the node's snapshot file")
	return command
}

// repairPlan prints the changes that a node would write if it started with a snapshot and read the store. It also
// prints the entries that are newer in the snapshot but that the node would not write. repairPlan writes nothing to the
// store.
func repairPlan(ctx context.Context, out io.Writer, database store.Database, path string) error {
	snapshot, found, err := recordcache.LoadSnapshot(path)
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("there is no snapshot at %q", path)
	}
	entries, meta, err := readRecord(ctx, database)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "snapshot: epoch %s, revision %d; store: epoch %s, revision %d\n",
		snapshot.Meta.Epoch, snapshot.Meta.Revision, meta.Epoch, meta.Revision)
	view := viewAfterStart(snapshot, record.Page{Meta: meta, Complete: true, Entries: entries})
	fmt.Fprintf(out, "sync state of the node: %v\n", view.SyncState)
	for _, change := range view.Pending(noLimit) {
		fmt.Fprintf(out, "would be written again: %s %s %s\n", change.Kind, change.Name, change.Value)
	}
	printOlderEntries(out, snapshot.Entries, entries)
	if view.PendingCount() == 0 {
		fmt.Fprintln(out, "nothing would be written")
	}
	return nil
}

// viewAfterStart returns the view of a node that has started with a snapshot and read the store.
func viewAfterStart(snapshot record.Snapshot, page record.Page) *record.View {
	keys := 0
	view := record.NewView("plan", noLimit, func() string {
		keys++
		return fmt.Sprint("plan", keys)
	})
	now := time.Now().UnixMilli()
	view.Restore(snapshot, now)
	view.ApplyPage(page, now)
	return view
}

// printOlderEntries prints the services, routes and tenants of a snapshot that are missing in the store, or older
// there. Nodes do not write such entries again.
func printOlderEntries(out io.Writer, snapshot, stored []record.Entry) {
	byKey := map[record.Key]record.Entry{}
	for _, entry := range stored {
		byKey[entry.Key] = entry
	}
	for _, entry := range snapshot {
		if entry.Kind == record.KindDrain || entry.Kind == record.KindServer {
			continue
		}
		current, exists := byKey[entry.Key]
		isOlder := !exists || current.Revision < entry.Revision
		if isOlder && string(current.Value) != string(entry.Value) {
			fmt.Fprintf(out, "%s %s is missing or older in the store (revision %d, snapshot %d): write it with set\n",
				entry.Kind, entry.Name, current.Revision, entry.Revision)
		}
	}
}
