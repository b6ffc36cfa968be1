package recordserver

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/system/keys"
)

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// During an upgrade, old nodes read the store directly and new nodes read replicas. The controller that a new node
// calls may still run an old version, which does not accept connections from nodes. A drain that any node writes must
// reach all other nodes.
func TestNodes_UpgradeSharesOneRecord(t *testing.T) {
	f := newFixture(t)
	r := f.startReplica()
	later := unusedAddress(t)
	servers := []string{"a", "b", "c", "d"}
	old := f.startNode("old", f.directly, servers...)
	upgraded := f.startNode("new", throughReplicas(r.address), servers...)
	early := f.startNode("early", throughReplicas(later), servers...)

	f.recordDrain("s/a")
	f.eventually(func() bool { return old.core.drains("a") }, "the old node has an operator's drain")
	f.eventually(func() bool { return upgraded.core.drains("a") }, "the new node has an operator's drain")
	upgraded.drain("b")
	f.eventually(func() bool { return old.core.drains("b") }, "the old node has the new one's drain")
	old.drain("c")
	f.eventually(func() bool { return upgraded.core.drains("c") }, "the new node has the old one's drain")
	assert.Contains(t, early.Status().Error, later, "the error names the address that does not listen")
	early.drain("d")
	assert.True(t, early.core.drains("d"), "in effect at once, though no controller listens")

	f.startReplicaAt(later, nil) // the controller is upgraded
	for name, node := range map[string]*testNode{"old": old, "new": upgraded, "early": early} {
		f.eventually(func() bool { return node.core.drains(servers...) }, name)
	}
	f.eventually(early.isSettled, "nothing is pending")
}

// When a node's replica stops, the node connects to another replica. When all replicas have stopped, the node keeps its
// copy until a replica is started again.
func TestNodes_ReplicaEnds(t *testing.T) {
	f := newFixture(t)
	first, second := f.startReplica(), f.startReplica()
	node := f.startNode("n", throughReplicas(first.address, second.address), "a", "b", "d")
	f.eventually(func() bool { return first.Status().Watchers == 1 }, "the node watches the first replica")
	first.stop()
	f.recordDrain("s/a")
	f.eventually(func() bool { return node.core.drains("a") && second.Status().Watchers == 1 }, "the second notifies")
	second.stop()
	f.eventually(func() bool { return node.Status().Error != "" }, "no replica is left")
	assert.True(t, node.core.drains("a"))
	f.recordDrain("s/b")
	f.startReplicaAt(first.address, nil)
	f.eventually(func() bool { return node.core.drains("b") && node.Status().Error == "" }, "the first is back")
}

// A node whose replica hangs with open connections connects to another replica.
func TestNodes_ReplicaHangs(t *testing.T) {
	f := newFixture(t)
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { hanging.Close() })
	go func() {
		for {
			connection, err := hanging.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { connection.Close() })
		}
	}()
	working := f.startReplica()
	node := f.startNode("n", throughReplicas(hanging.Addr().String(), working.address), "a")
	begin := time.Now()
	f.recordDrain("s/a")
	f.eventually(func() bool { return node.core.drains("a") }, "the working replica notifies the node")
	assert.Less(t, time.Since(begin), 10*time.Second, "the drain takes effect within 10 s")
}

// While the store is unavailable, replicas serve their copies and report the age of each copy. A node that starts
// during the outage gets the record from a replica. The node's drains are written when the store recovers.
func TestNodes_StoreUnavailable(t *testing.T) {
	f := newFixture(t)
	r := f.startReplica()
	f.recordDrain("s/a")
	f.write(record.KindRoute, "r", `{"toml":"x"}`)
	before := f.startNode("before", throughReplicas(r.address))
	f.eventually(func() bool { return len(before.Entries(record.KindRoute)) == 1 }, "the replica has read the record")
	f.postgres.Refuse(true)
	f.postgres.Cut()
	f.eventually(func() bool { return r.Status().Error != "" }, "the replica reports the store's error")

	node := f.startNode("during", throughReplicas(r.address), "a", "b")
	assert.True(t, node.core.drains("a"), "from the replica's copy")
	assert.Len(t, node.Entries(record.KindRoute), 1)
	node.drain("b")
	assert.True(t, node.core.drains("b"), "in effect before it is recorded")
	f.eventually(func() bool { return node.Status().SecondsSinceContact > 0.3 }, "the copy's age grows")

	f.postgres.Refuse(false)
	f.eventually(func() bool { return f.isRecorded(record.KindDrain, "s/b") }, "recorded after the store recovers")
	f.eventually(func() bool {
		status := node.Status()
		recovered := status.Error == "" && r.Status().Error == ""
		return recovered && status.Pending == 0 && status.SecondsSinceContact < 5
	}, "recovered")
}

// During a network partition between regions, a replica that is isolated from the store falls behind. A node that has
// read another replica may then connect to the isolated replica. The node's entries must not be replaced by older
// entries. The same holds if the record was replaced by an import that the isolated replica has not read.
func TestNodes_ReplicaIsBehind(t *testing.T) {
	for _, imported := range []bool{false, true} {
		t.Run(fmt.Sprintf("imported=%t", imported), func(t *testing.T) {
			f := newFixture(t)
			reachable, isolated := f.startReplica(), f.startReplica()
			f.write(record.KindRoute, "r", `{"toml":"first"}`)
			f.eventually(func() bool {
				return reachable.Status().Revision == 1 && isolated.Status().Revision == 1
			}, "both replicas have the route")
			node := f.startNode("n", throughReplicas(reachable.address, isolated.address))
			isolated.upstream.partitioned.Store(true)
			f.eventually(func() bool { return isolated.Status().Error != "" }, "the store is unreachable")
			if imported {
				f.importRoute("r", `{"toml":"second"}`)
			} else {
				f.write(record.KindRoute, "r", `{"toml":"second"}`)
			}
			hasSecond := func() bool {
				entries := node.Entries(record.KindRoute)
				return len(entries) == 1 && string(entries[0].Value) == `{"toml":"second"}`
			}
			f.eventually(hasSecond, "the reachable replica notifies the node")
			reachable.stop()
			f.eventually(func() bool { return node.Status().Error != "" }, "the isolated replica rejects the node")
			assert.Contains(t, node.Status().Error, "no controller serves the record")
			assert.True(t, hasSecond())
			assert.Zero(t, isolated.Status().Watchers)
			isolated.upstream.partitioned.Store(false)
			f.eventually(func() bool {
				return node.Status().Error == "" && isolated.Status().Watchers == 1
			}, "the partition has ended")
			assert.True(t, hasSecond())
		})
	}
}

// importRoute replaces the record by an import. The only entry of the record is a route, and the import has the same
// route with another value.
func (f *fixture) importRoute(name, value string) {
	page, err := f.database.Since(f.t.Context(), 0, 100)
	require.NoError(f.t, err)
	require.Len(f.t, page.Entries, 1)
	require.Equal(f.t, name, page.Entries[0].Name)
	page.Entries[0].Value = json.RawMessage(value)
	_, err = f.database.Replace(f.t.Context(), page.Entries)
	require.NoError(f.t, err)
}

// Nodes that read a replica are notified when the store is restored from a backup. They then write the lost drains to
// the store again.
func TestNodes_StoreRestored(t *testing.T) {
	f := newFixture(t)
	node := f.startNode("n", throughReplicas(f.startReplica().address), "a", "b")
	f.eventually(func() bool {
		return node.Status().Pending == 0 && f.isRecorded(record.KindServer, "s/a")
	}, "servers recorded")
	backup := filepath.Join(t.TempDir(), "backup")
	require.NoError(t, f.postgres.Backup(backup))
	node.drain("a")
	f.eventually(func() bool { return f.isRecorded(record.KindDrain, "s/a") }, "drain recorded")
	require.NoError(t, f.postgres.Restore(backup))
	f.eventually(func() bool { return f.isRecorded(record.KindDrain, "s/a") }, "written again")
	assert.True(t, node.core.drains("a"))
	f.eventually(func() bool {
		status := node.Status()
		return status.SyncState == "follows" && status.Pending == 0
	}, "the node's copy is up to date")
	f.recordDrain("s/b")
	f.eventually(func() bool { return node.core.drains("b") }, "a later drain reaches the node")
}

// restoredStore is restored from a backup right after the first write of a drain, before any reader sees the drain. The
// restored store lacks the drain, and assigns the drain's old revision to its next write.
type restoredStore struct {
	store.Store
	once    sync.Once
	restore func()
}

func (s *restoredStore) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	entries, meta, err := s.Store.Write(ctx, epoch, changes)
	if err == nil && changes[0].Kind == record.KindDrain {
		s.once.Do(s.restore)
	}
	return entries, meta, err
}

// A store is restored from a backup after a drain was written, and loses the drain. The node's next write then gets the
// drain's old revision. The node must nevertheless notice the loss and write the drain again.
func TestNodes_RevisionAssignedTwiceHidesNoLostDrain(t *testing.T) {
	f := newFixture(t)
	backup := filepath.Join(t.TempDir(), "backup")
	upstream := &restoredStore{
		Store:   f.database,
		restore: func() { assert.NoError(t, f.postgres.Restore(backup)) },
	}
	config := DefaultConfig()
	config.PollInterval = 50 * time.Millisecond
	config.BatchDelay = time.Millisecond
	config.FreshnessTimeout = 100 * time.Millisecond // shorter than the node's call timeout
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(serve(New(upstream, config, zap.NewNop()), listener, 9))

	node := f.startNode("n", throughReplicas(listener.Addr().String()), "a")
	f.eventually(func() bool {
		return node.Status().Pending == 0 && f.isRecorded(record.KindServer, "s/a")
	}, "server recorded")
	require.NoError(t, f.postgres.Backup(backup))
	node.drain("a") // writes a drain, and then an observation
	f.eventually(func() bool {
		return node.Status().Pending == 0 && f.isRecorded(record.KindDrain, "s/a")
	}, "both recorded")
	assert.True(t, node.core.drains("a"))
}

// A client without a certificate issued by the fleet's certificate authority cannot call the server.
func TestServer_RequiresClientKeys(t *testing.T) {
	f := newFixture(t)
	folder := t.TempDir()
	otherFolder := filepath.Join(folder, "other")
	require.NoError(t, keys.Make(folder, []string{"controller", "node"}, nil, time.Hour))
	require.NoError(t, keys.Make(otherFolder, []string{"node"}, nil, time.Hour))
	openKeys := func(folder, name string) *keys.Ring {
		ring, err := keys.Open(keys.Files{
			Cert: filepath.Join(folder, name+".pem"),
			Key:  filepath.Join(folder, name+".key"),
			CA:   filepath.Join(folder, "ca.pem"),
		}, zap.NewNop())
		require.NoError(t, err)
		return ring
	}
	r := f.startReplicaAt("127.0.0.1:0", openKeys(folder, "controller"))
	readMeta := func(secure func(string) *tls.Config) (record.Meta, error) {
		client := store.DialControllers([]string{r.address}, secure)
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		return client.Meta(ctx)
	}
	t.Run("node", func(t *testing.T) {
		meta, err := readMeta(openKeys(folder, "node").Client)
		require.NoError(t, err)
		assert.NotEmpty(t, meta.Epoch)
	})
	t.Run("no keys", func(t *testing.T) {
		_, err := readMeta(nil)
		assert.Error(t, err)
	})
	t.Run("keys of another authority", func(t *testing.T) {
		_, err := readMeta(openKeys(otherFolder, "node").Client)
		assert.ErrorContains(t, err, "keys")
	})
	assert.Zero(t, r.Status().Watchers)
}

// The load on the store does not depend on the number of nodes. With 6 nodes and with 24 nodes, the numbers of
// connections, commits and notifications depend only on the replicas.
func TestServer_StoreLoadIsIndependentOfFleetSize(t *testing.T) {
	const replicaCount = 3
	for _, nodeCount := range []int{6, 24} {
		t.Run(fmt.Sprint(nodeCount, " nodes"), func(t *testing.T) {
			f := newFixture(t)
			var replicas []*testReplica
			for range replicaCount {
				replicas = append(replicas, f.startReplica())
			}
			var nodes []*testNode
			for i := range nodeCount {
				first, second := replicas[i%replicaCount], replicas[(i+1)%replicaCount]
				open := throughReplicas(first.address, second.address)
				nodes = append(nodes, f.startNode(fmt.Sprint("n", i), open, "a", "b", "c"))
			}
			all := func(condition func(*testNode) bool) bool {
				for _, node := range nodes {
					if !condition(node) {
						return false
					}
				}
				return true
			}
			hasNothingPending := func(node *testNode) bool { return node.Status().Pending == 0 }
			f.eventually(func() bool { return all(hasNothingPending) }, "the first list is written")

			before := f.postgres.Counts()
			for i, node := range nodes { // discovery notifies all nodes; the list revision depends on the replica
				list := endpointsIn(decide.Draining, "a")
				list[0].Revision = int64(1000 * (i%3 + 1))
				go node.subscription.UpdateEndpoints(list, false)
			}
			f.recordDrain("s/b")
			f.eventually(func() bool {
				return all(func(node *testNode) bool { return node.core.drains("a", "b") }) && all(hasNothingPending)
			}, "all nodes are notified")
			for _, r := range replicas {
				assert.Equal(t, nodeCount/replicaCount, r.Status().Watchers)
			}
			after := f.postgres.Counts()
			if nodeCount == 24 { // the store counts a closed connection until it detects the end of the connection
				assert.Less(t, after.MaxConnections, nodeCount, "less than one connection per node")
			}
			f.eventually(func() bool {
				return f.postgres.Counts().Connections <= 3*replicaCount+2
			}, "three connections per replica, and two of the test")
			assert.LessOrEqual(t, after.Commits-before.Commits, 3, "one by the operator, and one or two by the fleet")
			assert.LessOrEqual(t, after.Notices-before.Notices, 9, "each replica is notified of each commit")
		})
	}
}
