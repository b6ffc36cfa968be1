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

	"github.com/stretchr/testify/assert"
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

// place is a store of record, replicas that relay it, and nodes.
type place struct {
	t  *testing.T
	pg *pgstand.Server
	db store.Database // people's way to it
}

func newPlace(t *testing.T) *place {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	pg, err := pgstand.Start("127.0.0.1:0", filepath.Join(t.TempDir(), "rows"))
	require.NoError(t, err)
	t.Cleanup(pg.Stop)
	db, err := sqlstore.Open(pg.Address())
	require.NoError(t, err)
	t.Cleanup(func() { db.Close() })
	_, err = db.Init(t.Context(), false)
	require.NoError(t, err)
	return &place{t, pg, db}
}

// cuttable is a store that can be cut off for one replica alone.
type cuttable struct {
	store.Store
	away atomic.Bool
}

var errAway = errors.New("cut off")

func (c *cuttable) Meta(ctx context.Context) (record.Meta, error) {
	if c.away.Load() {
		return record.Meta{}, errAway
	}
	return c.Store.Meta(ctx)
}

func (c *cuttable) Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	if c.away.Load() {
		return nil, record.Meta{}, errAway
	}
	return c.Store.Write(ctx, epoch, changes)
}

type relayed struct {
	*Server
	up   *cuttable
	addr string
	stop func()
}

// relay starts one; addr is where nodes call, "": a new one.
func (p *place) relay(addr string, ring *keys.Ring) *relayed {
	up, err := sqlstore.OpenExisting(p.pg.Address())
	require.NoError(p.t, err)
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	require.NoError(p.t, err)
	x := &relayed{up: &cuttable{Store: up}, addr: ln.Addr().String()}
	if ring != nil {
		ln = tls.NewListener(ln, ring.Server())
	}
	c := DefaultConfig()
	c.PollInterval, c.CallTimeout, c.BatchDelay, c.HeartbeatInterval, c.FreshnessTimeout = 50*time.Millisecond, 300*time.Millisecond, 5*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond
	x.Server = New(x.up, c, zap.NewNop())
	ctx, end := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { x.Run(ctx) })
	all.Go(func() { store.ServeWithLimits(ctx, ln, x.Server, ClientLimits(100)) })
	x.stop = sync.OnceFunc(func() { end(); all.Wait(); up.Close() })
	p.t.Cleanup(x.stop)
	return x
}

// core notes what it was told last.
type core struct {
	mu    sync.Mutex
	state map[string]decide.State
}

func (c *core) UpdateEndpoints(entries []node.Endpoint, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = map[string]decide.State{}
	for _, e := range entries {
		c.state[e.ID] = e.State
	}
}
func (c *core) EndpointWatchFailed(node.WatchFailure) {}

func (c *core) drained(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state[id] == decide.Draining
}

func (p *place) node(name string, open func() (store.Store, error)) *recordcache.Cache {
	k, err := recordcache.Open(p.t.Context(), recordcache.Config{Name: name, Store: "test", Open: open, Snapshot: filepath.Join(p.t.TempDir(), "snap"), MaxPending: 100, CallTimeout: time.Second,
		PollInterval: 50 * time.Millisecond, MaxStaleness: time.Hour}, zap.NewNop())
	require.NoError(p.t, err)
	p.t.Cleanup(sync.OnceFunc(k.Close))
	return k
}

func through(addrs ...string) func() (store.Store, error) {
	return func() (store.Store, error) { return store.DialControllers(addrs, nil), nil }
}

func (p *place) direct() func() (store.Store, error) {
	return func() (store.Store, error) { return sqlstore.OpenExisting(p.pg.Address()) }
}

func list(phase decide.State, ids ...string) (out []node.Endpoint) {
	for _, id := range ids {
		out = append(out, node.Endpoint{ID: id, Addr: "10.0.0.1:80", State: phase, Weight: 1, StartedAt: time.UnixMilli(1000)})
	}
	return out
}

func (p *place) write(kind record.Kind, name string, value string) int64 {
	p.t.Helper()
	m, err := p.db.Meta(p.t.Context())
	require.NoError(p.t, err)
	facts, _, err := p.db.Write(p.t.Context(), m.Epoch, []record.Change{{Key: record.Key{Kind: kind, Name: name}, ExpectedRevision: record.AnyRevision, Writer: "op", IdempotencyKey: fmt.Sprint(time.Now().UnixNano()),
		Value: json.RawMessage(value)}})
	require.NoError(p.t, err)
	return facts[0].Revision
}

func (p *place) recorded(kind record.Kind, name string) bool {
	s, err := p.db.Since(p.t.Context(), 0, 1000)
	if err != nil {
		return false
	}
	for _, f := range s.Entries {
		if f.Kind == kind && f.Name == name && !f.Deleted {
			return true
		}
	}
	return false
}

func (p *place) becomes(what string, is func() bool) {
	p.t.Helper()
	require.Eventually(p.t, is, 20*time.Second, 2*time.Millisecond, what)
}

// An upgrade: old nodes read the store themselves, new ones through replicas, and a new one stands before a controller that is not new yet. What one writes the others have.
func TestOldAndNewNodesAndControllersHaveOneRecord(t *testing.T) {
	p := newPlace(t)
	r := p.relay("", nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the new node's controller is an old one: nothing listens there yet
	require.NoError(t, err)
	later := ln.Addr().String()
	ln.Close()
	cores := map[string]*core{}
	all := map[string]*recordcache.Cache{"old": p.node("old", p.direct()), "new": p.node("new", through(r.addr)), "early": p.node("early", through(later))}
	sinks := map[string]*recordcache.Subscription{}
	for name, k := range all {
		cores[name] = &core{}
		sinks[name] = k.Subscribe("s", cores[name])
		sinks[name].UpdateEndpoints(list(decide.Ready, "a", "b", "c", "d"), true)
	}
	p.write(record.KindDrain, "s/a", `{"start_ms":0,"since_ms":1,"by":"op"}`)
	for _, name := range []string{"old", "new"} {
		p.becomes(name+" hears an operator", func() bool { return cores[name].drained("a") })
	}
	sinks["new"].UpdateEndpoints(list(decide.Draining, "b"), false)
	p.becomes("the old one hears what the new one was told", func() bool { return cores["old"].drained("b") })
	sinks["old"].UpdateEndpoints(list(decide.Draining, "c"), false)
	p.becomes("and the other way", func() bool { return cores["new"].drained("c") })
	assert.Contains(t, all["early"].Status().Error, later, "what it waits for is named")
	sinks["early"].UpdateEndpoints(list(decide.Draining, "d"), false)
	assert.True(t, cores["early"].drained("d"), "in force at once, whoever listens")
	p.relay(later, nil) // its controller is new
	for name, c := range cores {
		p.becomes(name, func() bool { return c.drained("a") && c.drained("b") && c.drained("c") && c.drained("d") })
	}
	p.becomes("nothing waits", func() bool {
		s := all["early"].Status()
		return s.Pending == 0 && s.SyncState == "follows" && s.Error == ""
	})
}

// A replica ends, by itself or with all: nodes are at another soon, and in the meantime have what they had.
func TestAReplicaThatEndsCostsNoNodeItsRecord(t *testing.T) {
	p := newPlace(t)
	one, two := p.relay("", nil), p.relay("", nil)
	k, c := p.node("n", through(one.addr, two.addr)), &core{}
	k.Subscribe("s", c).UpdateEndpoints(list(decide.Ready, "a", "b", "d"), true)
	p.becomes("at the first", func() bool { return one.Status().Nodes == 1 })
	one.stop()
	p.write(record.KindDrain, "s/a", `{"start_ms":0,"since_ms":1,"by":"op"}`)
	p.becomes("told by the second", func() bool { return c.drained("a") && two.Status().Nodes == 1 })
	two.stop()
	p.becomes("none is left", func() bool { return k.Status().Error != "" })
	assert.True(t, c.drained("a"))
	p.write(record.KindDrain, "s/b", `{"start_ms":0,"since_ms":1,"by":"op"}`)
	p.relay(one.addr, nil)
	p.becomes("told by the first again", func() bool { return c.drained("b") && k.Status().Error == "" })
}

// A replica that hangs, with its connections open, is left for another.
func TestAReplicaThatFellMuteIsLeft(t *testing.T) {
	p := newPlace(t)
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { mute.Close() })
	go func() {
		for {
			c, err := mute.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
	}()
	good := p.relay("", nil)
	c := &core{}
	p.node("n", through(mute.Addr().String(), good.addr)).Subscribe("s", c).UpdateEndpoints(list(decide.Ready, "a"), true)
	begun := time.Now()
	p.write(record.KindDrain, "s/a", `{"start_ms":0,"since_ms":1,"by":"op"}`)
	p.becomes("told by the other", func() bool { return c.drained("a") })
	assert.Less(t, time.Since(begun), 10*time.Second, "what is written is in force everywhere by then")
}

// The store goes away: replicas go on with their copies and say how old they are, a node that starts meanwhile has the record, and drains wait.
func TestAReplicaServesItsCopyWhileTheStoreIsAway(t *testing.T) {
	p := newPlace(t)
	r := p.relay("", nil)
	p.write(record.KindDrain, "s/a", `{"start_ms":0,"since_ms":1,"by":"op"}`)
	p.write(record.KindRoute, "r", `{"toml":"x"}`)
	old := p.node("old", through(r.addr))
	p.becomes("heard", func() bool { return len(old.Entries(record.KindRoute)) == 1 })
	p.pg.Refuse(true)
	p.pg.Cut()
	p.becomes("the replica says so", func() bool { return r.Status().Error != "" })
	fresh, c := p.node("fresh", through(r.addr)), &core{}
	sink := fresh.Subscribe("s", c)
	sink.UpdateEndpoints(list(decide.Ready, "a", "b"), true)
	assert.True(t, c.drained("a"), "known from the replica's copy")
	assert.Len(t, fresh.Entries(record.KindRoute), 1)
	sink.UpdateEndpoints(list(decide.Draining, "b"), false)
	assert.True(t, c.drained("b"), "in force before it is recorded")
	p.becomes("its word grows old", func() bool { return fresh.Status().SecondsSinceContact > 0.3 })
	p.pg.Refuse(false)
	p.becomes("recorded when the store is back", func() bool { return p.recorded(record.KindDrain, "s/b") })
	p.becomes("all is well", func() bool {
		s := fresh.Status()
		return s.Error == "" && s.Pending == 0 && s.SecondsSinceContact < 5 && r.Status().Error == ""
	})
}

// Regions lose each other: the replica on the far side is behind. A node that comes to it from another must not be taken back, nor by an import that it has not heard of.
func TestANodeIsNotTakenBackByAReplicaThatIsBehind(t *testing.T) {
	for _, imported := range []bool{false, true} {
		t.Run(fmt.Sprint("imported ", imported), func(t *testing.T) {
			p := newPlace(t)
			near, far := p.relay("", nil), p.relay("", nil)
			p.write(record.KindRoute, "r", `{"toml":"first"}`)
			p.becomes("both have it", func() bool { return near.Status().Revision == 1 && far.Status().Revision == 1 })
			k := p.node("n", through(near.addr, far.addr))
			far.up.away.Store(true)
			p.becomes("cut off", func() bool { return far.Status().Error != "" })
			if imported {
				page, err := p.db.Since(t.Context(), 0, 100)
				require.NoError(t, err)
				page.Entries[0].Value = json.RawMessage(`{"toml":"second"}`)
				_, err = p.db.Replace(t.Context(), page.Entries)
				require.NoError(t, err)
			} else {
				p.write(record.KindRoute, "r", `{"toml":"second"}`)
			}
			is := func(want string) bool {
				f := k.Entries(record.KindRoute)
				return len(f) == 1 && string(f[0].Value) == `{"toml":"`+want+`"}`
			}
			p.becomes("the near one tells it", func() bool { return is("second") })
			near.stop()
			p.becomes("the far one says that it is behind", func() bool { return k.Status().Error != "" })
			assert.Contains(t, k.Status().Error, "no controller tells the record")
			assert.True(t, is("second"))
			assert.Zero(t, far.Status().Nodes)
			far.up.away.Store(false)
			p.becomes("together again", func() bool { return k.Status().Error == "" && far.Status().Nodes == 1 })
			assert.True(t, is("second"))
		})
	}
}

// A store that really went back to a backup is told as one that is read directly would be: drains are written again.
func TestABackupLosesNoDrainThroughAReplica(t *testing.T) {
	p := newPlace(t)
	r := p.relay("", nil)
	k, c := p.node("n", through(r.addr)), &core{}
	sink := k.Subscribe("s", c)
	sink.UpdateEndpoints(list(decide.Ready, "a", "b"), true)
	p.becomes("recorded", func() bool { return k.Status().Pending == 0 && p.recorded(record.KindServer, "s/a") })
	backup := filepath.Join(t.TempDir(), "backup")
	require.NoError(t, p.pg.Backup(backup))
	sink.UpdateEndpoints(list(decide.Draining, "a"), false)
	p.becomes("recorded", func() bool { return p.recorded(record.KindDrain, "s/a") })
	require.NoError(t, p.pg.Restore(backup))
	p.becomes("written again", func() bool { return p.recorded(record.KindDrain, "s/a") })
	assert.True(t, c.drained("a"))
	p.becomes("followed", func() bool { return k.Status().SyncState == "follows" && k.Status().Pending == 0 })
	p.write(record.KindDrain, "s/b", `{"start_ms":0,"since_ms":1,"by":"op"}`)
	p.becomes("and what comes after arrives", func() bool { return c.drained("b") })
}

// restored is a store that goes back to a backup behind its first write, unseen: the next number given is one that was given before.
type restored struct {
	store.Store
	once sync.Once
	back func()
}

func (r *restored) Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	facts, m, err := r.Store.Write(ctx, epoch, changes)
	if err == nil && changes[0].Kind == record.KindDrain {
		r.once.Do(r.back)
	}
	return facts, m, err
}

// Restored between a drain and what the node writes next, the store has the same number again for something else: the drain is written again all the same.
func TestANumberGivenTwiceHidesNoLostDrain(t *testing.T) {
	p := newPlace(t)
	backup := filepath.Join(t.TempDir(), "backup")
	up := &restored{Store: p.db, back: func() { assert.NoError(t, p.pg.Restore(backup)) }}
	c := DefaultConfig()
	c.PollInterval, c.BatchDelay, c.FreshnessTimeout = 50*time.Millisecond, time.Millisecond, 100*time.Millisecond // the node's call ends well in its time
	r := New(up, c, zap.NewNop())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, end := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { r.Run(ctx) })
	run.Go(func() { store.ServeWithLimits(ctx, ln, r, ClientLimits(9)) })
	t.Cleanup(func() { end(); run.Wait() })
	k, is := p.node("n", through(ln.Addr().String())), &core{}
	sink := k.Subscribe("s", is)
	sink.UpdateEndpoints(list(decide.Ready, "a"), true)
	p.becomes("recorded", func() bool { return k.Status().Pending == 0 && p.recorded(record.KindServer, "s/a") })
	require.NoError(t, p.pg.Backup(backup))
	sink.UpdateEndpoints(list(decide.Draining, "a"), false) // a drain, and then a sighting
	p.becomes("both are there", func() bool { return k.Status().Pending == 0 && p.recorded(record.KindDrain, "s/a") })
	assert.True(t, is.drained("a"))
}

// held keeps each write until it is let go.
type held struct {
	store.Store
	came chan struct{}
	free chan struct{}
	n    atomic.Int64
}

func (h *held) Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	h.n.Add(1)
	h.came <- struct{}{}
	<-h.free
	return h.Store.Write(ctx, epoch, changes)
}

// All nodes write the same in one moment: the store is asked once, and each has its answer. One change that is refused costs no other.
func TestManyNodesWritesAreOne(t *testing.T) {
	p := newPlace(t)
	up := &held{Store: p.db, came: make(chan struct{}, 100), free: make(chan struct{})}
	c := DefaultConfig()
	c.BatchDelay = time.Millisecond
	r := New(up, c, zap.NewNop())
	ctx, end := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { r.Run(ctx) })
	t.Cleanup(func() { end(); run.Wait() })
	p.becomes("read", func() bool { _, err := r.Meta(ctx); return err == nil })
	m, _ := r.Meta(ctx)
	change := func(name, phase string, start, mark int) record.Change {
		return record.Change{Key: record.Key{Kind: record.KindServer, Name: name}, ExpectedRevision: record.AnyRevision, Writer: fmt.Sprint("n", mark), IdempotencyKey: fmt.Sprint(name, phase, start, mark),
			Value: json.RawMessage(fmt.Sprintf(`{"addr":"10.0.0.1:80","phase":%q,"start_ms":%d,"listed":%d}`, phase, start, mark))}
	}
	var all sync.WaitGroup
	write := func(changes ...record.Change) (*record.Entry, *error) {
		fact, err := new(record.Entry), new(error)
		all.Go(func() {
			var f []record.Entry
			if f, _, *err = r.Write(ctx, m.Epoch, changes); *err == nil {
				*fact = f[0]
			}
		})
		return fact, err
	}
	first, _ := write(change("s/a", "draining", 5, 0))
	<-up.came // the first is on its way, and is held
	var facts []*record.Entry
	var errs []*error
	for i := 1; i < 50; i++ {
		f, err := write(change("s/a", "draining", 5, i))
		facts, errs = append(facts, f), append(errs, err)
	}
	p.becomes("merged", func() bool { return r.Status().Merged == 49 })
	close(up.free)
	all.Wait()
	for i := range facts {
		assert.NoError(t, *errs[i])
		assert.Equal(t, first.Revision, facts[i].Revision)
	}
	assert.EqualValues(t, 1, up.n.Load(), "one write for fifty nodes")

	up.free = make(chan struct{})
	_, _ = write(change("s/hold", "ready", 1, 0))
	<-up.came
	_, stale := write(change("s/a", "ready", 4, 0)) // an older process than is recorded
	good, fine := write(change("s/b", "ready", 1, 0))
	p.becomes("both asked", func() bool { s := r.Status(); return s.Pending+s.Answered >= 2 })
	close(up.free)
	all.Wait()
	var is *record.StaleError
	assert.ErrorAs(t, *stale, &is)
	assert.NoError(t, *fine)
	assert.NotZero(t, good.Revision)
	_, _, err := r.Write(ctx, m.Epoch, []record.Change{{Key: record.Key{Kind: record.KindRoute, Name: "r"}, ExpectedRevision: record.AnyRevision, IdempotencyKey: "m", Value: json.RawMessage(`{}`)}})
	assert.ErrorContains(t, err, "and nothing else")
	gone, stop := context.WithCancel(ctx)
	stop()
	_, _, err = r.Write(gone, m.Epoch, []record.Change{change("s/c", "ready", 1, 0)})
	assert.ErrorIs(t, err, store.ErrOutcomeUnknown, "who does not wait does not know")
	_, _, err = r.Write(ctx, "other", []record.Change{change("s/d", "ready", 1, 0)})
	assert.ErrorIs(t, err, record.ErrEpochMismatch)
}

// far is a store to which each change takes a while, as over a long way.
type far struct {
	store.Store
	each time.Duration
}

func (f *far) Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	select {
	case <-ctx.Done():
		return nil, record.Meta{}, ctx.Err()
	case <-time.After(time.Duration(len(changes)) * f.each):
	}
	return f.Store.Write(ctx, epoch, changes)
}

// More waits than a far store can take in one call's time: it is written in smaller parts, drains before it.
func TestAFarStoreIsWrittenInSmallerParts(t *testing.T) {
	p := newPlace(t)
	c := DefaultConfig()
	c.BatchDelay, c.CallTimeout = time.Millisecond, 400*time.Millisecond
	r := New(&far{p.db, 20 * time.Millisecond}, c, zap.NewNop())
	ctx, end := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { r.Run(ctx) })
	t.Cleanup(func() { end(); run.Wait() })
	p.becomes("read", func() bool { _, err := r.Meta(ctx); return err == nil })
	m, _ := r.Meta(ctx)
	var changes []record.Change
	for i := range 100 { // two seconds of them
		changes = append(changes, record.Change{Key: record.Key{Kind: record.KindServer, Name: fmt.Sprint("s/", i)}, ExpectedRevision: record.AnyRevision, Writer: "n", IdempotencyKey: fmt.Sprint("m", i),
			Value: json.RawMessage(`{"addr":"10.0.0.1:80","phase":"ready","start_ms":5,"listed":1}`)})
	}
	var all sync.WaitGroup
	all.Go(func() { // as a node does: again until all of it is there
		for ctx.Err() == nil {
			if _, _, err := r.Write(ctx, m.Epoch, changes); err == nil {
				return
			}
		}
	})
	p.becomes("the first part is tried", func() bool { return r.Status().Pending > 0 || r.Status().Written > 0 })
	_, _, err := r.Write(ctx, m.Epoch, []record.Change{{Key: record.Key{Kind: record.KindDrain, Name: "s/1"}, ExpectedRevision: record.AnyRevision, Writer: "n", IdempotencyKey: "d", Value: json.RawMessage(`{"start_ms":5,"since_ms":1,"by":"discovery"}`)}})
	assert.NoError(t, err)
	all.Wait()
	assert.True(t, p.recorded(record.KindServer, "s/99"))
}

// With keys, who shows none is told nothing and writes nothing.
func TestKeysAreAskedOfNodes(t *testing.T) {
	p := newPlace(t)
	dir := t.TempDir()
	require.NoError(t, keys.Make(dir, []string{"controller", "node"}, nil, time.Hour))
	require.NoError(t, keys.Make(filepath.Join(dir, "other"), []string{"node"}, nil, time.Hour))
	ring := func(dir, name string) *keys.Ring {
		r, err := keys.Open(keys.Files{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.pem")}, zap.NewNop())
		require.NoError(t, err)
		return r
	}
	r := p.relay("", ring(dir, "controller"))
	try := func(secure func(string) *tls.Config) (record.Meta, error) {
		s := store.DialControllers([]string{r.addr}, secure)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		return s.Meta(ctx)
	}
	m, err := try(ring(dir, "node").Client)
	require.NoError(t, err)
	assert.NotEmpty(t, m.Epoch)
	_, err = try(nil)
	assert.Error(t, err)
	_, err = try(ring(filepath.Join(dir, "other"), "node").Client)
	assert.ErrorContains(t, err, "keys")
	assert.Zero(t, r.Status().Nodes)
}

// What the store is asked does not grow with the fleet: connections, commits and notifications are those of the replicas, at four times the nodes, too.
func TestTheStoreIsAskedByReplicasAndNotByNodes(t *testing.T) {
	for _, n := range []int{6, 24} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			p := newPlace(t)
			var addrs []string
			var replicas []*relayed
			for range 3 {
				r := p.relay("", nil)
				addrs, replicas = append(addrs, r.addr), append(replicas, r)
			}
			var cores []*core
			var sinks []*recordcache.Subscription
			var nodes []*recordcache.Cache
			for i := range n {
				c := &core{}
				k := p.node(fmt.Sprint("n", i), through(addrs[i%3], addrs[(i+1)%3]))
				s := k.Subscribe("s", c)
				s.UpdateEndpoints(list(decide.Ready, "a", "b", "c"), true)
				nodes, cores, sinks = append(nodes, k), append(cores, c), append(sinks, s)
			}
			settled := func() bool {
				for _, k := range nodes {
					if k.Status().Pending > 0 {
						return false
					}
				}
				return true
			}
			p.becomes("the first list is written", settled)
			before := p.pg.Counts()
			for i, s := range sinks { // a drain that discovery tells all of, each replica of it with its own numbers
				e := list(decide.Draining, "a")
				e[0].Revision = int64(1000 * (i%3 + 1))
				go s.UpdateEndpoints(e, false)
			}
			p.write(record.KindDrain, "s/b", `{"start_ms":0,"since_ms":1,"by":"op"}`)
			p.becomes("told to all", func() bool {
				for _, c := range cores {
					if !c.drained("a") || !c.drained("b") {
						return false
					}
				}
				return settled()
			})
			for _, r := range replicas {
				assert.Equal(t, n/3, r.Status().Nodes)
			}
			c := p.pg.Counts()
			if n == 24 { // a connection that was given up counts until the server has noticed, so that there may be some more for a moment
				assert.Less(t, c.Most, n, "less than one a node")
			}
			p.becomes("three a replica, and people's two", func() bool { return p.pg.Counts().Connections <= 3*3+2 })
			assert.LessOrEqual(t, c.Commits-before.Commits, 3, "the operator's, and the fleet's once or twice")
			assert.LessOrEqual(t, c.Notices-before.Notices, 9, "each replica hears of each")
		})
	}
}
