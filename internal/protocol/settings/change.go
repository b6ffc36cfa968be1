package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"robincart/decide"
)

// WithSlotsOf lays settings into the slots of those in force: a name that stays keeps its number, a new one gets a slot that free
// says may be used again, or one more. What has left is an empty name. Zones keep their order, since the list of servers is
// read by it.
func (n *Instance) WithSlotsOf(old *Instance, freeMethod, freeTenant func(slot int) bool) *Instance {
	out := *n
	out.ZoneNames, out.Zone = old.ZoneNames, old.Zone
	names, from := slots(old.MethodNames, n.MethodNames, freeMethod)
	out.MethodNames, out.Methods = names, make([]decide.Method, len(names))
	for to, i := range from {
		if i >= 0 {
			out.Methods[to] = n.Methods[i]
		}
	}
	names, from = slots(old.TenantNames, n.TenantNames, freeTenant)
	out.TenantNames, out.Tenants = names, make([]decide.Tenant, len(names))
	for to, i := range from {
		if i >= 0 {
			out.Tenants[to] = n.Tenants[i]
		}
	}
	return &out
}

// slots places new names among old ones; from tells which of the new ones stands in each slot, or -1.
func slots(old, fresh []string, free func(int) bool) (names []string, from []int) {
	names, from = make([]string, len(old)), make([]int, len(old))
	for i, name := range old {
		if from[i] = slices.Index(fresh, name); name == "" {
			from[i] = -1
		} else if from[i] >= 0 {
			names[i] = name
		}
	}
	for i, name := range fresh {
		if slices.Contains(names, name) {
			continue
		}
		to := -1
		for k := range old {
			if names[k] == "" && free(k) {
				to = k
				break
			}
		}
		if to < 0 {
			to, names, from = len(names), append(names, ""), append(from, -1)
		}
		names[to], from[to] = name, i
	}
	return names, from
}

// CheckComplete finds what a configuration lacks that takes another one's place: every key that stands in the one in force has to
// be there. Half an edit can still be JSON, and what it lacks would silently take a default. What is under skipped keys is
// not looked into.
func CheckComplete(old, fresh json.RawMessage, skip ...string) error {
	var was, is any
	if err := json.Unmarshal(old, &was); err != nil {
		return nil // nothing to compare with
	}
	if err := json.Unmarshal(fresh, &is); err != nil {
		return err
	}
	return lacks("", was, is, skip)
}

// ofKeys are what only classes that are deduplicated by key need.
var ofKeys = []string{"WindowMs", "DedupScope"}

func lacks(at string, was, is any, skip []string) error {
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object any more", at)
		}
		var all []error
		for _, key := range sorted(was) {
			path := strings.TrimPrefix(at+"."+key, ".")
			if v, there := is[key]; !there {
				if slices.Contains(ofKeys, key) && is["Repeat"] != "by_key" {
					continue
				}
				all = append(all, fmt.Errorf("%s is missing", path))
			} else if !slices.Contains(skip, key) {
				all = append(all, lacks(path, was[key], v, skip))
			}
		}
		return errors.Join(all...)
	case []any:
		is, ok := is.([]any)
		if !ok {
			return fmt.Errorf("%s is no array any more", at)
		}
		usual := common(was)
		if usual == nil {
			return nil
		}
		var all []error
		for i, x := range is {
			all = append(all, lacks(fmt.Sprintf("%s[%d]", at, i), usual, x, skip))
		}
		return errors.Join(all...)
	}
	return nil
}

// common is an object with the keys that all objects of an array have, or nil.
func common(all []any) any {
	var out map[string]any
	for i, x := range all {
		o, ok := x.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			out = make(map[string]any, len(o))
			for k := range o {
				out[k] = nil
			}
		}
		for k := range out {
			if _, there := o[k]; !there {
				delete(out, k)
			}
		}
	}
	if out == nil {
		return nil
	}
	return out
}

func sorted(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// ValidateNames checks what a node that callers name classes to needs beside what Parse checks.
func (n *Instance) ValidateNames() error {
	for _, all := range []struct {
		what  string
		names []string
	}{{"Classes", n.MethodNames}, {"Tenants", n.TenantNames}} {
		for i, name := range all.names {
			if name == "" {
				return fmt.Errorf("setting %s[%d].Name is missing", all.what, i)
			}
			if k := slices.Index(all.names, name); k < i {
				return fmt.Errorf("setting %s[%d].Name is %q, as that of %s[%d]", all.what, i, name, all.what, k)
			}
		}
	}
	return nil
}

// DuringTransition are settings for the time in which callers may still go by those before: a method that stays is repeated only as
// both allow, since what its callers expect of it is not known yet.
func (n *Instance) DuringTransition(before *Instance) *Instance {
	out := *n
	out.Methods = slices.Clone(n.Methods)
	for i, name := range n.MethodNames {
		k := slices.Index(before.MethodNames, name)
		if name == "" || k < 0 {
			continue
		}
		m, was := &out.Methods[i], before.Methods[k]
		switch {
		case m.Idempotency != was.Idempotency:
			// A request of either form may come, with a key or without: what drops its repeats is not known.
			m.Idempotency, m.DedupWindow, m.DedupScope = decide.NonIdempotent, 0, 0
		case m.Idempotency == decide.Deduplicated:
			m.DedupWindow = min(m.DedupWindow, was.DedupWindow)
			m.DedupScope = max(m.DedupScope, was.DedupScope)
		}
	}
	return &out
}
