package desiredstate

// The files under testdata were written by the code at commit 0cdd5b2. Setting objects and entries of the record keep
// these forms in all versions. When a name changes in the code, do not regenerate the files.

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/record/record"
	"robincart/internal/testutil/golden"
)

// goldenText defines a service, with characters that an encoder may have to escape.
const goldenText = "[[service]]\nname = \"tables\"\nservers = [\"10.1.0.1:8080\"]\n# <ü> & \\ \t\n" +
	"[[service.method]]\nname = \"find-table\"\ndeadline = \"3s\"\n"

const goldenRoute = "[[route]]\nname = \"tables\"\nhost = \"tables.example.org\"\nto = \"tables\"\n"

const goldenQuota = `{ "quota": 200.5,  "weight": 2 }`

func TestSpec_Golden(t *testing.T) {
	for name, want := range map[string]Spec{
		"spec.json":      {Kind: "service", Name: "tables", Text: goldenText},
		"spec-zero.json": {},
	} {
		t.Run(name, func(t *testing.T) { golden.JSON(t, name, want) })
	}
}

func TestStatus_Golden(t *testing.T) {
	for name, want := range map[string]Status{
		"status.json": {
			Accepted: true, Reason: "being written to the record", Generation: 3, Revision: 7,
			Epoch: "5f2a9c", Nodes: 11, ListRevision: 7696581394473,
		},
		"status-zero.json": {},
	} {
		t.Run(name, func(t *testing.T) { golden.JSON(t, name, want) })
	}
}

func TestEntry_GoldenValue(t *testing.T) {
	for _, test := range []struct {
		golden string
		spec   Spec
		want   record.Key
	}{
		{"fact-service.json", Spec{"service", "tables", goldenText}, record.Key{Kind: "service", Name: "tables"}},
		{"fact-route.json", Spec{"route", "tables", goldenRoute}, record.Key{Kind: "route", Name: "tables"}},
		{"fact-tenant.json", Spec{"tenant", "tables/acme", goldenQuota},
			record.Key{Kind: "tenant", Name: "tables/acme"}},
	} {
		t.Run(test.golden, func(t *testing.T) {
			object := Object{Spec: test.spec}
			entry, err := object.entry()
			require.NoError(t, err)
			assert.Equal(t, test.want, entry.Key)
			golden.Check(t, test.golden, append(entry.Value, '\n'))
		})
	}
}

// An object whose golden value is already in the record is accepted without a write.
func TestReconcile_GoldenEntryAccepted(t *testing.T) {
	object := Object{
		Key: "booking/tables", UID: "u", Generation: 3, CreatedAt: 1712998800123,
		Spec: Spec{Kind: "service", Name: "tables", Text: goldenText},
	}
	stored := record.Entry{
		Key: record.Key{Kind: "service", Name: "tables"}, Revision: 7, Writer: "controller",
		Value: json.RawMessage(golden.Read(t, "fact-service.json")),
	}
	changes, statuses := Reconcile([]Object{object}, true, []record.Entry{stored}, "5f2a9c", newKey)
	assert.Empty(t, changes)
	want := Status{Accepted: true, Generation: 3, Revision: 7, Epoch: "5f2a9c"}
	assert.Equal(t, map[string]Status{"booking/tables": want}, statuses)
	changes, _ = Reconcile([]Object{object}, true, nil, "5f2a9c", newKey)
	require.Len(t, changes, 1)
	assert.Equal(t, "controller", changes[0].Writer, "the writer is stored with the entry")
}
