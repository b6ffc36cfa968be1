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

// exampleFile returns the example configuration that is shipped with the program.
func exampleFile(t testing.TB) []byte {
	t.Helper()
	text, err := os.ReadFile("../../../deploy/services.toml")
	require.NoError(t, err)
	return text
}

func TestParse_Example(t *testing.T) {
	c, err := Parse(exampleFile(t), 0)
	require.NoError(t, err)
	require.Len(t, c.Pools, 2)
	assert.Equal(t, []string{"book-table", "find-table"}, c.Pools[0].Settings.MethodNames)
	assert.True(t, c.Pools[0].Settings.MustSubscribe, "its servers come from discovery")
	assert.False(t, c.Pools[1].Settings.MustSubscribe)
	firstPoll := c.Pools[0].Settings.MaxFirstPollDelay
	assert.InDelta(t, c.Limits.MaxPollInterval.Seconds(), firstPoll, 1e-9, "a new process polls as soon as others do")
	assert.Len(t, c.Pools[1].StaticEndpoints, 2)
	assert.InDelta(t, 2.5, c.Pools[0].Settings.Methods[0].LatencyObjective, 1e-9)
	assert.EqualValues(t, c.Limits.MaxRequests, c.Quota.Total[quota.InFlight])
	assert.NotEqual(t, c.SeedOf("booking"), c.SeedOf("tables"), "no two services make the same random choices")
}

func TestConfig_KeepProcessSettings(t *testing.T) {
	running, err := Parse(exampleFile(t), 0)
	require.NoError(t, err)
	next, err := Parse(exampleFile(t), 0)
	require.NoError(t, err)
	next.Listen = []string{"127.0.0.1:1"}
	next.Machine.Sockets = 64
	next.Limits.RequestIDTTL = 2 * running.Limits.RequestIDTTL
	restartKeys := next.KeepProcessSettings(running)
	assert.Equal(t, []string{"deadlines longer than any before", "listen", "machine"}, restartKeys)
	assert.Equal(t, running.Listen, next.Listen)
	assert.Equal(t, running.Limits, next.Limits)
}

func TestParse_RecordThroughControllers(t *testing.T) {
	const keyFiles = "[keys]\ncert = \"a\"\nkey = \"b\"\nca = \"c\"\n"
	for store, want := range map[string]string{
		"controllers:127.0.0.1:8600,[::1]:8600": "",
		"controllers:10.0.0.5:8600": "without [keys] expected a loopback address of a controller, " +
			"found 10.0.0.5:8600",
		"controllers:control.example.org:8600": "without [keys]",
		"controllers:":                         "is no address with a port",
		"controllers:10.0.0.5:8600,10.0.0.5":   `"10.0.0.5" is no address with a port`,
		"controller:10.0.0.5:8600":             "controllers:HOST:PORT",
	} {
		t.Run(store, func(t *testing.T) {
			text := string(exampleFile(t)) + "\n[record]\nstore = \"" + store + "\"\n"
			config, err := Parse([]byte(text), 0)
			if want == "" {
				require.NoError(t, err)
				assert.Equal(t, store, config.Record.Store)
				return
			}
			assert.ErrorContains(t, err, "record.store")
			assert.ErrorContains(t, err, want)
			if strings.HasPrefix(want, "without [keys]") {
				_, err = Parse([]byte(text+keyFiles), 0)
				assert.NoError(t, err)
			}
		})
	}
	const negativeTimeout = "\n[record]\nstore = \"controllers:127.0.0.1:8600\"\ntimeout = \"-1s\"\n"
	_, err := Parse([]byte(string(exampleFile(t))+negativeTimeout), 0)
	assert.ErrorContains(t, err, "record.timeout")
}

// FuzzParse checks that every file leads either to an error with a text or to a complete configuration.
func FuzzParse(f *testing.F) {
	f.Add(exampleFile(f))
	f.Add([]byte("listen = [\":1\"]\n[[service]]\nname = \"a\"\nservers = [\"127.0.0.1:1\"]\n" +
		"[[service.method]]\nname = \"m\"\ndeadline = \"1s\"\n"))
	f.Add([]byte("[[route]]\nsplit = [{to = \"x\", weight = nan}]\nby = \"header:\"\n"))
	f.Add([]byte("[machine]\nsockets = -1\ncores = inf\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text, 0)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("an error without a text")
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

// A file with too many entries is rejected with a short error that has the counts, before any entry is compiled.
func TestParse_TooManyEntries(t *testing.T) {
	service := func(name, more string) string {
		return fmt.Sprintf("[[service]]\nname = %q\ndiscovery = \"127.0.0.1:1\"\n%s"+
			"[[service.method]]\nname = \"m\"\nrepeat = \"idempotent\"\ntarget = \"1s\"\ndeadline = \"2s\"\n", name, more)
	}
	repeated := func(count int, text func(i int) string) string {
		var b strings.Builder
		for i := range count {
			b.WriteString(text(i))
		}
		return b.String()
	}
	constant := func(text string) func(int) string { return func(int) string { return text } }
	numbered := func(i int) string { return service(fmt.Sprint("s", i), "") }
	const head = "listen = [\"127.0.0.1:2\"]\n[sharing]\noff = true\n"
	for want, text := range map[string]string{
		"service: expected at most 1000, found 1001": repeated(1001, numbered),
		"route: expected at most 50000, found 50001": service("s", "") +
			repeated(50_001, constant("[[route]]\nto = \"s\"\n")),
		"service[1].method: expected at most 1000, found 1002": service("s", "") +
			repeated(1001, constant("[[service.method]]\nname = \"x\"\n")),
		"service[1].tenant: expected at most 20000, found 20001": service("s", "") +
			repeated(20_001, constant("[[service.tenant]]\nname = \"x\"\n")),
		"service[1].servers: expected at most 20000, found 20001": service("s",
			"servers = ["+repeated(20_001, constant("\"x\","))+"]\n"),
	} {
		t.Run(want, func(t *testing.T) {
			_, err := Parse([]byte(head+text), 0)
			require.ErrorContains(t, err, want)
			assert.Less(t, len(err.Error()), 1000)
		})
	}
	t.Run("300 services, ten times the design target, are accepted", func(t *testing.T) {
		config, err := Parse([]byte(head+repeated(300, func(i int) string {
			route := fmt.Sprintf("[[route]]\nname = \"r%d\"\nhost = \"h%d.example.org\"\nto = \"s%d\"\n", i, i, i)
			return numbered(i) + route
		})), 0)
		require.NoError(t, err)
		assert.Len(t, config.Pools, 300)
	})
}
