package replica

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"robincart/internal/record/record"
)

func revisions(page record.Page) []int64 {
	var list []int64
	for _, entry := range page.Entries {
		list = append(list, entry.Revision)
	}
	return list
}

func completePage(meta record.Meta, entries ...record.Entry) record.Page {
	return record.Page{Meta: meta, Complete: true, Entries: entries}
}

func TestCopy_AnswersLikeStore(t *testing.T) {
	c := &Copy{}
	apply := func(page record.Page, wantRolledBack bool, message ...any) {
		t.Helper()
		rolledBack, err := c.Apply(page)
		require.NoError(t, err)
		assert.Equal(t, wantRolledBack, rolledBack, message...)
	}
	complete := record.ReadRange{Complete: true}
	wantRead := func(store record.Meta, want record.ReadRange, message ...any) {
		t.Helper()
		next, needed := c.NextRead(store)
		assert.True(t, needed, message...)
		assert.Equal(t, want, next, message...)
	}
	wantNoRead := func(store record.Meta) {
		t.Helper()
		_, needed := c.NextRead(store)
		assert.False(t, needed)
	}

	assert.False(t, c.IsCurrentFor(record.Meta{}), "nothing was read yet")
	first := record.Meta{Epoch: "e", Revision: 4}
	wantRead(first, complete)
	apply(completePage(first,
		serverEntry("s/a", 1, `{}`), serverEntry("s/b", 4, `{}`), serverEntry("s/c", 2, `{}`)), false)
	wantNoRead(first)
	page := c.Since(0, 2) // if more entries follow, the page has the position of its last entry
	assert.Equal(t, []int64{1, 2}, revisions(page))
	assert.EqualValues(t, 2, page.Meta.Revision)
	assert.False(t, page.Complete)
	page = c.Since(2, 2)
	assert.Len(t, page.Entries, 1)
	assert.EqualValues(t, 4, page.Meta.Revision)
	assert.True(t, c.Since(0, 9).Complete)
	assert.Empty(t, c.Since(9, 9).Entries)

	second := record.Meta{Epoch: "e", Revision: 6}
	wantRead(second, record.ReadRange{After: 4})
	apply(record.Page{Meta: second, Entries: []record.Entry{serverEntry("s/a", 6, `{"x":1}`)}}, false)
	assert.Equal(t, []int64{2, 4, 6}, revisions(c.Since(0, 9)))

	for node, current := range map[record.Meta]bool{
		{}:                        true,
		{Epoch: "e", Revision: 6}: true,
		{Epoch: "e", Revision: 7}: false,
		{Epoch: "f", Revision: 1}: false,
	} {
		assert.Equal(t, current, c.IsCurrentFor(node), "%+v", node)
	}

	older := record.Meta{Epoch: "e", Revision: 5}
	wantRead(older, complete, "the store was rolled back")
	apply(completePage(older, serverEntry("s/a", 1, `{}`)), true)
	assert.Equal(t, 1, c.Len())
	other := record.Meta{Epoch: "f", Revision: 9}
	apply(completePage(other), true, "another epoch")
	c.NoteWritten(serverEntry("s/a", 10, `{}`))
	wantRead(other, complete, "the store was rolled back to before a write")
	apply(completePage(other), true)
	wantNoRead(other)
}

func TestCopy_TooLargeRecordLeavesCopyUnchanged(t *testing.T) {
	manyEntries := make([]record.Entry, record.MaxEntries+1)
	for i := range manyEntries {
		manyEntries[i] = serverEntry(fmt.Sprint("s/", i), int64(i+2), `{}`)
	}
	manyBytes := make([]record.Entry, record.MaxBytes/record.MaxValueSize+1)
	value := `"` + strings.Repeat("x", record.MaxValueSize) + `"`
	for i := range manyBytes {
		manyBytes[i] = serverEntry(fmt.Sprint("s/", i), int64(i+2), value)
	}
	for name, entries := range map[string][]record.Entry{"entries": manyEntries, "bytes": manyBytes} {
		for _, complete := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/complete=%t", name, complete), func(t *testing.T) {
				c := &Copy{}
				_, err := c.Apply(completePage(record.Meta{Epoch: "e", Revision: 1}, serverEntry("s/a", 1, `{}`)))
				require.NoError(t, err)
				meta := record.Meta{Epoch: "e", Revision: 1 << 40}
				_, err = c.Apply(record.Page{Meta: meta, Complete: complete, Entries: entries})
				assert.ErrorIs(t, err, record.ErrTooLarge)
				assert.Equal(t, 1, c.Len())
				assert.EqualValues(t, 1, c.Meta().Revision)
			})
		}
	}
}

func TestCopy_Resolve(t *testing.T) {
	ready := observe("s/a", record.PhaseReady, 1)
	gone := observe("s/b", record.PhaseGone, 1)
	c := &Copy{}
	_, err := c.Apply(completePage(record.Meta{Epoch: "e", Revision: 4},
		record.Entry{Key: ready.Key, Revision: 3, IdempotencyKey: "m3", Value: ready.Value},
		record.Entry{Key: gone.Key, Revision: 4, IdempotencyKey: "m4", Value: gone.Value}))
	require.NoError(t, err)
	deletion := func(expectedRevision int64) record.Change {
		return record.Change{
			Key:              gone.Key,
			ExpectedRevision: expectedRevision,
			Delete:           true,
			Writer:           "n",
			IdempotencyKey:   "p",
		}
	}

	t.Run("another replica's revision of the same list", func(t *testing.T) {
		change := observe("s/a", record.PhaseReady, 2)
		resolution, known := c.Resolve(&change)
		assert.True(t, known)
		assert.NoError(t, resolution.Err)
		assert.EqualValues(t, 3, resolution.Entry.Revision)
	})
	t.Run("process that left", func(t *testing.T) {
		change := observe("s/b", record.PhaseReady, 2)
		resolution, known := c.Resolve(&change)
		assert.True(t, known)
		var stale *record.StaleError
		assert.ErrorAs(t, resolution.Err, &stale)
	})
	t.Run("superseded revision", func(t *testing.T) {
		change := deletion(2)
		resolution, known := c.Resolve(&change)
		assert.True(t, known)
		var conflict *record.ConflictError
		assert.ErrorAs(t, resolution.Err, &conflict)
	})
	for name, change := range map[string]record.Change{
		"another phase":                observe("s/a", record.PhaseDraining, 2),
		"another server":               observe("s/c", record.PhaseReady, 2),
		"revision newer than the copy": deletion(9),
	} {
		t.Run(name, func(t *testing.T) {
			_, known := c.Resolve(&change)
			assert.False(t, known)
		})
	}
}

// followingNode is a node that reads from copies, and checks that it never reads an older state than before.
type followingNode struct {
	position  record.Meta
	revisions map[record.Key]int64
}

// read reads from a copy. If the copy is older than what the node has read, the copy is updated first. If the store is
// unreachable in that case, the node reads nothing.
func (n *followingNode) read(t *rapid.T, c *Copy, storeReachable bool, update func(*Copy)) {
	if !c.IsCurrentFor(n.position) {
		if !storeReachable {
			return // a replica returns record.ErrReplicaBehind
		}
		update(c)
	}
	if n.position.Epoch != c.Meta().Epoch {
		clear(n.revisions)
		n.position = record.Meta{}
	}
	page := c.Since(n.position.Revision, 1000)
	for _, entry := range page.Entries {
		if entry.Revision < n.revisions[entry.Key] {
			t.Fatalf("%s: read revision %d after %d", entry.Name, entry.Revision, n.revisions[entry.Key])
		}
		n.revisions[entry.Key] = entry.Revision
	}
	if page.Meta.Epoch == n.position.Epoch && page.Meta.Revision < n.position.Revision {
		t.Fatalf("read position %+v after %+v", page.Meta, n.position)
	}
	n.position = page.Meta
}

// Nodes read from random copies. Each copy lags behind the store by a random amount, and the store is sometimes
// unreachable. No node ever reads an older state than before. Once all copies are up to date, the nodes have the
// store's state.
func TestCopy_NodesChangingReplicasNeverReadOlderState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		meta := record.Meta{Epoch: "e0"}
		entries := map[record.Key]record.Entry{}
		update := func(c *Copy) {
			next, needed := c.NextRead(meta)
			if !needed {
				return
			}
			page := record.Page{Meta: meta, Complete: next.Complete}
			for _, entry := range entries {
				if next.Complete || entry.Revision > next.After {
					page.Entries = append(page.Entries, entry)
				}
			}
			if _, err := c.Apply(page); err != nil {
				t.Fatal(err)
			}
		}
		copies := []*Copy{{}, {}, {}}
		nodes := []*followingNode{{revisions: map[record.Key]int64{}}, {revisions: map[record.Key]int64{}}}
		epochs := 0
		// order has the number of each epoch. A node must never read an epoch with a lower number than before.
		order := map[string]int{"": -1, "e0": 0}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2: // a write
				meta.Revision++
				entry := serverEntry(fmt.Sprint("s/", rapid.IntRange(0, 3).Draw(t, "key")), meta.Revision, `{}`)
				entries[entry.Key] = entry
			case 3: // an import, with a new epoch
				epochs++
				revision := rapid.IntRange(0, 3).Draw(t, "revision")
				meta = record.Meta{Epoch: fmt.Sprint("e", epochs), Revision: int64(revision)}
				order[meta.Epoch] = epochs
				clear(entries)
			case 4, 5, 6:
				update(rapid.SampledFrom(copies).Draw(t, "copy"))
			default:
				node := rapid.SampledFrom(nodes).Draw(t, "node")
				before := node.position
				c := rapid.SampledFrom(copies).Draw(t, "copy")
				node.read(t, c, rapid.Bool().Draw(t, "reachable"), update)
				if order[node.position.Epoch] < order[before.Epoch] {
					t.Fatalf("read epoch of %+v after %+v", node.position, before)
				}
			}
		}
		for _, node := range nodes {
			for _, c := range copies {
				update(c)
			}
			node.read(t, copies[0], true, update)
			if node.position != meta || len(node.revisions) != len(entries) {
				t.Fatalf("node has %+v, expected position %+v and %d entries", node, meta, len(entries))
			}
		}
	})
}
