package routes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// checkCanonical checks a conversion function. The table maps inputs to their canonical form, or to an empty string if
// the input must be rejected.
func checkCanonical(t *testing.T, canonical func(string) (string, error), table map[string]string) {
	t.Helper()
	for in, want := range table {
		t.Run(in, func(t *testing.T) {
			got, err := canonical(in)
			assert.Equal(t, want, got)
			assert.Equal(t, want == "", err != nil)
		})
	}
}

func TestHost(t *testing.T) {
	checkCanonical(t, Host, map[string]string{
		"Booking.Example.ORG": "booking.example.org",
		"a.org.:8080":         "a.org",
		"a.org:80":            "a.org",
		"127.0.0.1:3000":      "127.0.0.1",
		"[::1]:80":            "[::1]",
		"[FE80::1]":           "[fe80::1]",
		"a_b.org":             "a_b.org",

		"": "", ".": "", "a..b": "", "a.org..": "", "-a.org": "", "a-.org": "", "a b": "", "a/b": "", "a@b": "", "é.org": "",
		"a.org:": "", "a.org:0": "", "a.org:99999": "", "a.org:x": "", "[::1": "", "[::1]x": "",
		strings.Repeat("a", 64) + ".org": "",
		strings.Repeat("a.", 127) + "b":  "",
	})
}

func TestPath(t *testing.T) {
	checkCanonical(t, Path, map[string]string{
		"/":       "/",
		"/a/b":    "/a/b",
		"/a/":     "/a/",
		"/%61":    "/a",
		"/%7Ex":   "/~x",
		"/%c3%a9": "/%C3%A9",
		"/a%20b":  "/a%20b",
		"/a%3Fb":  "/a%3Fb",
		"/a.b":    "/a.b",
		"/...":    "/...",

		"": "", "a": "", "//": "", "/a//b": "", "/./a": "", "/a/..": "", "/%2e%2E/a": "", "/a%2fb": "", "/a%5Cb": "",
		"/a%00": "", "/%": "", "/%4": "", "/%zz": "", "/a b": "", "/a\\b": "", "/a\x7f": "", "/a#b": "", "/é": "",
	})
}

// Path does not change a path that is already canonical, and a rule's path matches only complete segments.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/a/b", "/%61%2e", "/a%2fb", "/..%2f", "//", "/%C3%A9/"} {
		f.Add(s)
	}
	table, err := Compile([]Rule{
		{Name: "a", Path: "/admin", To: []Weight{{1, 1}}},
		{Name: "b", To: []Weight{{0, 1}}},
	}, 2)
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, s string) {
		p, err := Path(s)
		if err != nil {
			return
		}
		if again, err := Path(p); err != nil || again != p {
			t.Fatalf("%q became %q and then %q, %v", s, p, again, err)
		}
		inside := p == "/admin" || strings.HasPrefix(p, "/admin/")
		if _, service, ok := table.Find(&Request{Path: p}); !ok || (service == 1) != inside {
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
