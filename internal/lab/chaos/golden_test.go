package chaos

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/labtest"
	"robincart/internal/lab/standin"
	"robincart/internal/testutil/golden"
)

// The golden files hold the forms of the text at 0cdd5b2: status.json was written by hand and read by it, the others
// were written by it. They must never be changed or written anew to follow a rename: programs of other versions read
// and write them.

// A node's status page, as Record reads it.
func TestReadStatus_Golden(t *testing.T) {
	want := recordcache.Status{
		Store:                "sqlite:/golden/record.db",
		SyncState:            "follows",
		Error:                "fault-101",
		Epoch:                "epoch-102",
		Revision:             103,
		SecondsSinceContact:  104.5,
		Pending:              105,
		Dropped:              106,
		Written:              107,
		SecondsSinceSnapshot: 108.5,
		Entries:              109,
		Draining: []recordcache.DrainingServer{
			{Server: "s/s1", Reason: "why-110"},
			{Server: "s/s2", Reason: "why-111"},
		},
		Required:     true,
		MaxStaleness: "1h0m0s",
		MaxPending:   112,
	}
	assert.Equal(t, want, readGoldenStatus(t, "status.json"))
	want.Invalid = []string{"route r1, revision 113: invalid-114"} // since a later version
	status := readGoldenStatus(t, "status_not_in_force.json")
	assert.Equal(t, want, status)
	labtest.RequireEveryFieldSet(t, "json", status)
}

// readGoldenStatus returns the status that Record reads from a node whose status page is a golden file.
func readGoldenStatus(t *testing.T, name string) recordcache.Status {
	t.Helper()
	page := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/record" {
			w.Write(golden.Read(t, name))
		}
	}))
	defer page.Close()
	node := &recordNode{status: strings.TrimPrefix(page.URL, "http://")}
	status, err := node.readStatus()
	require.NoError(t, err)
	return status
}

// The configuration of a node with a record. The program ends at once: only its file matters.
func TestAddNode_GoldenFile(t *testing.T) {
	r := &Record{
		Program:      "/bin/false",
		Nodes:        2,
		dir:          t.TempDir(),
		storeAddress: "sqlite:/golden/record.db",
		discovery:    standin.NewDiscovery(&judge.Ledger{}, time.Now()),
	}
	t.Cleanup(r.discovery.Stop)
	require.ErrorContains(t, r.addNode(context.Background(), 0), "ended at its start")
	n := r.nodes[0]
	config, err := nodeconfig.Parse([]byte(n.OperatorFile), 0)
	require.NoError(t, err)
	discovery := config.Services[0].Discovery
	names := strings.NewReplacer(n.Addr, "NODE", n.status, "STATUS", discovery, "DISCOVERY", r.dir, "DIR")
	golden.Check(t, "node.toml", []byte(names.Replace(n.OperatorFile)))
}

// The configuration of a controller.
func TestNewReplica_GoldenFile(t *testing.T) {
	api, err := apiserver.Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(api.Stop)
	c := &Controller{dir: t.TempDir(), api: api}
	x, err := c.newReplica(1, "[keys]\ncert = \"/golden/controller.pem\"\n")
	require.NoError(t, err)
	assert.Equal(t, filepath.Join(c.dir, "c1.toml"), x.file)
	text, err := os.ReadFile(x.file)
	require.NoError(t, err)
	replaced := strings.NewReplacer(x.list, "LIST", x.status, "STATUS", api.Addr(), "API").Replace(string(text))
	golden.Check(t, "replica.toml", []byte(replaced))
}
