package record

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Checks that Evaluate never panics and that each accepted change obeys compare-and-set. A drain may be replaced by a
// drain that covers less only if the stored drain had ended or the change expected the revision of its entry.
func TestEvaluate_Invariants(t *testing.T) {
	key := drainKey("s/a")
	rapid.Check(t, func(t *rapid.T) {
		drawChange := func(label string) Change {
			drain := Drain{
				Start: rapid.Int64Range(0, 3).Draw(t, label+"start"),
				Since: 1,
				By:    "x",
				Until: rapid.Int64Range(0, 3).Draw(t, label+"until"),
				Ended: rapid.Bool().Draw(t, label+"ended"),
			}
			value, _ := json.Marshal(drain)
			return Change{
				Key:              key,
				ExpectedRevision: rapid.Int64Range(-1, 3).Draw(t, label+"expect"),
				IdempotencyKey:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, label+"key"),
				Value:            value,
			}
		}
		store := newMemoryStore("")
		for i := range 6 {
			before, existed := store.entries[key]
			change := drawChange(fmt.Sprint(i))
			_, err := store.write(change)
			after := store.entries[key]
			if err != nil || string(after.Value) == string(before.Value) {
				assert.Equal(t, before, after)
				continue
			}
			revisionMatches := change.ExpectedRevision == before.Revision
			assert.True(t, change.ExpectedRevision == AnyRevision || revisionMatches)
			if existed {
				var previous, updated Drain
				json.Unmarshal(before.Value, &previous)
				json.Unmarshal(after.Value, &updated)
				assert.True(t, !updated.weakerThan(previous) || previous.Ended || revisionMatches,
					"%+v after %+v", updated, previous)
			}
		}
	})
}

func TestEvaluate_InvalidChange(t *testing.T) {
	for name, change := range map[string]Change{
		"empty":                 {},
		"unknown kind":          {Key: Key{"x", "y"}},
		"drain without service": {Key: Key{KindDrain, "a"}, IdempotencyKey: "m", Value: []byte("{}")},
		"value is not JSON":     {Key: Key{KindDrain, "s/a"}, IdempotencyKey: "m", Value: []byte("{")},
		"unknown phase":         {Key: Key{KindServer, "s/a"}, IdempotencyKey: "m", Value: []byte(`{"phase":"odd"}`)},
		"control character":     {Key: Key{KindRoute, "a\n"}, IdempotencyKey: "m", Value: []byte("1")},
		"no idempotency key":    {Key: Key{KindRoute, "a"}, Value: []byte("1")},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Evaluate(nil, &change)
			var invalid *InvalidChangeError
			assert.ErrorAs(t, err, &invalid, "%+v", change)
		})
	}
}
