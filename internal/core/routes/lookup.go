package routes

import "strings"

// Request is the part of a request that a lookup reads. Host and Path must be in canonical form.
type Request struct {
	Host, Path, Class                       string
	TraceID, Tenant, IdempotencyKey, Client string
	Header                                  map[string][]string // by name in the canonical form of net/textproto
}

// Find returns the index of the rule that applies to a request, and the number of the service that the request goes to.
// ok is false if no rule matches.
func (t *Table) Find(q *Request) (rule, service int, ok bool) {
	c := t.findByHost(q)
	if c == nil {
		return 0, 0, false
	}
	return c.index, c.choose(q), true
}

func (t *Table) findByHost(q *Request) *compiledRule {
	if q.Host != "" {
		if c := t.exact[q.Host].find(t.maxDepth, q); c != nil {
			return c
		}
	}
	if len(t.wildcards) > 0 {
		if c := t.findByWildcard(q); c != nil {
			return c
		}
	}
	return t.anyHost.find(t.maxDepth, q)
}

// findByWildcard returns the matching rule with the longest wildcard host, or nil if no rule matches.
func (t *Table) findByWildcard(q *Request) *compiledRule {
	_, suffix, found := strings.Cut(q.Host, ".")
	for found {
		if c := t.wildcards[suffix].find(t.maxDepth, q); c != nil {
			return c
		}
		_, suffix, found = strings.Cut(suffix, ".")
	}
	return nil
}

// find returns the matching rule with the longest path in a host's tree. n is the root of the tree. It returns nil if n
// is nil or no rule matches.
func (n *pathNode) find(maxDepth int, q *Request) *compiledRule {
	if n == nil {
		return nil
	}
	var matching [maxSegments + 1]*classIndex // rules whose path the request matches, shortest path first
	count := 0
	if n.rules != nil {
		matching[count] = n.rules
		count++
	}
	rest := q.Path
	for depth := 0; depth < maxDepth && rest != ""; depth++ {
		var segment string
		segment, rest = nextSegment(rest)
		n = n.children[segment]
		if n == nil {
			break
		}
		if n.rules != nil {
			matching[count] = n.rules
			count++
		}
	}
	for i := count - 1; i >= 0; i-- {
		if c := matching[i].find(q); c != nil {
			return c
		}
	}
	return nil
}

// nextSegment splits a path into its first segment, without the leading slash, and the rest of the path.
func nextSegment(path string) (segment, rest string) {
	path = path[1:]
	end := strings.IndexByte(path, '/')
	if end < 0 {
		return path, ""
	}
	return path[:end], path[end:]
}

func (i *classIndex) find(q *Request) *compiledRule {
	if q.Class != "" {
		if c := i.byClass[q.Class].find(q); c != nil {
			return c
		}
	}
	return i.anyClass.find(q)
}

// find returns the most specific matching rule of the index. It returns nil if h is nil or no rule matches.
func (h *headerIndex) find(q *Request) *compiledRule {
	if h == nil {
		return nil
	}
	for i := range h.headers {
		values := q.Header[h.headers[i].name]
		if len(values) != 1 { // a header that occurs more than once matches no required value
			continue
		}
		if c := h.headers[i].byValue[values[0]]; c != nil {
			return c
		}
	}
	for i := range h.headers {
		if h.headers[i].anyValue != nil && len(q.Header[h.headers[i].name]) > 0 {
			return h.headers[i].anyValue
		}
	}
	return h.noHeader
}
