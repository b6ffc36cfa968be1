package recordcache

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/lab/pgstand"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// Each cut of a snapshot's writing, and each altered byte: what is read is the old one, the new one, or nothing.
func TestASnapshotIsReadWholeOrSetAside(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snap")
	fact := func(name string) record.Entry {
		return record.Entry{Key: record.Key{Kind: record.KindRoute, Name: name}, Revision: 7, Value: json.RawMessage(`{"a":"b"}`)}
	}
	old := record.Snapshot{Meta: record.Meta{Epoch: "e", Revision: 1}, Entries: []record.Entry{fact("a"), fact("b")},
		Drains: map[string]record.Drain{"s/a": {Since: 1, By: "x"}}}
	fresh := old
	fresh.Meta.Revision = 2
	text, err := encode(fresh)
	require.NoError(t, err)
	for cut := range len(text) + 1 { // the machine stops in the middle of the new file
		require.NoError(t, WriteSnapshot(path, old))
		require.NoError(t, os.WriteFile(path+".new", text[:cut], 0o600))
		s, found, err := ReadSnapshot(path)
		require.NoError(t, err)
		assert.True(t, found)
		assert.Equal(t, old, s)
	}
	for cut := range len(text) { // a disk that lost what it had said was there
		require.NoError(t, os.WriteFile(path, text[:cut], 0o600))
		s, found, err := ReadSnapshot(path)
		assert.ErrorIs(t, err, ErrCorruptSnapshot)
		assert.False(t, found)
		assert.Zero(t, s)
		assert.NoFileExists(t, path, "set aside")
		assert.FileExists(t, path+".aside")
	}
	for i := range text {
		bad := append([]byte(nil), text...)
		bad[i] ^= 1
		_, err := decode(bad)
		assert.Error(t, err, "byte %d", i)
	}
	require.NoError(t, WriteSnapshot(path, fresh))
	s, _, err := ReadSnapshot(path)
	assert.NoError(t, err)
	assert.Equal(t, fresh, s)
	_, found, err := ReadSnapshot(path + "none")
	assert.NoError(t, err)
	assert.False(t, found)
	assert.Error(t, WriteSnapshot(filepath.Join(path, "below a file"), fresh))
}

// core notes the list it was given last.
type core struct {
	mu    sync.Mutex
	lists int
	state map[string]decide.State
}

func (c *core) UpdateEndpoints(entries []node.Endpoint, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	c.state = map[string]decide.State{}
	for _, e := range entries {
		c.state[e.ID] = e.State
	}
}
func (c *core) EndpointWatchFailed(node.WatchFailure) {}

func (c *core) is(id string) (decide.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.state[id]
	return s, ok
}

func (c *core) becomes(t *testing.T, id string, want decide.State) {
	t.Helper()
	require.Eventually(t, func() bool { s, ok := c.is(id); return ok && s == want }, 20*time.Second, time.Millisecond)
}

type rig struct {
	t *testing.T
	s *pgstand.Server
	c Config
}

func newRig(t *testing.T) *rig {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	s, err := pgstand.Start("127.0.0.1:0", filepath.Join(t.TempDir(), "rows"))
	require.NoError(t, err)
	t.Cleanup(func() { s.Stop() })
	db, err := sqlstore.Open(s.Address())
	require.NoError(t, err)
	defer db.Close()
	_, err = db.Init(t.Context(), false)
	require.NoError(t, err)
	return &rig{t: t, s: s, c: Config{Name: "n1", Store: s.Address(), Open: func() (store.Store, error) { return remote(t, s.Address()), nil }, Snapshot: filepath.Join(t.TempDir(), "snap"), MaxPending: 100, CallTimeout: 300 * time.Millisecond,
		PollInterval: 50 * time.Millisecond, MaxStaleness: time.Hour}}
}

// remote is a store as nodes have it: in another process, here behind a socket of this one.
func remote(t *testing.T, address string) store.Store {
	s, err := sqlstore.Open(address)
	require.NoError(t, err)
	dir, err := os.MkdirTemp("", "robincart")
	require.NoError(t, err)
	ln, err := net.Listen("unix", filepath.Join(dir, "s"))
	require.NoError(t, err)
	ctx, end := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { store.Serve(ctx, ln, s) })
	t.Cleanup(func() {
		end()
		all.Wait()
		s.Close()
		os.RemoveAll(dir)
	})
	return store.Remote(filepath.Join(dir, "s"))
}

func (r *rig) open() *Cache {
	k, err := Open(r.t.Context(), r.c, zap.NewNop())
	require.NoError(r.t, err)
	return k
}

func (r *rig) recorded(name string) bool {
	db, err := sqlstore.Open(r.s.Address())
	require.NoError(r.t, err)
	defer db.Close()
	ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
	defer cancel()
	p, err := db.Since(ctx, 0, 1000)
	if err != nil {
		return false
	}
	for _, f := range p.Entries {
		if f.Kind == record.KindDrain && f.Name == name && !f.Deleted {
			return true
		}
	}
	return false
}

func list(phase decide.State, ids ...string) []node.Endpoint {
	var out []node.Endpoint
	for _, id := range ids {
		out = append(out, node.Endpoint{ID: id, Addr: id + ":1", State: phase, Weight: 1, StartedAt: time.UnixMilli(1000)})
	}
	return out
}

// A store that stalls in the middle of a deploy of every server holds up nobody: each drain is in force at once, and is
// recorded when the store goes on.
func TestAStalledStoreHoldsUpNobody(t *testing.T) {
	r := newRig(t)
	k := r.open()
	defer k.Close()
	c := &core{}
	sink := k.Subscribe("s", c)
	ids := []string{"a", "b", "d", "e", "f"}
	sink.UpdateEndpoints(list(decide.Ready, ids...), true)
	r.s.Stall(true)
	for _, id := range ids {
		sink.UpdateEndpoints(list(decide.Draining, id), false)
		state, _ := c.is(id)
		assert.Equal(t, decide.Draining, state, "in force when the word returns")
	}
	require.Eventually(t, func() bool { return k.Status().Error != "" }, 20*time.Second, time.Millisecond)
	assert.GreaterOrEqual(t, k.Status().Pending, len(ids))
	r.s.Stall(false)
	require.Eventually(t, func() bool { s := k.Status(); return s.Pending == 0 && s.Error == "" && s.SyncState == "follows" }, 20*time.Second, time.Millisecond)
	for _, id := range ids {
		assert.True(t, r.recorded("s/"+id))
	}
}

// Killed between acting and recording, a node has its own snapshot; and between recording and the snapshot, the store.
func TestADrainOutlivesItsNode(t *testing.T) {
	r := newRig(t)
	k := r.open()
	c := &core{}
	sink := k.Subscribe("s", c)
	sink.UpdateEndpoints(list(decide.Ready, "a", "b"), true)
	require.Eventually(t, func() bool { return k.Status().Pending == 0 }, 20*time.Second, time.Millisecond)
	r.s.Refuse(true)
	r.s.Cut()
	k.AddDrain("s/a", record.Drain{Start: 1000, Since: 1, By: "op"})
	c.becomes(t, "a", decide.Draining)
	require.Eventually(t, func() bool {
		s, found, err := LoadSnapshot(r.c.Snapshot)
		return err == nil && found && len(s.Drains) == 1
	}, 20*time.Second, time.Millisecond)
	saved, err := os.ReadFile(r.c.Snapshot)
	require.NoError(t, err)
	k.Close()
	require.NoError(t, os.WriteFile(r.c.Snapshot, saved, 0o600)) // as a kill would have left it

	k = r.open() // the store is still away, and discovery has not spoken
	c = &core{}
	sink = k.Subscribe("s", c)
	c.becomes(t, "a", decide.Draining)
	c.becomes(t, "b", decide.Ready)
	sink.UpdateEndpoints(list(decide.Ready, "a", "b"), true) // an old list
	c.becomes(t, "a", decide.Draining)
	r.s.Refuse(false)
	require.Eventually(t, func() bool { return r.recorded("s/a") }, 20*time.Second, time.Millisecond)
	k.Close()
	require.NoError(t, os.Remove(r.c.Snapshot))

	k = r.open() // nothing but the store
	defer k.Close()
	c = &core{}
	k.Subscribe("s", c)
	c.becomes(t, "a", decide.Draining)
}

// Another's drain arrives without asking, its end too; a store that went back to a backup gets what it lost again.
func TestTheStoresWordArrivesAndABackupLosesNoDrain(t *testing.T) {
	r := newRig(t)
	k, other := r.open(), (*Cache)(nil)
	defer k.Close()
	r.c.Name, r.c.Snapshot = "n2", ""
	other = r.open()
	defer other.Close()
	c, d := &core{}, &core{}
	k.Subscribe("s", c).UpdateEndpoints(list(decide.Ready, "a", "b"), true)
	other.Subscribe("s", d).UpdateEndpoints(list(decide.Ready, "a", "b"), true)
	backup := filepath.Join(t.TempDir(), "backup")
	require.NoError(t, r.s.Backup(backup))
	k.AddDrain("s/a", record.Drain{Since: 1, By: "op"})
	d.becomes(t, "a", decide.Draining)
	require.Eventually(t, func() bool { return r.recorded("s/a") }, 20*time.Second, time.Millisecond)
	require.NoError(t, r.s.Restore(backup))
	require.Eventually(t, func() bool { return r.recorded("s/a") }, 20*time.Second, time.Millisecond, "written again")
	c.becomes(t, "a", decide.Draining)
	d.becomes(t, "a", decide.Draining)
	require.Eventually(t, func() bool { return k.Status().SyncState == "follows" }, 20*time.Second, time.Millisecond)
}

func TestARequiredStoreThatIsNotThereEndsTheStartAndAnotherDoesNot(t *testing.T) {
	c := Config{Name: "n", Store: "sqlite:" + filepath.Join(t.TempDir(), "none"), MaxPending: 9, CallTimeout: time.Second, PollInterval: 50 * time.Millisecond, Required: true}
	c.Open = func() (store.Store, error) { return sqlstore.Open(c.Store) }
	_, err := Open(t.Context(), c, zap.NewNop())
	assert.ErrorIs(t, err, store.ErrNoRecord)
	c.Required = false
	k, err := Open(t.Context(), c, zap.NewNop())
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var served sync.WaitGroup
	served.Go(func() { k.ServeStatus(ln) })
	resp, err := http.Get("http://" + ln.Addr().String() + "/record")
	require.NoError(t, err)
	defer resp.Body.Close()
	var s Status
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&s))
	assert.Contains(t, s.Error, "record init")
	assert.Equal(t, "never reached", s.SyncState)
	db, err := sqlstore.Open(c.Store)
	require.NoError(t, err)
	_, err = db.Init(t.Context(), false) // mended while the node runs
	require.NoError(t, err)
	require.NoError(t, db.Close())
	require.Eventually(t, func() bool { return k.Status().SyncState == "follows" }, 20*time.Second, time.Millisecond)
	ln.Close()
	served.Wait()
	k.Close()
}

func BenchmarkStart(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			dir := b.TempDir()
			db, err := sqlstore.Open("sqlite:" + filepath.Join(dir, "r"))
			require.NoError(b, err)
			ctx := context.Background()
			_, err = db.Init(ctx, false)
			require.NoError(b, err)
			var facts []record.Entry
			for i := range n {
				facts = append(facts, record.Entry{Key: record.Key{Kind: record.KindServer, Name: fmt.Sprintf("s/server-%d", i)}, IdempotencyKey: fmt.Sprint(i),
					Value: []byte(fmt.Sprintf(`{"addr":"10.0.0.1:%d","phase":"ready","start_ms":1000,"listed":1}`, i%60000))})
			}
			_, err = db.Replace(ctx, facts)
			require.NoError(b, err)
			db.Close()
			for _, from := range []string{"store", "snapshot"} {
				b.Run(from, func(b *testing.B) {
					c := Config{Name: "n", Store: "sqlite:" + filepath.Join(dir, "r"), MaxPending: 9, CallTimeout: 60 * time.Second, PollInterval: time.Second, MaxStaleness: time.Hour}
					c.Open = func() (store.Store, error) { return sqlstore.Open(c.Store) }
					if from == "snapshot" {
						c.Snapshot = filepath.Join(dir, "snap")
						k, err := Open(ctx, c, zap.NewNop())
						require.NoError(b, err)
						k.Close()
						c.Store = "sqlite:" + filepath.Join(dir, "none", "r")
					}
					b.ReportAllocs()
					for b.Loop() {
						k, err := Open(ctx, c, zap.NewNop())
						require.NoError(b, err)
						x := &core{}
						k.Subscribe("s", x)
						require.Len(b, x.state, n)
						b.StopTimer()
						k.c.Snapshot = ""
						k.Close()
						b.StartTimer()
					}
				})
			}
		})
	}
}

// far is a store that is so far away that only a few changes fit into the time of one call.
type far struct {
	store.Store
	fits int
	mu   sync.Mutex
	sent [][]record.Change
}

func (f *far) Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	f.mu.Lock()
	f.sent = append(f.sent, changes)
	f.mu.Unlock()
	if len(changes) > f.fits {
		<-ctx.Done()
		return nil, record.Meta{}, ctx.Err()
	}
	return f.Store.Write(ctx, epoch, changes)
}

func TestAFarStoreGetsFewerChangesAtOnceAndDrainsFirst(t *testing.T) {
	r := newRig(t)
	r.c.CallTimeout = time.Second
	r.c.PollInterval = 20 * time.Millisecond
	s := &far{fits: 12}
	open := r.c.Open
	r.c.Open = func() (store.Store, error) {
		var err error
		s.Store, err = open()
		return s, err
	}
	k := r.open()
	defer k.Close()
	c := &core{}
	sink := k.Subscribe("s", c)
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("a", i))
	}
	sink.UpdateEndpoints(list(decide.Ready, ids...), true)
	k.AddDrain("s/a7", record.Drain{Since: 1, By: "operator"})
	require.Eventually(t, func() bool { return r.recorded("s/a7") }, 20*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return k.Status().Pending == 0 }, 20*time.Second, 5*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	drains := 0
	for _, changes := range s.sent {
		for _, x := range changes {
			if x.Kind == record.KindDrain {
				drains++
				assert.Len(t, changes, 1, "a drain waits for nothing else")
			}
		}
	}
	assert.Positive(t, drains)
}

// endless is a store that claims facts without end.
type endless struct {
	store.Store
	value string
}

func (e *endless) Meta(context.Context) (record.Meta, error) {
	return record.Meta{Epoch: "e", Revision: 1 << 40}, nil
}

func (e *endless) Since(_ context.Context, after int64, most int) (record.Page, error) {
	p := record.Page{Meta: record.Meta{Epoch: "e", Revision: after + int64(most)}}
	for i := range most {
		n := after + int64(i) + 1
		p.Entries = append(p.Entries, record.Entry{Key: record.Key{Kind: record.KindServer, Name: fmt.Sprint("s/", n)}, Revision: n, Value: json.RawMessage(e.value)})
	}
	return p, nil
}

func (e *endless) Wait(ctx context.Context, most time.Duration) error {
	<-ctx.Done()
	return ctx.Err()
}

func (e *endless) Close() error { return nil }

func TestARecordWithoutEndIsRefusedAndTheCopyStays(t *testing.T) {
	for name, value := range map[string]string{"facts": `{}`, "bytes": `"` + strings.Repeat("x", 60_000) + `"`} {
		t.Run(name, func(t *testing.T) {
			c := Config{Name: "n", Open: func() (store.Store, error) { return &endless{value: value}, nil }, Required: true, CallTimeout: time.Minute, PollInterval: time.Second, MaxPending: 10}
			_, err := Open(t.Context(), c, zap.NewNop())
			assert.ErrorIs(t, err, ErrRecordTooLarge)
			c.Required = false
			k, err := Open(t.Context(), c, zap.NewNop())
			require.NoError(t, err)
			defer k.Close()
			s := k.Status()
			assert.Zero(t, s.Entries)
			assert.Contains(t, s.Error, "more than 100000 facts or 64 MB")
		})
	}
}

// A folder that fails for a while loses nothing of what only this node knows, though nothing changes any more once it works again.
func TestASnapshotThatCouldNotBeWrittenIsWrittenOnceItCan(t *testing.T) {
	r := newRig(t)
	folder := filepath.Join(t.TempDir(), "folder")
	r.c.Snapshot = filepath.Join(folder, "snap")
	r.s.Refuse(true)
	k := r.open()
	defer k.Close()
	k.Subscribe("s", &core{}).UpdateEndpoints(list(decide.Ready, "a"), true)
	k.AddDrain("s/a", record.Drain{Start: 1000, Since: 1, By: "op"})
	time.Sleep(500 * time.Millisecond) // some tries have failed by now
	require.NoError(t, os.Mkdir(folder, 0o700))
	require.Eventually(t, func() bool {
		s, found, err := LoadSnapshot(r.c.Snapshot)
		return err == nil && found && len(s.Drains) == 1
	}, 20*time.Second, time.Millisecond)
}

// A snapshot that can't be read for now is no torn one: it stays, and a start waits for it.
func TestASnapshotThatCannotBeReadForNowStays(t *testing.T) {
	r := newRig(t)
	require.NoError(t, os.Symlink(t.TempDir(), r.c.Snapshot)) // it opens, and reading fails; the next snapshot takes its name in one step
	_, found, err := ReadSnapshot(r.c.Snapshot)
	assert.Error(t, err)
	assert.NotErrorIs(t, err, ErrCorruptSnapshot)
	assert.False(t, found)
	_, err = os.Lstat(r.c.Snapshot)
	assert.NoError(t, err, "not set aside")
	assert.NoFileExists(t, r.c.Snapshot+".aside")
	mended := time.AfterFunc(300*time.Millisecond, func() {
		assert.NoError(t, WriteSnapshot(r.c.Snapshot, record.Snapshot{Drains: map[string]record.Drain{"s/a": {Since: 1, By: "x"}}}))
	})
	defer mended.Stop()
	s, found, err := awaitSnapshot(r.c.Snapshot)
	require.NoError(t, err)
	assert.True(t, found)
	assert.Len(t, s.Drains, 1)
}
