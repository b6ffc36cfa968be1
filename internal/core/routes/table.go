// Package routes selects the service of a request by the request's host, path, class and headers.
//
// The package does no I/O and has no state besides its tables. Compile validates rules and compiles them into a Table
// once. A lookup reads only the table and the request, and allocates no memory. The cost of a lookup grows with the
// number of labels in the request's host and with the number of segments in the request's path. It does not grow with
// the number of rules.
//
// The package also defines the canonical form that hosts and paths must have in rules and in requests. Rules identify
// services by number only.
package routes

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// maxHeaders is the largest number of different header names that all rules of one host, path and class together may
// use.
const maxHeaders = 16

// Table is a compiled set of rules.
//
// If several rules match a request, the most specific rule applies. These criteria decide which rule is more specific.
// A criterion counts only if the rules are equal by all criteria above it.
//   - Host: an exact host is more specific than a wildcard, and a wildcard is more specific than no host. A longer
//     wildcard is more specific than a shorter wildcard.
//   - Path: a longer path is more specific than a shorter path.
//   - Class: a class is more specific than no class.
//   - Header: a required value is more specific than a header that only has to be present. Any header condition is more
//     specific than none. If two rules have the same kind of header condition, the rule whose header name sorts first
//     applies.
type Table struct {
	rules     []Rule
	exact     map[string]*pathNode // path trees by host
	wildcards map[string]*pathNode // path trees by the suffix after "*."
	anyHost   *pathNode            // for the rules without a host; nil: each rule has a host
	maxDepth  int                  // largest number of segments in the path of a rule
}

// pathNode is a node in the tree of the paths of one host. Each level of the tree is one segment.
type pathNode struct {
	children map[string]*pathNode
	rules    *classIndex // nil: no rule ends at this path
}

// classIndex holds the rules of one host and path.
type classIndex struct {
	byClass  map[string]*headerIndex
	anyClass *headerIndex
}

// headerIndex holds the rules of one host, path and class.
type headerIndex struct {
	headers  []headerRules // sorted by name
	noHeader *compiledRule
}

// headerRules holds the rules of one host, path, class and header name.
type headerRules struct {
	name     string
	byValue  map[string]*compiledRule
	anyValue *compiledRule
}

// Compile validates rules and creates a table. services is the number of services. Rules identify a service by a number
// from 0 to services-1. The error joins one RuleError for each invalid rule.
func Compile(rules []Rule, services int) (*Table, error) {
	t := &Table{rules: rules, exact: map[string]*pathNode{}, wildcards: map[string]*pathNode{}}
	var errs []error
	for i, r := range rules {
		c, err := r.compile(services)
		if err == nil {
			c.index = i
			err = t.add(c)
		}
		if err != nil {
			errs = append(errs, &RuleError{Index: i, Rule: r.Name, Cause: err})
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	for _, index := range t.headerIndexes() {
		slices.SortFunc(index.headers, func(a, b headerRules) int { return cmp.Compare(a.name, b.name) })
	}
	return t, nil
}

// Rules returns the table's rules, as they were passed to Compile.
func (t *Table) Rules() []Rule { return t.rules }

// add adds a rule to the table. A rule that does not fit the rules before it is an error, and is not added.
func (t *Table) add(c *compiledRule) error {
	node, depth := t.root(c.Host), 0
	for segment := range segments(c.Path) {
		node = node.child(segment)
		depth++
	}
	t.maxDepth = max(t.maxDepth, depth)
	return node.headerIndex(c.Class).add(c)
}

// root returns the root of a host's path tree, and creates the tree if it does not exist.
func (t *Table) root(host string) *pathNode {
	if host == "" {
		if t.anyHost == nil {
			t.anyHost = &pathNode{}
		}
		return t.anyHost
	}
	roots, name := t.exact, host
	if suffix, isWildcard := strings.CutPrefix(host, wildcardPrefix); isWildcard {
		roots, name = t.wildcards, suffix
	}
	if roots[name] == nil {
		roots[name] = &pathNode{}
	}
	return roots[name]
}

// child returns the child node for a segment, and creates it if it does not exist.
func (n *pathNode) child(segment string) *pathNode {
	if n.children == nil {
		n.children = map[string]*pathNode{}
	}
	if n.children[segment] == nil {
		n.children[segment] = &pathNode{}
	}
	return n.children[segment]
}

// headerIndex returns the index of the rules of a class at this path, and creates it if it does not exist.
func (n *pathNode) headerIndex(class string) *headerIndex {
	if n.rules == nil {
		n.rules = &classIndex{byClass: map[string]*headerIndex{}}
	}
	if class == "" {
		if n.rules.anyClass == nil {
			n.rules.anyClass = &headerIndex{}
		}
		return n.rules.anyClass
	}
	if n.rules.byClass[class] == nil {
		n.rules.byClass[class] = &headerIndex{}
	}
	return n.rules.byClass[class]
}

// add adds a rule to the index. It returns an error, and does not add the rule, if the index already has a rule that
// matches the same requests, or if the rule's header name would be one too many.
func (h *headerIndex) add(c *compiledRule) error {
	if c.Header == "" {
		return setIfNil(&h.noHeader, c)
	}
	r := h.rulesForHeader(c.Header)
	if r == nil {
		return fmt.Errorf("the routes of its host, path and class have more than %d header names", maxHeaders)
	}
	if c.HeaderPresent {
		return setIfNil(&r.anyValue, c)
	}
	if other := r.byValue[c.Value]; other != nil {
		return &SameRequestsError{Other: other.Name}
	}
	r.byValue[c.Value] = c
	return nil
}

// If *target is nil, setIfNil sets it to c and returns nil. Otherwise it leaves *target unchanged and returns an error.
func setIfNil(target **compiledRule, c *compiledRule) error {
	if *target != nil {
		return &SameRequestsError{Other: (*target).Name}
	}
	*target = c
	return nil
}

// rulesForHeader returns the rules of a header name. If the index has no entry for the name, rulesForHeader adds an
// empty entry, or returns nil if the index has no room for one. The pointer is valid until the next entry is added.
func (h *headerIndex) rulesForHeader(name string) *headerRules {
	i := slices.IndexFunc(h.headers, func(r headerRules) bool { return r.name == name })
	if i >= 0 {
		return &h.headers[i]
	}
	if len(h.headers) == maxHeaders {
		return nil
	}
	h.headers = append(h.headers, headerRules{name: name, byValue: map[string]*compiledRule{}})
	return &h.headers[len(h.headers)-1]
}

// headerIndexes returns the header indexes of all combinations of host, path and class.
func (t *Table) headerIndexes() []*headerIndex {
	var all []*headerIndex
	for _, roots := range []map[string]*pathNode{t.exact, t.wildcards} {
		for _, root := range roots {
			all = root.appendHeaderIndexes(all)
		}
	}
	if t.anyHost != nil {
		all = t.anyHost.appendHeaderIndexes(all)
	}
	return all
}

func (n *pathNode) appendHeaderIndexes(all []*headerIndex) []*headerIndex {
	if n.rules != nil {
		if n.rules.anyClass != nil {
			all = append(all, n.rules.anyClass)
		}
		for _, index := range n.rules.byClass {
			all = append(all, index)
		}
	}
	for _, child := range n.children {
		all = child.appendHeaderIndexes(all)
	}
	return all
}

// segments iterates over the segments of a path. The path "/" has none.
func segments(path string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		rest := strings.TrimPrefix(path, "/")
		for rest != "" {
			segment, tail, _ := strings.Cut(rest, "/")
			if !yield(segment) {
				return
			}
			rest = tail
		}
	}
}
