// Package routes decides which service a request goes to, by its host, path, class and headers.
//
// It is pure: rules are validated and compiled into a Table once; a lookup reads nothing but the request and allocates
// nothing, and its cost grows with the request's labels and segments, not with the number of rules. The package also
// defines the canonical form of hosts and paths, in which both rules and requests have to be. It does not know what a
// service is: rules name them by number.
package routes

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// maxHeaders is how many header names the rules of one host, path and class may have.
const maxHeaders = 16

// Table is a set of rules, compiled.
//
// The most specific rule wins: first by host (exact, then the longest wildcard, then none), then by the longest path,
// then by class, then by header (a value before mere presence, each in the order of names). A rule whose host fits but
// whose path, class or header does not gives way to the next.
type Table struct {
	rules     []Rule
	exact     map[string]*pathNode // by host
	wildcards map[string]*pathNode // by what follows the "*."
	anyHost   *pathNode
	maxDepth  int // segments in any rule's path
}

// pathNode is a node in the tree of the paths of one host, one level a segment.
type pathNode struct {
	children map[string]*pathNode
	rules    *classIndex // nil: no rule has this path
}

// classIndex are the rules of one host and path.
type classIndex struct {
	byClass  map[string]*headerIndex
	anyClass *headerIndex
}

// headerIndex are the rules of one host, path and class.
type headerIndex struct {
	headers  []headerRules // in the order of names
	noHeader *compiledRule
}

// headerRules are the rules of one host, path, class and header name.
type headerRules struct {
	name     string
	byValue  map[string]*compiledRule
	anyValue *compiledRule
}

// Compile validates rules and creates a table. The error joins one RuleError for each rule that can't be used.
func Compile(rules []Rule, services int) (*Table, error) {
	t := &Table{rules: rules, exact: map[string]*pathNode{}, wildcards: map[string]*pathNode{}}
	var errs []error
	for i, r := range rules {
		c, err := r.compile(services)
		if err != nil {
			errs = append(errs, &RuleError{r.Name, err})
			continue
		}
		c.index = i
		if other := t.add(c); other != nil {
			errs = append(errs, &RuleError{r.Name, fmt.Errorf("can't be told apart from route %s", other.Name)})
		}
	}
	for _, index := range t.headerIndexes() {
		slices.SortFunc(index.headers, func(a, b headerRules) int { return cmp.Compare(a.name, b.name) })
		if n := len(index.headers); n > maxHeaders {
			err := fmt.Errorf("it and those beside it ask for %d headers, %d at most", n, maxHeaders)
			errs = append(errs, &RuleError{index.firstRule().Name, err})
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return t, nil
}

// Rules are the table's rules, as they were given to Compile.
func (t *Table) Rules() []Rule { return t.rules }

// add adds a rule, or returns the one that matches the same requests.
func (t *Table) add(c *compiledRule) *compiledRule {
	node, depth := t.root(c.Host), 0
	for segment := range segments(c.Path) {
		node = node.child(segment)
		depth++
	}
	t.maxDepth = max(t.maxDepth, depth)
	return node.headerIndex(c.Class).add(c)
}

// root is the root of a host's paths, which is created if there is none.
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

// child is the node of a further segment, which is created if there is none.
func (n *pathNode) child(segment string) *pathNode {
	if n.children == nil {
		n.children = map[string]*pathNode{}
	}
	if n.children[segment] == nil {
		n.children[segment] = &pathNode{}
	}
	return n.children[segment]
}

// headerIndex are the rules of a class at this path, which are created if there are none.
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

// add adds a rule, or returns the one that matches the same requests.
func (h *headerIndex) add(c *compiledRule) *compiledRule {
	if c.Header == "" {
		return addAt(&h.noHeader, c)
	}
	r := h.rulesOf(c.Header)
	if c.HeaderPresent {
		return addAt(&r.anyValue, c)
	}
	if other := r.byValue[c.Value]; other != nil {
		return other
	}
	r.byValue[c.Value] = c
	return nil
}

func addAt(place **compiledRule, c *compiledRule) *compiledRule {
	if *place != nil {
		return *place
	}
	*place = c
	return nil
}

// rulesOf are the rules of a header name, which are created if there are none. They are valid until another name is
// added.
func (h *headerIndex) rulesOf(name string) *headerRules {
	i := slices.IndexFunc(h.headers, func(r headerRules) bool { return r.name == name })
	if i < 0 {
		i = len(h.headers)
		h.headers = append(h.headers, headerRules{name: name, byValue: map[string]*compiledRule{}})
	}
	return &h.headers[i]
}

// headerIndexes are those of all hosts, paths and classes.
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

// firstRule is the one of its rules that was given to Compile first.
func (h *headerIndex) firstRule() *compiledRule {
	first := h.noHeader
	consider := func(c *compiledRule) {
		if c != nil && (first == nil || c.index < first.index) {
			first = c
		}
	}
	for _, r := range h.headers {
		for _, c := range r.byValue {
			consider(c)
		}
		consider(r.anyValue)
	}
	return first
}

// segments iterates over a path's segments; "/" has none.
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
