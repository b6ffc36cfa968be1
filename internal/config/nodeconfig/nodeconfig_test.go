package nodeconfig

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/resources/quota"
)

func example(t testing.TB) []byte {
	text, err := os.ReadFile("../../../deploy/services.toml")
	require.NoError(t, err)
	return text
}

func TestTheExampleIsCompiledAndFilled(t *testing.T) {
	c, err := Parse(example(t), 0)
	require.NoError(t, err)
	require.Len(t, c.Pools, 2)
	assert.Equal(t, []string{"book-table", "find-table"}, c.Pools[0].Settings.MethodNames)
	assert.True(t, c.Pools[0].Settings.MustSubscribe, "its servers come from discovery")
	assert.False(t, c.Pools[1].Settings.MustSubscribe)
	assert.InDelta(t, c.Limits.MaxCallInterval.Seconds(), c.Pools[0].Settings.MaxFirstPollDelay, 1e-9, "a new process asks as soon as any")
	assert.Len(t, c.Pools[1].StaticEndpoints, 2)
	assert.InDelta(t, 2.5, c.Pools[0].Settings.Methods[0].LatencyObjective, 1e-9)
	assert.EqualValues(t, c.Limits.MaxRequests, c.Quota.Total[quota.InFlight])
	assert.NotEqual(t, c.SeedOf("booking"), c.SeedOf("tables"), "no two services choose alike")

	// What a running process can't change stays, and is named.
	fresh, err := Parse(example(t), 0)
	require.NoError(t, err)
	fresh.Listen, fresh.Machine.Sockets, fresh.Limits.RequestIDTTL = []string{"127.0.0.1:1"}, 64, 2*c.Limits.RequestIDTTL
	assert.Equal(t, []string{"deadlines longer than any before", "listen", "machine"}, fresh.KeepProcessSettings(c))
	assert.Equal(t, c.Listen, fresh.Listen)
	assert.Equal(t, c.Limits, fresh.Limits)
}

func TestTheRecordThroughControllersIsChecked(t *testing.T) {
	keyed := "[keys]\ncert = \"a\"\nkey = \"b\"\nca = \"c\"\n"
	for store, want := range map[string]string{
		"controllers:127.0.0.1:8600,[::1]:8600": "",
		"controllers:10.0.0.5:8600":             "without [keys] a controller has to be at a loopback address, and 10.0.0.5:8600 is none",
		"controllers:control.example.org:8600":  "without [keys]",
		"controllers:":                          "is no address with a port",
		"controllers:10.0.0.5:8600,10.0.0.5":    `"10.0.0.5" is no address with a port`,
		"controller:10.0.0.5:8600":              "controllers:HOST:PORT",
	} {
		text := string(example(t)) + "\n[record]\nstore = \"" + store + "\"\n"
		c, err := Parse([]byte(text), 0)
		if want == "" {
			require.NoError(t, err, store)
			assert.Equal(t, store, c.Record.Store)
			continue
		}
		assert.ErrorContains(t, err, "record.store", store)
		assert.ErrorContains(t, err, want, store)
		if strings.HasPrefix(want, "without [keys]") {
			_, err = Parse([]byte(text+keyed), 0)
			assert.NoError(t, err, store)
		}
	}
	_, err := Parse([]byte(string(example(t))+"\n[record]\nstore = \"controllers:127.0.0.1:8600\"\ntimeout = \"-1s\"\n"), 0)
	assert.ErrorContains(t, err, "record.timeout")
}

// Whatever the file says: an error with words, or a configuration whose every part is there.
func FuzzParse(f *testing.F) {
	f.Add(example(f))
	f.Add([]byte("listen = [\":1\"]\n[[service]]\nname = \"a\"\nservers = [\"127.0.0.1:1\"]\n[[service.method]]\nname = \"m\"\ndeadline = \"1s\"\n"))
	f.Add([]byte("[[route]]\nsplit = [{to = \"x\", weight = nan}]\nby = \"header:\"\n"))
	f.Add([]byte("[machine]\nsockets = -1\ncores = inf\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text, 0)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("an error without words")
			}
			return
		}
		if c.Table == nil || len(c.Pools) == 0 || len(c.Listen) == 0 || c.Limits.MaxRequests < 1 {
			t.Fatalf("%+v", c)
		}
		for _, p := range c.Pools {
			if p.Settings == nil || len(p.Settings.Methods) == 0 {
				t.Fatalf("%+v", p)
			}
		}
	})
}

// A file that claims more than any fleet has is refused with its numbers, and soon.
func TestAFileThatClaimsTooMuchIsNamed(t *testing.T) {
	service := func(name, more string) string {
		return fmt.Sprintf("[[service]]\nname = %q\ndiscovery = \"127.0.0.1:1\"\n%s[[service.method]]\nname = \"m\"\nrepeat = \"idempotent\"\ntarget = \"1s\"\ndeadline = \"2s\"\n", name, more)
	}
	many := func(n int, f func(i int) string) string {
		var b strings.Builder
		for i := range n {
			b.WriteString(f(i))
		}
		return b.String()
	}
	head := "listen = [\"127.0.0.1:2\"]\n[sharing]\noff = true\n"
	for want, text := range map[string]string{
		"service: 1001 are more than 1000":              many(1001, func(i int) string { return service(fmt.Sprint("s", i), "") }),
		"route: 50001 are more than 50000":              service("s", "") + many(50_001, func(i int) string { return "[[route]]\nto = \"s\"\n" }),
		"service[1].method: 1002 are more than 1000":    service("s", "") + many(1001, func(i int) string { return "[[service.method]]\nname = \"x\"\n" }),
		"service[1].tenant: 20001 are more than 20000":  service("s", "") + many(20_001, func(i int) string { return "[[service.tenant]]\nname = \"x\"\n" }),
		"service[1].servers: 20001 are more than 20000": service("s", "servers = ["+many(20_001, func(i int) string { return "\"x\"," })+"]\n"),
	} {
		_, err := Parse([]byte(head+text), 0)
		assert.ErrorContains(t, err, want)
		if err != nil {
			assert.Less(t, len(err.Error()), 1000)
		}
	}
	// Ten times the target's services are taken.
	c, err := Parse([]byte(head+many(300, func(i int) string {
		return service(fmt.Sprint("s", i), "") + fmt.Sprintf("[[route]]\nname = \"r%d\"\nhost = \"h%d.example.org\"\nto = \"s%d\"\n", i, i, i)
	})), 0)
	require.NoError(t, err)
	assert.Len(t, c.Pools, 300)
}
