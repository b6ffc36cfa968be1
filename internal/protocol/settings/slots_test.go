package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"robincart/decide"
)

// However settings follow one another, a name that stays keeps its number and its rules are the new ones; a slot that
// is in use is given to no other name.
func TestWithSlotsOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var inForce *Instance
		for step := range 8 {
			fresh := drawInstance(t, step)
			if inForce == nil {
				inForce = fresh
				continue
			}
			inUse := rapid.SliceOfN(rapid.Bool(), 99, 99).Draw(t, "in use")
			free := func(slot int) bool { return !inUse[slot] }
			got := fresh.WithSlotsOf(inForce, free, free)
			checkMethodSlots(t, inForce, fresh, got, inUse)
			for i, name := range inForce.TenantNames {
				if inUse[i] && name != "" {
					assert.Contains(t, []string{name, ""}, got.TenantNames[i])
				}
			}
			assert.Len(t, got.Tenants, len(got.TenantNames))
			inForce = got
		}
	})
}

// drawInstance is an instance whose methods and tenants differ from those of all other steps.
func drawInstance(t *rapid.T, step int) *Instance {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 1, 5, rapid.ID[string])
	i := &Instance{MethodNames: names.Draw(t, "methods"), TenantNames: names.Draw(t, "tenants")}
	for n := range i.MethodNames {
		i.Methods = append(i.Methods, decide.Method{Deadline: float64(10*step + n + 1)})
	}
	for n := range i.TenantNames {
		i.Tenants = append(i.Tenants, decide.Tenant{Quota: float64(10*step + n + 1)})
	}
	return i
}

func checkMethodSlots(t *rapid.T, inForce, fresh, got *Instance, inUse []bool) {
	seen := map[string]bool{}
	for i, name := range got.MethodNames {
		if i < len(inForce.MethodNames) && name != "" {
			if earlier := inForce.MethodNames[i]; earlier != "" && earlier != name {
				assert.False(t, inUse[i], "slot %d was in use", i)
			}
		}
		if name == "" {
			assert.Equal(t, decide.Method{}, got.Methods[i])
			continue
		}
		assert.False(t, seen[name])
		seen[name] = true
		for n, want := range fresh.MethodNames {
			if want == name {
				assert.Equal(t, fresh.Methods[n], got.Methods[i])
			}
		}
	}
	assert.Len(t, seen, len(fresh.MethodNames))
	for i, name := range inForce.MethodNames {
		if name != "" && seen[name] {
			assert.Equal(t, name, got.MethodNames[i])
		}
	}
}
