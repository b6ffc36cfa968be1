package desiredstate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"robincart/internal/record/record"
)

const serviceText = "[[service]]\nname = \"s\"\nservers = [\"127.0.0.1:1\"]\n"

func newObject(key string, created int64, kind, name, text string) Object {
	return Object{
		Key: key, UID: key, Generation: 3, CreatedAt: created, Spec: Spec{Kind: kind, Name: name, Text: text},
	}
}

func newEntry(kind record.Kind, name, writer, value string) record.Entry {
	return record.Entry{
		Key: record.Key{Kind: kind, Name: name}, Revision: 7, Writer: writer, Value: json.RawMessage(value),
	}
}

func newKey() string { return "m" }

// recordedEntries returns a service that an object defines, a route that no object defines any more, and entries that
// the controller must not change.
func recordedEntries(t *testing.T) []record.Entry {
	value, err := json.Marshal(tomlValue{TOML: serviceText})
	require.NoError(t, err)
	return []record.Entry{
		newEntry(record.KindService, "s", Writer, string(value)),
		newEntry(record.KindTenant, "s/mine", "a person", `{"quota":1,"weight":1}`),
		newEntry(record.KindRoute, "left", Writer, `{"toml":""}`),
		newEntry(record.KindRoute, "theirs", "a person", `{"toml":""}`),
		newEntry(record.KindDrain, "s/x", Writer, `{}`),
	}
}

func TestReconcile_Statuses(t *testing.T) {
	malformed := newObject("d/malformed", 1, "route", "r", "")
	malformed.Malformed = "no object"
	rejected := []struct {
		object Object
		reason string
	}{
		{newObject("d/late", 9, "service", "s", serviceText), "already defined by object d/first"},
		{newObject("d/theirs", 1, "tenant", "s/mine", `{"quota":2,"weight":1}`), "by a person"},
		{newObject("d/new", 1, "tenant", "s/new", `{"quota": 2, "weight": 1}`), "being written"},
		{newObject("d/kind", 1, "drain", "s/x", "{}"), "spec.kind"},
		{newObject("d/quota", 1, "tenant", "s/q", `{"quota":-1}`), "quota"},
		{newObject("d/toml", 1, "route", "r", "[[route]]\nname = \"other\"\n"), "of that name"},
		{newObject("d/tenant", 1, "tenant", "no service", `{}`), "SERVICE/NAME"},
		{malformed, "no object"},
	}
	objects := []Object{newObject("d/first", 1, "service", "s", serviceText)}
	for _, test := range rejected {
		objects = append(objects, test.object)
	}

	changes, statuses := Reconcile(objects, true, recordedEntries(t), "e", newKey)
	assert.Equal(t, Status{Accepted: true, Generation: 3, Revision: 7, Epoch: "e"}, statuses["d/first"])
	for _, test := range rejected {
		t.Run(test.object.Key, func(t *testing.T) {
			assert.False(t, statuses[test.object.Key].Accepted)
			assert.Contains(t, statuses[test.object.Key].Reason, test.reason)
		})
	}
	assert.Equal(t, []record.Change{
		{
			Key: record.Key{Kind: record.KindTenant, Name: "s/new"}, Writer: Writer, IdempotencyKey: "m",
			Value: json.RawMessage(`{"quota": 2, "weight": 1}`),
		},
		{
			Key: record.Key{Kind: record.KindRoute, Name: "left"}, ExpectedRevision: 7, Delete: true, Writer: Writer,
			IdempotencyKey: "m",
		},
	}, changes)
}

func TestReconcile_IncompleteListDeletesNothing(t *testing.T) {
	changes, _ := Reconcile(nil, false, recordedEntries(t), "e", newKey)
	assert.Empty(t, changes)
}

// For any content of the record, the changes that one call returns make the record match the objects: a second call
// returns no changes. Entries of other writers are not changed, and the order of the objects does not affect the
// statuses.
func TestReconcile_ConvergesInOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		present := drawEntries(t)
		objects := drawObjects(t)
		changes, _ := Reconcile(objects, true, listEntries(present), "e", newKey)
		for _, change := range changes {
			replaced, exists := present[change.Key]
			assert.Equal(t, replaced.Revision, change.ExpectedRevision)
			assert.False(t, exists && replaced.Writer != Writer, "%+v", change)
			delete(present, change.Key)
			if !change.Delete {
				present[change.Key] = record.Entry{
					Key: change.Key, Revision: 8, Writer: change.Writer, Value: change.Value,
				}
			}
		}
		again, statuses := Reconcile(objects, true, listEntries(present), "e", newKey)
		assert.Empty(t, again)
		assert.Len(t, statuses, len(objects))
		shuffled := rapid.Permutation(objects).Draw(t, "order")
		_, statusesOfShuffled := Reconcile(shuffled, true, listEntries(present), "e", newKey)
		assert.Equal(t, statuses, statusesOfShuffled)
	})
}

// drawQuota draws the value of a tenant; a quota of -1 is invalid.
func drawQuota(t *rapid.T, label string) string {
	return fmt.Sprintf(`{"quota":%d,"weight":1}`, rapid.IntRange(-1, 1).Draw(t, label))
}

func drawEntries(t *rapid.T) map[record.Key]record.Entry {
	entries := map[record.Key]record.Entry{}
	for i := range rapid.IntRange(0, 5).Draw(t, "entries") {
		writer := rapid.SampledFrom([]string{Writer, "a person"}).Draw(t, "writer")
		entry := newEntry(record.KindTenant, fmt.Sprint("s/", i), writer, drawQuota(t, "present"))
		entries[entry.Key] = entry
	}
	return entries
}

func drawObjects(t *rapid.T) []Object {
	var objects []Object
	for i := range rapid.IntRange(0, 6).Draw(t, "objects") {
		created := int64(rapid.IntRange(0, 2).Draw(t, "created"))
		name := fmt.Sprint("s/", rapid.IntRange(0, 5).Draw(t, "name"))
		objects = append(objects, newObject(fmt.Sprint("d/", i), created, "tenant", name, drawQuota(t, "desired")))
	}
	return objects
}

func listEntries(byKey map[record.Key]record.Entry) []record.Entry {
	var entries []record.Entry
	for _, entry := range byKey {
		entries = append(entries, entry)
	}
	return entries
}
