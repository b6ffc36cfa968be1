package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"sync"
	"sync/atomic"
	"syscall"
)

// editSettings returns a configuration with its settings changed.
func editSettings(t *testing.T, c map[string]any, edit func(settings map[string]any, classes []any) []any) string {
	var s map[string]any
	require.NoError(t, json.Unmarshal(c["settings"].(json.RawMessage), &s))
	s["Classes"] = edit(s, s["Classes"].([]any))
	out := map[string]any{}
	for k, v := range c {
		out[k] = v
	}
	out["settings"] = s
	text, err := json.Marshal(out)
	require.NoError(t, err)
	return string(text)
}

// A node starts with an endpoint list that may be old, so the node's first poll must come soon, even if the poll
// interval in the settings is long.
func TestPlatformConfig_FirstPollDelayIsBounded(t *testing.T) {
	text, err := json.Marshal(newConfig(t, newDiscovery(t)))
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	c, err := readPlatformConfig(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] })
	require.NoError(t, err)
	assert.Greater(t, c.node.MaxFirstPollDelay, 0.0)
	assert.InDelta(t, c.limits.MaxPollInterval.Seconds(), c.node.MaxFirstPollDelay, 1e-9)
}

// reloadFixture is a configuration in force, with the file that it was read from.
type reloadFixture struct {
	t       *testing.T
	path    string
	inForce *platformConfig
	applied int // how often settings were applied
	watcher recordedAddresses
}

// newReloadFixture reads a configuration from a file of its own.
func newReloadFixture(t *testing.T, text []byte) *reloadFixture {
	f := &reloadFixture{t: t, path: filepath.Join(t.TempDir(), "c.json")}
	f.write(text)
	var err error
	f.inForce, err = readPlatformConfig(f.getenv)
	require.NoError(t, err)
	return f
}

func (f *reloadFixture) getenv(name string) string {
	if name == "EDGE_CONFIG" {
		return f.path
	}
	return ""
}

func (f *reloadFixture) write(text []byte) { require.NoError(f.t, os.WriteFile(f.path, text, 0o600)) }

// isRejected replaces the file's content, and reports whether the same configuration is in force after a reload.
func (f *reloadFixture) isRejected(text []byte) bool {
	f.t.Helper()
	f.write(text)
	next, err := f.inForce.reload(f.getenv, &f.watcher, func(*platformConfig) { f.applied++ }, zap.NewNop())
	require.NoError(f.t, err, "an invalid file is not a temporary error")
	return next == f.inForce
}

// A configuration file that is truncated at any byte, or lacks any key, changes nothing.
func TestPlatformConfig_TruncatedFileIsRejected(t *testing.T) {
	d := newDiscovery(t)
	text, err := json.Marshal(newConfig(t, d))
	require.NoError(t, err)
	f := newReloadFixture(t, text)
	for n := range len(text) {
		require.True(t, f.isRejected(text[:n]), "%s", text[:n])
	}
	var config map[string]any
	require.NoError(t, json.Unmarshal(text, &config))
	settings := config["settings"].(map[string]any)
	objects := []map[string]any{config, settings}
	for _, name := range []string{"Limits", "Rules"} {
		objects = append(objects, settings[name].(map[string]any))
	}
	for _, list := range []string{"Classes", "Tenants"} {
		for _, object := range settings[list].([]any) {
			objects = append(objects, object.(map[string]any))
		}
	}
	for _, object := range objects {
		for key, v := range object {
			delete(object, key)
			short, err := json.Marshal(config)
			require.NoError(t, err)
			require.True(t, f.isRejected(short), "without %s", key)
			object[key] = v
		}
	}
	assert.Zero(t, f.applied)
	assert.False(t, f.isRejected(text))
	assert.Empty(t, f.watcher.addresses)
}

type recordedAddresses struct{ addresses []string }

func (r *recordedAddresses) SetAddress(addr string) { r.addresses = append(r.addresses, addr) }

func TestReload_MethodsChangeUnderTraffic(t *testing.T) {
	slow := newServer(t, delayed(200*time.Millisecond, respond(200, "x")))
	d := newDiscovery(t, newMember("s0", slow.addr(), "ready"))
	c := newConfig(t, d, d.members()...)
	p := startTestNode(t, c)
	responses := make(chan response, 1)
	go func() { responses <- p.send("find", "") }()
	require.Eventually(t, func() bool { return slow.count() == 1 }, 5*time.Second, time.Millisecond)
	good := editSettings(t, c, func(_ map[string]any, all []any) []any {
		extra := map[string]any{}
		for k, v := range all[1].(map[string]any) {
			extra[k] = v
		}
		extra["Name"] = "tip"
		return append([]any{extra}, all[1:]...) // find is removed
	})
	p.reload(good)
	require.Eventually(t, func() bool { return p.send("tip", "x").status != 404 }, 10*time.Second, 5*time.Millisecond)
	assert.Equal(t, 200, (<-responses).status, "a request in flight is served")
	assert.Equal(t, 200, p.send("find", "").status, "clients learn of the change later")
	assert.Equal(t, 200, p.sendWith("tip", "x", map[string]string{"Idempotency-Key": "k"}).status)
	for i, broken := range []string{
		"",
		good[:len(good)/2],
		strings.Replace(good, `"Classes"`, `"Klasses"`, 1),
		strings.Replace(good, `"seed"`, `"sead"`, 1),
		editSettings(t, c, func(_ map[string]any, all []any) []any {
			all[0].(map[string]any)["DeadlineMs"] = 0
			return all
		}),
		editSettings(t, c, func(_ map[string]any, all []any) []any {
			delete(all[0].(map[string]any), "AimMs")
			return all
		}),
		editSettings(t, c, func(s map[string]any, all []any) []any {
			s["Limits"].(map[string]any)["MaxAttempts"] = 0
			return all
		}),
		editSettings(t, c, func(s map[string]any, all []any) []any {
			delete(s["Limits"].(map[string]any), "MaxAttempts")
			return all
		}),
		editSettings(t, c, func(_ map[string]any, all []any) []any { return append(all, all[0]) }),
	} {
		p.reload(broken)
		require.Eventually(t, func() bool {
			return strings.Count(p.Log(), "configuration rejected") == i+1
		}, 10*time.Second, 5*time.Millisecond, "%.300s", broken)
		assert.Equal(t, 200, p.sendWith("tip", "x", map[string]string{"Idempotency-Key": fmt.Sprint("b", i)}).status)
	}
	assert.Eventually(t, func() bool {
		return p.send("find", "").status == 404
	}, 10*time.Second, 50*time.Millisecond, "the removed method is rejected after the grace period")
}

// EDGE_DISCOVERY, which startTestNode sets, keeps the old discovery address throughout the test.
func TestReload_MovesWatchUnderTraffic(t *testing.T) {
	old, fresh := newServer(t, respond(200, "old")), newServer(t, respond(200, "fresh"))
	here, there := newDiscovery(t, newMember("s0", old.addr(), "ready")), newDiscovery(t)
	there.SetRevision(2)
	there.Update(newMember("s1", fresh.addr(), "ready"))
	config := newConfig(t, here, here.members()...)
	p := startTestNode(t, config)
	require.Eventually(t, func() bool { return here.watchesStarted() == 1 }, 5*time.Second, 10*time.Millisecond)
	ended := make(chan bool)
	var callers sync.WaitGroup
	var served, pushedBack atomic.Int64
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					r := p.send("charge", "x")
					assert.NoError(t, r.err)
					if r.status == 503 { // on a busy machine servers seem slow; a rejected request is not lost
						pushedBack.Add(1)
						continue
					}
					served.Add(1)
					assert.Equal(t, 200, r.status)
				}
			}
		})
	}
	p.reload("{")
	require.Eventually(t, func() bool { return strings.Contains(p.Log(), "configuration rejected") },
		2*time.Second, 10*time.Millisecond)
	assert.Equal(t, "old", p.send("find", "").body)
	config["discovery"], config["seed"], config["name"] = there.addr(), "2", "n2"
	text, _ := json.Marshal(config)
	for range 5 {
		p.reload(string(text))
	}
	require.Eventually(t, func() bool { return p.send("find", "").body == "fresh" }, time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		return here.openWatches() == 0 && there.openWatches() == 1
	}, time.Second, 10*time.Millisecond)
	assert.Contains(t, p.Log(), `"restart_required":["name"]`)
	close(ended)
	callers.Wait()
	assert.Greater(t, served.Load(), 9*pushedBack.Load())
	require.NoError(t, p.Signal(syscall.SIGTERM))
	p.Signal(syscall.SIGHUP)
	p.waitExit(3 * time.Second)
}
