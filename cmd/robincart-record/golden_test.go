package main

// The golden files under testdata were written by the code of commit 0cdd5b2. They are exports, which operators keep as
// backups of the record. Do not regenerate the files after a rename: a failing test means that this program cannot read
// older backups, or that an older program cannot read the backups of this program.

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/record/record"
	"robincart/internal/testutil/golden"
)

// goldenExport returns a record as it is after an import: its revisions have no gaps, and no entry is deleted.
func goldenExport() (record.Meta, []record.Entry) {
	return record.Meta{Epoch: "0123456789abcdef01234567", Revision: 5}, []record.Entry{
		{Key: record.Key{Kind: record.KindService, Name: "shop"}, Revision: 1, Writer: "bob <eu>", IdempotencyKey: "m1", WrittenAt: 11,
			Value: json.RawMessage(`{"toml":"[[service]]\nname = \"shop\"\n"}`)},
		{Key: record.Key{Kind: record.KindRoute, Name: "front"}, Revision: 2, Writer: "carol", IdempotencyKey: "m2", WrittenAt: 12,
			Value: json.RawMessage(`{"toml":"[[route]]"}`)},
		{Key: record.Key{Kind: record.KindTenant, Name: "shop/gold"}, Revision: 3, Writer: "dave", IdempotencyKey: "m3", WrittenAt: 13,
			Value: json.RawMessage(`{"quota":100,"weight":2}`)},
		{Key: record.Key{Kind: record.KindServer, Name: "shop/a1"}, Revision: 4, Writer: "node-1", IdempotencyKey: "m4", WrittenAt: 14,
			Value: json.RawMessage(`{"addr":"10.0.0.1:80","phase":"ready","start_ms":5,"listed":6,"zone":1}`)},
		{Key: record.Key{Kind: record.KindDrain, Name: "shop/ü"}, Revision: 5, Writer: "alice", IdempotencyKey: "m5", WrittenAt: 15,
			Value: json.RawMessage(`{"start_ms":5,"since_ms":6,"by":"alice","until_ms":7}`)},
	}
}

// goldenExportWithDeleted returns a record with gaps in its revisions and a deleted entry.
func goldenExportWithDeleted() (record.Meta, []record.Entry) {
	return record.Meta{Epoch: "89abcdef0123456789abcdef", Revision: 99}, []record.Entry{
		{Key: record.Key{Kind: record.KindService, Name: "shop"}, Revision: 21, Writer: "bob", IdempotencyKey: "m1", WrittenAt: 11,
			Value: json.RawMessage(`{"toml":"[[service]]"}`)},
		{Key: record.Key{Kind: record.KindRoute, Name: "front"}, Revision: 22, Deleted: true,
			Writer: "carol", IdempotencyKey: "m2", WrittenAt: 12},
		{Key: record.Key{Kind: record.KindTenant, Name: "shop/gold"}, Revision: 33, Writer: "dave", IdempotencyKey: "m3", WrittenAt: 13,
			Value: json.RawMessage(`{"quota":100,"weight":2}`)},
	}
}

// run runs the program with the given arguments, and returns its output.
func run(t *testing.T, arguments ...string) []byte {
	t.Helper()
	var printed bytes.Buffer
	command := recordCommand()
	command.SetArgs(arguments)
	command.SetOut(&printed)
	require.NoError(t, command.Execute(), "%q", arguments)
	return printed.Bytes()
}

// newStore creates a record, and returns the program's --store flag for it.
func newStore(t *testing.T) string {
	t.Helper()
	flag := "--store=sqlite:" + filepath.Join(t.TempDir(), "record.db")
	run(t, "init", flag)
	return flag
}

// exportedEntries exports a store, and returns the entries and the position in the export.
func exportedEntries(t *testing.T, storeFlag string) ([]record.Entry, record.Meta) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "export")
	require.NoError(t, os.WriteFile(path, run(t, "export", storeFlag), 0o600))
	entries, meta, err := readExport(path)
	require.NoError(t, err)
	return entries, meta
}

func TestGolden_Export(t *testing.T) {
	for file, content := range map[string]func() (record.Meta, []record.Entry){
		"export.golden":         goldenExport,
		"export_deleted.golden": goldenExportWithDeleted,
		"export_empty.golden": func() (record.Meta, []record.Entry) {
			return record.Meta{Epoch: "epoch-1"}, nil
		},
	} {
		t.Run(file, func(t *testing.T) {
			meta, entries := content()
			var written bytes.Buffer
			require.NoError(t, writeExport(&written, meta, entries))
			golden.Check(t, file, written.Bytes())

			readEntries, readMeta, err := readExport(filepath.Join("testdata", file))
			require.NoError(t, err)
			assert.Equal(t, meta, readMeta)
			assert.Equal(t, entries, readEntries)
		})
	}
}

func TestGolden_ExportHead(t *testing.T) {
	golden.FullJSON(t, "export_head.json", exportHeader{
		Format:   exportFormat,
		Meta:     record.Meta{Epoch: "epoch-1", Revision: 41},
		Entries:  42,
		Checksum: "0f",
	})
}

// An import of the golden export and another export give the golden export again, except for the epoch.
func TestGolden_ImportAndExport(t *testing.T) {
	storeFlag := newStore(t)
	run(t, "import", filepath.Join("testdata", "export.golden"), storeFlag)
	again := run(t, "export", storeFlag)
	entries, meta := exportedEntries(t, storeFlag)
	want, wantEntries := goldenExport()
	assert.Equal(t, wantEntries, entries)
	assert.Equal(t, want.Revision, meta.Revision)
	assert.NotEqual(t, want.Epoch, meta.Epoch, "an import begins a new epoch")
	golden.Check(t, "export.golden", bytes.Replace(again, []byte(meta.Epoch), []byte(want.Epoch), 1))
	assert.Equal(t, "sound\n", string(run(t, "verify", storeFlag)))
}

// An import omits deleted entries and assigns new revisions, beginning with 1.
func TestGolden_ImportOfDeletedEntries(t *testing.T) {
	storeFlag := newStore(t)
	run(t, "import", filepath.Join("testdata", "export_deleted.golden"), storeFlag)
	entries, meta := exportedEntries(t, storeFlag)
	_, before := goldenExportWithDeleted()
	service, tenant := before[0], before[2]
	service.Revision, tenant.Revision = 1, 2
	assert.Equal(t, []record.Entry{service, tenant}, entries)
	assert.EqualValues(t, 2, meta.Revision)
}

// The values that the commands write must not change, since nodes of all versions read them.
func TestGolden_RecordedValues(t *testing.T) {
	storeFlag := newStore(t)
	folder := t.TempDir()
	text := filepath.Join(folder, "text.toml")
	require.NoError(t, os.WriteFile(text, []byte("[[service]]\nname = \"shop\"\n"), 0o600))
	tenant := filepath.Join(folder, "tenant.json")
	require.NoError(t, os.WriteFile(tenant, []byte("{\n  \"quota\": 100,\n  \"weight\": 2\n}\n"), 0o600))

	run(t, "set", "service", "shop", text, storeFlag, "--by=bob", "--expect=0")
	run(t, "set", "route", "front", text, storeFlag, "--by=carol")
	run(t, "set", "tenant", "shop/gold", tenant, storeFlag, "--by=dave")
	run(t, "drain", "shop/a1", storeFlag, "--by=alice", "--until=2026-04-14T02:00:00Z", "--start=1765000000123")
	run(t, "drain", "shop/b2", storeFlag, "--by=erin")
	run(t, "undrain", "shop/a1", storeFlag, "--by=frank")
	run(t, "delete", "route", "front", storeFlag, "--by=grace", "--expect=2")

	entries, _ := exportedEntries(t, storeFlag)
	require.Len(t, entries, 5)
	for i := range entries { // remove the times and the random idempotency keys
		assert.Positive(t, entries[i].WrittenAt)
		assert.True(t, strings.HasPrefix(entries[i].IdempotencyKey, "hand."), entries[i].IdempotencyKey)
		entries[i].WrittenAt, entries[i].IdempotencyKey = 0, ""
		if entries[i].Kind == record.KindDrain {
			entries[i].Value = withoutSince(t, entries[i].Value)
		}
	}
	toml := json.RawMessage(`{"toml":"[[service]]\nname = \"shop\"\n"}`)
	assert.Equal(t, []record.Entry{
		{Key: record.Key{Kind: record.KindService, Name: "shop"}, Revision: 1, Writer: "bob", Value: toml},
		{Key: record.Key{Kind: record.KindTenant, Name: "shop/gold"}, Revision: 3, Writer: "dave",
			Value: json.RawMessage(`{"quota":100,"weight":2}`)},
		{Key: record.Key{Kind: record.KindDrain, Name: "shop/b2"}, Revision: 5, Writer: "erin",
			Value: json.RawMessage(`{"by":"erin","start_ms":0}`)},
		{Key: record.Key{Kind: record.KindDrain, Name: "shop/a1"}, Revision: 6, Writer: "frank",
			Value: json.RawMessage(
				`{"by":"alice","ended":true,"over":4,"start_ms":1765000000123,"until_ms":1776132000000}`)},
		{Key: record.Key{Kind: record.KindRoute, Name: "front"}, Revision: 7, Deleted: true, Writer: "grace"},
	}, entries)
}

// withoutSince removes the time at which a drain was recorded, and sorts the remaining keys.
func withoutSince(t *testing.T, value json.RawMessage) json.RawMessage {
	t.Helper()
	var keys map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(value, &keys))
	assert.Contains(t, keys, "since_ms")
	delete(keys, "since_ms")
	text, err := json.Marshal(keys)
	require.NoError(t, err)
	return text
}
