package desiredstate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"robincart/internal/record/record"
)

const service = "[[service]]\nname = \"s\"\nservers = [\"127.0.0.1:1\"]\n"

func wish(key string, created int64, kind, name, text string) Object {
	return Object{Key: key, UID: key, Generation: 3, CreatedAt: created, Spec: Spec{kind, name, text}}
}

func fact(kind record.Kind, name, by, value string) record.Entry {
	return record.Entry{Key: record.Key{Kind: kind, Name: name}, Revision: 7, Writer: by, Value: json.RawMessage(value)}
}

func mark() string { return "m" }

func TestEachWishIsToldHowItStands(t *testing.T) {
	text, _ := json.Marshal(map[string]string{"toml": service})
	facts := []record.Entry{fact(record.KindService, "s", Writer, string(text)), fact(record.KindTenant, "s/mine", "a person", `{"quota":1,"weight":1}`),
		fact(record.KindRoute, "left", Writer, `{"toml":""}`), fact(record.KindRoute, "theirs", "a person", `{"toml":""}`), fact(record.KindDrain, "s/x", Writer, `{}`)}
	malformed := wish("d/malformed", 1, "route", "r", "")
	malformed.Malformed = "no object"
	objects := []Object{wish("d/late", 9, "service", "s", service), wish("d/first", 1, "service", "s", service), wish("d/theirs", 1, "tenant", "s/mine", `{"quota":2,"weight":1}`),
		wish("d/new", 1, "tenant", "s/new", `{"quota": 2, "weight": 1}`), wish("d/kind", 1, "drain", "s/x", "{}"), wish("d/quota", 1, "tenant", "s/q", `{"quota":-1}`),
		wish("d/toml", 1, "route", "r", "[[route]]\nname = \"other\"\n"), wish("d/tenant", 1, "tenant", "no service", `{}`), malformed}
	changes, told := Reconcile(objects, true, facts, "e", mark)
	assert.Equal(t, Status{Accepted: true, Generation: 3, Revision: 7, Epoch: "e"}, told["d/first"])
	for key, why := range map[string]string{"d/late": "d/first already", "d/theirs": "by a person", "d/new": "being written", "d/kind": "spec.kind", "d/quota": "quota",
		"d/toml": "of that name", "d/tenant": "SERVICE/NAME", "d/malformed": "no object"} {
		assert.False(t, told[key].Accepted, key)
		assert.Contains(t, told[key].Reason, why)
	}
	assert.Len(t, changes, 2)
	assert.Equal(t, record.Change{Key: record.Key{Kind: record.KindTenant, Name: "s/new"}, Writer: Writer, IdempotencyKey: "m", Value: json.RawMessage(`{"quota": 2, "weight": 1}`)}, changes[0])
	assert.Equal(t, record.Change{Key: record.Key{Kind: record.KindRoute, Name: "left"}, ExpectedRevision: 7, Delete: true, Writer: Writer, IdempotencyKey: "m"}, changes[1])
	changes, _ = Reconcile(nil, false, facts, "e", mark)
	assert.Empty(t, changes, "a list that is lacking is no word")
}

// Whatever was there, one turn brings the record to where nothing is left to do, touches nobody else's facts, and in any order of
// the objects the same ones hold.
func TestOneTurnIsEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := map[record.Key]record.Entry{}
		for i := range rapid.IntRange(0, 5).Draw(t, "facts") {
			f := fact(record.KindTenant, fmt.Sprint("s/", i), rapid.SampledFrom([]string{Writer, "a person"}).Draw(t, "by"), fmt.Sprintf(`{"quota":%d,"weight":1}`, rapid.IntRange(-1, 1).Draw(t, "was")))
			facts[f.Key] = f
		}
		var objects []Object
		for i := range rapid.IntRange(0, 6).Draw(t, "objects") {
			objects = append(objects, wish(fmt.Sprint("d/", i), int64(rapid.IntRange(0, 2).Draw(t, "created")), "tenant", fmt.Sprint("s/", rapid.IntRange(0, 5).Draw(t, "name")),
				fmt.Sprintf(`{"quota":%d,"weight":1}`, rapid.IntRange(-1, 1).Draw(t, "is"))))
		}
		list := func() (all []record.Entry) {
			for _, f := range facts {
				all = append(all, f)
			}
			return all
		}
		changes, _ := Reconcile(objects, true, list(), "e", mark)
		for _, c := range changes {
			now, is := facts[c.Key]
			assert.Equal(t, now.Revision, c.ExpectedRevision)
			assert.False(t, is && now.Writer != Writer, "%+v", c)
			if delete(facts, c.Key); !c.Delete {
				facts[c.Key] = record.Entry{Key: c.Key, Revision: 8, Writer: c.Writer, Value: c.Value}
			}
		}
		again, told := Reconcile(objects, true, list(), "e", mark)
		assert.Empty(t, again)
		assert.Len(t, told, len(objects))
		_, shuffled := Reconcile(rapid.Permutation(objects).Draw(t, "order"), true, list(), "e", mark)
		assert.Equal(t, told, shuffled)
	})
}
