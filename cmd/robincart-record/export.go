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
	exportFormat   = "robincart record export 1" // format and version, in the first line of an export
	maxExportSize  = 1 << 30                     // bytes
	maxExportEntry = 1 << 20                     // maximum length of one line, in bytes
)

// exportHeader is the first line of an export. Each line that follows has one entry.
type exportHeader struct {
	Format   string      `json:"form"`
	Meta     record.Meta `json:"meta"`
	Entries  int         `json:"facts"`
	Checksum string      `json:"sha256"` // SHA-256 of the lines that follow
}

func exportCommand(options *storeOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "export",
		Short: "Print the complete record, with a checksum, for import",
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
		Short: "Replace the complete record by an export, under a new epoch",
		Args:  cobra.ExactArgs(1),
		RunE: options.withDatabase(func(
			ctx context.Context, command *cobra.Command, database store.Database, args []string,
		) error {
			return importRecord(ctx, command.OutOrStdout(), database, args[0], dryRun)
		}),
	}
	command.Flags().BoolVar(&dryRun, "dry", false, "check the export and print both positions, without importing it")
	return command
}

// importRecord replaces the record by the export in a file. It prints the number of entries, the epoch and the revision
// of the export and of the current record. With dryRun it writes nothing.
func importRecord(ctx context.Context, out io.Writer, database store.Database, path string, dryRun bool) error {
	imported, importedMeta, err := readExport(path)
	if err != nil {
		return err
	}
	current, currentMeta, err := readRecord(ctx, database)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "export: %d entries, epoch %s, revision %d; current record: %d entries, epoch %s, revision %d\n",
		len(imported), importedMeta.Epoch, importedMeta.Revision,
		len(current), currentMeta.Epoch, currentMeta.Revision)
	if dryRun {
		fmt.Fprintln(out, "dry run: nothing was written")
		return nil
	}
	meta, err := database.Replace(ctx, imported)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "done: epoch %s, revision %d; nodes write again the drains that they have and the export lacks\n",
		meta.Epoch, meta.Revision)
	return nil
}

func checksum(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body)) }

// writeExport writes the header line, which contains a checksum of the entries, and then the entries.
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

// readExport reads an export. It returns an error if the export is truncated or altered, or has an invalid entry.
func readExport(path string) ([]record.Entry, record.Meta, error) {
	content, err := tomlfile.Read(path, maxExportSize)
	if err != nil {
		return nil, record.Meta{}, err
	}
	firstLine, body, _ := bytes.Cut(content, []byte("\n"))
	var header exportHeader
	if err := json.Unmarshal(firstLine, &header); err != nil || header.Format != exportFormat {
		return nil, record.Meta{}, fmt.Errorf("%s, line 1: expected a header with the format %q, found %.60q",
			path, exportFormat, firstLine)
	}
	if checksum(body) != header.Checksum {
		return nil, record.Meta{}, fmt.Errorf("%s is truncated or altered: expected SHA-256 %s after line 1, found %s",
			path, header.Checksum, checksum(body))
	}
	entries, err := readExportedEntries(path, body)
	if err != nil {
		return nil, record.Meta{}, err
	}
	if len(entries) != header.Entries {
		return nil, record.Meta{}, fmt.Errorf("%s: expected %d entries, found %d", path, header.Entries, len(entries))
	}
	return entries, header.Meta, nil
}

// readExportedEntries reads an export's entries, which begin at line 2.
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
		return nil, errors.Join(err, fmt.Errorf("%s: stopped after %d entries", path, len(entries)))
	}
	return entries, nil
}
