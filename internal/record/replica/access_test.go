package replica

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"robincart/internal/record/record"
)

func TestCheckAllowed(t *testing.T) {
	prune := record.Change{
		Key:              record.Key{Kind: record.KindServer, Name: "s/a"},
		ExpectedRevision: 4,
		Delete:           true,
		Writer:           "n",
		IdempotencyKey:   "m",
	}
	assert.NoError(t, CheckAllowed("e", []record.Change{drain("s/a"), prune, observe("s/b", record.PhaseReady, 1)}))

	deletedDrain := drain("s/a")
	deletedDrain.Delete = true
	configure := func(kind record.Kind, name string) record.Change {
		return record.Change{
			Key:              record.Key{Kind: kind, Name: name},
			ExpectedRevision: record.AnyRevision,
			IdempotencyKey:   "m",
			Value:            json.RawMessage(`{"toml":""}`),
		}
	}
	for name, change := range map[string]record.Change{
		"deleted drain": deletedDrain,
		"route":         configure(record.KindRoute, "r"),
		"service":       configure(record.KindService, "r"),
		"tenant":        configure(record.KindTenant, "s/t"),
	} {
		t.Run(name, func(t *testing.T) {
			err := CheckAllowed("e", []record.Change{drain("s/a"), change})
			var forbidden *ForbiddenChangeError
			assert.ErrorAs(t, err, &forbidden)
			assert.ErrorContains(t, err, "and nothing else")
		})
	}
	t.Run("invalid value", func(t *testing.T) {
		change := drain("s/a")
		change.Value = json.RawMessage(`{`)
		assert.ErrorContains(t, CheckAllowed("e", []record.Change{change}), "the value is not valid JSON")
	})
	t.Run("epoch too long", func(t *testing.T) {
		err := CheckAllowed(strings.Repeat("e", 1000), []record.Change{drain("s/a")})
		assert.ErrorIs(t, err, record.ErrEpochMismatch)
	})
	t.Run("value too long", func(t *testing.T) {
		change := observe("s/a", record.PhaseReady, 1)
		change.Value = json.RawMessage(`{"phase":"ready","addr":"` + strings.Repeat("x", MaxValueSize) + `"}`)
		assert.ErrorContains(t, CheckAllowed("e", []record.Change{change}), "more than 4096")
	})
	t.Run("too many changes", func(t *testing.T) {
		assert.ErrorContains(t, CheckAllowed("e", make([]record.Change, MaxChangesPerCall+1)), "more than")
	})
}
