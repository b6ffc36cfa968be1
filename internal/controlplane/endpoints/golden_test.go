package endpoints

// The files under testdata fix the format of the lists that are read from discovery. The lists were written by hand.
// The expected results are those of the code at commit 0cdd5b2, which also wrote skipped-entries.txt and
// watch-request.http. When a name changes in the code, do not change or regenerate the files: the names in the files
// belong to the protocol.

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/resources/limits"
	"robincart/internal/testutil"
	"robincart/internal/testutil/golden"
)

var goldenZones = []string{"zone-a", "zone-b"}

func parseGolden(t *testing.T, name string) *List {
	t.Helper()
	list, err := Parse(golden.Read(t, name))
	require.NoError(t, err)
	return list
}

func TestParse_Snapshot(t *testing.T) {
	list := parseGolden(t, "whole.json")
	assert.Equal(t, &List{Revision: 41, Complete: true, Members: []member{
		{
			ID: "pod-1", HostPort: "10.1.0.1:8080", Locality: "zone-a", Cell: 3, Phase: "ready", Size: 1.5,
			UpSince: 1712998800123,
		},
		{
			ID: "pod-2", HostPort: "[fd00::2]:8081", Locality: "zone-b", Cell: 4, Phase: "draining", Size: 2.5,
			UpSince: 1712998800456.75,
		},
		{
			ID: "pod-3", HostPort: "10.1.0.3:8083", Locality: "zone-c", Cell: 5, Phase: "gone", Size: 3.5,
			UpSince: 1712998800789,
		},
	}}, list)
	assert.Equal(t, []node.Endpoint{
		{
			ID: "pod-1", Addr: "10.1.0.1:8080", State: decide.Ready, Zone: 0, Cell: 3, Weight: 1.5,
			StartedAt: time.UnixMilli(1712998800123), Revision: 41,
		},
		{
			ID: "pod-2", Addr: "[fd00::2]:8081", State: decide.Draining, Zone: 1, Cell: 4, Weight: 2.5,
			StartedAt: time.UnixMilli(1712998800456), Revision: 41,
		},
		{
			ID: "pod-3", Addr: "10.1.0.3:8083", State: decide.Gone, Zone: -1, Cell: 5, Weight: 3.5,
			StartedAt: time.UnixMilli(1712998800789), Revision: 41,
		},
	}, list.Endpoints(goldenZones, zap.NewNop()))
}

func TestParse_UnusualEntries(t *testing.T) {
	list := parseGolden(t, "odd.json")
	assert.EqualValues(t, 42, list.Revision)
	assert.False(t, list.Complete)
	require.Len(t, list.Members, 15)
	core, logs := observer.New(zapcore.WarnLevel)
	assert.Equal(t, []node.Endpoint{
		{
			ID: "other-case", Addr: "10.1.0.1:8080", State: decide.Ready, Zone: 0, Cell: 3, Weight: 1.5,
			StartedAt: time.UnixMilli(1712998800123), Revision: 42,
		},
		{
			ID: "unknown-key", Addr: "10.1.0.2:8080", State: decide.Ready, Zone: 1, Cell: 4, Weight: 2.5,
			StartedAt: time.UnixMilli(1712998800456), Revision: 42,
		},
		{ID: "last", Addr: "10.1.0.3:8080", State: decide.Draining, Zone: 0, Weight: 3.5, Revision: 42},
		{ID: "fields-left-out", Addr: "10.1.0.4:8080", State: decide.Ready, Zone: -1, Weight: 1, Revision: 42},
		{ID: "nulls", Addr: "10.1.0.5:8080", State: decide.Ready, Zone: -1, Weight: 1, Revision: 42},
		{ID: "out-of-range", Addr: "10.1.0.6:8080", State: decide.Ready, Zone: -1, Cell: -1, Weight: 1, Revision: 42},
		{ID: "no-address", State: decide.Gone, Zone: -1, Weight: 1, Revision: 42},
	}, list.Endpoints(goldenZones, zap.New(core)))
	var skipped bytes.Buffer
	for _, line := range logs.All() {
		skipped.WriteString(line.ContextMap()["entry"].(string) + "\n")
	}
	golden.Check(t, "skipped-entries.txt", skipped.Bytes())
}

func TestParse_UnusualMessages(t *testing.T) {
	for text, want := range map[string]*List{
		`{}`:                         {},
		`null`:                       {},
		`{"members":null}`:           {},
		`{"members":[]}`:             {Members: []member{}},
		`{"complete":true,"more":1}`: {Complete: true},
		`{"revision":9007199254740993,"revision":4611686018427387904}`: {Revision: 4611686018427387904},
	} {
		t.Run(text, func(t *testing.T) {
			list, err := Parse([]byte(text))
			require.NoError(t, err)
			assert.Equal(t, want, list)
		})
	}
	for _, text := range []string{
		``, `[]`, `{"revision":-1}`, `{"revision":1.5}`, `{"revision":"1"}`, `{"complete":1}`, `{"members":{}}`, `{}{}`,
		`{"complete":true,"members":[{"id":"pod-1","phase":"ready"},{"id":"pod-1","phase":"draining"}]}`,
	} {
		t.Run("rejected "+text, func(t *testing.T) {
			_, err := Parse([]byte(text))
			assert.Error(t, err)
		})
	}
}

// A node can read the lists that the controller writes: the golden files of package fanout.
func TestParse_ControllerLists(t *testing.T) {
	const whole, change = "../fanout/testdata/whole.json", "../fanout/testdata/change.json"
	for _, test := range []struct {
		file string
		want *List
	}{
		{whole, &List{Revision: 41, Complete: true, Members: []member{
			{
				ID: "pod-1<&>", HostPort: "10.1.0.1:8080", Locality: "zone-a", Cell: 3, Phase: "ready", Size: 1.5,
				UpSince: 1712998800123,
			},
			{
				ID: "pod-2", HostPort: "[fd00::2]:8081", Locality: "zone-b", Cell: 4, Phase: "draining", Size: 2,
				UpSince: 1712998800456,
			},
			{},
		}}},
		{change, &List{Revision: 42, Members: []member{
			{
				ID: "pod-1<&>", HostPort: "10.1.0.1:8080", Locality: "zone-a", Cell: 3, Phase: "draining", Size: 1.5,
				UpSince: 1712998800123,
			},
			{ID: "pod-2", Phase: "gone"},
		}}},
	} {
		t.Run(test.file, func(t *testing.T) {
			text, err := os.ReadFile(test.file)
			require.NoError(t, err)
			list, err := Parse(text)
			require.NoError(t, err)
			assert.Equal(t, test.want, list)
		})
	}
}

func TestWatcher_Request(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	deadline := time.Now().Add(20 * time.Second)
	require.NoError(t, client.SetDeadline(deadline))
	require.NoError(t, server.SetDeadline(deadline))
	request := make(chan []byte, 1)
	go func() {
		text := make([]byte, 1024)
		n, _ := server.Read(text)
		request <- text[:n]
		io.WriteString(server, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}()
	watcher := New("10.0.0.9:8500", goldenZones, testLimits(), limits.NewBudget(1, 0, nil), zap.NewNop())
	status, _, err := watcher.sendRequest(client, &poll{addr: "10.0.0.9:8500", since: 41})
	require.NoError(t, err)
	assert.Equal(t, 503, status)
	golden.Check(t, "watch-request.http", testutil.Receive(t, request))
}
