package settings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"robincart/decide"
)

// However settings follow one another, a name that stays keeps its number and its rules are the new ones; a slot that is
// held is given to nobody else.
func TestNamesKeepTheirNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 1, 5, rapid.ID[string])
		var now *Instance
		for step := range 8 {
			n := &Instance{MethodNames: names.Draw(t, "methods"), TenantNames: names.Draw(t, "tenants")}
			for i := range n.MethodNames {
				n.Methods = append(n.Methods, decide.Method{Deadline: float64(10*step + i + 1)})
			}
			for i := range n.TenantNames {
				n.Tenants = append(n.Tenants, decide.Tenant{Quota: float64(10*step + i + 1)})
			}
			if now == nil {
				now = n
				continue
			}
			held := rapid.SliceOfN(rapid.Bool(), 99, 99).Draw(t, "held")
			free := func(i int) bool { return !held[i] }
			is := n.WithSlotsOf(now, free, free)
			seen := map[string]bool{}
			for i, name := range is.MethodNames {
				if i < len(now.MethodNames) && now.MethodNames[i] != "" && name != "" && name != now.MethodNames[i] {
					assert.False(t, held[i], "slot %d was held", i)
				}
				if name == "" {
					assert.Equal(t, decide.Method{}, is.Methods[i])
					continue
				}
				assert.False(t, seen[name])
				seen[name] = true
				for k, want := range n.MethodNames {
					if want == name {
						assert.Equal(t, n.Methods[k], is.Methods[i])
					}
				}
			}
			assert.Len(t, seen, len(n.MethodNames))
			for i, name := range now.MethodNames {
				if name != "" && seen[name] {
					assert.Equal(t, name, is.MethodNames[i])
				}
			}
			for i, name := range now.TenantNames {
				if held[i] && name != "" {
					assert.Contains(t, []string{name, ""}, is.TenantNames[i])
				}
			}
			assert.Len(t, is.Tenants, len(is.TenantNames))
			now = is
		}
	})
}

func TestWhileCallersGoByEitherAMethodIsRepeatedOnlyAsBothAllow(t *testing.T) {
	once, free := decide.Method{Idempotency: decide.NonIdempotent, Deadline: 2}, decide.Method{Deadline: 1}
	zone := decide.Method{Idempotency: decide.Deduplicated, DedupScope: decide.ScopeZone, DedupWindow: 5}
	all := decide.Method{Idempotency: decide.Deduplicated, DedupWindow: 9}
	for _, x := range []struct{ was, is, between decide.Method }{
		{once, free, decide.Method{Idempotency: decide.NonIdempotent, Deadline: 1}},
		{free, once, once},
		{zone, free, decide.Method{Idempotency: decide.NonIdempotent, Deadline: 1}},
		{free, zone, decide.Method{Idempotency: decide.NonIdempotent}},
		{zone, all, zone},
		{all, zone, zone},
		{once, all, decide.Method{Idempotency: decide.NonIdempotent}},
	} {
		n := &Instance{MethodNames: []string{"new", "a"}}
		n.Methods = []decide.Method{free, x.is}
		before := &Instance{MethodNames: []string{"", "a"}}
		before.Methods = []decide.Method{{}, x.was}
		got := n.DuringTransition(before)
		assert.Equal(t, []decide.Method{free, x.between}, got.Methods)
		assert.Equal(t, x.is, n.Methods[1])
	}
}

func TestAFileThatLacksWhatTheOneInForceHasIsRefused(t *testing.T) {
	old := `{"a":1,"known":{"x":1},"s":{"Classes":[{"Name":"f","Repeat":"by_key","WindowMs":5,"Extra":1},{"Name":"g","Repeat":"by_key","WindowMs":5}],"Zones":["z"]}}`
	for fresh, lacks := range map[string]string{
		old: "",
		`{"a":2,"b":3,"known":{},"s":{"Classes":[{"Name":"g","Repeat":"once"}],"Zones":[]}}`:       "",
		`{"known":{},"s":{"Classes":[{"Name":"g","Repeat":"by_key","WindowMs":5}],"Zones":["z"]}}`: "a is missing",
		`{"a":2,"s":{"Classes":[],"Zones":["z"]}}`:                                                 "known is missing",
		`{"a":2,"known":1,"s":{"Classes":[{"Name":"g","Repeat":"by_key"}],"Zones":["z"]}}`:         "s.Classes[0].WindowMs is missing",
		`{"a":2,"known":1,"s":{"Classes":[{"Repeat":"once"}]}}`:                                    "s.Classes[0].Name is missing\ns.Zones is missing",
		`{"a":2,"known":1,"s":7}`:                            "s is no object any more",
		`{"a":2,"known":1,"s":{"Classes":{},"Zones":["z"]}}`: "s.Classes is no array any more",
	} {
		err := CheckComplete(json.RawMessage(old), json.RawMessage(fresh), "known")
		if lacks == "" {
			assert.NoError(t, err, fresh)
		} else {
			assert.EqualError(t, err, lacks, fresh)
		}
	}
	assert.Error(t, CheckComplete(json.RawMessage(old), json.RawMessage(old[:len(old)-1])))
}
