package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/system/tomlfile"
)

const (
	exportFormat   = "robincart record export 1" // in an export's first line
	maxExportSize  = 1 << 30                     // bytes
	maxExportEntry = 1 << 20                     // bytes, of a line
)

// exportHeader is the first line of an export. A line for each entry follows.
type exportHeader struct {
	Format   string      `json:"form"`
	Meta     record.Meta `json:"meta"`
	Entries  int         `json:"facts"`
	Checksum string      `json:"sha256"` // of the lines that follow
}

func exportCommand(options *storeOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "export",
		Short: "Print all of the record, with a checksum, for import",
		Args:  cobra.NoArgs,
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, _ []string,
		) error {
			entries, meta, err := readRecord(ctx, database)
			if err != nil {
				return err
			}
			return writeExport(command.OutOrStdout(), meta, entries)
		}),
	}
}

func importCommand(options *storeOptions) *cobra.Command {
	var dryRun bool
	command := &cobra.Command{
		Use:   "import FILE",
		Short: "Put an export in the place of all that is recorded, under a new epoch",
		Args:  cobra.ExactArgs(1),
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, args []string,
		) error {
			return importRecord(ctx, command.OutOrStdout(), database, args[0], dryRun)
		}),
	}
	command.Flags().BoolVar(&dryRun, "dry", false, "read and compare only")
	return command
}

// importRecord replaces a record by the export in a file, and prints both positions.
func importRecord(ctx context.Context, out io.Writer, database store.Database, path string, dryRun bool) error {
	imported, importedMeta, err := readExport(path)
	if err != nil {
		return err
	}
	current, currentMeta, err := readRecord(ctx, database)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d facts of epoch %s, revision %d, in the place of %d facts of epoch %s, revision %d\n",
		len(imported), importedMeta.Epoch, importedMeta.Revision,
		len(current), currentMeta.Epoch, currentMeta.Revision)
	if dryRun {
		fmt.Fprintln(out, "nothing was written")
		return nil
	}
	meta, err := database.Replace(ctx, imported)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "done: epoch %s, revision %d; nodes write the drains again that they know and it lacks\n",
		meta.Epoch, meta.Revision)
	return nil
}

func checksum(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body)) }

// writeExport writes entries, with a header that has their checksum.
func writeExport(out io.Writer, meta record.Meta, entries []record.Entry) error {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for _, entry := range entries {
		if err := encoder.Encode(entry); err != nil {
			return err
		}
	}
	header, err := json.Marshal(exportHeader{
		Format:   exportFormat,
		Meta:     meta,
		Entries:  len(entries),
		Checksum: checksum(body.Bytes()),
	})
	if err != nil {
		return err
	}
	_, err = out.Write(append(append(header, '\n'), body.Bytes()...))
	return err
}

// readExport reads an export that is complete and unaltered, and has valid entries only.
func readExport(path string) ([]record.Entry, record.Meta, error) {
	content, err := tomlfile.Read(path, maxExportSize)
	if err != nil {
		return nil, record.Meta{}, err
	}
	firstLine, body, _ := bytes.Cut(content, []byte("\n"))
	var header exportHeader
	if err := json.Unmarshal(firstLine, &header); err != nil || header.Format != exportFormat {
		return nil, record.Meta{}, fmt.Errorf("%s is no %s", path, exportFormat)
	}
	if checksum(body) != header.Checksum {
		return nil, record.Meta{}, fmt.Errorf("%s is truncated or altered: its checksum is another", path)
	}
	entries, err := readExportedEntries(path, body)
	if err != nil {
		return nil, record.Meta{}, err
	}
	if len(entries) != header.Entries {
		return nil, record.Meta{}, fmt.Errorf("%s: %d facts of %d", path, len(entries), header.Entries)
	}
	return entries, header.Meta, nil
}

// readExportedEntries reads the lines of an export after the first.
func readExportedEntries(path string, body []byte) ([]record.Entry, error) {
	var entries []record.Entry
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, maxExportEntry)
	for number := 2; lines.Scan(); number++ {
		var entry record.Entry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", path, number, err)
		}
		if err := entry.Validate(); err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", path, number, err)
		}
		entries = append(entries, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Join(err, fmt.Errorf("%s: only %d facts could be read", path, len(entries)))
	}
	return entries, nil
}
