package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/system/tomlfile"
)

const (
	operatorKeyPrefix = "hand."                 // prefix of the idempotency keys of operators' changes
	maxRetries        = 3                       // retries of a write whose outcome is unknown
	maxFileSize       = record.MaxValueSize / 2 // bytes
)

// tomlValue is the value of a service or a route.
type tomlValue struct {
	TOML string `json:"toml"`
}

// writeChange writes a change and prints its revision. It first sets the time of the change and, unless the change is a
// deletion, the value. It also sets an idempotency key, so that a change that is retried is applied only once.
func writeChange(
	ctx context.Context, out io.Writer, database store.Database, change record.Change, value any,
) error {
	meta, err := database.Meta(ctx)
	if err != nil {
		return err
	}
	change.WrittenAt = time.Now().UnixMilli()
	change.IdempotencyKey = operatorKeyPrefix + strconv.FormatUint(rand.Uint64(), 36)
	if !change.Delete {
		change.Value, err = json.Marshal(value)
		if err != nil {
			return err
		}
	}
	entries, _, err := database.Write(ctx, meta.Epoch, []record.Change{change})
	for retry := 0; errors.Is(err, store.ErrOutcomeUnknown) && retry < maxRetries; retry++ {
		entries, _, err = database.Write(ctx, meta.Epoch, []record.Change{change})
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s: revision %d\n", change.Kind, change.Name, entries[0].Revision)
	return nil
}

// addWriterFlag adds the flag for the name of a change's writer.
func addWriterFlag(command *cobra.Command, writer *string) {
	command.Flags().StringVar(writer, "by", os.Getenv("USER"), "the name that is recorded as the writer of the change")
}

// addExpectFlag adds the flag for the expected revision: the change is written only if the entry has that revision.
func addExpectFlag(command *cobra.Command, revision *int64) {
	usage := "the expected current revision (0: no entry); if another one is found nothing is written"
	command.Flags().Int64Var(revision, "expect", record.AnyRevision, usage)
}

// findDrain returns the entry of a server's drain, and whether such an entry exists. The entry may be marked as
// deleted.
func findDrain(ctx context.Context, database store.Database, name string) (record.Entry, bool, error) {
	entries, _, err := readRecord(ctx, database)
	if err != nil {
		return record.Entry{}, false, err
	}
	key := record.Key{Kind: record.KindDrain, Name: name}
	i := slices.IndexFunc(entries, func(entry record.Entry) bool { return entry.Key == key })
	if i < 0 {
		return record.Entry{}, false, nil
	}
	return entries[i], true, nil
}

func drainCommand(options *storeOptions) *cobra.Command {
	var writer, until string
	var start int64
	command := &cobra.Command{
		Use:   "drain SERVICE/SERVER",
		Short: "Record a drain: the server gets no new requests",
		Args:  cobra.ExactArgs(1),
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, args []string,
		) error {
			drain := record.Drain{Start: start, Since: time.Now().UnixMilli(), By: writer}
			if until != "" {
				end, err := time.Parse(time.RFC3339, until)
				if err != nil {
					return fmt.Errorf("--until: expected a time in RFC 3339 format: %w", err)
				}
				drain.Until = end.UnixMilli()
			}
			entry, found, err := findDrain(ctx, database, args[0])
			if err != nil {
				return err
			}
			if found {
				drain.Supersedes = entry.Revision
			}
			return writeChange(ctx, command.OutOrStdout(), database, record.Change{
				Key:              record.Key{Kind: record.KindDrain, Name: args[0]},
				ExpectedRevision: record.AnyRevision,
				Writer:           writer,
			}, drain)
		}),
	}
	flags := command.Flags()
	flags.StringVar(&until, "until", "", "end of the drain, such as 2026-04-14T02:00:00Z; by default it has none")
	usage := "start time of the process to drain, in ms since 1970; by default every process of that name"
	flags.Int64Var(&start, "start", 0, usage)
	addWriterFlag(command, &writer)
	return command
}

func undrainCommand(options *storeOptions) *cobra.Command {
	var writer string
	command := &cobra.Command{
		Use:   "undrain SERVICE/SERVER",
		Short: "End a recorded drain",
		Args:  cobra.ExactArgs(1),
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, args []string,
		) error {
			entry, found, err := findDrain(ctx, database, args[0])
			if err != nil {
				return err
			}
			if !found || entry.Deleted {
				return fmt.Errorf("no drain of %s is recorded", args[0])
			}
			var drain record.Drain
			if err := json.Unmarshal(entry.Value, &drain); err != nil {
				return err
			}
			drain.Ended = true
			drain.Supersedes = entry.Revision
			return writeChange(ctx, command.OutOrStdout(), database, record.Change{
				Key:              entry.Key,
				ExpectedRevision: entry.Revision,
				Writer:           writer,
			}, drain)
		}),
	}
	addWriterFlag(command, &writer)
	return command
}

func setCommand(options *storeOptions) *cobra.Command {
	var writer string
	var expectedRevision int64
	command := &cobra.Command{
		Use: "set service|route|tenant NAME FILE",
		Short: "Record a service or route (TOML, as in the operator's file) " +
			"or a tenant (JSON with quota and weight)",
		Args: cobra.ExactArgs(3),
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, args []string,
		) error {
			kind, name, path := record.Kind(args[0]), args[1], args[2]
			text, err := tomlfile.Read(path, maxFileSize)
			if err != nil {
				return err
			}
			var value any
			switch kind {
			case record.KindTenant:
				value = json.RawMessage(text)
			case record.KindService, record.KindRoute:
				value = tomlValue{TOML: string(text)}
			default:
				return fmt.Errorf("kind: expected service, route or tenant, got %q", kind)
			}
			return writeChange(ctx, command.OutOrStdout(), database, record.Change{
				Key:              record.Key{Kind: kind, Name: name},
				ExpectedRevision: expectedRevision,
				Writer:           writer,
			}, value)
		}),
	}
	addExpectFlag(command, &expectedRevision)
	addWriterFlag(command, &writer)
	return command
}

func deleteCommand(options *storeOptions) *cobra.Command {
	var writer string
	var expectedRevision int64
	command := &cobra.Command{
		Use:   "delete KIND NAME",
		Short: "Delete an entry of the record",
		Args:  cobra.ExactArgs(2),
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, args []string,
		) error {
			return writeChange(ctx, command.OutOrStdout(), database, record.Change{
				Key:              record.Key{Kind: record.Kind(args[0]), Name: args[1]},
				ExpectedRevision: expectedRevision,
				Delete:           true,
				Writer:           writer,
			}, nil)
		}),
	}
	addExpectFlag(command, &expectedRevision)
	addWriterFlag(command, &writer)
	return command
}
