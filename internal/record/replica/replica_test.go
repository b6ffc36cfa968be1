package replica

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"robincart/internal/record/record"
)

func fact(name string, revision int64, value string) record.Entry {
	return record.Entry{Key: record.Key{Kind: record.KindServer, Name: name}, Revision: revision, IdempotencyKey: fmt.Sprint("m", revision), Value: json.RawMessage(value)}
}

func sighting(name, phase string, listed int) record.Change {
	return record.Change{Key: record.Key{Kind: record.KindServer, Name: name}, ExpectedRevision: record.AnyRevision, Writer: "n", IdempotencyKey: fmt.Sprint(name, phase, listed),
		Value: json.RawMessage(fmt.Sprintf(`{"addr":"10.0.0.1:80","phase":%q,"start_ms":5,"listed":%d}`, phase, listed))}
}

func TestACopySaysWhatTheStoreWouldSay(t *testing.T) {
	c := &Copy{}
	assert.False(t, c.IsCurrentFor(record.Meta{}), "nothing was read")
	_, whole, any := c.NextRead(record.Meta{Epoch: "e", Revision: 4})
	assert.True(t, whole && any)
	back, err := c.Apply(record.Page{Meta: record.Meta{Epoch: "e", Revision: 4}, Complete: true, Entries: []record.Entry{fact("s/a", 1, `{}`), fact("s/b", 4, `{}`), fact("s/c", 2, `{}`)}})
	require.NoError(t, err)
	assert.False(t, back)
	_, _, any = c.NextRead(record.Meta{Epoch: "e", Revision: 4})
	assert.False(t, any)
	p := c.Since(0, 2) // as a store pages: this far it is known
	assert.Equal(t, []int64{1, 2, 2}, []int64{p.Entries[0].Revision, p.Entries[1].Revision, p.Meta.Revision})
	assert.False(t, p.Complete)
	p = c.Since(2, 2)
	assert.Len(t, p.Entries, 1)
	assert.EqualValues(t, 4, p.Meta.Revision)
	assert.True(t, c.Since(0, 9).Complete)
	assert.Empty(t, c.Since(9, 9).Entries)

	after, whole, any := c.NextRead(record.Meta{Epoch: "e", Revision: 6})
	assert.True(t, after == 4 && !whole && any)
	back, err = c.Apply(record.Page{Meta: record.Meta{Epoch: "e", Revision: 6}, Entries: []record.Entry{fact("s/a", 6, `{"x":1}`)}})
	require.NoError(t, err)
	assert.False(t, back)
	assert.Equal(t, []int64{2, 4, 6}, []int64{c.Since(0, 9).Entries[0].Revision, c.Since(0, 9).Entries[1].Revision, c.Since(0, 9).Entries[2].Revision})

	for at, knows := range map[record.Meta]bool{{}: true, {Epoch: "e", Revision: 6}: true, {Epoch: "e", Revision: 7}: false, {Epoch: "f", Revision: 1}: false} {
		assert.Equal(t, knows, c.IsCurrentFor(at), "%+v", at)
	}
	_, whole, any = c.NextRead(record.Meta{Epoch: "e", Revision: 5})
	assert.True(t, whole && any, "it went back")
	back, err = c.Apply(record.Page{Meta: record.Meta{Epoch: "e", Revision: 5}, Complete: true, Entries: []record.Entry{fact("s/a", 1, `{}`)}})
	require.NoError(t, err)
	assert.True(t, back)
	assert.Equal(t, 1, c.Len())
	back, _ = c.Apply(record.Page{Meta: record.Meta{Epoch: "f", Revision: 9}, Complete: true})
	assert.True(t, back, "another epoch")
	c.NoteWritten(fact("s/a", 10, `{}`))
	_, whole, any = c.NextRead(record.Meta{Epoch: "f", Revision: 9})
	assert.True(t, whole && any, "it went back behind what was written")
	back, _ = c.Apply(record.Page{Meta: record.Meta{Epoch: "f", Revision: 9}, Complete: true})
	assert.True(t, back)
	_, _, any = c.NextRead(record.Meta{Epoch: "f", Revision: 9})
	assert.False(t, any)
}

func TestARecordBeyondTheBoundsIsNamedAndTheCopyStays(t *testing.T) {
	c := &Copy{}
	_, err := c.Apply(record.Page{Meta: record.Meta{Epoch: "e", Revision: 1}, Complete: true, Entries: []record.Entry{fact("s/a", 1, `{}`)}})
	require.NoError(t, err)
	many := make([]record.Entry, MaxEntries+1)
	for i := range many {
		many[i] = fact(fmt.Sprint("s/", i), int64(i+2), `{}`)
	}
	large := []record.Entry{}
	value := `"` + strings.Repeat("x", record.MaxValueSize) + `"`
	for i := range MaxBytes/record.MaxValueSize + 1 {
		large = append(large, fact(fmt.Sprint("s/", i), int64(i+2), value))
	}
	for _, facts := range [][]record.Entry{many, large} {
		for _, whole := range []bool{false, true} {
			_, err := c.Apply(record.Page{Meta: record.Meta{Epoch: "e", Revision: 1 << 40}, Complete: whole, Entries: facts})
			assert.ErrorIs(t, err, ErrTooLarge)
			assert.Equal(t, 1, c.Len())
			assert.EqualValues(t, 1, c.Meta().Revision)
		}
	}
}

func TestANodeWritesWhatItWasToldOfServersAndNothingElse(t *testing.T) {
	drain := record.Change{Key: record.Key{Kind: record.KindDrain, Name: "s/a"}, ExpectedRevision: record.AnyRevision, Writer: "n", IdempotencyKey: "m", Value: json.RawMessage(`{"start_ms":1,"since_ms":1,"by":"discovery"}`)}
	prune := record.Change{Key: record.Key{Kind: record.KindServer, Name: "s/a"}, ExpectedRevision: 4, Delete: true, Writer: "n", IdempotencyKey: "m"}
	assert.NoError(t, CheckAllowed("e", []record.Change{drain, prune, sighting("s/b", "ready", 1)}))
	undo := drain
	undo.Delete = true
	route := record.Change{Key: record.Key{Kind: record.KindRoute, Name: "r"}, ExpectedRevision: record.AnyRevision, IdempotencyKey: "m", Value: json.RawMessage(`{"toml":""}`)}
	service, tenant := route, route
	service.Kind, tenant.Kind, tenant.Name = record.KindService, record.KindTenant, "s/t"
	for _, c := range []record.Change{undo, route, service, tenant} {
		assert.ErrorContains(t, CheckAllowed("e", []record.Change{drain, c}), "and nothing else", "%s", c.Kind)
	}
	bad := drain
	bad.Value = json.RawMessage(`{`)
	assert.ErrorContains(t, CheckAllowed("e", []record.Change{bad}), "the value is not valid JSON")
	assert.ErrorIs(t, CheckAllowed(strings.Repeat("e", 1000), []record.Change{drain}), record.ErrEpochMismatch)
	long := sighting("s/a", "ready", 1)
	long.Value = json.RawMessage(`{"phase":"ready","addr":"` + strings.Repeat("x", MaxValueSize) + `"}`)
	assert.ErrorContains(t, CheckAllowed("e", []record.Change{long}), "more than 4096")
	assert.ErrorContains(t, CheckAllowed("e", make([]record.Change, MaxChangesPerCall+1)), "more than")
}

func TestWhatTheCopyKnowsNeedNotBeWritten(t *testing.T) {
	c := &Copy{}
	ready, gone := sighting("s/a", "ready", 1), sighting("s/b", "gone", 1)
	_, err := c.Apply(record.Page{Meta: record.Meta{Epoch: "e", Revision: 4}, Complete: true, Entries: []record.Entry{
		{Key: ready.Key, Revision: 3, IdempotencyKey: "m3", Value: ready.Value}, {Key: gone.Key, Revision: 4, IdempotencyKey: "m4", Value: gone.Value}}})
	require.NoError(t, err)
	ask := func(x record.Change) (int64, error, bool) {
		f, err, known := c.Resolve(&x)
		return f.Revision, err, known
	}
	r, err, known := ask(sighting("s/a", "ready", 2))
	assert.True(t, r == 3 && err == nil && known, "another replica's number of the same list")
	_, _, known = ask(sighting("s/a", "draining", 2))
	assert.False(t, known, "that is news")
	_, _, known = ask(sighting("s/c", "ready", 2))
	assert.False(t, known)
	_, err, known = ask(sighting("s/b", "ready", 2))
	var stale *record.StaleError
	assert.True(t, known)
	assert.ErrorAs(t, err, &stale, "a process that left does not come back")
	prune := record.Change{Key: gone.Key, ExpectedRevision: 2, Delete: true, Writer: "n", IdempotencyKey: "p"}
	_, err, known = ask(prune)
	var lost *record.ConflictError
	assert.True(t, known)
	assert.ErrorAs(t, err, &lost)
	prune.ExpectedRevision = 9 // its writer has seen more than this copy
	_, _, known = ask(prune)
	assert.False(t, known)
}

func TestEqualChangesOfManyNodesAreOne(t *testing.T) {
	q := &Queue{}
	first := q.Add("e", sighting("s/a", "ready", 1))
	for i := range 439 {
		assert.Same(t, first, q.Add("e", sighting("s/a", "ready", 2+i%3)))
	}
	drained := q.Add("e", sighting("s/a", "draining", 1))
	assert.NotSame(t, first, drained)
	other := q.Add("f", sighting("s/a", "ready", 1))
	assert.NotSame(t, first, other, "of another epoch")
	b := q.Add("e", sighting("s/b", "ready", 1))
	assert.Equal(t, 439, q.Merged)
	batch := q.Next(10)
	assert.Equal(t, []*PendingWrite{first, b}, batch, "each key once, one epoch")
	assert.Same(t, first, q.Add("e", sighting("s/a", "ready", 7)), "what is at the store already stands for it, too")
	q.Complete(batch)
	again := q.Add("e", sighting("s/a", "ready", 7))
	assert.NotSame(t, first, again)
	for _, want := range []*PendingWrite{drained, other} { // in their order, where the first of a key has ended
		batch = q.Next(1)
		assert.Equal(t, []*PendingWrite{want}, batch)
		q.Complete(batch)
	}
	late := q.Add("e", sighting("s/z", "ready", 1))
	drain := q.Add("f", record.Change{Key: record.Key{Kind: record.KindDrain, Name: "s/z"}, ExpectedRevision: record.AnyRevision, IdempotencyKey: "m", Value: json.RawMessage(`{"start_ms":1,"since_ms":1,"by":"discovery"}`)})
	for _, want := range [][]*PendingWrite{{drain}, {again, late}} { // a drain goes first and by itself
		batch = q.Next(9)
		assert.Equal(t, want, batch)
		q.Complete(batch)
	}
	for i := 0; q.Add("e", sighting(fmt.Sprint("s/", i), "ready", 1)) != nil; i++ {
		require.Less(t, i, MaxPendingWrites)
	}
	assert.Equal(t, MaxPendingWrites, q.Len())
	for n := 0; ; n++ {
		batch := q.Next(200)
		if len(batch) == 0 {
			break
		}
		require.Less(t, n, MaxPendingWrites)
		q.Complete(batch)
	}
	assert.Empty(t, q.by, "nothing is kept of what has ended")
}

// Nodes that go from copy to copy, each of which lags as it likes and some of which lose the store for a while, are never taken back; and once all are
// heard again, they have what the store has.
func TestChangingReplicasTakesNobodyBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		meta := record.Meta{Epoch: "e0"}
		facts := map[record.Key]record.Entry{}
		page := func(after int64, whole bool) record.Page {
			p := record.Page{Meta: meta, Complete: whole}
			for _, f := range facts {
				if whole || f.Revision > after {
					p.Entries = append(p.Entries, f)
				}
			}
			return p
		}
		copies := []*Copy{{}, {}, {}}
		reads := func(c *Copy) {
			if after, whole, any := c.NextRead(meta); any {
				if _, err := c.Apply(page(after, whole)); err != nil {
					t.Fatal(err)
				}
			}
		}
		type node struct {
			at  record.Meta
			has map[record.Key]int64
		}
		nodes := []*node{{has: map[record.Key]int64{}}, {has: map[record.Key]int64{}}}
		follows := func(n *node, c *Copy, away bool) {
			if !c.IsCurrentFor(n.at) {
				if away {
					return // it is told "behind"
				}
				reads(c)
			}
			if n.at.Epoch != c.Meta().Epoch {
				clear(n.has)
				n.at = record.Meta{}
			}
			p := c.Since(n.at.Revision, 1000)
			for _, f := range p.Entries {
				if f.Revision < n.has[f.Key] {
					t.Fatalf("taken back to %d from %d", f.Revision, n.has[f.Key])
				}
				n.has[f.Key] = f.Revision
			}
			if p.Meta.Epoch == n.at.Epoch && p.Meta.Revision < n.at.Revision {
				t.Fatalf("taken back to %+v from %+v", p.Meta, n.at)
			}
			n.at = p.Meta
		}
		epochs := 0
		seen := map[string]int{"": -1, "e0": 0} // a later epoch is never left for an earlier one
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				meta.Revision++
				f := fact(fmt.Sprint("s/", rapid.IntRange(0, 3).Draw(t, "key")), meta.Revision, `{}`)
				facts[f.Key] = f
			case 3:
				epochs++
				meta = record.Meta{Epoch: fmt.Sprint("e", epochs), Revision: int64(rapid.IntRange(0, 3).Draw(t, "revision"))}
				seen[meta.Epoch] = epochs
				clear(facts)
			case 4, 5, 6:
				reads(rapid.SampledFrom(copies).Draw(t, "copy"))
			default:
				n := rapid.SampledFrom(nodes).Draw(t, "node")
				was := n.at
				follows(n, rapid.SampledFrom(copies).Draw(t, "copy"), rapid.Bool().Draw(t, "away"))
				if seen[n.at.Epoch] < seen[was.Epoch] {
					t.Fatalf("from %+v to %+v", was, n.at)
				}
			}
		}
		for _, n := range nodes {
			for _, c := range copies {
				reads(c)
			}
			follows(n, copies[0], false)
			if n.at != meta || len(n.has) != len(facts) {
				t.Fatalf("%+v of %+v", n, meta)
			}
		}
	})
}
