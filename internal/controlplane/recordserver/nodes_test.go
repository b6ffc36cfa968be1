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

// During an upgrade old nodes read the store themselves and new ones read replicas, and the controller of a new node
// may be an old one that does not listen yet. What one of them writes the others have.
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
	assert.True(t, early.core.drains("d"), "in force at once, whoever listens")

	f.startReplicaAt(later, nil) // the controller is upgraded
	for name, node := range map[string]*testNode{"old": old, "new": upgraded, "early": early} {
		f.eventually(func() bool { return node.core.drains(servers...) }, name)
	}
	f.eventually(early.isSettled, "nothing is pending")
}

// When replicas end, one by one or all, nodes are at another one soon, and meanwhile have what they had.
func TestNodes_ReplicaEnds(t *testing.T) {
	f := newFixture(t)
	first, second := f.startReplica(), f.startReplica()
	node := f.startNode("n", throughReplicas(first.address, second.address), "a", "b", "d")
	f.eventually(func() bool { return first.Status().Watchers == 1 }, "the node watches the first")
	first.stop()
	f.recordDrain("s/a")
	f.eventually(func() bool { return node.core.drains("a") && second.Status().Watchers == 1 }, "notified by the second")
	second.stop()
	f.eventually(func() bool { return node.Status().Error != "" }, "none is left")
	assert.True(t, node.core.drains("a"))
	f.recordDrain("s/b")
	f.startReplicaAt(first.address, nil)
	f.eventually(func() bool { return node.core.drains("b") && node.Status().Error == "" }, "notified by the first again")
}

// A replica that hangs, with its connections open, is left for another one.
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
	f.eventually(func() bool { return node.core.drains("a") }, "notified by the other")
	assert.Less(t, time.Since(begin), 10*time.Second, "what is written is in force everywhere by then")
}

// While the store is unavailable replicas serve their copies and say how old they are: a node that starts meanwhile has
// the record, and drains wait.
func TestNodes_StoreUnavailable(t *testing.T) {
	f := newFixture(t)
	r := f.startReplica()
	f.recordDrain("s/a")
	f.write(record.KindRoute, "r", `{"toml":"x"}`)
	before := f.startNode("before", throughReplicas(r.address))
	f.eventually(func() bool { return len(before.Entries(record.KindRoute)) == 1 }, "the replica has read the record")
	f.postgres.Refuse(true)
	f.postgres.Cut()
	f.eventually(func() bool { return r.Status().Error != "" }, "the replica has noticed")

	node := f.startNode("during", throughReplicas(r.address), "a", "b")
	assert.True(t, node.core.drains("a"), "from the replica's copy")
	assert.Len(t, node.Entries(record.KindRoute), 1)
	node.drain("b")
	assert.True(t, node.core.drains("b"), "in force before it is recorded")
	f.eventually(func() bool { return node.Status().SecondsSinceContact > 0.3 }, "the copy's age grows")

	f.postgres.Refuse(false)
	f.eventually(func() bool { return f.isRecorded(record.KindDrain, "s/b") }, "recorded when the store is back")
	f.eventually(func() bool {
		status := node.Status()
		recovered := status.Error == "" && r.Status().Error == ""
		return recovered && status.Pending == 0 && status.SecondsSinceContact < 5
	}, "recovered")
}

// When regions lose each other the replica on the far side is behind. A node that comes to it from another one must not
// be taken back, nor by an import that the far replica has not learned of.
func TestNodes_ReplicaIsBehind(t *testing.T) {
	for _, imported := range []bool{false, true} {
		t.Run(fmt.Sprintf("imported=%t", imported), func(t *testing.T) {
			f := newFixture(t)
			near, far := f.startReplica(), f.startReplica()
			f.write(record.KindRoute, "r", `{"toml":"first"}`)
			f.eventually(func() bool {
				return near.Status().Revision == 1 && far.Status().Revision == 1
			}, "both have it")
			node := f.startNode("n", throughReplicas(near.address, far.address))
			far.upstream.detached.Store(true)
			f.eventually(func() bool { return far.Status().Error != "" }, "the far one has lost the store")
			if imported {
				f.importRoute("r", `{"toml":"second"}`)
			} else {
				f.write(record.KindRoute, "r", `{"toml":"second"}`)
			}
			hasSecond := func() bool {
				entries := node.Entries(record.KindRoute)
				return len(entries) == 1 && string(entries[0].Value) == `{"toml":"second"}`
			}
			f.eventually(hasSecond, "the near one notifies")
			near.stop()
			f.eventually(func() bool { return node.Status().Error != "" }, "the far one rejects the node")
			assert.Contains(t, node.Status().Error, "no controller serves the record")
			assert.True(t, hasSecond())
			assert.Zero(t, far.Status().Watchers)
			far.upstream.detached.Store(false)
			f.eventually(func() bool {
				return node.Status().Error == "" && far.Status().Watchers == 1
			}, "the far one has the store again")
			assert.True(t, hasSecond())
		})
	}
}

// importRoute replaces the record by one in which its only entry, a route, has another value.
func (f *fixture) importRoute(name, value string) {
	page, err := f.database.Since(f.t.Context(), 0, 100)
	require.NoError(f.t, err)
	require.Len(f.t, page.Entries, 1)
	require.Equal(f.t, name, page.Entries[0].Name)
	page.Entries[0].Value = json.RawMessage(value)
	_, err = f.database.Replace(f.t.Context(), page.Entries)
	require.NoError(f.t, err)
}

// Nodes are notified of a store that was restored from a backup as if they read it themselves: they write drains again.
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
	}, "the store is followed")
	f.recordDrain("s/b")
	f.eventually(func() bool { return node.core.drains("b") }, "and what comes after arrives")
}

// restoredStore is restored from a backup behind its first drain, unseen: the next revision it assigns is one that it
// has assigned before.
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

// A store that is restored between a drain and what the node writes next assigns the drain's revision to something
// else: the drain is written again all the same.
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
	config.FreshnessTimeout = 100 * time.Millisecond // the node's call ends in time
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

// A client without a key of the fleet gets no answer and writes nothing.
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

// The load on the store does not grow with the fleet: connections, commits and notifications are those of the replicas,
// also with four times the nodes.
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
			for i, node := range nodes { // discovery notifies all, each of its replicas with its own list revision
				list := endpointsIn(decide.Draining, "a")
				list[0].Revision = int64(1000 * (i%3 + 1))
				go node.subscription.UpdateEndpoints(list, false)
			}
			f.recordDrain("s/b")
			f.eventually(func() bool {
				return all(func(node *testNode) bool { return node.core.drains("a", "b") }) && all(hasNothingPending)
			}, "all are notified")
			for _, r := range replicas {
				assert.Equal(t, nodeCount/replicaCount, r.Status().Watchers)
			}
			after := f.postgres.Counts()
			if nodeCount == 24 { // a connection that was given up counts until the server has noticed
				assert.Less(t, after.MaxConnections, nodeCount, "less than one connection a node")
			}
			f.eventually(func() bool {
				return f.postgres.Counts().Connections <= 3*replicaCount+2
			}, "three connections a replica, and the test's two")
			assert.LessOrEqual(t, after.Commits-before.Commits, 3, "the operator's, and the fleet's once or twice")
			assert.LessOrEqual(t, after.Notices-before.Notices, 9, "each replica is notified of each")
		})
	}
}
