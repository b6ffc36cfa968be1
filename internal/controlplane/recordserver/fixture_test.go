package recordserver

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/core/node"
	"robincart/internal/lab/pgstand"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
	"robincart/internal/system/keys"
)

const (
	eventTimeout = 20 * time.Second
	eventPoll    = 2 * time.Millisecond
)

// fixture is a stand-in for PostgreSQL with an empty record. Replicas and nodes are started from it.
type fixture struct {
	t        *testing.T
	postgres *pgstand.Server
	database store.Database // as operators use it
}

func newFixture(t *testing.T) *fixture {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	postgres, err := pgstand.Start("127.0.0.1:0", filepath.Join(t.TempDir(), "rows"))
	require.NoError(t, err)
	t.Cleanup(postgres.Stop)
	database, err := sqlstore.Open(postgres.Address())
	require.NoError(t, err)
	t.Cleanup(func() { database.Close() })
	_, err = database.Init(t.Context(), false)
	require.NoError(t, err)
	return &fixture{t: t, postgres: postgres, database: database}
}

// eventually waits for a condition.
func (f *fixture) eventually(condition func() bool, message string) {
	f.t.Helper()
	require.Eventually(f.t, condition, eventTimeout, eventPoll, message)
}

// detachableStore is a store that can be made unreachable for one replica alone.
type detachableStore struct {
	store.Store
	detached atomic.Bool
}

var errDetached = errors.New("detached")

func (s *detachableStore) Meta(ctx context.Context) (record.Meta, error) {
	if s.detached.Load() {
		return record.Meta{}, errDetached
	}
	return s.Store.Meta(ctx)
}

func (s *detachableStore) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	if s.detached.Load() {
		return nil, record.Meta{}, errDetached
	}
	return s.Store.Write(ctx, epoch, changes)
}

// testReplica is a server on a listener.
type testReplica struct {
	*Server
	upstream *detachableStore
	address  string
	stop     func()
}

// startReplica starts a replica on a port of its own.
func (f *fixture) startReplica() *testReplica { return f.startReplicaAt("127.0.0.1:0", nil) }

// startReplicaAt starts a replica at an address, with TLS if it is given keys.
func (f *fixture) startReplicaAt(address string, ring *keys.Ring) *testReplica {
	database, err := sqlstore.OpenExisting(f.postgres.Address())
	require.NoError(f.t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(f.t, err)
	r := &testReplica{upstream: &detachableStore{Store: database}, address: listener.Addr().String()}
	if ring != nil {
		listener = tls.NewListener(listener, ring.Server())
	}
	config := DefaultConfig()
	config.PollInterval = 50 * time.Millisecond
	config.CallTimeout = 300 * time.Millisecond
	config.BatchDelay = 5 * time.Millisecond
	config.HeartbeatInterval = 100 * time.Millisecond
	config.FreshnessTimeout = 500 * time.Millisecond
	r.Server = New(r.upstream, config, zap.NewNop())
	stopServer := serve(r.Server, listener, 100)
	r.stop = sync.OnceFunc(func() {
		stopServer()
		database.Close()
	})
	f.t.Cleanup(r.stop)
	return r
}

// serve runs a server on a listener. It returns a function that stops it.
func serve(server *Server, listener net.Listener, maxClients int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { server.Run(ctx) })
	goroutines.Go(func() { store.ServeWithLimits(ctx, listener, server, ClientLimits(maxClients)) })
	return func() {
		cancel()
		goroutines.Wait()
	}
}

// run runs a server without a listener until the test ends, and returns the record's epoch once it was read.
func (f *fixture) run(server *Server) string {
	ctx, cancel := context.WithCancel(f.t.Context())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { server.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		goroutines.Wait()
	})
	var meta record.Meta
	f.eventually(func() bool {
		var err error
		meta, err = server.Meta(ctx)
		return err == nil
	}, "the record was read")
	return meta.Epoch
}

// fakeCore notes the list that was published last.
type fakeCore struct {
	mu     sync.Mutex
	states map[string]decide.State
}

func (c *fakeCore) UpdateEndpoints(list []node.Endpoint, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states = map[string]decide.State{}
	for _, endpoint := range list {
		c.states[endpoint.ID] = endpoint.State
	}
}

func (c *fakeCore) EndpointWatchFailed(node.WatchFailure) {}

// drains reports whether all of some servers are draining.
func (c *fakeCore) drains(ids ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if c.states[id] != decide.Draining {
			return false
		}
	}
	return true
}

// testNode is a node's cache with one service.
type testNode struct {
	*recordcache.Cache
	core         *fakeCore
	subscription *recordcache.Subscription
}

// startNode starts a node with a list of ready servers.
func (f *fixture) startNode(name string, open func() (store.Store, error), servers ...string) *testNode {
	cache, err := recordcache.Open(f.t.Context(), recordcache.Config{
		Name:         name,
		Store:        "test",
		Open:         open,
		Snapshot:     filepath.Join(f.t.TempDir(), "snap"),
		MaxPending:   100,
		CallTimeout:  time.Second,
		PollInterval: 50 * time.Millisecond,
		MaxStaleness: time.Hour,
	}, zap.NewNop())
	require.NoError(f.t, err)
	f.t.Cleanup(cache.Close)
	n := &testNode{Cache: cache, core: &fakeCore{}}
	n.subscription = cache.Subscribe("s", n.core)
	if len(servers) > 0 {
		n.subscription.UpdateEndpoints(endpointsIn(decide.Ready, servers...), true)
	}
	return n
}

// drain notifies a node of draining servers, as its discovery does.
func (n *testNode) drain(ids ...string) {
	n.subscription.UpdateEndpoints(endpointsIn(decide.Draining, ids...), false)
}

// isSettled reports whether a node follows the record and has nothing to write.
func (n *testNode) isSettled() bool {
	status := n.Status()
	return status.Error == "" && status.Pending == 0 && status.SyncState == "follows"
}

// throughReplicas opens a node's store through replicas.
func throughReplicas(addresses ...string) func() (store.Store, error) {
	return func() (store.Store, error) { return store.DialControllers(addresses, nil), nil }
}

// directly opens a node's store without a replica.
func (f *fixture) directly() (store.Store, error) { return sqlstore.OpenExisting(f.postgres.Address()) }

func endpointsIn(state decide.State, ids ...string) []node.Endpoint {
	var list []node.Endpoint
	for _, id := range ids {
		list = append(list, node.Endpoint{
			ID:        id,
			Addr:      "10.0.0.1:80",
			State:     state,
			Weight:    1,
			StartedAt: time.UnixMilli(1000),
		})
	}
	return list
}

// write writes an entry as an operator does.
func (f *fixture) write(kind record.Kind, name, value string) {
	f.t.Helper()
	meta, err := f.database.Meta(f.t.Context())
	require.NoError(f.t, err)
	_, _, err = f.database.Write(f.t.Context(), meta.Epoch, []record.Change{{
		Key:              record.Key{Kind: kind, Name: name},
		ExpectedRevision: record.AnyRevision,
		Writer:           "op",
		IdempotencyKey:   fmt.Sprint(time.Now().UnixNano()),
		Value:            json.RawMessage(value),
	}})
	require.NoError(f.t, err)
}

// recordDrain records a drain of any process under a name, as an operator does.
func (f *fixture) recordDrain(name string) {
	f.t.Helper()
	f.write(record.KindDrain, name, `{"start_ms":0,"since_ms":1,"by":"op"}`)
}

// isRecorded reports whether the store has an entry.
func (f *fixture) isRecorded(kind record.Kind, name string) bool {
	page, err := f.database.Since(f.t.Context(), 0, 1000)
	if err != nil {
		return false
	}
	for _, entry := range page.Entries {
		if entry.Kind == kind && entry.Name == name && !entry.Deleted {
			return true
		}
	}
	return false
}
