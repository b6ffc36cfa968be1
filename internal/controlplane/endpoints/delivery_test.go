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

	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
)

// frozenClock is a clock that stands.
type frozenClock struct{}

func (frozenClock) Now() time.Duration                  { return 0 }
func (frozenClock) AfterFunc(d time.Duration, f func()) {}

func frozenCore(t testing.TB) *node.Core {
	s, err := settings.Parse([]byte(`{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],"RegistryMode":"subscribe"}`))
	require.NoError(t, err)
	return node.New(s, 1, frozenClock{}, time.Now(), func() {})
}

// indentedSnapshot is a whole list as a discovery may write it, over many lines.
func indentedSnapshot(t testing.TB, servers int, phase string) []byte {
	var out bytes.Buffer
	require.NoError(t, json.Indent(&out, snapshotOf(servers, func(i int) string { return memberJSON(fmt.Sprint("server-", i), phase) }), "", "    "))
	return out.Bytes()
}

// BenchmarkDelivery is what lies between the last byte of a list and the moment from which no attempt begins at a server that it
// takes out: cutting the message out of its stream, reading it, and the core's step under its lock.
func BenchmarkDelivery(b *testing.B) {
	for _, servers := range []int{1, 30, 300, 1024, 20_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			core := frozenCore(b)
			text := indentedSnapshot(b, servers, "ready")
			for b.Loop() {
				messages := messageReader{source: bytes.NewReader(text), maxMessage: 64 << 20, buffer: make([]byte, 2<<10), onAlive: func() {}}
				message, err := messages.next()
				require.NoError(b, err)
				list, err := Parse(message)
				require.NoError(b, err)
				core.UpdateEndpoints(list.Entries(nil, zap.NewNop()), list.Complete)
			}
		})
	}
}

// Neither a list of servers nor the servers of a service are capped below what the operators' fleets have.
func TestAThousandServersAreTaken(t *testing.T) {
	const servers = 1024
	core := frozenCore(t)
	list, err := Parse(indentedSnapshot(t, servers, "ready"))
	require.NoError(t, err)
	core.UpdateEndpoints(list.Entries(nil, zap.NewNop()), list.Complete)
	assert.Len(t, core.Endpoints(), servers)
	assert.GreaterOrEqual(t, MaxMembers, servers)
	l := len(strings.TrimSpace(string(indentedSnapshot(t, servers, "ready"))))
	assert.Less(t, l, 4<<20, "an indented list of them fits into limits.ListBytes")
}
