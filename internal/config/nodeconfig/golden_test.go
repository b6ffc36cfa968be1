package nodeconfig

// The files under testdata pin the form of operators' files, and of the settings and the entries of the record that are
// generated from them. every-key.toml, defaults.toml and other-case.toml were written by hand, as operators write them,
// and read by the code at commit 0cdd5b2. That code wrote the .json files. Never change or regenerate any of these
// files to follow a rename: operators' files and the record keep these forms.

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
	"robincart/internal/testutil/golden"
)

// everyKey returns the decoded content of testdata/every-key.toml.
func everyKey() File {
	return File{
		Name:    "node-7",
		Listen:  []string{"127.0.0.1:3001", "[::1]:3002"},
		Seed:    "8c1f30d27a5be964",
		Log:     Log{Level: "debug", Format: "console"},
		Machine: limits.Machine{Cores: 2.5, MemoryMB: 384, Sockets: 4096},
		Clients: Clients{Connections: 1500, Requests: 700, IdleTimeout: Duration(45 * time.Second)},
		Admin:   Admin{Listen: "127.0.0.1:3900", StateFile: "/var/lib/robincart/said.json"},
		Record: Record{
			Store:         "controllers:127.0.0.1:8600,[::1]:8601",
			Snapshot:      "/var/lib/robincart/record.json",
			Required:      true,
			MaxStaleness:  new(Duration(7 * time.Minute)),
			MaxPending:    1234,
			CallTimeout:   Duration(1500 * time.Millisecond),
			PollInterval:  Duration(700 * time.Millisecond),
			StatusAddress: "127.0.0.1:3901",
		},
		Keys: keys.Files{
			Cert: "/etc/robincart/node.pem", Key: "/etc/robincart/node.key", CA: "/etc/robincart/ca.pem",
		},
		Sharing: Sharing{Off: true, ReservedFraction: new(0.25), RevokeAfter: new(Duration(3 * time.Second)), CPUThreshold: new(0.8)},
		Gateways: []Gateway{{
			Listen:          "unix:/run/robincart/desk.sock",
			Overloaded:      true,
			DefaultTenant:   "walk-in",
			DefaultTimeLeft: Duration(2500 * time.Millisecond),
			Params: GatewayParams{
				TraceID: "REQUEST_ID", Class: "RPC", Tenant: "CUSTOMER", IdempotencyKey: "ONCE", TimeLeft: "TIME_LEFT",
			},
		}},
		Services: []Service{everyKeyBooking(), everyKeyDesk()},
		Routes: []Route{
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
		Name:              "booking",
		Discovery:         "127.0.0.1:8500",
		Protocol:          "http",
		Weight:            2.5,
		Guarantee:         0.35,
		Nodes:             6,
		Stage:             1,
		Zone:              "zone-b",
		Zones:             []string{"zone-a", "zone-b"},
		MaxAttempts:       4,
		NoCancel:          true,
		Hedging:           true,
		NoRetryAfter:      true,
		MaxRetryAfter:     Duration(2200 * time.Millisecond),
		MaxPollInterval:   Duration(11 * time.Second),
		ConnectTimeout:    Duration(350 * time.Millisecond),
		IdleTimeout:       Duration(33 * time.Second),
		SlowStartFraction: 0.14,
		SlowStartDuration: Duration(21 * time.Second),
		OverloadMultiple:  1.75,
		OverloadWindow:    Duration(13 * time.Second),
		Methods: []Method{
			{
				Name: "book-table", Idempotency: "deduplicated", DedupScope: "zone", DedupWindow: Duration(14 * time.Second),
				LatencyObjective: Duration(2600 * time.Millisecond), Deadline: Duration(6 * time.Second), PriorityWeight: new(9.5),
				LateWeight: 0.3,
			},
			{
				Name: "find-table", Idempotency: "idempotent", DedupScope: "cell", DedupWindow: Duration(15 * time.Second),
				LatencyObjective: Duration(1700 * time.Millisecond), Deadline: Duration(3 * time.Second), PriorityWeight: new(1.25),
				LateWeight: 0.4,
			},
		},
		Tenants: []Tenant{
			{Name: "acme", Quota: 200.5, Weight: 3.5},
			{Name: "ruenthai", Quota: 300, Weight: 4.5},
		},
	}
}

func everyKeyDesk() Service {
	return Service{
		Name:     "desk",
		Servers:  []string{"127.0.0.1:9000", "[::1]:9001"},
		Protocol: "fastcgi",
		Params:   map[string]string{"SCRIPT_FILENAME": "/srv/desk/index.php", "DOCUMENT_ROOT": "/srv/desk"},
		Methods:  []Method{{Name: "open-desk", Deadline: Duration(4 * time.Second)}},
	}
}

func decodeGolden(t *testing.T, name string) File {
	t.Helper()
	var file File
	require.NoError(t, tomlfile.Decode(golden.Read(t, name), &file))
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
		Services: []Service{{
			Name: "desk", Servers: []string{"127.0.0.1:9000"}, MaxAttempts: 4,
			Methods: []Method{{Name: "open-desk", LateWeight: 0.3, Deadline: Duration(3 * time.Second)}},
		}},
	}, decodeGolden(t, "other-case.toml"))
}

// generatedSettings returns the settings object that a pool was compiled to. It is the start of the pool's fingerprint;
// the protocol and the params follow it.
func generatedSettings(t *testing.T, pool Pool) []byte {
	t.Helper()
	text, found := strings.CutSuffix(pool.Fingerprint, fmt.Sprintf(" %s %q", pool.Protocol, pool.Params))
	require.True(t, found, pool.Fingerprint)
	return []byte(text + "\n")
}

func TestCompile_GoldenSettings(t *testing.T) {
	for _, test := range []struct{ file, service, golden string }{
		{"every-key.toml", "booking", "settings-booking.json"},
		{"every-key.toml", "desk", "settings-desk.json"},
		{"defaults.toml", "desk", "settings-defaults.json"},
	} {
		t.Run(test.golden, func(t *testing.T) {
			config, err := Parse(golden.Read(t, test.file), 0)
			require.NoError(t, err)
			pool := config.Pools[0]
			if pool.Name != test.service {
				pool = config.Pools[1]
			}
			require.Equal(t, test.service, pool.Name)
			golden.Check(t, test.golden, generatedSettings(t, pool))
			read, err := settings.Parse(golden.Read(t, test.golden))
			require.NoError(t, err)
			read.MaxFirstPollDelay = config.Limits.MaxPollInterval.Seconds()
			assert.Equal(t, read, pool.Settings)
		})
	}
}

func TestCompile_EveryKey(t *testing.T) {
	config, err := Parse(golden.Read(t, "every-key.toml"), 0)
	require.NoError(t, err)
	assert.Equal(t, quota.Config{ReservedFraction: 0.25, RevokeAfter: 3, CPUThreshold: 0.8, Total: config.Quota.Total}, config.Quota)
	assert.Equal(t, quota.Spec{Name: "booking", Guarantee: 0.35, Weight: 2.5, Tenants: []float64{3.5, 4.5}},
		config.Pools[0].QuotaSpec)
	assert.Equal(t, []node.Endpoint{
		{ID: "127.0.0.1:9000", Addr: "127.0.0.1:9000", State: decide.Ready, Weight: 1},
		{ID: "[::1]:9001", Addr: "[::1]:9001", State: decide.Ready, Weight: 1},
	}, config.Pools[1].StaticEndpoints)
	assert.Equal(t, []int{1500, 700}, []int{config.Limits.MaxClientConnections, config.Limits.MaxRequests})
	assert.Equal(t, 45*time.Second, config.Limits.ClientIdleTimeout)
}

// recordedService returns the service in testdata/record-service.json.
func recordedService() Service {
	return Service{
		Name: "tables", Servers: []string{"127.0.0.1:3101"}, MaxAttempts: 4,
		Methods: []Method{{Name: "find-table", Deadline: Duration(3 * time.Second)}},
	}
}

func TestParseEntry_Golden(t *testing.T) {
	route := Route{Name: "tables", Host: "tables.example.org", To: "tables"}
	for _, test := range []struct {
		golden string
		key    record.Key
		want   parsedEntry
	}{
		{"record-service.json", record.Key{Kind: "service", Name: "tables"}, parsedEntry{service: new(recordedService())}},
		{"record-route.json", record.Key{Kind: "route", Name: "tables"}, parsedEntry{route: &route}},
		{"record-tenant.json", record.Key{Kind: "tenant", Name: "tables/acme"},
			parsedEntry{tenant: &Tenant{Name: "acme", Quota: 200.5, Weight: 2.5}}},
	} {
		t.Run(test.golden, func(t *testing.T) {
			got, err := parseEntry(record.Entry{Key: test.key, Value: json.RawMessage(golden.Read(t, test.golden))})
			require.NoError(t, err)
			assert.Equal(t, test.want, got)
		})
	}
}

func TestEntryValues_Golden(t *testing.T) {
	golden.JSON(t, "record-service.json", tomlValue{TOML: string(golden.Read(t, "record-service.toml"))})
	golden.JSON(t, "record-route.json", tomlValue{TOML: string(golden.Read(t, "record-route.toml"))})
	golden.JSON(t, "record-tenant.json", tenantValue{Quota: 200.5, Weight: 2.5})
	golden.JSON(t, "record-tenant-zero.json", tenantValue{})
}

func TestFile_EveryFieldTagged(t *testing.T) {
	testutil.EveryFieldTagged[File](t, "toml")
}
