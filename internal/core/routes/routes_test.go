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

// naive goes through all rules and takes the most specific that matches, by the words of Table's comment alone.
func naive(rules []Rule, q *Request) int {
	best, rank := -1, []int{}
	for i, r := range rules {
		host := 0
		switch {
		case strings.HasPrefix(r.Host, "*."):
			if !strings.HasSuffix(q.Host, r.Host[1:]) {
				continue
			}
			host = len(r.Host)
		case r.Host != "":
			if q.Host != r.Host {
				continue
			}
			host = 1000
		}
		path := strings.TrimSuffix(r.Path, "/")
		if path != "" && q.Path != path && !strings.HasPrefix(q.Path, path+"/") {
			continue
		}
		class, head, name := 0, 0, 0
		if r.Class != "" {
			if class = 1; r.Class != q.Class {
				continue
			}
		}
		if r.Header != "" {
			v := q.Header[r.Header]
			if len(v) == 0 || !r.Any && (len(v) != 1 || v[0] != r.Value) {
				continue
			}
			head, name = 1, -int(r.Header[len(r.Header)-1]) // names differ in their last letter here
			if !r.Any {
				head = 2
			}
		}
		now := []int{host, strings.Count(path, "/"), class, head, name}
		if best < 0 || slices.Compare(now, rank) > 0 {
			best, rank = i, now
		}
	}
	return best
}

func pick[T any](t *rapid.T, name string, list ...T) T { return rapid.SampledFrom(list).Draw(t, name) }

var hosts = []string{"a.example.org", "b.a.example.org", "example.org", "x.org"}

func TestFindAgreesWithANaiveMatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for i := range rapid.IntRange(1, 30).Draw(t, "rules") {
			r := Rule{Name: fmt.Sprint(i), Host: pick(t, "host", append(hosts, "", "*.example.org", "*.a.example.org", "*.org")...),
				Path: pick(t, "path", "", "/", "/a", "/a/b", "/b", "/a/b/c"), Class: pick(t, "class", "", "find", "book"),
				To: []Weight{{Service: 0, Weight: 1}}}
			switch pick(t, "header", "", "", "any", "value") {
			case "any":
				r.Header, r.Any = pick(t, "name", "X-A", "X-B"), true
			case "value":
				r.Header, r.Value = pick(t, "name", "X-A", "X-B"), pick(t, "value", "1", "2")
			}
			same := func(o Rule) bool {
				return o.Host == r.Host && strings.TrimSuffix(o.Path, "/") == strings.TrimSuffix(r.Path, "/") && o.Class == r.Class &&
					o.Header == r.Header && o.Value == r.Value && o.Any == r.Any
			}
			if slices.ContainsFunc(rules, same) {
				_, err := Compile(append(slices.Clone(rules), r), 1)
				require.ErrorContains(t, err, "can't be told apart")
				continue
			}
			rules = append(rules, r)
		}
		table, err := Compile(rules, 1)
		require.NoError(t, err)
		for range 20 {
			q := &Request{Host: pick(t, "host", append(hosts, "", "c.b.a.example.org", "org")...), Path: pick(t, "path", "/", "/a", "/a/", "/a/b/x",
				"/ab", "/b/a", "/a/b/c/d"), Class: pick(t, "class", "", "find", "other"), Header: map[string][]string{}}
			for _, name := range []string{"X-A", "X-B"} {
				if v := pick(t, name, "", "1", "2", "3"); v != "" {
					q.Header[name] = []string{v}
				}
			}
			if pick(t, "twice", false, true) {
				q.Header["X-A"] = []string{"1", "1"}
			}
			got, _, ok := table.Find(q)
			if want := naive(rules, q); want >= 0 {
				require.True(t, ok, "%+v", q)
				require.Equal(t, rules[want], rules[got], "%+v", q)
			} else {
				require.False(t, ok, "%+v", q)
			}
		}
	})
}

func TestASplitIsStableAndKeepsItsWeights(t *testing.T) {
	split := func(w float64) *Table {
		table, err := Compile([]Rule{{Name: "s", To: []Weight{{0, 1 - w}, {1, w}}, By: "tenant"}}, 2)
		require.NoError(t, err)
		return table
	}
	tenth, fifth := split(0.1), split(0.2)
	counts, moved := [2]int{}, 0
	for i := range 20000 {
		q := &Request{Tenant: fmt.Sprint("tenant", i)}
		_, a, _ := tenth.Find(q)
		_, again, _ := tenth.Find(q)
		_, b, _ := fifth.Find(q)
		require.Equal(t, a, again)
		counts[a]++
		if a != b {
			require.Equal(t, 0, a, "who was on the growing side stays there")
			moved++
		}
	}
	assert.InDelta(t, 2000, counts[1], 200)
	assert.InDelta(t, 2000, moved, 250)
}

func TestHostsAndPathsHaveOneForm(t *testing.T) {
	for in, want := range map[string]string{"Booking.Example.ORG": "booking.example.org", "a.org.:8080": "a.org", "a.org:80": "a.org",
		"127.0.0.1:3000": "127.0.0.1", "[::1]:80": "[::1]", "[FE80::1]": "[fe80::1]", "a_b.org": "a_b.org",
		"": "", ".": "", "a..b": "", "a.org:": "", "a.org:0": "", "a.org:99999": "", "a.org:x": "", "-a.org": "", "a-.org": "", "a b": "", "a/b": "",
		"a@b": "", "[::1": "", "[::1]x": "", "é.org": "", strings.Repeat("a", 64) + ".org": "", strings.Repeat("a.", 127) + "b": "", "a.org..": ""} {
		got, err := Host(in)
		assert.Equal(t, want, got, in)
		assert.Equal(t, want == "", err != nil, in)
	}
	for in, want := range map[string]string{"/": "/", "/a/b": "/a/b", "/a/": "/a/", "/%61": "/a", "/%7Ex": "/~x", "/%c3%a9": "/%C3%A9", "/a%20b": "/a%20b",
		"/a%3Fb": "/a%3Fb", "/a.b": "/a.b", "/...": "/...",
		"": "", "a": "", "//": "", "/a//b": "", "/./a": "", "/a/..": "", "/%2e%2E/a": "", "/a%2fb": "", "/a%5Cb": "", "/a%00": "", "/%": "", "/%4": "",
		"/%zz": "", "/a b": "", "/a\\b": "", "/a\x7f": "", "/a#b": "", "/é": ""} {
		got, err := Path(in)
		assert.Equal(t, want, got, in)
		assert.Equal(t, want == "", err != nil, in)
	}
}

func TestEveryMistakeInRulesIsNamed(t *testing.T) {
	to := []Weight{{0, 1}}
	for says, r := range map[string]Rule{
		"without a port":             {Host: "a.org:80", To: to},
		"is to be written \"a.org\"": {Host: "A.org", To: to},
		"not a host name":            {Host: "*.*.org", To: to},
		"ambiguous":                  {Path: "/a/../b", To: to},
		"is to be written \"/a\"":    {Path: "/%61", To: to},
		"leads nowhere":              {},
		"no such service":            {To: []Weight{{7, 1}}},
		"stands twice":               {To: []Weight{{0, 1}, {0, 1}}, By: "trace"},
		"needs what it goes by":      {To: []Weight{{0, 1}, {1, 1}}},
		"is none of trace":           {To: []Weight{{0, 1}, {1, 1}}, By: "moon"},
		"is not above 0":             {To: []Weight{{0, 1}, {1, 0}}, By: "trace"},
		"neither a value nor any":    {Header: "X-A", To: to},
		"exclude each other":         {Header: "X-A", Any: true, Value: "x", To: to},
		"without its name":           {Value: "x", To: to},
		"\"X-A\"":                    {Header: "x-a", Any: true, To: to},
		"class":                      {Class: "a b", To: to},
	} {
		r.Name = "r1"
		_, err := Compile([]Rule{r, {Name: "r2"}}, 2)
		if assert.Error(t, err, says) {
			assert.ErrorContains(t, err, says)
			assert.ErrorContains(t, err, "route r1: ")
			assert.ErrorContains(t, err, "route r2: it leads nowhere", "all of them")
		}
	}
}

// Whatever is sent: the form found is stable, and it is a prefix's whole segments that match.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/a/b", "/%61%2e", "/a%2fb", "/..%2f", "//", "/%C3%A9/"} {
		f.Add(s)
	}
	table, err := Compile([]Rule{{Name: "a", Path: "/admin", To: []Weight{{1, 1}}}, {Name: "b", To: []Weight{{0, 1}}}}, 2)
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, s string) {
		p, err := Path(s)
		if err != nil {
			return
		}
		if again, err := Path(p); err != nil || again != p {
			t.Fatalf("%q became %q and then %q, %v", s, p, again, err)
		}
		_, service, ok := table.Find(&Request{Path: p})
		if inside := p == "/admin" || strings.HasPrefix(p, "/admin/"); !ok || (service == 1) != inside {
			t.Fatalf("%q went to %d", p, service)
		}
	})
}

func FuzzHost(f *testing.F) {
	for _, s := range []string{"a.org:80", "[::1]:3", "A.ORG.", "a..b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		h, err := Host(s)
		if err != nil {
			return
		}
		if again, err := Host(h); err != nil || again != h {
			t.Fatalf("%q became %q and then %q, %v", s, h, again, err)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rand.New(rand.NewSource(1))
			var rules []Rule
			var asked []*Request
			for i := range n {
				rule := Rule{Name: fmt.Sprint(i), Host: fmt.Sprintf("h%d.example.org", i/4), Path: fmt.Sprintf("/p%d/q", i%4), To: []Weight{{0, 1}}}
				switch i % 5 {
				case 1:
					rule.Host = fmt.Sprintf("*.z%d.org", i/4)
				case 2:
					rule.Class = "book-table"
				case 3:
					rule.Header, rule.Value = "X-Member", fmt.Sprint(i)
				}
				rules = append(rules, rule)
			}
			table, err := Compile(rules, 1)
			if err != nil {
				b.Fatal(err)
			}
			for range 1024 {
				i := r.Intn(n)
				host := strings.Replace(rules[i].Host, "*", "some.where", 1)
				asked = append(asked, &Request{Host: host, Path: rules[i].Path + "/table", Class: "book-table",
					Header: map[string][]string{"X-Member": {fmt.Sprint(i)}}})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, _, ok := table.Find(asked[i&1023]); !ok {
					b.Fatal(asked[i&1023])
				}
				i++
			}
		})
	}
}
