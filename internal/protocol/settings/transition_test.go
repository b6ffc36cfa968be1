package settings

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"robincart/decide"
)

// While clients may go by either settings, a method is repeated only as both allow.
func TestDuringTransition(t *testing.T) {
	nonIdempotent := decide.Method{Idempotency: decide.NonIdempotent, Deadline: 2}
	idempotent := decide.Method{Deadline: 1}
	inZone := decide.Method{Idempotency: decide.Deduplicated, DedupScope: decide.ScopeZone, DedupWindow: 5}
	everywhere := decide.Method{Idempotency: decide.Deduplicated, DedupWindow: 9}
	for n, x := range []struct{ before, after, during decide.Method }{
		{nonIdempotent, idempotent, decide.Method{Idempotency: decide.NonIdempotent, Deadline: 1}},
		{idempotent, nonIdempotent, nonIdempotent},
		{inZone, idempotent, decide.Method{Idempotency: decide.NonIdempotent, Deadline: 1}},
		{idempotent, inZone, decide.Method{Idempotency: decide.NonIdempotent}},
		{inZone, everywhere, inZone},
		{everywhere, inZone, inZone},
		{nonIdempotent, everywhere, decide.Method{Idempotency: decide.NonIdempotent}},
	} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			after := &Instance{MethodNames: []string{"new", "a"}}
			after.Methods = []decide.Method{idempotent, x.after}
			before := &Instance{MethodNames: []string{"", "a"}}
			before.Methods = []decide.Method{{}, x.before}
			got := after.DuringTransition(before)
			assert.Equal(t, []decide.Method{idempotent, x.during}, got.Methods)
			assert.Equal(t, x.after, after.Methods[1])
		})
	}
}
