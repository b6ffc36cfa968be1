package endpoints

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
)

func TestParse_MaxMembers(t *testing.T) {
	_, err := Parse(snapshotOf(MaxMembers+1, func(int) string { return "7" }))
	assert.ErrorContains(t, err, "found 20001 entries, expected at most 20000")
	const tenTimesTargetSize = 10 * 440
	l, err := Parse(snapshotOf(tenTimesTargetSize, func(i int) string {
		return memberJSON(fmt.Sprint("a", i), "ready")
	}))
	require.NoError(t, err)
	assert.Len(t, l.Endpoints(nil, zap.NewNop()), tenTimesTargetSize)
}

// A snapshot with a server in two phases is rejected. A delta may have one entry for each change of a server.
func TestParse_ServerInTwoPhases(t *testing.T) {
	parse := func(complete bool, phases ...string) error {
		entries := []string{memberJSON("a", "ready")}
		for _, phase := range phases {
			entries = append(entries, memberJSON("b", phase))
		}
		_, err := Parse(fmt.Appendf(nil, `{"revision":9,"complete":%v,"members":[%s]}`, complete,
			strings.Join(entries, ",")))
		return err
	}
	var conflict *ConflictError
	require.ErrorAs(t, parse(true, "ready", "draining"), &conflict)
	assert.Equal(t, ConflictError{ID: "b", FirstPhase: "ready", SecondPhase: "draining"}, *conflict)
	assert.ErrorContains(t, conflict, "remove one of the two entries")
	assert.NoError(t, parse(true, "draining", "draining"))
	assert.NoError(t, parse(false, "draining", "gone", "ready"))
}

func TestParse_TypedErrors(t *testing.T) {
	t.Run("too many entries", func(t *testing.T) {
		_, err := Parse(snapshotOf(100_000, func(int) string { return "{}" }))
		var limit *EntryLimitError
		require.ErrorAs(t, err, &limit)
		assert.Equal(t, 100_000, limit.Entries)
	})
	for name, text := range map[string]string{"negative revision": `{"revision":-1}`, "no JSON": `[`} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(text))
			var malformed *MalformedError
			require.ErrorAs(t, err, &malformed)
			assert.Error(t, malformed.Unwrap())
		})
	}
}

func TestEndpoints_MalformedEntries(t *testing.T) {
	l, err := Parse([]byte(`{"revision":1,"complete":true,"members":[` + strings.Join([]string{
		memberJSON("good", "ready"),
		memberJSON("phase", "resting"),
		memberJSON("", "ready"),
		`{"id":"address","host_port":"example.org:80","phase":"ready"}`,
		`{"id":"port","host_port":"127.0.0.1:99999","phase":"ready"}`,
		`{"id":"type","host_port":"127.0.0.1:80","phase":"ready","cell":"three"}`,
		`7`,
		`{"id":"left","phase":"gone"}`,
		`{"id":"bare","host_port":"[::1]:80","phase":"ready","size":-1,"up_since_ms":-1}`,
	}, ",") + `]}`))
	require.NoError(t, err)
	got := l.Endpoints([]string{"south"}, zap.NewNop())
	assert.Len(t, got, 3)
	assert.Equal(t, "good", got[0].ID)
	assert.Equal(t, node.Endpoint{ID: "left", State: decide.Gone, Zone: -1, Weight: 1, Revision: 1}, got[1])
	assert.Equal(t, node.Endpoint{ID: "bare", Addr: "[::1]:80", Zone: -1, Weight: 1, Revision: 1}, got[2])
}

func TestEndpoints_LoggedEntriesAreLimited(t *testing.T) {
	l, err := Parse(snapshotOf(5000, func(int) string { return `"` + strings.Repeat("x", 2000) + `"` }))
	require.NoError(t, err)
	core, logs := observer.New(zapcore.WarnLevel)
	assert.Empty(t, l.Endpoints(nil, zap.New(core)))
	require.Len(t, logs.All(), maxSkippedLogged+1)
	assert.Len(t, logs.All()[0].ContextMap()["entry"], 1000)
	assert.EqualValues(t, 5000, logs.All()[maxSkippedLogged].ContextMap()["skipped"])
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(emptySnapshot))
	f.Add([]byte(`{"revision":1,"members":[` + memberJSON("a", "ready") + `,null,{}]}`))
	f.Add([]byte(`{"revision":-1,"members":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text)
		if err != nil {
			return
		}
		for _, e := range l.Endpoints([]string{"a"}, zap.NewNop()) {
			if e.ID == "" || !(e.Weight > 0) || e.State != decide.Gone && checkAddress(e.Addr) != nil {
				t.Fatalf("accepted %+v", e)
			}
		}
	})
}

// frozenClock is a clock that does not advance, and never calls a function that is passed to AfterFunc.
type frozenClock struct{}

func (frozenClock) Now() time.Duration              { return 0 }
func (frozenClock) AfterFunc(time.Duration, func()) {}

func frozenCore(t testing.TB) *node.Core {
	t.Helper()
	s, err := settings.Parse([]byte(`{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],` +
		`"RegistryMode":"subscribe"}`))
	require.NoError(t, err)
	return node.New(s, 1, frozenClock{}, time.Now(), func() {})
}

// indentedSnapshot returns a snapshot in indented JSON, which discovery may send.
func indentedSnapshot(t testing.TB, servers int, phase string) []byte {
	t.Helper()
	var out bytes.Buffer
	compact := snapshotOf(servers, func(i int) string { return memberJSON(fmt.Sprint("server-", i), phase) })
	require.NoError(t, json.Indent(&out, compact, "", "    "))
	return out.Bytes()
}

// The limits on the size of a message and on the number of servers of a service allow the largest fleets of operators.
func TestParse_ThousandServers(t *testing.T) {
	const servers = 1024
	core := frozenCore(t)
	list, err := Parse(indentedSnapshot(t, servers, "ready"))
	require.NoError(t, err)
	core.UpdateEndpoints(list.Endpoints(nil, zap.NewNop()), list.Complete)
	assert.Len(t, core.Endpoints(), servers)
	assert.GreaterOrEqual(t, MaxMembers, servers)
	size := len(strings.TrimSpace(string(indentedSnapshot(t, servers, "ready"))))
	assert.Less(t, size, 4<<20, "an indented snapshot of them fits into limits.MaxListLine")
}

// BenchmarkDelivery measures the time from the last byte of a snapshot until no more attempts start at the servers that
// the snapshot removes. The time includes extracting the message from the stream, decoding it, and updating the core
// under its lock.
func BenchmarkDelivery(b *testing.B) {
	for _, servers := range []int{1, 30, 300, 1024, 20_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			core := frozenCore(b)
			text := indentedSnapshot(b, servers, "ready")
			for b.Loop() {
				messages := messageReader{
					source:     bytes.NewReader(text),
					maxMessage: 64 << 20,
					buffer:     make([]byte, 2<<10),
					onAlive:    func() {},
				}
				message, err := messages.next()
				require.NoError(b, err)
				list, err := Parse(message)
				require.NoError(b, err)
				core.UpdateEndpoints(list.Endpoints(nil, zap.NewNop()), list.Complete)
			}
		})
	}
}
