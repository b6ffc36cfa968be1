package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/controlplane/recordcache"
	"robincart/internal/controlplane/recordserver"
	"robincart/internal/lab/chaos"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// buildStoreProgram builds the program that has the databases' drivers.
func buildStoreProgram(t *testing.T) string {
	helper := filepath.Join(t.TempDir(), "robincart-record")
	out, err := exec.Command("go", "build", "-o", helper, "robincart/cmd/robincart-record").CombinedOutput()
	require.NoError(t, err, string(out))
	return helper
}

// Services and routes of the record are in force as they are written; what can't be compiled changes nothing.
func TestRecord_ServicesAndRoutes(t *testing.T) {
	helper, dir := buildStoreProgram(t), t.TempDir()
	at := "sqlite:" + filepath.Join(dir, "record.db")
	record := func(args ...string) {
		out, err := exec.Command(helper, append(args, "--store", at)...).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	text := func(s string) string {
		path := filepath.Join(dir, "text")
		require.NoError(t, os.WriteFile(path, []byte(s), 0o600))
		return path
	}
	record("init")
	a, b := newServer(t, respond(200, "a")), newServer(t, respond(200, "b"))
	t.Setenv("ROBINCART_RECORD", helper)
	snapshot := filepath.Join(dir, "snap")
	p := startServices(t, fmt.Sprintf("[record]\nstore = %q\nsnapshot = %q\npoll = \"100ms\"\n", at, snapshot)+
		serviceTOML("first", a, 0.5, "")+routeTOML("a.example.org", "first"))
	status, _ := p.sendOn(nil, "GET /find", "Host: b.example.org")
	assert.Equal(t, 404, status)
	record("set", "service", "second", text(serviceTOML("second", b, 0.2, "")), "--expect", "0")
	record("set", "route", "r", text("[[route]]\nname = \"r\"\nhost = \"b.example.org\"\nto = \"second\"\n"))
	becomes := func(want int) {
		t.Helper()
		require.Eventually(t, func() bool {
			status, _ := p.sendOn(nil, "GET /find", "Host: b.example.org")
			return status == want
		}, 20*time.Second, 20*time.Millisecond, "%s", lateLog{p})
	}
	becomes(200)
	record("set", "route", "bad", text("[[route]]\nname = \"bad\"\nhost = \"c.example.org\"\nto = \"nowhere\"\n"))
	require.Eventually(t, func() bool {
		return strings.Contains(p.Log(), "nowhere")
	}, 20*time.Second, 20*time.Millisecond)
	becomes(200)
	p.Kill()
	// Its log and shared memory go with it: SQLite would apply a log that stays behind to the file that is put back.
	move := func(from, to string) {
		for _, part := range []string{"", "-wal", "-shm"} {
			err := os.Rename(filepath.Join(dir, from)+part, filepath.Join(dir, to)+part)
			if part == "" || !os.IsNotExist(err) {
				require.NoError(t, err)
			}
		}
	}
	move("record.db", "lost")
	lost := "sqlite:" + filepath.Join(dir, "lost")
	require.NoError(t, exec.Command(helper, "delete", "route", "bad", "--store", lost).Run())
	require.NoError(t, p.Start(t.Context()))
	status, _ = p.sendOn(nil, "GET /find", "Host: a.example.org")
	assert.Equal(t, 200, status, "without its store, and with a bad route in its snapshot, the file alone is in force")
	move("lost", "record.db")
	becomes(200)
}

// The same through a controller's replica: no store program, and what was in force outlives the replica and the node.
func TestRecord_ThroughControllers(t *testing.T) {
	dir := t.TempDir()
	up, err := sqlstore.Open("sqlite:" + filepath.Join(dir, "record.db"))
	require.NoError(t, err)
	t.Cleanup(func() { up.Close() })
	_, err = up.Init(t.Context(), false)
	require.NoError(t, err)
	at := freeAddress(t)
	begin := func() (stop func()) {
		ln, err := net.Listen("tcp", at)
		require.NoError(t, err)
		r := recordserver.New(up, recordserver.DefaultConfig(), zap.NewNop())
		ctx, end := context.WithCancel(context.Background())
		var all sync.WaitGroup
		all.Go(func() { r.Run(ctx) })
		all.Go(func() { store.ServeWithLimits(ctx, ln, r, recordserver.ClientLimits(10)) })
		stop = sync.OnceFunc(func() { end(); all.Wait() })
		t.Cleanup(stop)
		return stop
	}
	stop := begin()
	t.Setenv("ROBINCART_RECORD", filepath.Join(dir, "no such program"))
	a := newServer(t, respond(200, "a"))
	recordTable := fmt.Sprintf("[record]\nstore = \"controllers:%s\"\nsnapshot = %q\n", at, filepath.Join(dir, "snap"))
	p := startServices(t, recordTable+serviceTOML("first", a, 0.5, "")+routeTOML("a.example.org", "first"))
	set := func(name, host string) {
		m, err := up.Meta(t.Context())
		require.NoError(t, err)
		text := fmt.Sprintf("[[route]]\nname = %q\nhost = %q\nto = \"first\"\n", name, host)
		value, _ := json.Marshal(map[string]string{"toml": text})
		_, _, err = up.Write(t.Context(), m.Epoch, []record.Change{{
			Key:              record.Key{Kind: record.KindRoute, Name: name},
			ExpectedRevision: 0,
			Writer:           "op",
			IdempotencyKey:   name,
			Value:            value,
		}})
		require.NoError(t, err)
	}
	becomes := func(host string) {
		t.Helper()
		require.Eventually(t, func() bool {
			status, _ := p.sendOn(nil, "GET /find", "Host: "+host)
			return status == 200
		}, 20*time.Second, 20*time.Millisecond, "%s", lateLog{p})
	}
	becomes("a.example.org")
	set("b", "b.example.org")
	becomes("b.example.org")
	require.Eventually(t, func() bool {
		s, found, err := recordcache.LoadSnapshot(filepath.Join(dir, "snap"))
		isRoute := func(entry record.Entry) bool { return entry.Kind == record.KindRoute }
		return err == nil && found && slices.ContainsFunc(s.Entries, isRoute)
	}, 20*time.Second, 5*time.Millisecond)
	stop()
	p.Kill()
	require.NoError(t, p.Start(t.Context()))
	becomes("b.example.org") // from its snapshot alone
	set("c", "c.example.org")
	begin()
	becomes("c.example.org")
}

// Nodes and their store are killed at random under load; a failure prints the seed.
func TestRecord_NodesAndStoreKilled(t *testing.T) {
	helper := buildStoreProgram(t)
	for _, sqlite := range []bool{false, true} {
		r := &chaos.Record{
			Program: os.Args[0],
			Env:     append(testProgramEnvironment(), "ROBINCART_RECORD="+helper),
			For:     7 * time.Second,
			Slack:   2 * time.Second,
			Seed:    time.Now().UnixNano() % 1_000_000,
			Nodes:   2,
			Servers: 20,
			Rate:    30,
			SQLite:  sqlite,
		}
		require.NoError(t, r.Play(t.Context()))
		assert.Empty(t, r.Broken, "seed %d", r.Seed)
		assert.NotZero(t, r.Counts["ok"])
	}
}

// lateLog formats as a program's log at that time.
type lateLog struct{ p *testNode }

func (l lateLog) String() string { return l.p.Log() }
