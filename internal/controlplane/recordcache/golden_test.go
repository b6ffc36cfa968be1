package recordcache

// The golden files under testdata were written by the program's text at commit 0cdd5b2: a node's snapshot, which the
// next version starts from, and the status page. They must never be written anew to follow a rename: a test that
// fails here says that a node would not find its snapshot as it left it, or that the page has changed.

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/record/record"
	"robincart/internal/testutil/golden"
)

// goldenSnapshot has a fact of each kind, and all fields of a drain.
func goldenSnapshot() record.Snapshot {
	return record.Snapshot{
		Meta:  record.Meta{Epoch: "epoch-1", Revision: 44},
		At:    1765000000789,
		Clock: 1765000000999,
		Facts: []record.Fact{
			{Key: record.Key{Kind: record.Drain, Name: "shop/a1"}, Revision: 1, By: "alice <eu>", Mark: "m1", At: 11,
				Value: json.RawMessage(`{"start_ms":5,"since_ms":6,"by":"alice"}`)},
			{Key: record.Key{Kind: record.Service, Name: "shop"}, Revision: 2, By: "bob", Mark: "m2", At: 12,
				Value: json.RawMessage(`{"toml":"[[service]]\nname = \"shop\"\n"}`)},
			{Key: record.Key{Kind: record.Tenant, Name: "shop/gold"}, Revision: 3, By: "carol", Mark: "m3", At: 13,
				Value: json.RawMessage(`{"quota":100,"weight":2}`)},
			{Key: record.Key{Kind: record.Route, Name: "front"}, Revision: 4, By: "dave", Mark: "m4", At: 14,
				Value: json.RawMessage(`{"toml":"[[route]]"}`)},
			{Key: record.Key{Kind: record.Server, Name: "shop/b2"}, Revision: 5, Deleted: true,
				By: "node-1", Mark: "m5", At: 15},
		},
		Drains: map[string]record.Drained{
			"shop/a1": {Start: 21, Since: 22, By: "erin", Until: 23, Ended: true, Over: 24},
			"shop/b2": {Since: 25, By: "frank"},
		},
	}
}

func TestGolden_Snapshot(t *testing.T) {
	for file, want := range map[string]record.Snapshot{
		"snapshot.golden":       goldenSnapshot(),
		"snapshot_empty.golden": {Facts: []record.Fact{}},
	} {
		t.Run(file, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "snapshot")
			require.NoError(t, WriteSnapshot(path, want))
			written, err := os.ReadFile(path)
			require.NoError(t, err)
			golden.Check(t, file, written)

			require.NoError(t, os.WriteFile(path, golden.Read(t, file), 0o600))
			read, found, err := ReadSnapshot(path)
			require.NoError(t, err)
			assert.True(t, found)
			assert.Equal(t, want, read)
		})
	}
}

func TestGolden_StatusJSON(t *testing.T) {
	t.Run("full", func(t *testing.T) {
		golden.FullJSON(t, "status.json", Status{
			Store:     "sqlite:/var/lib/record.db",
			Standing:  "follows",
			Fault:     "the store is away",
			Epoch:     "epoch-1",
			Revision:  41,
			HeardAgo:  4.5,
			Waiting:   42,
			Dropped:   43,
			Written:   44,
			SavedAgo:  5.5,
			Facts:     45,
			Drained:   []Drain{{Server: "shop/a1", Why: "drained by alice"}},
			Required:  true,
			AgeLimit:  "1h0m0s",
			QueueMost: 46,
		})
	})
	t.Run("zero", func(t *testing.T) { golden.JSON(t, "status_zero.json", Status{}) })
}

// goldenKeeper is one whose copy was heard, saved and written to at fixed times.
func goldenKeeper() *Keeper {
	now := time.UnixMilli(1765000010000)
	view := record.NewView("node-1", 1, func() string { return "mark" })
	view.Store(record.Page{
		Meta:  record.Meta{Epoch: "epoch-1", Revision: 41},
		Whole: true,
		Facts: goldenSnapshot().Facts,
	}, 1765000005500)
	view.Discovered("shop", []record.Sighting{
		{ID: "a1", Addr: "10.0.0.1:80", Phase: "ready", Start: 3, Listed: 9},
		{ID: "c3", Addr: "10.0.0.3:80", Phase: "ready", Start: 3, Listed: 9},
		{ID: "d4", Addr: "10.0.0.4:80", Phase: "ready", Start: 3, Listed: 9},
	}, true, 1765000006000)
	return &Keeper{
		c: Config{
			Store:    "sqlite:/var/lib/record.db",
			Required: true,
			MostAge:  90 * time.Minute,
			Queue:    500,
		},
		now:   func() time.Time { return now },
		view:  view,
		sinks: map[string]*Sink{"shop": {service: "shop"}},
		fault: "the store is away",
		saved: now.Add(-2500 * time.Millisecond),
		wrote: 7,
	}
}

// askPage makes one request to the status page.
func askPage(t *testing.T, keeper *Keeper, path string) (*http.Response, []byte) {
	t.Helper()
	ours, theirs := net.Pipe()
	defer ours.Close()
	go func() {
		defer theirs.Close()
		keeper.show(theirs)
	}()
	_, err := io.WriteString(ours, "GET "+path+" HTTP/1.1\r\nHost: node\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(ours), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, body
}

func TestGolden_StatusPage(t *testing.T) {
	keeper := goldenKeeper()
	assert.Equal(t, Status{
		Store:     "sqlite:/var/lib/record.db",
		Standing:  "follows",
		Fault:     "the store is away",
		Epoch:     "epoch-1",
		Revision:  41,
		HeardAgo:  4.5,
		Waiting:   1,
		Dropped:   2,
		Written:   7,
		SavedAgo:  2.5,
		Facts:     4,
		Drained:   []Drain{{Server: "shop/a1", Why: "drained by alice"}},
		Required:  true,
		AgeLimit:  "1h30m0s",
		QueueMost: 500,
	}, keeper.Status())
	response, body := askPage(t, keeper, "/record")
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "application/json", response.Header.Get("Content-Type"))
	golden.Check(t, "status_page.golden", body)
	response, _ = askPage(t, keeper, "/")
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
}

// A node that has reached no store yet, saved nothing and holds nothing.
func TestGolden_StatusPageAtTheStart(t *testing.T) {
	keeper := &Keeper{
		now:  time.Now,
		view: record.NewView("node-1", 1, func() string { return "mark" }),
	}
	_, body := askPage(t, keeper, "/record")
	golden.Check(t, "status_page_start.golden", body)
}
