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

// Settings change again before clients have learned of the last change: what any of them may still send is retried
// as none of them forbids, also where the method was removed in between, and the last settings are in force in the
// end, in whatever order timers fire.
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
	effect := func(n *settings.Instance) decide.Idempotency {
		for i, name := range n.MethodNames {
			if name == "a" {
				return n.Methods[i].Idempotency
			}
		}
		t.Fatal("the class is not there")
		return 0
	}
	once, free := class("once"), class("repeatable")
	for name, between := range map[string]*settings.Instance{"again": free, "gone": parse("")} {
		clk := clock{time.Now()}
		now := time.Now()
		core := node.New(once, 1, clk, now, func() {})
		tune := &settingsTransition{core: core, now: func() time.Time { return now }, current: once}
		tune.update(between, 3*time.Hour)
		now = now.Add(time.Hour)
		assert.Equal(t, decide.NonIdempotent, effect(tune.update(free, 3*time.Hour)), name)
		now = now.Add(2 * time.Hour) // the grace of the first change is over
		assert.Equal(t, decide.Idempotent, effect(tune.apply()), name)
		assert.Len(t, tune.previous, 1, name)
		now = now.Add(time.Hour)
		tune.apply()
		assert.Empty(t, tune.previous, name)
		core.Close()
	}
}
