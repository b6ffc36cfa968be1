package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/shim"
	"robincart/internal/lab/standin"
	"robincart/internal/lab/wire"
)

// bannedNode is a real node under a shim, with a folder that lasts, before three servers that operators take out.
type bannedNode struct {
	t       *testing.T
	node    *standin.Node
	admin   string
	folder  string
	planned shim.Plan
	plan    string // its file
	lists   *standin.Discovery
	door    *standin.DiscoveryListener
	servers []*standin.Server
	asked   int
}

// folderCalls are what the node may do in its folder.
var folderCalls = []string{"openat", "read", "write", "fsync", "renameat"}

func newBannedNode(t *testing.T) *bannedNode {
	b := &bannedNode{t: t, folder: t.TempDir(), planned: shim.Plan{Calls: folderCalls}}
	discovery := standin.NewDiscovery(nil, time.Now())
	t.Cleanup(discovery.Stop)
	for i := range 3 {
		s := &standin.Server{}
		body := fmt.Sprint("s", i)
		s.Serve = answering(body)
		require.NoError(t, s.Start("127.0.0.1:0"))
		t.Cleanup(s.Stop)
		b.servers = append(b.servers, s)
		discovery.Update(standin.Member{ID: body, Addr: s.Addr(), Zone: "a", Flavor: "m", Phase: "ready", Size: 1})
	}
	door, err := discovery.Listen(0, "127.0.0.1:0")
	require.NoError(t, err)
	b.lists, b.door = discovery, door
	addr, err := standin.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	b.admin, err = standin.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	_, members := discovery.List()
	dir := t.TempDir()
	b.plan = filepath.Join(dir, "plan.json")
	b.node = &standin.Node{Name: "n1", Addr: addr, Program: filepath.Join(bins, "robincart"), Dir: dir, Env: []string{"TMPDIR=" + b.folder},
		Wrap: []string{filepath.Join(bins, "robinlab"), "shim", "--plan", b.plan, "--journal", filepath.Join(dir, "shim.log")},
		Config: map[string]any{"discovery": door.Addr(), "admin_addr": b.admin, "seed": "8c1f30d27a5be964",
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
			"known":  map[string]any{"revision": 1, "complete": true, "members": members},
			"settings": map[string]any{"Classes": []any{map[string]any{"Name": "find", "AimMs": 1500, "DeadlineMs": 3000, "Credit": 1, "Repeat": "repeatable"}},
				"Zones": []string{"a"}, "RegistryMode": "subscribe", "Rules": map[string]any{"MustAskInMs": 400},
				"Limits": map[string]any{"MaxAttempts": 4, "MayCancel": true, "RetryAfter": true, "MaxRetryAfterMs": 2000}}}}
	b.inject()
	b.start()
	t.Cleanup(b.node.Kill)
	return b
}

// answering serves each request with one body.
func answering(body string) func(c net.Conn, q *wire.Request) bool {
	return func(c net.Conn, _ *wire.Request) bool {
		time.Sleep(5 * time.Millisecond)
		_, err := c.Write(wire.Answer(nil, 200, "", []byte(body)))
		return err == nil
	}
}

// inject has calls in the folder that lasts fail from now on, or none.
func (b *bannedNode) inject(all ...shim.Injection) {
	b.t.Helper()
	b.injectIn(b.folder, all...)
}

func (b *bannedNode) injectIn(folder string, all ...shim.Injection) {
	b.t.Helper()
	for i := range all {
		all[i].Folder, all[i].Share = folder, 1
	}
	b.planned.Injections = all
	require.NoError(b.t, b.planned.Check())
	require.NoError(b.t, b.planned.Write(b.plan))
	if b.node != nil {
		b.node.Signal(syscall.SIGUSR2) // where it does not run it reads the plan at its start
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *bannedNode) start() {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(b.t, b.node.Start(ctx), b.node.Log())
}

// killed ends the process outright and starts it again.
func (b *bannedNode) killed() {
	b.t.Helper()
	b.node.Kill()
	time.Sleep(200 * time.Millisecond) // the program ends with its tracer, a little later
	b.start()
}

// call is the status of an operator's call.
func (b *bannedNode) call(path, server string) int {
	b.t.Helper()
	r, err := (&http.Client{Timeout: 5 * time.Second}).Post("http://"+b.admin+path, "application/json", strings.NewReader(fmt.Sprintf(`{"host":%q}`, server)))
	require.NoError(b.t, err)
	r.Body.Close()
	return r.StatusCode
}

// struck is that the shim has met such a call at least once.
func (b *bannedNode) struck(call string) {
	b.t.Helper()
	text, err := os.ReadFile(filepath.Join(filepath.Dir(b.plan), "shim.log"))
	require.NoError(b.t, err)
	assert.Contains(b.t, string(text), " "+call+" ", "the fault met nothing")
}

// quiet asks for a while, several at once so that no server is enough for all, and looks that what is out gets nothing while the others serve.
func (b *bannedNode) quiet(why string) {
	b.t.Helper()
	before := b.got()
	served := atomic.Int32{}
	for range 8 {
		var all sync.WaitGroup
		for range 12 {
			b.asked++
			id := b.asked
			all.Go(func() {
				if b.ask(id) == 200 {
					served.Add(1)
				}
			})
		}
		all.Wait()
	}
	assert.Greater(b.t, served.Load(), int32(60), why)
	assert.Equal(b.t, before, b.got(), "servers that are out were sent to: %s", why)
}

// got is what the servers that are out have had.
func (b *bannedNode) got() int { return b.servers[0].Got() + b.servers[1].Got() }

func (b *bannedNode) ask(id int) int {
	q, err := http.NewRequest("GET", "http://"+b.node.Addr+"/find/x", nil)
	if err != nil {
		return 0
	}
	for k, v := range map[string]string{"X-Trace-Id": fmt.Sprintf("%016x", id), "X-Qos": "find", "X-Expires-In-Ms": "3000"} {
		q.Header.Set(k, v)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0 // a connection of the process before
	}
	r.Body.Close()
	return r.StatusCode
}

// out takes two servers out and returns whether both calls got their yes.
func (b *bannedNode) out() bool {
	b.t.Helper()
	first, second := b.call("/_servers/detach", "s0"), b.call("/_servers/detach", "s1")
	return first == 200 && second == 200
}

// What operators have taken out stays out when the process is killed and its folder lasts, whatever befalls that meanwhile.
func TestABanOutlivesAKillAndAFolderThatFails(t *testing.T) {
	failing := []shim.Injection{{Call: "openat", Errors: []string{"ENOSPC", "EIO"}}, {Call: "write", Errors: []string{"ENOSPC", "EIO"}},
		{Call: "fsync", Errors: []string{"EIO"}}, {Call: "renameat", Errors: []string{"EIO", "ENOSPC"}}}
	t.Run("a kill", func(t *testing.T) {
		t.Parallel()
		b := newBannedNode(t)
		require.True(t, b.out())
		b.killed()
		b.quiet("after a kill")
	})
	for i := range failing {
		t.Run("writing fails for a while at "+failing[i].Call, func(t *testing.T) {
			t.Parallel()
			b := newBannedNode(t)
			b.inject(failing[i])
			if b.out() {
				b.killed()
				b.quiet("a yes is kept, whatever fails")
			} else {
				b.quiet("what can't be kept yet is in force all the same")
			}
			b.struck(failing[i].Call)
			b.inject()
			time.Sleep(1500 * time.Millisecond)
			b.killed()
			b.quiet("kept once the folder works again, with no further call")
		})
	}
	for _, call := range []shim.Injection{{Call: "openat", Errors: []string{"EIO"}}, {Call: "openat", Errors: []string{"ENFILE"}}, {Call: "read", Errors: []string{"EIO"}}} {
		t.Run("reading fails for a while at "+call.Call+" with "+call.Errors[0], func(t *testing.T) {
			t.Parallel()
			b := newBannedNode(t)
			require.True(t, b.out())
			b.node.Kill()
			b.inject(call)
			works := time.AfterFunc(time.Second, func() { b.inject() })
			defer works.Stop()
			b.killed()
			b.struck(call.Call)
			b.quiet("while the folder can't be read, or right after")
			time.Sleep(1200 * time.Millisecond)
			b.quiet("once it can")
			b.killed()
			b.quiet("after another kill")
		})
	}
	for _, call := range []string{"openat", "write", "fsync", "renameat"} {
		t.Run("a kill in the middle of a save at "+call, func(t *testing.T) {
			t.Parallel()
			b := newBannedNode(t)
			require.True(t, b.out())
			b.inject(shim.Injection{Call: call, Delay: 2 * time.Second})
			go http.Post("http://"+b.admin+"/_servers/detach", "application/json", strings.NewReader(`{"host":"s2"}`))
			time.Sleep(200 * time.Millisecond)
			b.struck(call)
			b.node.Kill()
			b.inject()
			b.killed()
			if b.call("/_servers/attach", "s2") == 200 { // out, or not: its call had no answer
				b.quiet("what was kept before")
			}
		})
	}
}

// A configuration that can't be read for a moment, at a start or at SIGHUP, is read as soon as it can: the node would else not start, or hold on
// to a discovery that has moved away.
func TestAConfigurationThatCannotBeReadForAMomentIsReadThen(t *testing.T) {
	for _, call := range []shim.Injection{{Call: "openat", Errors: []string{"ENFILE"}}, {Call: "openat", Errors: []string{"EIO"}}, {Call: "openat", Errors: []string{"ENOMEM"}},
		{Call: "read", Errors: []string{"EIO"}}} {
		t.Run(call.Call+" with "+call.Errors[0], func(t *testing.T) {
			t.Parallel()
			b := newBannedNode(t)
			b.injectIn(b.node.Dir, call)
			moved, err := b.lists.Listen(0, "127.0.0.1:0")
			require.NoError(t, err)
			b.node.Configure(func(config map[string]any) { config["discovery"] = moved.Addr() })
			require.NoError(t, b.node.Write())
			require.NoError(t, b.node.Signal(syscall.SIGHUP))
			b.door.Close(1500 * time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			b.struck(call.Call)
			b.inject()
			_, members := b.lists.List()
			for _, m := range members[:2] {
				m.Phase = "draining"
				b.lists.Update(m)
			}
			time.Sleep(4 * time.Second) // from SIGHUP what discovery has binds
			b.quiet("the node has followed discovery")

			b.node.Kill()
			b.injectIn(b.node.Dir, call)
			works := time.AfterFunc(1500*time.Millisecond, func() { b.inject() })
			defer works.Stop()
			b.killed()
		})
	}
}
