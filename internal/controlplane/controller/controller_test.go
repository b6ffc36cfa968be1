package controller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"k8s.io/client-go/rest"

	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
	"robincart/internal/lab/apiserver"
	"robincart/internal/record/store/sqlstore"
)

// story is a stand-in API, met by the real client library, and a replica of the controller.
type story struct {
	t   *testing.T
	api *apiserver.Server
	k   *Controller
	at  string // where nodes ask
	// of the first replica
	stop func()
}

func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func begin(t *testing.T, prepare func(*apiserver.Server)) *story {
	api, err := apiserver.Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(api.Stop)
	if prepare != nil {
		prepare(api)
	}
	s := &story{t: t, api: api, at: free(t)}
	s.k = s.replica("one", s.at)
	return s
}

func (s *story) replica(name, at string) *Controller { return s.reach(name, at, s.api.Addr()) }

// reach starts one that reaches the API at an address; stop ends the first.
func (s *story) reach(name, at, api string) *Controller {
	k, err := New(Config{API: &rest.Config{Host: "http://" + api}, Namespace: "default", Identity: name, LeaseName: "l", LeaseDuration: 2 * time.Second,
		Membership: membership.DefaultConfig(), Fanout: fanout.DefaultConfig(), Services: []Service{{ListName: "s", ServiceName: "s", Listen: at}}}, zap.NewNop())
	require.NoError(s.t, err)
	ctx, end := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { assert.NoError(s.t, k.Run(ctx)) })
	ended := func() { end(); all.Wait() }
	s.t.Cleanup(ended)
	if s.stop == nil {
		s.stop = ended
	}
	return k
}

func (s *story) pod(name string, deleting bool) {
	m := map[string]any{"name": name, "namespace": "default", "uid": "uid-" + name}
	if deleting {
		m["deletionTimestamp"] = "2026-04-13T10:00:00Z"
	}
	s.api.Set("pods", apiserver.Object{"metadata": m, "status": map[string]any{"phase": "Running"}})
}

func slice(names ...string) apiserver.Object {
	var eps []apiserver.Object
	for i, n := range names {
		eps = append(eps, apiserver.Object{"addresses": []string{fmt.Sprintf("10.0.0.%d", i+1)}, "conditions": map[string]any{"ready": true},
			"targetRef": map[string]any{"kind": "Pod", "name": n, "uid": "uid-" + n}})
	}
	return apiserver.Object{"metadata": map[string]any{"name": "s-1", "namespace": "default", "labels": map[string]any{"kubernetes.io/service-name": "s"}},
		"addressType": "IPv4", "endpoints": eps, "ports": []map[string]any{{"name": "http", "port": 80}}}
}

// list is what a node that asks is told.
func (s *story) list(at string) (map[string]string, int64) {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + at + "/registry/instances")
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	var m struct {
		Revision int64
		Members  []fanout.Member
	}
	if resp.StatusCode != 200 || json.NewDecoder(resp.Body).Decode(&m) != nil {
		return nil, 0
	}
	out := map[string]string{}
	for _, x := range m.Members {
		out[strings.TrimPrefix(x.ID, "uid-")] = x.Phase
	}
	return out, m.Revision
}

func (s *story) becomes(want map[string]string) {
	s.t.Helper()
	var is map[string]string
	ok := assert.Eventually(s.t, func() bool { is, _ = s.list(s.at); return assert.ObjectsAreEqual(want, is) }, 20*time.Second, 5*time.Millisecond)
	require.True(s.t, ok, "%v, not %v", is, want)
}

func TestADrainedServerStaysSoWhateverTheAPITellsAgain(t *testing.T) {
	s := begin(t, func(a *apiserver.Server) { a.Set("endpointslices", slice("a", "b")) })
	s.pod("a", false)
	s.pod("b", false)
	s.becomes(map[string]string{"a": "ready", "b": "ready"})
	s.pod("a", true)
	s.becomes(map[string]string{"a": "draining", "b": "ready"})
	for _, trouble := range []func(){
		func() { s.api.Replay("pods", 100); s.api.Replay("endpointslices", 100) },
		s.api.BreakWatches,
		func() { s.api.Compact(); s.api.BreakWatches() },
		func() { s.api.Limit(2); s.api.BreakWatches() },
		func() { s.api.Fail(2); s.api.BreakWatches() },
		func() { s.api.Set("endpointslices", slice("a", "b")) },
	} {
		trouble()
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			is, _ := s.list(s.at)
			assert.Equal(t, "draining", is["a"])
		}
	}
	s.api.Delete("pods", "default", "a")
	s.api.Set("endpointslices", slice("b", "c"))
	s.becomes(map[string]string{"b": "ready", "c": "ready"})
}

func TestAReplicaTellsNothingBeforeItsViewIsWholeAndALaterOneStandsAbove(t *testing.T) {
	s := begin(t, func(a *apiserver.Server) { a.Late("pods", 0); a.Hang(true) })
	time.Sleep(100 * time.Millisecond)
	is, _ := s.list(s.at)
	assert.Nil(t, is, "an API that hangs: nobody is told that there is nothing")
	s.api.Set("endpointslices", slice("a"))
	s.api.Hang(false)
	s.becomes(map[string]string{"a": "ready"})
	require.Eventually(t, func() bool { return s.k.Status().Leading && s.k.Status().Epoch > 0 }, 20*time.Second, 10*time.Millisecond)
	_, first := s.list(s.at)
	lease := s.api.Get("leases", "default", "l")
	spec := lease["spec"].(map[string]any)
	spec["holderIdentity"], spec["leaseTransitions"] = "another", 7
	delete(lease["metadata"].(map[string]any), "resourceVersion")
	s.api.Set("leases", lease)
	require.Eventually(t, func() bool { _, r := s.list(s.at); return r>>epochBits == 8 && r > first }, 20*time.Second, 5*time.Millisecond)
	// A node that has heard a newer leader is told nothing older.
	c, err := net.Dial("tcp", s.at)
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "GET /registry/instances?follow=1&since=%d HTTP/1.1\r\nHost: a\r\n\r\n", int64(99)<<epochBits)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 503, resp.StatusCode)
}

// A node goes from one replica to another and asks by the revision it had there. The two have counted differently, so nothing but a
// whole list tells it what it lacks.
func TestANodeThatComesFromAnotherReplicaIsToldTheWholeList(t *testing.T) {
	s := begin(t, func(api *apiserver.Server) { api.Set("endpointslices", slice("a", "b")) })
	s.becomes(map[string]string{"a": "ready", "b": "ready"})
	other := free(t)
	s.replica("two", other)
	require.Eventually(t, func() bool { _, at := s.list(other); return at > 0 }, 20*time.Second, 5*time.Millisecond)
	s.pod("a", true)
	for _, at := range []string{s.at, other} {
		require.Eventually(t, func() bool { l, _ := s.list(at); return l["a"] == "draining" }, 20*time.Second, 5*time.Millisecond)
	}
	_, here := s.list(s.at)
	whole := func(since int64) bool {
		resp, err := (&http.Client{Timeout: 20 * time.Second}).Get(fmt.Sprintf("http://%s/registry/instances?follow=1&since=%d", other, since))
		require.NoError(t, err)
		defer resp.Body.Close()
		var m struct{ Complete bool }
		return resp.StatusCode == 503 || json.NewDecoder(resp.Body).Decode(&m) == nil && m.Complete // or nothing, where a leader's word has come to one only
	}
	for d := int64(-3); d <= 3; d++ {
		assert.True(t, whole(here+d), "since %d", here+d)
	}
	assert.Eventually(t, func() bool { _, there := s.list(other); return !whole(there) }, 20*time.Second, 5*time.Millisecond, "its own revisions it knows")
}

func TestABadObjectCostsNoOther(t *testing.T) {
	s := begin(t, nil)
	good := slice("a", "b")
	eps := good["endpoints"].([]apiserver.Object)
	eps[1]["addresses"] = []string{"no address"}
	s.api.Set("endpointslices", good)
	bad := slice("c")
	bad["metadata"].(map[string]any)["name"] = "s-2"
	bad["ports"] = []map[string]any{}
	s.api.Set("endpointslices", bad)
	s.becomes(map[string]string{"a": "ready"})
	require.Eventually(t, func() bool { return len(s.k.Status().Skipped) == 2 }, 20*time.Second, 5*time.Millisecond, "and it says which")
}

// The cluster manager is told, pod by pod, that a cold server may serve.
func TestGatesOpenAPartAtATime(t *testing.T) {
	s := begin(t, func(a *apiserver.Server) {
		for i := range 12 {
			conds := []map[string]any{{"type": "ContainersReady", "status": "True"}}
			if i < 8 {
				conds = append(conds, map[string]any{"type": ReadinessGate, "status": "True"})
			}
			a.Set("pods", apiserver.Object{"metadata": map[string]any{"name": fmt.Sprint("p", i), "namespace": "default", "labels": map[string]any{"robincart.dev/service": "s"}},
				"spec": map[string]any{"readinessGates": []map[string]any{{"conditionType": ReadinessGate}}}, "status": map[string]any{"phase": "Running", "conditions": conds}})
		}
	})
	open := func() (n int) {
		for i := range 12 {
			b, _ := json.Marshal(s.api.Get("pods", "default", fmt.Sprint("p", i))["status"])
			if strings.Contains(string(b), ReadinessGate) {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return open() == 11 }, 20*time.Second, 5*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, 11, open(), "a quarter of twelve are cold; the last waits for them")
}

func TestAWrongAddressOrKeyIsOnePlainMessage(t *testing.T) {
	api, err := apiserver.Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	defer api.Stop()
	api.Token = "right"
	c := Config{API: &rest.Config{Host: "http://" + api.Addr(), BearerToken: "wrong"}, Namespace: "default", Identity: "x", LeaseName: "l", LeaseDuration: time.Second,
		Membership: membership.DefaultConfig(), Fanout: fanout.DefaultConfig(), Services: []Service{{ListName: "s", ServiceName: "s", Listen: free(t)}}}
	k, err := New(c, zap.NewNop())
	require.NoError(t, err)
	assert.ErrorContains(t, k.Run(t.Context()), "Unauthorized")
	c.API = &rest.Config{Host: "http://" + free(t)}
	k, err = New(c, zap.NewNop())
	require.NoError(t, err)
	assert.ErrorContains(t, k.Run(t.Context()), "refused")
	c.API = &rest.Config{Host: "https://" + api.Addr(), TLSClientConfig: rest.TLSClientConfig{CAFile: filepath.Join(t.TempDir(), "none")}}
	k, err = New(c, zap.NewNop())
	require.NoError(t, err)
	assert.Error(t, k.Run(t.Context()))
}

// A leader that is cut off from the API goes on serving its list and says how old its view is; another leads, and no node goes
// back to the epoch before.
func TestALeaderThatIsCutOffServesOnAndIsSucceeded(t *testing.T) {
	s := begin(t, func(a *apiserver.Server) { a.Set("endpointslices", slice("a", "b")) })
	s.becomes(map[string]string{"a": "ready", "b": "ready"})
	require.Eventually(t, func() bool { return s.k.Status().Leading }, 20*time.Second, 5*time.Millisecond)
	wire := newWire(t, s.api.Addr())
	require.Eventually(t, func() bool { return s.k.Status().Epoch > 0 }, 20*time.Second, 5*time.Millisecond)
	first := s.k.Status().Epoch
	second := s.reach("two", free(t), wire.addr())
	require.Eventually(t, func() bool { return second.Status().Synced }, 20*time.Second, 5*time.Millisecond)
	// The first one hands the lead over, so that the second, behind the wire, leads; then the wire is cut.
	s.stop()
	require.Eventually(t, func() bool { return second.Status().Leading && second.Status().Epoch > first }, 20*time.Second, 5*time.Millisecond)
	cut := second.Status().Epoch
	wire.cut(true)
	third := s.replica("three", s.at)
	require.Eventually(t, func() bool { return third.Status().Leading && third.Status().Epoch > cut }, 20*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		st := second.Status()
		return !st.Leading && st.Disconnected["endpointslices"] > 0 && st.Disconnected["pods"] > 0
	}, 20*time.Second, 5*time.Millisecond, "it says what it can't follow: %v", probe{second})
	s.api.Set("endpointslices", slice("b", "c"))
	s.becomes(map[string]string{"b": "ready", "c": "ready"})
	was, old := s.list(second.c.Services[0].Listen)
	assert.Equal(t, map[string]string{"a": "ready", "b": "ready"}, was, "its last list goes on being served")
	_, now := s.list(s.at)
	assert.Greater(t, now>>epochBits, old>>epochBits)
	c := http.Client{Timeout: 5 * time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s/registry/instances?follow=1&since=%d", second.c.Services[0].Listen, now))
	require.NoError(t, err)
	r.Body.Close()
	assert.Equal(t, 503, r.StatusCode, "not to a node that has heard a later epoch")
	wire.cut(false)
	require.Eventually(t, func() bool {
		is, at := s.list(second.c.Services[0].Listen)
		return assert.ObjectsAreEqual(map[string]string{"b": "ready", "c": "ready"}, is) && at>>epochBits == now>>epochBits && len(second.Status().Disconnected) == 0
	}, 30*time.Second, 5*time.Millisecond, "and it follows again")
}

// wire stands between a replica and the API, and can be cut.
type wire struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	off   bool
	conns map[net.Conn]bool
}

func newWire(t *testing.T, to string) *wire {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &wire{ln: ln, to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { ln.Close(); w.cut(true) })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.carry(c)
		}
	}()
	return w
}

func (w *wire) addr() string { return w.ln.Addr().String() }

func (w *wire) cut(off bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.off = off; off {
		for c := range w.conns {
			c.Close()
		}
	}
}

func (w *wire) carry(c net.Conn) {
	defer c.Close()
	to, err := net.Dial("tcp", w.to)
	if err != nil {
		return
	}
	defer to.Close()
	w.mu.Lock()
	off := w.off
	w.conns[c], w.conns[to] = true, true
	w.mu.Unlock()
	if off {
		return
	}
	go func() { io.Copy(to, c); to.Close() }()
	io.Copy(c, to)
}

type probe struct{ k *Controller }

func (p probe) String() string { return fmt.Sprintf("%+v", p.k.Status()) }

// A port that another has taken ends the start with its name, and everything that was begun.
func TestATakenPortEndsTheStart(t *testing.T) {
	api, err := apiserver.Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(api.Stop)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	at := taken.Addr().String()
	there, err := sqlstore.Open("sqlite:" + filepath.Join(t.TempDir(), "record.db"))
	require.NoError(t, err)
	_, err = New(Config{RecordAddress: at, Membership: membership.DefaultConfig(), Fanout: fanout.DefaultConfig()}, zap.NewNop())
	assert.ErrorContains(t, err, "there is no store")
	for _, c := range []Config{{Services: []Service{{ListName: "s", ServiceName: "s", Listen: at}}}, {RecordAddress: at, Store: there, Services: []Service{{ListName: "s", ServiceName: "s", Listen: free(t)}}}} {
		c.API, c.Namespace, c.Identity, c.LeaseName, c.LeaseDuration = &rest.Config{Host: "http://" + api.Addr()}, "default", "one", "l", 2*time.Second
		c.Membership, c.Fanout = membership.DefaultConfig(), fanout.DefaultConfig()
		k, err := New(c, zap.NewNop())
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- k.Run(t.Context()) }()
		select {
		case err := <-ended:
			assert.ErrorContains(t, err, at)
		case <-time.After(20 * time.Second):
			t.Fatal("it goes on without its list")
		}
	}
}
