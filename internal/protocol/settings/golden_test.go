package settings

// The files in testdata hold settings as the platform writes them: the package only reads them. The code at commit
// 0cdd5b2 writes settings.json from its type byte for byte, and reads both files as expected here. A test that fails
// after a rename tells that the format has changed. Never change these files to follow a rename: mend the tag.

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
)

// golden reads a file of testdata.
func golden(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return string(content)
}

// fullNode returns what settings.json says.
func fullNode() *Instance {
	return &Instance{
		Settings: decide.Settings{
			Methods: []decide.Method{
				{LatencyObjective: 1.002, Deadline: 1.003, PriorityWeight: 6, LateWeight: 0.04, Idempotency: decide.Deduplicated,
					DedupScope: decide.ScopeZone, DedupWindow: 1.005},
				{LatencyObjective: 1.008, Deadline: 1.009, PriorityWeight: 12, LateWeight: 0.1, Idempotency: decide.NonIdempotent,
					DedupScope: decide.ScopeCell, DedupWindow: 1.011},
			},
			Tenants: []decide.Tenant{{Quota: 25}, {Quota: 27}},
			Zone:    1, Stage: 2, Instances: 30, MaxAttempts: 13, MayCancel: true, Hedging: true,
			MaxRetryAfter: 1.015, OverQuotaWeight: 0.31, CrossZoneCost: 0.18, MustSubscribe: true, MaxPollInterval: 1.023,
			SlowStartFraction: 0.19, SlowStartDuration: 1.02, OverloadMultiple: 21, OverloadWindow: 1.022,
		},
		MethodNames:  []string{"class-1", "class-7"},
		TenantNames:  []string{"tenant-24", "tenant-26"},
		ZoneNames:    []string{"zone-28", "zone-29"},
		ReportFields: []string{"concurrent", "depth"}, LoadReports: true, WorkHints: true,
		ConnectTimeout: 1016 * time.Millisecond, ServerIdleTimeout: 1017 * time.Millisecond, MaxInFlight: 14,
	}
}

func TestGolden_EverySettingIsRead(t *testing.T) {
	got, err := Parse([]byte(golden(t, "settings.json")))
	require.NoError(t, err)
	assert.Equal(t, fullNode(), got)
}

func TestGolden_SettingsLeftOutAreZero(t *testing.T) {
	got, err := Parse([]byte(golden(t, "settings_required.json")))
	require.NoError(t, err)
	assert.Equal(t, &Instance{
		Settings: decide.Settings{
			Methods:   []decide.Method{{LatencyObjective: 0.002, Deadline: 0.003, Idempotency: decide.Idempotent}},
			Instances: 1, MaxAttempts: 1,
		},
		MethodNames: []string{""},
	}, got)
}

// Switches and words have few values, so that two of them could be mixed up without a difference in settings.json: each
// is changed alone here.
func TestGolden_EachSwitchAndWordIsItsOwn(t *testing.T) {
	for _, test := range []struct {
		text, instead string
		change        func(*Instance)
	}{
		{`"MayCancel": true`, `"MayCancel": false`, func(n *Instance) { n.MayCancel = false }},
		{`"RetryAfter": true`, `"RetryAfter": false`, func(n *Instance) { n.MaxRetryAfter = 0 }},
		{`"SecondCopies": true`, `"SecondCopies": false`, func(n *Instance) { n.Hedging = false }},
		{`"Hints": true`, `"Hints": false`, func(n *Instance) { n.WorkHints = false }},
		{`"RegistryMode": "subscribe"`, `"RegistryMode": "automatic"`, func(n *Instance) { n.MustSubscribe = false }},
		{`"How": "piggyback"`, `"How": "pull"`, func(n *Instance) { n.LoadReports = false }},
		{`"How": "piggyback"`, `"How": "silent"`, func(n *Instance) { n.LoadReports = false }},
		{`"How": "piggyback"`, `"How": ""`, func(n *Instance) { n.LoadReports = false }},
		{`"Repeat": "once"`, `"Repeat": "repeatable"`, func(n *Instance) { n.Methods[1].Idempotency = decide.Idempotent }},
		{`"Repeat": "once"`, `"Repeat": "by_key"`, func(n *Instance) { n.Methods[1].Idempotency = decide.Deduplicated }},
		{`"DedupScope": "cell"`, `"DedupScope": "all"`, func(n *Instance) { n.Methods[1].DedupScope = decide.ScopeAll }},
		{`"DedupScope": "cell"`, `"DedupScope": ""`, func(n *Instance) { n.Methods[1].DedupScope = decide.ScopeAll }},
	} {
		t.Run(test.instead, func(t *testing.T) {
			whole := golden(t, "settings.json")
			require.Equal(t, 1, strings.Count(whole, test.text))
			got, err := Parse([]byte(strings.Replace(whole, test.text, test.instead, 1)))
			require.NoError(t, err)
			want := fullNode()
			test.change(want)
			assert.Equal(t, want, got)
		})
	}
}

// Other programs write the object, and hold its names as text. Written from its type it has to have exactly the names
// of the golden file, letter for letter: decoding alone takes "aimms" for "AimMs".
func TestGolden_TheObjectHasExactlyTheseNames(t *testing.T) {
	whole := golden(t, "settings.json")
	settings := &document{}
	decoder := json.NewDecoder(strings.NewReader(whole))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(settings))
	var written bytes.Buffer
	encoder := json.NewEncoder(&written)
	encoder.SetIndent("", "  ")
	require.NoError(t, encoder.Encode(settings))
	assert.Equal(t, whole, written.String())
}

// keyPaths are all settings of settings.json that a class, a tenant or the whole can lack.
var keyPaths = []string{
	"Classes", "Classes[0].Name", "Classes[0].AimMs", "Classes[0].DeadlineMs", "Classes[0].LateWorth",
	"Classes[0].WindowMs", "Classes[0].Credit", "Classes[0].Repeat", "Classes[0].DedupScope",
	"RegistryMode", "Limits", "Limits.MaxAttempts", "Limits.MaxOpen", "Limits.MaxRetryAfterMs",
	"Limits.ConnectTimeoutMs", "Limits.ConnIdleMs", "Limits.MayCancel", "Limits.RetryAfter", "Limits.SecondCopies",
	"Deductions", "Deductions.CrossZone", "Report", "Report.How", "Report.Fields",
	"Rules", "Rules.ColdFrom", "Rules.ColdMs", "Rules.FallMultiple", "Rules.FallMs", "Rules.MustAskInMs",
	"Tenants", "Tenants[0].Name", "Tenants[0].QuotaPerS",
	"Zones", "Instances", "Hints", "MyZone", "Stage", "OverShareWorth",
}

// without returns settings that lack one key.
func without(t *testing.T, text, path string) []byte {
	t.Helper()
	return edited(t, text, path, func(object map[string]any, key string) { delete(object, key) })
}

// withNull returns settings in which the value of one key is null.
func withNull(t *testing.T, text, path string) []byte {
	t.Helper()
	return edited(t, text, path, func(object map[string]any, key string) { object[key] = nil })
}

// edited returns settings with an edit of the object that has a key.
func edited(t *testing.T, text, path string, edit func(object map[string]any, key string)) []byte {
	t.Helper()
	var whole map[string]any
	require.NoError(t, json.Unmarshal([]byte(text), &whole))
	at := whole
	steps := strings.Split(path, ".")
	for _, step := range steps[:len(steps)-1] {
		if name, isFirst := strings.CutSuffix(step, "[0]"); isFirst {
			at = at[name].([]any)[0].(map[string]any)
		} else {
			at = at[step].(map[string]any)
		}
	}
	key := steps[len(steps)-1]
	require.Contains(t, at, key)
	edit(at, key)
	out, err := json.Marshal(whole)
	require.NoError(t, err)
	return out
}

func TestGolden_WholeNamesTheMissingKey(t *testing.T) {
	whole := golden(t, "settings.json")
	require.NoError(t, CheckComplete([]byte(whole), []byte(whole)))
	for _, path := range keyPaths {
		t.Run(path, func(t *testing.T) {
			assert.EqualError(t, CheckComplete([]byte(whole), without(t, whole, path)), path+" is missing")
		})
	}
}

// Guards against a key that is null in a changed file and takes its default, as if it were missing.
func TestGolden_WholeNamesTheKeyThatIsNull(t *testing.T) {
	whole := golden(t, "settings.json")
	for _, path := range keyPaths {
		t.Run(path, func(t *testing.T) {
			assert.EqualError(t, CheckComplete([]byte(whole), withNull(t, whole, path)), path+" is null")
		})
	}
}

// The keys of deduplication may leave with it.
func TestGolden_WholeLetsDeduplicationGo(t *testing.T) {
	whole := golden(t, "settings.json")
	once := strings.Replace(whole, `"Repeat": "by_key"`, `"Repeat": "once"`, 1)
	for _, key := range []string{"WindowMs", "DedupScope"} {
		assert.NoError(t, CheckComplete([]byte(whole), without(t, once, "Classes[0]."+key)), key)
	}
}
