package main

// The files in testdata have the formats that other versions of the program write or read. They were written by the
// code at commit 0cdd5b2, with the same calls as in these tests, with two exceptions: said_headless.json was written by
// Save before commit d0ace87, which added the header of the operator state file, and node_required.json was written by
// hand, since the program only reads it. If a test here fails after a rename, the format has changed: correct the
// struct tag and do not regenerate the files.

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/handover"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

// golden reads a file of testdata.
func golden(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return string(content)
}

// copyGolden copies a golden file to a temporary directory, where the program may rename it or create other files.
func copyGolden(t *testing.T, name string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(golden(t, name)), 0o600))
	return path
}

// fullOperatorState returns an operator state with all fields set. The start time 0 of server-2 means that the endpoint
// list had no start time for this server; server-3 was banned by a process that did not record start times.
func fullOperatorState() operatorState {
	return operatorState{
		BannedSince: map[string]int64{"server-1": 1764547200001, "server-2": 1764547200002, "server-3": 1764547200003},
		StartedAt:   map[string]int64{"server-1": 1764540000004, "server-2": 0},
		LameDuck:    true,
	}
}

// fullHandoverState returns a handover state with all fields set.
func fullHandoverState() handoverState {
	return handoverState{
		Version: 2, Operators: fullOperatorState(), OperatorsUnread: true,
		Endpoints: []node.Endpoint{
			{ID: "server-5", Addr: "127.0.0.1:3005", State: decide.Draining, Zone: 6, Cell: 7, Weight: 8.25,
				StartedAt: time.Date(2026, 12, 1, 9, 10, 11, 12_000_000, time.UTC), Revision: 13},
			{ID: "server-14", Addr: "127.0.0.1:3014", State: decide.Ready, Zone: 15, Cell: 16, Weight: 17, Revision: 18},
		},
		KnownServers:  []string{"server-5", "server-14", "server-19"},
		Descriptors:   20,
		RequestIDSeed: 18446744073709551595, // a float64 can't hold this integer exactly
		ListClock:     time.Date(2026, 12, 1, 22, 23, 24, 123_456_789, time.UTC),
	}
}

// bareHandoverState returns the handover state of a process that knows no server and has received no operator command.
func bareHandoverState() handoverState {
	return handoverState{
		Version:       2,
		Operators:     operatorState{BannedSince: map[string]int64{}, StartedAt: map[string]int64{}},
		Endpoints:     []node.Endpoint{},
		RequestIDSeed: 1,
	}
}

// bareHandoverStateRead returns bareHandoverState as it is decoded: the message leaves out the empty map of start
// times.
func bareHandoverStateRead() handoverState {
	state := bareHandoverState()
	state.Operators.StartedAt = nil
	return state
}

// stateCases maps the files with state messages to the state that is encoded and the state that is decoded.
var stateCases = map[string]struct{ sent, read handoverState }{
	"state.message":      {fullHandoverState(), fullHandoverState()},
	"state_bare.message": {bareHandoverState(), bareHandoverStateRead()},
	"state_zero.message": {},
}

// socketPair returns two connected Unix sockets.
func socketPair(t *testing.T) (near, far *net.UnixConn) {
	t.Helper()
	descriptors, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	var ends [2]*net.UnixConn
	for i, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "socket pair")
		conn, err := net.FileConn(file)
		file.Close()
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		ends[i] = conn.(*net.UnixConn)
	}
	return ends[0], ends[1]
}

func TestGolden_StateIsWrittenByteForByte(t *testing.T) {
	for file, state := range stateCases {
		t.Run(file, func(t *testing.T) {
			near, far := socketPair(t)
			require.NoError(t, handover.NewLink(near).SendState(state.sent))
			require.NoError(t, near.Close())
			sent, err := io.ReadAll(far)
			require.NoError(t, err)
			assert.Equal(t, golden(t, file), string(sent))
		})
	}
}

func TestGolden_StateIsRead(t *testing.T) {
	for file, state := range stateCases {
		t.Run(file, func(t *testing.T) {
			near, far := socketPair(t)
			_, err := near.Write([]byte(golden(t, file)))
			require.NoError(t, err)
			var got handoverState
			require.NoError(t, handover.NewLink(far).ReceiveState(&got, stateTimeout))
			assert.Equal(t, state.read, got)
		})
	}
}

// A process of another version sends its state to a successor of this version.
func TestGolden_SuccessorReceivesState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	listener, err := handover.Listen(path)
	require.NoError(t, err)
	defer listener.Close()
	message := []byte(golden(t, "state.message"))
	go func() {
		if conn, err := listener.AcceptUnix(); err == nil {
			conn.Write(message)
			conn.Close()
		}
	}()
	s := &succession{path: path, log: zap.NewNop()}
	state, err := s.connectToPredecessor()
	require.NoError(t, err)
	defer s.predecessor.Close()
	assert.Equal(t, fullHandoverState(), state)
}

func TestGolden_OperatorFileIsWrittenByteForByte(t *testing.T) {
	noStarts := fullOperatorState()
	noStarts.StartedAt = nil
	for file, state := range map[string]operatorState{
		"said":           fullOperatorState(),
		"said_no_starts": noStarts,
		"said_nothing":   {BannedSince: map[string]int64{}, StartedAt: map[string]int64{}},
		"said_zero":      {},
	} {
		t.Run(file, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "said")
			operators := newOperatorStateFile(path, zap.NewNop())
			operators.allowWrites()
			require.NoError(t, operators.waitSaved(t.Context(), operators.save(state)))
			written, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, golden(t, file), string(written))
		})
	}
}

func TestGolden_OperatorFileIsRead(t *testing.T) {
	noStarts := fullOperatorState()
	noStarts.StartedAt = nil
	for file, want := range map[string]operatorState{
		"said":               fullOperatorState(),
		"said_no_starts":     noStarts,
		"said_nothing":       {BannedSince: map[string]int64{}}, // the file leaves out the empty map of start times
		"said_zero":          {},
		"said_headless.json": noStarts,
	} {
		t.Run(file, func(t *testing.T) {
			path := copyGolden(t, file)
			got, err := newOperatorStateFile(path, zap.NewNop()).read()
			require.NoError(t, err)
			assert.Equal(t, want, got)
			_, err = os.Stat(path + ".bad")
			assert.ErrorIs(t, err, os.ErrNotExist, "nothing was set aside")
		})
	}
}

// environment returns a getenv function: EDGE_CONFIG names a copy of the configuration, and more has other variables.
func environment(t *testing.T, config string, more map[string]string) func(string) string {
	path := copyGolden(t, config)
	return func(name string) string {
		if name == "EDGE_CONFIG" {
			return path
		}
		return more[name]
	}
}

// fullSettings returns the settings of node.json.
func fullSettings() *settings.Instance {
	return &settings.Instance{
		Settings: decide.Settings{
			Methods: []decide.Method{{LatencyObjective: 1.02, Deadline: 1.021, PriorityWeight: 22, LateWeight: 0.23,
				Idempotency: decide.Deduplicated, DedupScope: decide.ScopeZone, DedupWindow: 1.024}},
			Tenants: []decide.Tenant{{Quota: 25}},
			Zone:    1, Stage: 26, Instances: 27, MaxAttempts: 28, MayCancel: true, Hedging: true,
			MaxRetryAfter: 1.029, OverQuotaWeight: 0.3, CrossZoneCost: 0.31, MustSubscribe: true, MaxPollInterval: 1.032,
			MaxFirstPollDelay: 3.25, // derived from the limits
			SlowStartFraction: 0.33, SlowStartDuration: 1.034, OverloadMultiple: 35, OverloadWindow: 1.036,
		},
		MethodNames: []string{"class-19"}, TenantNames: []string{"tenant-24"}, ZoneNames: []string{"zone-37", "zone-38"},
		ReportFields: []string{"concurrent"}, LoadReports: true, WorkHints: true,
		ConnectTimeout: 1039 * time.Millisecond, ServerIdleTimeout: 1040 * time.Millisecond, MaxInFlight: 41,
	}
}

func TestGolden_NodeConfigurationIsRead(t *testing.T) {
	c, err := readPlatformConfig(environment(t, "node.json", nil))
	require.NoError(t, err)
	assert.Equal(t, "node-1", c.Name)
	assert.Equal(t, "127.0.0.1:3002", c.Listen)
	assert.Equal(t, "127.0.0.1:3003", c.Discovery)
	assert.Equal(t, "127.0.0.1:3004", c.Admin)
	assert.Equal(t, "8c1f30d27a5be965", c.Seed)
	assert.Equal(t, limits.Machine{Cores: 1.5, MemoryMB: 206, Sockets: 207}, c.Machine)
	assert.Equal(t, fullSettings(), c.node)
	assert.True(t, c.list.Complete)
	assert.EqualValues(t, 8, c.list.Revision)
	assert.Equal(t, []node.Endpoint{
		{ID: "server-9", Addr: "127.0.0.1:3010", State: decide.Draining, Zone: 1, Cell: 11, Weight: 12.5,
			StartedAt: time.UnixMilli(1764540000013), Revision: 8},
		{ID: "server-14", Addr: "127.0.0.1:3015", State: decide.Ready, Zone: 0, Cell: 16, Weight: 17,
			StartedAt: time.UnixMilli(1764540000018), Revision: 8},
	}, c.list.Endpoints(c.node.ZoneNames, zap.NewNop()))
}

func TestGolden_NodeConfigurationOptionalKeys(t *testing.T) {
	c, err := readPlatformConfig(environment(t, "node_required.json", nil))
	require.NoError(t, err)
	assert.Empty(t, c.Name)
	assert.Empty(t, c.Admin)
	assert.Empty(t, c.Seed)
	assert.Equal(t, "127.0.0.1:3002", c.Listen)
	assert.Equal(t, "127.0.0.1:3003", c.Discovery)
	assert.Equal(t, limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 128}, c.Machine)
	assert.True(t, c.list.Complete)
	assert.Empty(t, c.list.Members)
}

func TestGolden_EnvironmentOverridesFile(t *testing.T) {
	for name, field := range map[string]func(*platformConfig) string{
		"EDGE_NAME":       func(c *platformConfig) string { return c.Name },
		"EDGE_LISTEN":     func(c *platformConfig) string { return c.Listen },
		"EDGE_DISCOVERY":  func(c *platformConfig) string { return c.Discovery },
		"EDGE_ADMIN_ADDR": func(c *platformConfig) string { return c.Admin },
	} {
		t.Run(name, func(t *testing.T) {
			c, err := readPlatformConfig(environment(t, "node.json", map[string]string{name: "127.0.0.1:4000"}))
			require.NoError(t, err)
			assert.Equal(t, "127.0.0.1:4000", field(c))
		})
	}
}

// Encoding the Go type of the configuration must give exactly the key names of the golden file, because the platform
// writes the file with these names. A decoding test would not detect a difference in case: decoding accepts "Listen"
// for "listen".
func TestGolden_NodeConfigurationHasExactlyTheseNames(t *testing.T) {
	want := golden(t, "node.json")
	var c platformConfig
	decoder := json.NewDecoder(strings.NewReader(want))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(&c))
	var written bytes.Buffer
	encoder := json.NewEncoder(&written)
	encoder.SetIndent("", "  ")
	require.NoError(t, encoder.Encode(c))
	assert.Equal(t, want, written.String())
}
