package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validFile = `
[api]
server = "http://127.0.0.1:6443"

[[service]]
name = "booking"
listen = "127.0.0.1:8500"
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "controller.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestReadConfig_Defaults(t *testing.T) {
	config, err := readConfig(writeFile(t, validFile))
	require.NoError(t, err)
	assert.Equal(t, defaultNamespace, config.Namespace)
	assert.Equal(t, defaultLeaseName, config.LeaseName)
	assert.Equal(t, defaultLeaseDuration, config.LeaseDuration)
	assert.Equal(t, "booking", config.Services[0].ServiceName, "the default is the name of the list")
}

func TestReadConfig_Problems(t *testing.T) {
	for _, test := range []struct {
		name, added, want string
	}{
		{"unknown key", "colour = 7\n", "unknown key service.colour"},
		{"service twice", "[[service]]\nname = \"booking\"\nlisten = \"127.0.0.1:8501\"\n",
			"service[2].name: booking is used twice\nservice[2].service: booking is used twice"},
		{"address twice", "[[service]]\nname = \"tables\"\nlisten = \"127.0.0.1:8500\"\n",
			"service[2].listen: 127.0.0.1:8500 is used twice"},
		{"no name", "[[service]]\nlisten = \"127.0.0.1:8501\"\n", "service[2].name is missing"},
		{"no port", "[[service]]\nname = \"tables\"\nlisten = \"127.0.0.1\"\n",
			`service[2].listen: "127.0.0.1" is not an address with a port`},
		{"short lease", "[leader]\nhold = \"10ms\"\n", "leader.hold: 10ms is below the minimum of 1s"},
		{"record without store", "[record]\nlisten = \"127.0.0.1:8600\"\n",
			"record.listen is set, but record.store is missing"},
		{"record without keys", "[record]\nlisten = \"10.0.0.1:8600\"\n",
			"without [keys] expected a loopback address, found 10.0.0.1"},
		{"negative bounds", "[fanout]\nhistory = -1\n[record]\ncallers = -1\n",
			"record.callers: -1 must not be negative\nfanout: history -1 and watchers 0 must not be negative"},
		{"membership", "[membership]\nshrink_at = 2.0\n",
			"membership: shrink_at is 2 and shrink_for is 60 s: expected 0 < shrink_at <= 1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := writeFile(t, validFile+test.added)
			_, err := readConfig(path)
			require.ErrorContains(t, err, path+":\n")
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func TestReadConfig_TooManyServices(t *testing.T) {
	var text strings.Builder
	text.WriteString(validFile)
	for i := range maxServices {
		fmt.Fprintf(&text, "[[service]]\nname = \"s%d\"\nlisten = \"127.0.0.1:%d\"\n", i, 10_000+i)
	}
	_, err := readConfig(writeFile(t, text.String()))
	assert.ErrorContains(t, err, "service: found 1001 tables, expected at most 1000")
}
