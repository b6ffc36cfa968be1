package routes

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// findNaively returns the index of the most specific rule that matches, or -1 if no rule matches. It compares all rules
// by the criteria in the comment of Table, without the code under test.
func findNaively(rules []Rule, q *Request) int {
	best := -1
	var bestRank []int
	for i, r := range rules {
		rank, matches := rankOf(r, q)
		if matches && (best < 0 || slices.Compare(rank, bestRank) > 0) {
			best, bestRank = i, rank
		}
	}
	return best
}

// rankOf returns whether a rule matches, and a rank that tells how specific the rule is. The most significant criterion
// is the first element of the rank. A higher value is more specific.
func rankOf(r Rule, q *Request) (rank []int, matches bool) {
	const exactHost = 1000 // above the length of every wildcard host
	host := 0
	switch {
	case strings.HasPrefix(r.Host, "*."):
		if !strings.HasSuffix(q.Host, r.Host[1:]) {
			return nil, false
		}
		host = len(r.Host)
	case r.Host != "":
		if q.Host != r.Host {
			return nil, false
		}
		host = exactHost
	}
	path := strings.TrimSuffix(r.Path, "/")
	if path != "" && q.Path != path && !strings.HasPrefix(q.Path, path+"/") {
		return nil, false
	}
	class := 0
	if r.Class != "" {
		if r.Class != q.Class {
			return nil, false
		}
		class = 1
	}
	header, headerName := 0, 0
	if r.Header != "" {
		values := q.Header[r.Header]
		if len(values) == 0 || !r.HeaderPresent && (len(values) != 1 || values[0] != r.Value) {
			return nil, false
		}
		header, headerName = 1, -int(r.Header[len(r.Header)-1]) // header names here differ only in the last letter
		if !r.HeaderPresent {
			header = 2
		}
	}
	return []int{host, strings.Count(path, "/"), class, header, headerName}, true
}

func oneOf[T any](t *rapid.T, name string, list ...T) T { return rapid.SampledFrom(list).Draw(t, name) }

var hosts = []string{"a.example.org", "b.a.example.org", "example.org", "x.org"}

func drawRule(t *rapid.T, name string) Rule {
	r := Rule{
		Name:  name,
		Host:  oneOf(t, "host", append(hosts, "", "*.example.org", "*.a.example.org", "*.org")...),
		Path:  oneOf(t, "path", "", "/", "/a", "/a/b", "/b", "/a/b/c"),
		Class: oneOf(t, "class", "", "find", "book"),
		To:    []Weight{{Service: 0, Weight: 1}},
	}
	switch oneOf(t, "header", "", "", "any", "value") {
	case "any":
		r.Header, r.HeaderPresent = oneOf(t, "name", "X-A", "X-B"), true
	case "value":
		r.Header, r.Value = oneOf(t, "name", "X-A", "X-B"), oneOf(t, "value", "1", "2")
	}
	return r
}

func drawRequest(t *rapid.T) *Request {
	q := &Request{
		Host:   oneOf(t, "host", append(hosts, "", "c.b.a.example.org", "org")...),
		Path:   oneOf(t, "path", "/", "/a", "/a/", "/a/b/x", "/ab", "/b/a", "/a/b/c/d"),
		Class:  oneOf(t, "class", "", "find", "other"),
		Header: map[string][]string{},
	}
	for _, name := range []string{"X-A", "X-B"} {
		if v := oneOf(t, name, "", "1", "2", "3"); v != "" {
			q.Header[name] = []string{v}
		}
	}
	if oneOf(t, "repeated header", false, true) {
		q.Header["X-A"] = []string{"1", "1"}
	}
	return q
}

// sameRequests returns whether two rules match the same requests.
func sameRequests(a, b Rule) bool {
	return a.Host == b.Host && strings.TrimSuffix(a.Path, "/") == strings.TrimSuffix(b.Path, "/") &&
		a.Class == b.Class && a.Header == b.Header && a.Value == b.Value && a.HeaderPresent == b.HeaderPresent
}

func TestFind_AgreesWithNaiveMatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for i := range rapid.IntRange(1, 30).Draw(t, "rules") {
			r := drawRule(t, fmt.Sprint(i))
			if slices.ContainsFunc(rules, func(o Rule) bool { return sameRequests(o, r) }) {
				_, err := Compile(append(slices.Clone(rules), r), 1)
				require.ErrorContains(t, err, "it matches the same requests as route")
				continue
			}
			rules = append(rules, r)
		}
		table, err := Compile(rules, 1)
		require.NoError(t, err)
		for range 20 {
			q := drawRequest(t)
			got, _, ok := table.Find(q)
			want := findNaively(rules, q)
			if want < 0 {
				require.False(t, ok, "%+v", q)
				continue
			}
			require.True(t, ok, "%+v", q)
			require.Equal(t, rules[want], rules[got], "%+v", q)
		}
	})
}

// A split distributes keys in proportion to its weights. If the weights change, only keys of the service whose weight
// has decreased go to another service.
func TestFind_SplitIsStable(t *testing.T) {
	split := func(w float64) *Table {
		table, err := Compile([]Rule{{Name: "s", To: []Weight{{0, 1 - w}, {1, w}}, SplitBy: "tenant"}}, 2)
		require.NoError(t, err)
		return table
	}
	tenth, fifth := split(0.1), split(0.2)
	counts, moved := [2]int{}, 0
	for i := range 20000 {
		q := &Request{Tenant: fmt.Sprint("tenant", i)}
		_, before, _ := tenth.Find(q)
		_, again, _ := tenth.Find(q)
		_, after, _ := fifth.Find(q)
		require.Equal(t, before, again)
		counts[before]++
		if before != after {
			require.Equal(t, 0, before, "keys of the service whose weight has increased do not move")
			moved++
		}
	}
	assert.InDelta(t, 2000, counts[1], 200)
	assert.InDelta(t, 2000, moved, 250)
}

func TestCompile_ReportsEveryError(t *testing.T) {
	to := []Weight{{0, 1}}
	for problem, r := range map[string]Rule{
		"without a port":                                      {Host: "a.org:80", To: to},
		"expected the canonical form \"a.org\"":               {Host: "A.org", To: to},
		"not a host name":                                     {Host: "*.*.org", To: to},
		"ambiguous":                                           {Path: "/a/../b", To: to},
		"expected the canonical form \"/a\"":                  {Path: "/%61", To: to},
		"names no service":                                    {},
		"no such service: number 7, expected 0 to 1":          {To: []Weight{{7, 1}}},
		"split[2] names the same service as an earlier entry": {To: []Weight{{0, 1}, {0, 1}}, SplitBy: "trace"},
		"by is missing: a split over 2 services needs a key":  {To: []Weight{{0, 1}, {1, 1}}},
		"by \"unknown\": expected trace":                      {To: []Weight{{0, 1}, {1, 1}}, SplitBy: "unknown"},
		"weight 0, expected above 0 and at most 1e+09":        {To: []Weight{{0, 1}, {1, 0}}, SplitBy: "trace"},
		"X-A: expected value or any, found neither":           {Header: "X-A", To: to},
		"X-A: expected value or any, found both":              {Header: "X-A", HeaderPresent: true, Value: "x", To: to},
		"value or any is set, but header is missing":          {Value: "x", To: to},
		"\"X-A\"":                            {Header: "x-a", HeaderPresent: true, To: to},
		"class \"a b\": expected no slashes": {Class: "a b", To: to},
	} {
		t.Run(problem, func(t *testing.T) {
			r.Name = "r1"
			_, err := Compile([]Rule{r, {Name: "r2"}}, 2)
			require.Error(t, err)
			assert.ErrorContains(t, err, problem)
			assert.ErrorContains(t, err, "route r1: ")
			assert.ErrorContains(t, err, "route r2: it names no service", "the error reports all rules")
			var rule *RuleError
			require.ErrorAs(t, err, &rule)
			assert.Equal(t, "r1", rule.Rule)
		})
	}
}

// benchmarkRule returns the i-th rule of the table that BenchmarkFind searches.
func benchmarkRule(i int) Rule {
	r := Rule{
		Name: fmt.Sprint(i),
		Host: fmt.Sprintf("h%d.example.org", i/4),
		Path: fmt.Sprintf("/p%d/q", i%4),
		To:   []Weight{{0, 1}},
	}
	switch i % 5 {
	case 1:
		r.Host = fmt.Sprintf("*.z%d.org", i/4)
	case 2:
		r.Class = "book-table"
	case 3:
		r.Header, r.Value = "X-Member", fmt.Sprint(i)
	}
	return r
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var rules []Rule
			for i := range n {
				rules = append(rules, benchmarkRule(i))
			}
			table, err := Compile(rules, 1)
			require.NoError(b, err)
			const requestCount = 1024
			var requests []*Request
			random := rand.New(rand.NewSource(1))
			for range requestCount {
				i := random.Intn(n)
				requests = append(requests, &Request{
					Host:   strings.Replace(rules[i].Host, "*", "some.where", 1),
					Path:   rules[i].Path + "/table",
					Class:  "book-table",
					Header: map[string][]string{"X-Member": {fmt.Sprint(i)}},
				})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, _, ok := table.Find(requests[i%requestCount]); !ok {
					b.Fatal(requests[i%requestCount])
				}
				i++
			}
		})
	}
}
