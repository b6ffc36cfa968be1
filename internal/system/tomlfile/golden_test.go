package tomlfile

// testdata/durations.toml was written by the code at commit 0cdd5b2. Never regenerate it to follow a rename.

import (
	"encoding/json"
	"testing"
	"time"

	"robincart/internal/testutil/golden"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type durations struct {
	Values  []Duration `toml:"values" json:"values"`
	Pointer *Duration  `toml:"pointer" json:"pointer"`
}

func goldenDurations() durations {
	pointer := Duration(7 * time.Minute)
	return durations{Pointer: &pointer, Values: []Duration{
		0, 1, Duration(1500 * time.Nanosecond), Duration(250 * time.Millisecond), Duration(2500 * time.Millisecond),
		Duration(time.Second), Duration(90 * time.Second), Duration(36 * time.Hour), Duration(-1500 * time.Millisecond),
	}}
}

func TestDuration_GoldenTOML(t *testing.T) {
	encoded, err := toml.Marshal(goldenDurations())
	require.NoError(t, err)
	golden.Check(t, "durations.toml", encoded)
	var decoded durations
	require.NoError(t, Decode(golden.Read(t, "durations.toml"), &decoded))
	assert.Equal(t, goldenDurations(), decoded)
}

func TestDuration_GoldenJSON(t *testing.T) {
	golden.JSON(t, "durations.json", goldenDurations())
}

func TestDuration_ReadForms(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1m30s": 90 * time.Second, "1.5h": 90 * time.Minute, ".5s": 500 * time.Millisecond, "+2s": 2 * time.Second,
		"-3s": -3 * time.Second, "0": 0, "100us": 100 * time.Microsecond, "100µs": 100 * time.Microsecond,
		"1h1ms": time.Hour + time.Millisecond, "7ns": 7,
	} {
		t.Run(text, func(t *testing.T) {
			var decoded durations
			require.NoError(t, Decode([]byte(`pointer = "`+text+`"`), &decoded))
			assert.Equal(t, want, decoded.Pointer.Std())
		})
	}
	for _, value := range []string{`""`, `"5"`, `"1d"`, `"1s "`, `1.5`, `true`} {
		t.Run("refused "+value, func(t *testing.T) {
			var decoded durations
			assert.Error(t, Decode([]byte("pointer = "+value), &decoded))
		})
	}
}

// A number without quotes is taken for nanoseconds: the decoder goes by the type's kind.
func TestDuration_BareNumber(t *testing.T) {
	var decoded durations
	require.NoError(t, Decode([]byte("pointer = 5"), &decoded))
	assert.Equal(t, 5*time.Nanosecond, decoded.Pointer.Std())
}

func TestDuration_Millis(t *testing.T) {
	assert.Equal(t, 2500.5, Duration(2500500*time.Microsecond).Milliseconds())
	encoded, err := json.Marshal(map[string]any{"AimMs": Duration(2500 * time.Millisecond).Milliseconds()})
	require.NoError(t, err)
	assert.Equal(t, `{"AimMs":2500}`, string(encoded))
}
