// Package routes decides which service a request goes to. It is pure: rules are compiled once, a look-up reads nothing
// but the request and allocates nothing, and its cost grows with the request's labels and segments, not with the rules.
package routes

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rule is one route. What it leaves open matches anything.
type Rule struct {
	Name   string
	Host   string // "booking.example.org", or "*.example.org" for any name below it
	Path   string // a prefix by whole segments: "/book" takes /book and /book/x, not /bookings
	Class  string
	Header string // its name
	Value  string // that it must have
	Any    bool   // it need only be there

	To []Weight // one, or a split
	By string   // what a split goes by: "trace", "tenant", "mark", "client" or "header:NAME"; equal keys go together
}

// Weight is one side of a split.
type Weight struct {
	Service int
	Weight  float64
}

// Request is what a look-up reads. Host and Path are canonical.
type Request struct {
	Host, Path, Class                       string
	TraceID, Tenant, IdempotencyKey, Client string
	Header                                  map[string][]string // names as net/textproto spells them
}

// Table is a set of rules, compiled.
//
// The most specific rule wins: first by host (exact, then the longest wildcard, then none), then by the longest path,
// then by class, then by header (a value before mere presence, each in the order of names). A rule whose host fits but
// whose path, class or header does not gives way to the next.
type Table struct {
	rules   []Rule
	exact   map[string]*site
	wild    map[string]*site
	any     *site
	deepest int // segments in any rule's path
}

// site is what one host has.
type site struct{ root segment }

type segment struct {
	next map[string]*segment
	here *group
}

// group is what one host and path have.
type group struct {
	class map[string]*choice
	any   *choice
}

// choice is what one host, path and class have.
type choice struct {
	headers []header // in the order of names
	plain   *compiled
}

type header struct {
	name  string
	value map[string]*compiled
	any   *compiled
}

type compiled struct {
	Rule
	index int
	upTo  []float64 // of a split, cumulative, the last is 1
}

const (
	mostSegments = 32
	mostHeaders  = 16 // names that one host, path and class may ask for
)

// Compile checks rules and makes a table. The error holds every mistake, each with its rule's name.
func Compile(rules []Rule, services int) (*Table, error) {
	t := &Table{rules: rules, exact: map[string]*site{}, wild: map[string]*site{}}
	var all []error
	for i, r := range rules {
		bad := func(format string, args ...any) {
			all = append(all, fmt.Errorf("route %s: %w", r.Name, fmt.Errorf(format, args...)))
		}
		c, err := r.check(services)
		if err != nil {
			bad("%w", err)
			continue
		}
		c.index = i
		if other := t.add(c); other != nil {
			bad("can't be told apart from route %s", other.Name)
		}
	}
	t.each(func(c *choice, first *compiled) {
		slices.SortFunc(c.headers, func(a, b header) int { return cmp.Compare(a.name, b.name) })
		if len(c.headers) > mostHeaders {
			all = append(all, fmt.Errorf("route %s: it and those beside it ask for %d headers, %d at most", first.Name, len(c.headers), mostHeaders))
		}
	})
	if len(all) > 0 {
		return nil, errors.Join(all...)
	}
	return t, nil
}

func (r Rule) check(services int) (*compiled, error) {
	c := &compiled{Rule: r}
	var all []error
	bad := func(cond bool, format string, args ...any) {
		if cond {
			all = append(all, fmt.Errorf(format, args...))
		}
	}
	if r.Host != "" {
		plain := strings.TrimPrefix(r.Host, "*.")
		host, err := Host(plain)
		bad(err != nil, "host %q: %w", r.Host, err)
		bad(err == nil && host != plain, "host %q is to be written %q, without a port", r.Host, host)
	}
	if r.Path != "" {
		path, err := Path(r.Path)
		bad(err != nil, "path %q: %w", r.Path, err)
		bad(err == nil && path != r.Path, "path %q is to be written %q", r.Path, path)
		bad(strings.Count(r.Path, "/") > mostSegments, "path %q has more than %d segments", r.Path, mostSegments)
	}
	bad(strings.ContainsAny(r.Class, "/ \t\r\n"), "class %q", r.Class)
	bad(r.Header != "" && r.Header != canonicalHeader(r.Header), "header %q is to be written %q", r.Header, canonicalHeader(r.Header))
	bad(r.Header != "" && !r.Any && r.Value == "", "header %s: neither a value nor any", r.Header)
	bad(r.Header != "" && r.Any && r.Value != "", "header %s: a value and any exclude each other", r.Header)
	bad(r.Header == "" && (r.Any || r.Value != ""), "a header's value without its name")
	bad(len(r.To) == 0, "it leads nowhere")
	sum := 0.0
	for i, w := range r.To {
		bad(w.Service < 0 || w.Service >= services, "no such service")
		bad(!(w.Weight > 0 && w.Weight <= 1e9) && len(r.To) > 1, "weight %v is not above 0", w.Weight)
		bad(slices.ContainsFunc(r.To[:i], func(o Weight) bool { return o.Service == w.Service }), "one service stands twice in its split")
		sum += w.Weight
	}
	_, named := strings.CutPrefix(r.By, "header:")
	switch {
	case len(r.To) > 1 && r.By == "":
		bad(true, "a split needs what it goes by")
	case r.By != "" && !named && !slices.Contains([]string{"trace", "tenant", "mark", "client"}, r.By):
		bad(true, "by %q is none of trace, tenant, mark, client, header:NAME", r.By)
	}
	upTo := 0.0
	for _, w := range r.To {
		upTo += w.Weight / sum
		c.upTo = append(c.upTo, upTo)
	}
	if n := len(c.upTo); n > 0 {
		c.upTo[n-1] = 1
	}
	return c, errors.Join(all...)
}

// add files a rule, and returns the one that stands in its place already.
func (t *Table) add(c *compiled) (other *compiled) {
	s := &t.any
	switch {
	case strings.HasPrefix(c.Host, "*."):
		s = new(*site)
		*s = t.wild[c.Host[2:]]
	case c.Host != "":
		s = new(*site)
		*s = t.exact[c.Host]
	}
	if *s == nil {
		*s = &site{}
	}
	if at, ok := strings.CutPrefix(c.Host, "*."); ok {
		t.wild[at] = *s
	} else if c.Host != "" {
		t.exact[c.Host] = *s
	}
	seg, depth := &(*s).root, 0
	for part := range parts(c.Path) {
		if seg.next == nil {
			seg.next = map[string]*segment{}
		}
		if seg.next[part] == nil {
			seg.next[part] = &segment{}
		}
		seg = seg.next[part]
		depth++
	}
	t.deepest = max(t.deepest, depth)
	if seg.here == nil {
		seg.here = &group{}
	}
	g, ch := seg.here, (*choice)(nil)
	if c.Class == "" {
		if g.any == nil {
			g.any = &choice{}
		}
		ch = g.any
	} else {
		if g.class == nil {
			g.class = map[string]*choice{}
		}
		if g.class[c.Class] == nil {
			g.class[c.Class] = &choice{}
		}
		ch = g.class[c.Class]
	}
	place := &ch.plain
	if c.Header != "" {
		i := slices.IndexFunc(ch.headers, func(h header) bool { return h.name == c.Header })
		if i < 0 {
			i = len(ch.headers)
			ch.headers = append(ch.headers, header{name: c.Header, value: map[string]*compiled{}})
		}
		if !c.Any {
			if other = ch.headers[i].value[c.Value]; other == nil {
				ch.headers[i].value[c.Value] = c
			}
			return other
		}
		place = &ch.headers[i].any
	}
	if *place != nil {
		return *place
	}
	*place = c
	return nil
}

// each goes through all choices, with one of the rules in each.
func (t *Table) each(f func(*choice, *compiled)) {
	var walk func(*segment)
	look := func(c *choice) {
		if c == nil {
			return
		}
		first := c.plain
		for _, h := range c.headers {
			for _, r := range h.value {
				if first == nil || r.index < first.index {
					first = r
				}
			}
			if h.any != nil && (first == nil || h.any.index < first.index) {
				first = h.any
			}
		}
		f(c, first)
	}
	walk = func(s *segment) {
		if s.here != nil {
			look(s.here.any)
			for _, c := range s.here.class {
				look(c)
			}
		}
		for _, n := range s.next {
			walk(n)
		}
	}
	for _, s := range t.sites() {
		walk(&s.root)
	}
}

func (t *Table) sites() []*site {
	var out []*site
	for _, m := range []map[string]*site{t.exact, t.wild} {
		for _, s := range m {
			out = append(out, s)
		}
	}
	if t.any != nil {
		out = append(out, t.any)
	}
	return out
}

// parts goes through a path's segments; "/" has none.
func parts(path string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for rest := strings.TrimPrefix(path, "/"); rest != ""; {
			part, tail, _ := strings.Cut(rest, "/")
			if !yield(part) {
				return
			}
			rest = tail
		}
	}
}

// Find tells which rule takes a request and which of its services that means. ok is false if none does.
func (t *Table) Find(q *Request) (rule, service int, ok bool) {
	if s := t.exact[q.Host]; s != nil && q.Host != "" {
		if c := s.find(t, q); c != nil {
			return c.index, c.choose(q), true
		}
	}
	for rest := q.Host; rest != "" && len(t.wild) > 0; {
		_, tail, more := strings.Cut(rest, ".")
		if !more {
			break
		}
		rest = tail
		if s := t.wild[rest]; s != nil {
			if c := s.find(t, q); c != nil {
				return c.index, c.choose(q), true
			}
		}
	}
	if t.any != nil {
		if c := t.any.find(t, q); c != nil {
			return c.index, c.choose(q), true
		}
	}
	return 0, 0, false
}

// find takes the longest path that leads to a rule.
func (s *site) find(t *Table, q *Request) *compiled {
	var on [mostSegments + 1]*group
	n := 0
	seg := &s.root
	if seg.here != nil {
		on[n] = seg.here
		n++
	}
	rest := q.Path
	for depth := 0; depth < t.deepest && len(rest) > 0; depth++ {
		rest = rest[1:] // its slash
		end := strings.IndexByte(rest, '/')
		part := rest
		if end >= 0 {
			part, rest = rest[:end], rest[end:]
		} else {
			rest = ""
		}
		if seg = seg.next[part]; seg == nil {
			break
		}
		if seg.here != nil {
			on[n] = seg.here
			n++
		}
	}
	for n--; n >= 0; n-- {
		g := on[n]
		if q.Class != "" {
			if c := g.class[q.Class].find(q); c != nil {
				return c
			}
		}
		if c := g.any.find(q); c != nil {
			return c
		}
	}
	return nil
}

func (c *choice) find(q *Request) *compiled {
	if c == nil {
		return nil
	}
	for i := range c.headers {
		if v := q.Header[c.headers[i].name]; len(v) == 1 { // a header that stands twice equals nothing
			if r := c.headers[i].value[v[0]]; r != nil {
				return r
			}
		}
	}
	for i := range c.headers {
		if c.headers[i].any != nil && len(q.Header[c.headers[i].name]) > 0 {
			return c.headers[i].any
		}
	}
	return c.plain
}

// choose splits by a stable key: equal keys go to the same service for as long as the weights stay, and where weights
// change only the keys between the old and the new border move.
func (c *compiled) choose(q *Request) int {
	if len(c.To) == 1 {
		return c.To[0].Service
	}
	key := ""
	switch c.By {
	case "trace":
		key = q.TraceID
	case "tenant":
		key = q.Tenant
	case "mark":
		key = q.IdempotencyKey
	case "client":
		key = q.Client
	default:
		if v := q.Header[c.By[len("header:"):]]; len(v) > 0 {
			key = v[0]
		}
	}
	x := float64(xxhash.Sum64String(key)>>11) / (1 << 53)
	for i, upTo := range c.upTo {
		if x < upTo {
			return c.To[i].Service
		}
	}
	return c.To[len(c.To)-1].Service
}

// Rules are the table's, as they were handed in.
func (t *Table) Rules() []Rule { return t.rules }

// canonicalHeader spells a name as net/textproto does.
func canonicalHeader(s string) string {
	b := []byte(s)
	up := true
	for i, c := range b {
		switch {
		case up && c >= 'a' && c <= 'z':
			b[i] = c - 32
		case !up && c >= 'A' && c <= 'Z':
			b[i] = c + 32
		}
		up = c == '-'
	}
	return string(b)
}
