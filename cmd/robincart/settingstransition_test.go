package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
)

// The settings change a second time before clients have learned of the first change. During the grace period a method
// is retried only if all versions allow it, even if one of the versions lacks the method. Afterwards the last settings
// alone are in force, in whatever order the timers fire.
func TestSettingsTransition_FormerSettingsBindDuringGrace(t *testing.T) {
	parse := func(classes string) *settings.Instance {
		const other = `{"Name":"other","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}`
		n, err := settings.Parse([]byte(`{"Classes":[` + other + classes + `],"RegistryMode":"automatic"}`))
		require.NoError(t, err)
		return n
	}
	class := func(repeat string) *settings.Instance {
		return parse(`,{"Name":"a","AimMs":1,"DeadlineMs":1,"WindowMs":9,"Repeat":"` + repeat + `"}`)
	}
	idempotency := func(n *settings.Instance) decide.Idempotency {
		for i, name := range n.MethodNames {
			if name == "a" {
				return n.Methods[i].Idempotency
			}
		}
		t.Fatal("method a is missing in the settings")
		return 0
	}
	once, repeatable := class("once"), class("repeatable")
	for name, between := range map[string]*settings.Instance{"again": repeatable, "gone": parse("")} {
		clk := clock{time.Now()}
		now := time.Now()
		core := node.New(once, 1, clk, now, func() {})
		transition := &settingsTransition{core: core, now: func() time.Time { return now }, current: once}
		transition.update(between, 3*time.Hour)
		now = now.Add(time.Hour)
		assert.Equal(t, decide.NonIdempotent, idempotency(transition.update(repeatable, 3*time.Hour)), name)
		now = now.Add(2 * time.Hour) // the grace period of the first change is over
		assert.Equal(t, decide.Idempotent, idempotency(transition.apply()), name)
		assert.Len(t, transition.previous, 1, name)
		now = now.Add(time.Hour)
		transition.apply()
		assert.Empty(t, transition.previous, name)
		core.Close()
	}
}
