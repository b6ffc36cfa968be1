package settings

import (
	"slices"

	"robincart/decide"
)

// DuringTransition are settings for the time in which clients may still go by those before: a method that stays is
// repeated only as both allow, since what its clients expect of it is not known yet.
func (i *Instance) DuringTransition(before *Instance) *Instance {
	out := *i
	out.Methods = slices.Clone(i.Methods)
	for n, name := range i.MethodNames {
		if earlier := slices.Index(before.MethodNames, name); name != "" && earlier >= 0 {
			restrictRepeats(&out.Methods[n], before.Methods[earlier])
		}
	}
	return &out
}

// restrictRepeats has a method repeated only as it was before, too.
func restrictRepeats(m *decide.Method, before decide.Method) {
	if m.Idempotency != before.Idempotency {
		// Requests of either form may arrive, with an idempotency key or without: what drops their repeats is not
		// known.
		m.Idempotency, m.DedupWindow, m.DedupScope = decide.NonIdempotent, 0, 0
		return
	}
	if m.Idempotency == decide.Deduplicated {
		m.DedupWindow = min(m.DedupWindow, before.DedupWindow)
		m.DedupScope = max(m.DedupScope, before.DedupScope)
	}
}
