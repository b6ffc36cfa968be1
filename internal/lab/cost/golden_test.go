package cost

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/standin"
	"robincart/internal/protocol/settings"
	"robincart/internal/testutil/golden"
)

// The golden file was written by the text at 0cdd5b2. Nodes of any version read it; it must never be written anew to
// follow a rename.
func TestPlatformConfig_Golden(t *testing.T) {
	rig := &RigConfig{
		Cores:       101,
		MemoryMB:    102,
		Sockets:     103,
		MaxAttempts: 4,
		Deadline:    2 * time.Second,
		NoHedging:   true,
	}
	members := []standin.Member{{ID: "s0", Addr: "127.0.0.1:201", Zone: "z1", Phase: "ready", Size: 1}}
	text, err := json.MarshalIndent(platformConfig(rig, 2, "127.0.0.1:301", 302, members), "", " ")
	require.NoError(t, err)
	golden.Check(t, "node.json", text)
	var config struct {
		Settings json.RawMessage `json:"settings"`
	}
	require.NoError(t, json.Unmarshal(text, &config))
	read, err := settings.Parse(config.Settings)
	require.NoError(t, err)
	assert.Equal(t, []string{"find"}, read.MethodNames)
	assert.Equal(t, 4, read.MaxAttempts)
	assert.Equal(t, 2.0, read.Methods[0].Deadline)
}
