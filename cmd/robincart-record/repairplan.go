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
		Short: "Say what a node's snapshot knows that the store lacks, and what a node would do",
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

// repairPlan prints what a node that starts with a snapshot would do with a store, and which entries it would not
// write again although the store's are older. It writes nothing.
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
	view := startNode(snapshot, record.Page{Meta: meta, Complete: true, Entries: entries})
	fmt.Fprintf(out, "the node finds: %v\n", view.SyncState)
	for _, change := range view.Pending(noLimit) {
		fmt.Fprintf(out, "would be written again: %s %s %s\n", change.Kind, change.Name, change.Value)
	}
	printOlderEntries(out, snapshot.Entries, entries)
	if view.PendingCount() == 0 {
		fmt.Fprintln(out, "nothing would be written")
	}
	return nil
}

// startNode returns the view of a node that starts with a snapshot and reads a store.
func startNode(snapshot record.Snapshot, page record.Page) *record.View {
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

// printOlderEntries prints the configuration that is older in the store than in a snapshot: nodes do not write it.
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
			fmt.Fprintf(out, "the store has an older %s %s (revision %d, the node %d): look, and set it by hand\n",
				entry.Kind, entry.Name, current.Revision, entry.Revision)
		}
	}
}
