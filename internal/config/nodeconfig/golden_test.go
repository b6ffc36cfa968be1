package nodeconfig

// The files under testdata pin the operator's file and what is made of it. every-key.toml, defaults.toml and
// other-case.toml were written by hand, as operators write them, and read by the code at commit 0cdd5b2; the .json
// files were written by that code. Never change or regenerate them to follow a rename: operators' files and the
// record keep these forms.

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
	"robincart/internal/record/record"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
	"robincart/internal/system/keys"
	"robincart/internal/system/tomlfile"
	"robincart/internal/testutil"
)

// everyKey is what testdata/every-key.toml says.
func everyKey() File {
	return File{
		Name:    "node-7",
		Listen:  []string{"127.0.0.1:3001", "[::1]:3002"},
		Seed:    "8c1f30d27a5be964",
		Log:     Log{Level: "debug", Form: "console"},
		Machine: limits.Machine{Cores: 2.5, MemoryMB: 384, Sockets: 4096},
		Callers: Callers{Connections: 1500, Requests: 700, Idle: Duration(45 * time.Second)},
		Admin:   Admin{Listen: "127.0.0.1:3900", Kept: "/var/lib/robincart/said.json"},
		Record: Record{
			Store:    "controllers:127.0.0.1:8600,[::1]:8601",
			Snapshot: "/var/lib/robincart/record.json",
			Required: true,
			MostAge:  new(Duration(7 * time.Minute)),
			Queue:    1234,
			Timeout:  Duration(1500 * time.Millisecond),
			Poll:     Duration(700 * time.Millisecond),
			Status:   "127.0.0.1:3901",
		},
		Keys: keys.Files{
			Cert: "/etc/robincart/node.pem", Key: "/etc/robincart/node.key", CA: "/etc/robincart/ca.pem",
		},
		Sharing: Sharing{Off: true, Reserve: new(0.25), Return: new(Duration(3 * time.Second)), Busy: new(0.8)},
		Gateway: []Gateway{{
			Listen:     "unix:/run/robincart/desk.sock",
			Overloaded: true,
			Tenant:     "walk-in",
			Left:       Duration(2500 * time.Millisecond),
			Params: GatewayParams{
				Trace: "REQUEST_ID", Class: "RPC", Tenant: "CUSTOMER", Key: "ONCE", Left: "TIME_LEFT",
			},
		}},
		Service: []Service{everyKeyBooking(), everyKeyDesk()},
		Route: []Route{
			{
				Name: "booking", Host: "booking.example.org", Path: "/book", Class: "book-table", Header: "X-Region",
				Value: "north", To: "booking",
			},
			{
				Name: "others", Header: "X-Desk", Any: true, By: "header:X-Customer",
				Split: []Split{{To: "desk", Weight: 9}, {To: "booking", Weight: 1.5}},
			},
		},
	}
}

func everyKeyBooking() Service {
	return Service{
		Name:          "booking",
		Discovery:     "127.0.0.1:8500",
		Speaks:        "http",
		Weight:        2.5,
		Guarantee:     0.35,
		Nodes:         6,
		Stage:         1,
		Zone:          "zone-b",
		Zones:         []string{"zone-a", "zone-b"},
		MaxPicks:      4,
		NoCancel:      true,
		SecondCopies:  true,
		NoRetryAfter:  true,
		MaxRetryAfter: Duration(2200 * time.Millisecond),
		MustAskIn:     Duration(11 * time.Second),
		Connect:       Duration(350 * time.Millisecond),
		Idle:          Duration(33 * time.Second),
		ColdFrom:      0.14,
		ColdFor:       Duration(21 * time.Second),
		FallMultiple:  1.75,
		FallFor:       Duration(13 * time.Second),
		Method: []Method{
			{
				Name: "book-table", Repeat: "deduplicated", Scope: "zone", Window: Duration(14 * time.Second),
				Target: Duration(2600 * time.Millisecond), Deadline: Duration(6 * time.Second), Utility: new(9.5),
				LateUtility: 0.3,
			},
			{
				Name: "find-table", Repeat: "idempotent", Scope: "cell", Window: Duration(15 * time.Second),
				Target: Duration(1700 * time.Millisecond), Deadline: Duration(3 * time.Second), Utility: new(1.25),
				LateUtility: 0.4,
			},
		},
		Tenant: []Tenant{
			{Name: "acme", Quota: 200.5, Weight: 3.5},
			{Name: "ruenthai", Quota: 300, Weight: 4.5},
		},
	}
}

func everyKeyDesk() Service {
	return Service{
		Name:    "desk",
		Servers: []string{"127.0.0.1:9000", "[::1]:9001"},
		Speaks:  "fastcgi",
		Params:  map[string]string{"SCRIPT_FILENAME": "/srv/desk/index.php", "DOCUMENT_ROOT": "/srv/desk"},
		Method:  []Method{{Name: "open-desk", Deadline: Duration(4 * time.Second)}},
	}
}

func decodeGolden(t *testing.T, name string) File {
	t.Helper()
	var file File
	require.NoError(t, tomlfile.Decode(testutil.Golden(t, name), &file))
	return file
}

func TestFile_EveryKey(t *testing.T) {
	assert.Equal(t, everyKey(), decodeGolden(t, "every-key.toml"))
}

func TestFile_OtherCase(t *testing.T) {
	assert.Equal(t, File{
		Name:    "node-7",
		Listen:  []string{"127.0.0.1:3001"},
		Machine: limits.Machine{MemoryMB: 384},
		Service: []Service{{
			Name: "desk", Servers: []string{"127.0.0.1:9000"}, MaxPicks: 4,
			Method: []Method{{Name: "open-desk", LateUtility: 0.3, Deadline: Duration(3 * time.Second)}},
		}},
	}, decodeGolden(t, "other-case.toml"))
}

// generatedSettings are the settings object that a pool was compiled to: Same holds it, and how its servers are
// spoken to.
func generatedSettings(t *testing.T, pool Pool) []byte {
	t.Helper()
	text, found := strings.CutSuffix(pool.Same, fmt.Sprintf(" %s %q", pool.Speaks, pool.Params))
	require.True(t, found, pool.Same)
	return []byte(text + "\n")
}

func TestCompile_GoldenSettings(t *testing.T) {
	for _, test := range []struct{ file, service, golden string }{
		{"every-key.toml", "booking", "settings-booking.json"},
		{"every-key.toml", "desk", "settings-desk.json"},
		{"defaults.toml", "desk", "settings-defaults.json"},
	} {
		t.Run(test.golden, func(t *testing.T) {
			config, err := Parse(testutil.Golden(t, test.file), 0)
			require.NoError(t, err)
			pool := config.Pools[0]
			if pool.Name != test.service {
				pool = config.Pools[1]
			}
			require.Equal(t, test.service, pool.Name)
			testutil.EqualGolden(t, test.golden, generatedSettings(t, pool))
			read, err := settings.Parse(testutil.Golden(t, test.golden))
			require.NoError(t, err)
			read.MaxFirstPollDelay = config.Limits.ListEvery.Seconds()
			assert.Equal(t, read, pool.Node)
		})
	}
}

func TestCompile_EveryKey(t *testing.T) {
	config, err := Parse(testutil.Golden(t, "every-key.toml"), 0)
	require.NoError(t, err)
	assert.Equal(t, quota.Config{Reserve: 0.25, Return: 3, Busy: 0.8, Total: config.Shares.Total}, config.Shares)
	assert.Equal(t, quota.Spec{Name: "booking", Guarantee: 0.35, Weight: 2.5, Tenants: []float64{3.5, 4.5}},
		config.Pools[0].Spec)
	assert.Equal(t, []node.Endpoint{
		{ID: "127.0.0.1:9000", Addr: "127.0.0.1:9000", State: decide.Ready, Weight: 1},
		{ID: "[::1]:9001", Addr: "[::1]:9001", State: decide.Ready, Weight: 1},
	}, config.Pools[1].Static)
	assert.Equal(t, []int{1500, 700}, []int{config.Limits.Connections, config.Limits.Callers})
	assert.Equal(t, 45*time.Second, config.Limits.CallerIdle)
}

// recordedService is the service of testdata/record-service.json.
func recordedService() Service {
	return Service{
		Name: "tables", Servers: []string{"127.0.0.1:3101"}, MaxPicks: 4,
		Method: []Method{{Name: "find-table", Deadline: Duration(3 * time.Second)}},
	}
}

func TestRead_GoldenFacts(t *testing.T) {
	route := Route{Name: "tables", Host: "tables.example.org", To: "tables"}
	for _, test := range []struct {
		golden string
		key    record.Key
		want   fact
	}{
		{"record-service.json", record.Key{Kind: "service", Name: "tables"}, fact{service: new(recordedService())}},
		{"record-route.json", record.Key{Kind: "route", Name: "tables"}, fact{route: &route}},
		{"record-tenant.json", record.Key{Kind: "tenant", Name: "tables/acme"},
			fact{tenant: &Tenant{Name: "acme", Quota: 200.5, Weight: 2.5}}},
	} {
		t.Run(test.golden, func(t *testing.T) {
			got, err := read(record.Entry{Key: test.key, Value: json.RawMessage(testutil.Golden(t, test.golden))})
			require.NoError(t, err)
			assert.Equal(t, test.want, got)
		})
	}
}

func TestFactValues_Golden(t *testing.T) {
	testutil.EqualGoldenJSON(t, "record-service.json", text{TOML: string(testutil.Golden(t, "record-service.toml"))})
	testutil.EqualGoldenJSON(t, "record-route.json", text{TOML: string(testutil.Golden(t, "record-route.toml"))})
	testutil.EqualGoldenJSON(t, "record-tenant.json", tenantQuota{Quota: 200.5, Weight: 2.5})
	testutil.EqualGoldenJSON(t, "record-tenant-zero.json", tenantQuota{})
}

func TestFile_EveryFieldTagged(t *testing.T) {
	testutil.EveryFieldTagged[File](t, "toml")
}
