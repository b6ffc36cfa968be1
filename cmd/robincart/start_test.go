package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"context"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"robincart/internal/lab/standin"
	"slices"
	"sync"
	"sync/atomic"
)

func TestStart_BadListenerDescriptorIsOneMessage(t *testing.T) {
	d := newDiscovery(t)
	for _, fd := range []string{"x", "2", "999", "0"} {
		cmd, log := newCommand(t, newConfig(t, d))
		cmd.Env = append(cmd.Env, "EDGE_ACCEPT_FD="+fd)
		assert.Error(t, cmd.Run())
		assert.Contains(t, log.String(), "EDGE_ACCEPT_FD is ")
		assert.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	}
}

func TestStart_BadConfigurationIsOneMessage(t *testing.T) {
	d := newDiscovery(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	with := func(key string, value any) map[string]any {
		c := newConfig(t, d)
		c[key] = value
		return c
	}
	for want, config := range map[string]any{
		"configuration":          "no object",
		"listen":                 with("listen", "nowhere"),
		"discovery":              with("discovery", ""),
		"settings are missing":   with("settings", nil),
		"Classes":                with("settings", map[string]any{}),
		"limits.memory_mb":       with("limits", map[string]any{"cores": 1, "sockets": 1024}),
		"limits.sockets":         with("limits", map[string]any{"cores": 1, "memory_mb": 192}),
		"known":                  with("known", []int{1}),
		"address already in use": with("listen", taken.Addr().String()),
	} {
		cmd, log := newCommand(t, config)
		assert.Error(t, cmd.Run(), want)
		assert.Equal(t, 1, cmd.ProcessState.ExitCode(), want)
		assert.Contains(t, log.String(), want)
		assert.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	}
	cmd, log := newCommand(t, newConfig(t, d))
	cmd.Env = append(cmd.Env, "EDGE_CONFIG=")
	assert.Error(t, cmd.Run())
	assert.Contains(t, log.String(), "EDGE_CONFIG")
}

// Discovery refuses connections, or accepts them and does not respond. The node becomes ready with the endpoint list of
// its configuration, and uses it to serve. With an empty list it becomes ready, too, and rejects requests at once.
func TestStart_ReadyWhateverDiscoveryDoes(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer unresponsive.Close()
	s := newServer(t, respond(200, "well"))
	for name, addr := range map[string]string{"refused": freeAddress(t), "mute": unresponsive.Addr().String()} {
		for want, known := range map[int][]standin.Member{200: {newMember("s0", s.addr(), "ready")}, 503: {}} {
			d := newDiscovery(t)
			c := newConfig(t, d, known...)
			c["discovery"] = addr
			p := startTestNode(t, c) // waits until it is ready
			r := p.send("find", "")
			assert.NoError(t, r.err, name)
			assert.Equal(t, want, r.status, name)
			q, err := http.Get("http://" + p.addr + "/health/ready")
			if assert.NoError(t, err) {
				q.Body.Close()
				assert.Equal(t, 200, q.StatusCode, name)
			}
		}
	}
}

// BenchmarkStart_ThirtyNodesAtOnce starts thirty nodes at once on busy cores, while discovery is down for 8 s and slow
// afterwards. It reports when the nodes were ready and when all had a watch. To run it, without the race detector:
// go test -run - -bench Thirty -benchtime 1x.
func BenchmarkStart_ThirtyNodesAtOnce(b *testing.B) {
	const nodes, outage, timeout = 30, 8 * time.Second, 20 * time.Second
	var ended atomic.Bool
	defer ended.Store(true)
	for range 16 {
		go func() {
			for !ended.Load() {
				continue // keeps a core busy
			}
		}()
	}
	for range b.N {
		d := standin.NewDiscovery(nil, time.Now())
		d.HeartbeatInterval = 500 * time.Millisecond
		d.Update(newMember("s0", "127.0.0.1:1", "ready"))
		listener, err := d.Listen(0, "127.0.0.1:0")
		require.NoError(b, err)
		_, known := d.List()
		d.SetDown(true)
		// The delay also applies to heartbeats. If the delay were twice as long, the watch would count as silent.
		d.SetDelay(time.Second)
		began := time.Now()
		startSeconds := make([]float64, nodes)
		var all sync.WaitGroup
		dir := b.TempDir()
		var started []*standin.Node
		for i := range nodes {
			addr, err := standin.FreeAddress("127.0.0.1")
			require.NoError(b, err)
			n := &standin.Node{
				Name:    fmt.Sprint("n", i),
				Addr:    addr,
				Program: os.Args[0],
				Dir:     dir,
				Env:     []string{"ROBINCART_TEST_PROGRAM=1"},
				Config: map[string]any{
					"discovery": listener.Addr(),
					"seed":      fmt.Sprint(i),
					"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
					"known":     map[string]any{"revision": 1, "complete": true, "members": known},
					"settings":  json.RawMessage(testSettings),
				},
			}
			started = append(started, n)
			all.Go(func() {
				ctx, cancel := context.WithTimeout(b.Context(), timeout)
				defer cancel()
				if err := n.Start(ctx); err != nil {
					b.Error(err)
				}
				startSeconds[i] = time.Since(began).Seconds()
			})
		}
		all.Wait()
		time.Sleep(time.Until(began.Add(outage)))
		d.SetDown(false)
		restoredAt := time.Now()
		for open := 0; open < nodes && time.Since(began) < timeout; time.Sleep(10 * time.Millisecond) {
			_, open = listener.Watches()
		}
		watchSeconds := time.Since(restoredAt).Seconds()
		slices.Sort(startSeconds)
		b.ReportMetric(startSeconds[nodes/2], "s-median")
		b.ReportMetric(startSeconds[nodes*9/10-1], "s-9of10")
		b.ReportMetric(startSeconds[nodes-1], "s-most")
		b.ReportMetric(watchSeconds, "s-watched-after-return")
		for _, n := range started {
			n.Kill()
		}
		d.Stop()
	}
}
