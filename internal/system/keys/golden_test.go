package keys

// testdata/keys.toml has the keys of the [keys] table as operators' files have had them at commit 0cdd5b2. Never
// change it to follow a rename.

import (
	"encoding/pem"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/system/tomlfile"
	"robincart/internal/testutil"
	"robincart/internal/testutil/golden"
)

func TestFiles_GoldenTOML(t *testing.T) {
	want := Files{Cert: "/etc/robincart/node.pem", Key: "/etc/robincart/node.key", CA: "/etc/robincart/ca.pem"}
	var decoded Files
	require.NoError(t, tomlfile.Decode(golden.Read(t, "keys.toml"), &decoded))
	assert.Equal(t, want, decoded)
	decoded = Files{}
	otherCase := `Cert = "/etc/robincart/node.pem"
KEY = "/etc/robincart/node.key"
Ca = "/etc/robincart/ca.pem"
`
	require.NoError(t, tomlfile.Decode([]byte(otherCase), &decoded), "keys are found in any case")
	assert.Equal(t, want, decoded)
}

func TestMake_FileForms(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, Make(dir, []string{"node"}, nil, time.Hour))
	for name, want := range map[string]string{
		"ca.pem": "CERTIFICATE", "node.pem": "CERTIFICATE", "node.key": "PRIVATE KEY",
	} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		block, rest := pem.Decode(text)
		require.NotNil(t, block, name)
		assert.Equal(t, want, block.Type, name)
		assert.Empty(t, rest, name)
	}
}

func TestFiles_EveryFieldTagged(t *testing.T) {
	testutil.EveryFieldTagged[Files](t, "toml")
}
