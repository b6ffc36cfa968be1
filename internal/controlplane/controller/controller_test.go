package controller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
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

const (
	eventTimeout = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// cluster is a stand-in for the cluster manager's API, with the first replica that uses it through the client library.
type cluster struct {
	t     *testing.T
	api   *apiserver.Server
	first *replica
}

// replica is a running controller.
type replica struct {
	*Controller
	list string // address at which the replica's list is served to nodes
	stop func() // ends Run and waits until it has returned
}

// newCluster starts the API, calls prepare, which sets objects in the API, and starts the first replica.
func newCluster(t *testing.T, prepare func(*apiserver.Server)) *cluster {
	api := startAPI(t)
	if prepare != nil {
		prepare(api)
	}
	c := &cluster{t: t, api: api}
	c.first = c.startReplica("one", unusedAddress(t), api.Addr())
	return c
}

func startAPI(t *testing.T) *apiserver.Server {
	api, err := apiserver.Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(api.Stop)
	return api
}

func unusedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// testConfig returns the configuration of a replica that serves the list of the service "s". The argument list is the
// address of that list, and api is the address of the API.
func testConfig(identity, list, api string) Config {
	return Config{
		API:           &rest.Config{Host: "http://" + api},
		Namespace:     "default",
		Identity:      identity,
		LeaseName:     "l",
		LeaseDuration: 2 * time.Second,
		Membership:    membership.DefaultConfig(),
		Fanout:        fanout.DefaultConfig(),
		Services:      []Service{{ListName: "s", ServiceName: "s", Listen: list}},
	}
}

// startReplica starts a replica. The parameter list is the address at which the replica serves its list. The parameter
// api is the address of the API server to which the replica connects.
func (c *cluster) startReplica(identity, list, api string) *replica {
	controller, err := New(testConfig(identity, list, api), zap.NewNop())
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		assert.NoError(c.t, controller.Run(ctx))
	}()
	stop := func() {
		cancel()
		<-ended
	}
	c.t.Cleanup(stop)
	return &replica{Controller: controller, list: list, stop: stop}
}

func (c *cluster) setPod(name string, deleting bool) {
	metadata := map[string]any{"name": name, "namespace": "default", "uid": "uid-" + name}
	if deleting {
		metadata["deletionTimestamp"] = "2026-04-13T10:00:00Z"
	}
	c.api.Set("pods", apiserver.Object{"metadata": metadata, "status": map[string]any{"phase": "Running"}})
}

// newSlice returns an EndpointSlice of the service "s" with an endpoint for each pod.
func newSlice(pods ...string) apiserver.Object {
	var endpoints []apiserver.Object
	for i, pod := range pods {
		endpoints = append(endpoints, apiserver.Object{
			"addresses":  []string{fmt.Sprintf("10.0.0.%d", i+1)},
			"conditions": map[string]any{"ready": true},
			"targetRef":  map[string]any{"kind": "Pod", "name": pod, "uid": "uid-" + pod},
		})
	}
	return apiserver.Object{
		"metadata": map[string]any{
			"name": "s-1", "namespace": "default", "labels": map[string]any{"kubernetes.io/service-name": "s"},
		},
		"addressType": "IPv4",
		"endpoints":   endpoints,
		"ports":       []map[string]any{{"name": "http", "port": 80}},
	}
}

// snapshot is a list as a node receives it.
type snapshot struct {
	phases   map[string]string // by pod
	revision int64
}

// fetchSnapshot requests the list of a replica as a polling node does. It returns an empty snapshot if the request
// fails.
func fetchSnapshot(address string) snapshot {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + address + "/registry/instances")
	if err != nil {
		return snapshot{}
	}
	defer response.Body.Close()
	var message struct {
		Revision int64
		Members  []fanout.Member
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&message) != nil {
		return snapshot{}
	}
	phases := map[string]string{}
	for _, member := range message.Members {
		phases[strings.TrimPrefix(member.ID, "uid-")] = member.Phase
	}
	return snapshot{phases: phases, revision: message.Revision}
}

// watchSince starts to watch a list from a revision, and returns the response before any message is read. The caller
// closes the body.
func watchSince(t *testing.T, address string, revision int64) *http.Response {
	t.Helper()
	client := http.Client{Timeout: eventTimeout}
	response, err := client.Get(fmt.Sprintf("http://%s/registry/instances?follow=1&since=%d", address, revision))
	require.NoError(t, err)
	return response
}

func (c *cluster) requireEventually(condition func() bool, messageAndArguments ...any) {
	c.t.Helper()
	require.Eventually(c.t, condition, eventTimeout, pollInterval, messageAndArguments...)
}

// requireList waits until the address of the first replica serves the list with the wanted phases, by pod.
func (c *cluster) requireList(want map[string]string) {
	c.t.Helper()
	var got map[string]string
	equal := assert.Eventually(c.t, func() bool {
		got = fetchSnapshot(c.first.list).phases
		return assert.ObjectsAreEqual(want, got)
	}, eventTimeout, pollInterval)
	require.True(c.t, equal, "found the list %v, expected %v", got, want)
}

func TestController_DrainingServerStaysDraining(t *testing.T) {
	c := newCluster(t, func(api *apiserver.Server) { api.Set("endpointslices", newSlice("a", "b")) })
	c.setPod("a", false)
	c.setPod("b", false)
	c.requireList(map[string]string{"a": "ready", "b": "ready"})
	c.setPod("a", true)
	c.requireList(map[string]string{"a": "draining", "b": "ready"})
	for _, test := range []struct {
		name  string
		fault func()
	}{
		{"old events replayed", func() {
			c.api.Replay("pods", 100)
			c.api.Replay("endpointslices", 100)
		}},
		{"watches broken", c.api.BreakWatches},
		{"history compacted", func() {
			c.api.Compact()
			c.api.BreakWatches()
		}},
		{"requests limited", func() {
			c.api.Limit(2)
			c.api.BreakWatches()
		}},
		{"requests failed", func() {
			c.api.Fail(2)
			c.api.BreakWatches()
		}},
		{"slice written again", func() { c.api.Set("endpointslices", newSlice("a", "b")) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.fault()
			for range 20 { // the phase must not change, so there is no event to wait for
				time.Sleep(10 * time.Millisecond)
				assert.Equal(t, "draining", fetchSnapshot(c.first.list).phases["a"])
			}
		})
	}
	c.api.Delete("pods", "default", "a")
	c.api.Set("endpointslices", newSlice("b", "c"))
	c.requireList(map[string]string{"b": "ready", "c": "ready"})
}

func TestController_NothingPublishedBeforeSync(t *testing.T) {
	c := newCluster(t, func(api *apiserver.Server) {
		api.DelayEvents("pods", 0)
		api.Hang(true)
	})
	time.Sleep(100 * time.Millisecond) // nothing must be published, so there is no event to wait for
	assert.Nil(t, fetchSnapshot(c.first.list).phases, "an API that hangs must not lead to an empty list")
	c.api.Set("endpointslices", newSlice("a"))
	c.api.Hang(false)
	c.requireList(map[string]string{"a": "ready"})
}

func TestController_NewLeaseHolderBeginsEpoch(t *testing.T) {
	c := newCluster(t, func(api *apiserver.Server) { api.Set("endpointslices", newSlice("a")) })
	c.requireList(map[string]string{"a": "ready"})
	c.requireEventually(func() bool { return c.first.Status().Leading && c.first.Status().Epoch > 0 })
	before := fetchSnapshot(c.first.list).revision

	lease := c.api.Get("leases", "default", "l")
	spec := lease["spec"].(map[string]any)
	spec["holderIdentity"], spec["leaseTransitions"] = "another", 7
	delete(lease["metadata"].(map[string]any), "resourceVersion")
	c.api.Set("leases", lease)
	c.requireEventually(func() bool {
		revision := fetchSnapshot(c.first.list).revision
		return epochOf(revision) == 8 && revision > before
	})

	t.Run("node of a later epoch", func(t *testing.T) {
		connection, err := net.Dial("tcp", c.first.list)
		require.NoError(t, err)
		defer connection.Close()
		connection.SetDeadline(time.Now().Add(eventTimeout))
		fmt.Fprintf(connection, "GET /registry/instances?follow=1&since=%d HTTP/1.1\r\nHost: a\r\n\r\n",
			int64(99)<<epochShift)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "the node must not be sent an older list")
	})
}

// A node that changes replicas sends the revision that it received from the other replica. Replicas number their lists
// differently, so the new replica must send a snapshot: a delta could lack changes.
func TestController_NodeChangesReplicas(t *testing.T) {
	c := newCluster(t, func(api *apiserver.Server) { api.Set("endpointslices", newSlice("a", "b")) })
	c.requireList(map[string]string{"a": "ready", "b": "ready"})
	second := c.startReplica("two", unusedAddress(t), c.api.Addr())
	c.requireEventually(func() bool { return fetchSnapshot(second.list).revision > 0 })
	c.setPod("a", true)
	for _, address := range []string{c.first.list, second.list} {
		c.requireEventually(func() bool { return fetchSnapshot(address).phases["a"] == "draining" })
	}
	// A node whose revision is of a later epoch is rejected. This can happen here, since the epochs of the replicas
	// differ while only one of the replicas has seen a leader change.
	isSnapshotOrRejection := func(since int64) bool {
		response := watchSince(t, second.list, since)
		defer response.Body.Close()
		var message struct{ Complete bool }
		return response.StatusCode == http.StatusServiceUnavailable ||
			json.NewDecoder(response.Body).Decode(&message) == nil && message.Complete
	}
	revision := fetchSnapshot(c.first.list).revision
	for offset := int64(-3); offset <= 3; offset++ {
		assert.True(t, isSnapshotOrRejection(revision+offset), "since %d", revision+offset)
	}
	assert.Eventually(t, func() bool { return !isSnapshotOrRejection(fetchSnapshot(second.list).revision) },
		eventTimeout, pollInterval, "a delta must be sent for a revision of the same replica")
}

func TestController_UnusableObjectsSkipped(t *testing.T) {
	c := newCluster(t, nil)
	slice := newSlice("a", "b")
	slice["endpoints"].([]apiserver.Object)[1]["addresses"] = []string{"no address"}
	c.api.Set("endpointslices", slice)
	withoutPort := newSlice("c")
	withoutPort["metadata"].(map[string]any)["name"] = "s-2"
	withoutPort["ports"] = []map[string]any{}
	c.api.Set("endpointslices", withoutPort)
	c.requireList(map[string]string{"a": "ready"})
	c.requireEventually(func() bool { return len(c.first.Status().Skipped) == 2 }, "the status must show both")
}

func TestController_GatesOpenWithinSlowStartFraction(t *testing.T) {
	const podCount, openBefore = 12, 8
	podName := func(i int) string { return fmt.Sprint("p", i) }
	c := newCluster(t, func(api *apiserver.Server) {
		for i := range podCount {
			conditions := []map[string]any{{"type": "ContainersReady", "status": "True"}}
			if i < openBefore {
				conditions = append(conditions, map[string]any{"type": ReadinessGate, "status": "True"})
			}
			api.Set("pods", apiserver.Object{
				"metadata": map[string]any{
					"name": podName(i), "namespace": "default", "labels": map[string]any{gatedServiceLabel: "s"},
				},
				"spec":   map[string]any{"readinessGates": []map[string]any{{"conditionType": ReadinessGate}}},
				"status": map[string]any{"phase": "Running", "conditions": conditions},
			})
		}
	})
	countOpen := func() int {
		open := 0
		for i := range podCount {
			status, err := json.Marshal(c.api.Get("pods", "default", podName(i))["status"])
			require.NoError(t, err)
			if strings.Contains(string(status), ReadinessGate) {
				open++
			}
		}
		return open
	}
	c.requireEventually(func() bool { return countOpen() == 11 })
	// The test checks that no other gate opens. There is no event to wait for, so the test waits a fixed time.
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, 11, countOpen(), "while a quarter of the twelve pods is in slow start, the last gate stays closed")
}

func TestController_APIUnusable(t *testing.T) {
	api := startAPI(t)
	api.Token = "right"
	for _, test := range []struct {
		name   string
		config *rest.Config
		want   string
	}{
		{"wrong token", &rest.Config{Host: "http://" + api.Addr(), BearerToken: "wrong"}, "Unauthorized"},
		{"connection refused", &rest.Config{Host: "http://" + unusedAddress(t)}, "refused"},
		{"missing CA file", &rest.Config{
			Host:            "https://" + api.Addr(),
			TLSClientConfig: rest.TLSClientConfig{CAFile: filepath.Join(t.TempDir(), "none")},
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig("x", unusedAddress(t), api.Addr())
			config.API = test.config
			config.LeaseDuration = time.Second
			controller, err := New(config, zap.NewNop())
			require.NoError(t, err)
			assert.ErrorContains(t, controller.Run(t.Context()), test.want)
		})
	}
}

// A leader that loses its connection to the API continues to serve its last list, and its status page shows for how
// long each watch has been lost. Another replica becomes leader, and no node is sent a list of an earlier epoch.
func TestController_LeaderDisconnected(t *testing.T) {
	c := newCluster(t, func(api *apiserver.Server) { api.Set("endpointslices", newSlice("a", "b")) })
	c.requireList(map[string]string{"a": "ready", "b": "ready"})
	c.requireEventually(func() bool { return c.first.Status().Leading && c.first.Status().Epoch > 0 })
	proxy := newProxy(t, c.api.Addr())
	firstEpoch := c.first.Status().Epoch
	second := c.startReplica("two", unusedAddress(t), proxy.address())
	c.requireEventually(func() bool { return second.Status().Synced })
	c.first.stop() // the lease is released, so that the replica that uses the proxy becomes leader
	c.requireEventually(func() bool { return second.Status().Leading && second.Status().Epoch > firstEpoch })
	secondEpoch := second.Status().Epoch

	proxy.setCut(true)
	third := c.startReplica("three", c.first.list, c.api.Addr())
	c.requireEventually(func() bool { return third.Status().Leading && third.Status().Epoch > secondEpoch })
	c.requireEventually(func() bool {
		status := second.Status()
		return !status.Leading && status.Disconnected["endpointslices"] > 0 && status.Disconnected["pods"] > 0
	}, "the status must show the lost watches: %v", statusPrinter{second})
	c.api.Set("endpointslices", newSlice("b", "c"))
	c.requireList(map[string]string{"b": "ready", "c": "ready"})
	stale, current := fetchSnapshot(second.list), fetchSnapshot(third.list)
	assert.Equal(t, map[string]string{"a": "ready", "b": "ready"}, stale.phases,
		"the disconnected replica must serve its last list")
	assert.Greater(t, epochOf(current.revision), epochOf(stale.revision))
	response := watchSince(t, second.list, current.revision)
	response.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode,
		"a node that has seen a later epoch must be rejected")

	proxy.setCut(false)
	require.Eventually(t, func() bool {
		snapshot := fetchSnapshot(second.list)
		return assert.ObjectsAreEqual(map[string]string{"b": "ready", "c": "ready"}, snapshot.phases) &&
			epochOf(snapshot.revision) == epochOf(current.revision) && len(second.Status().Disconnected) == 0
	}, 30*time.Second, pollInterval, "the replica must watch the API again")
}

// statusPrinter reads the status of a replica only when a failure message is formatted, not when the check starts.
type statusPrinter struct{ replica *replica }

func (p statusPrinter) String() string { return fmt.Sprintf("%+v", p.replica.Status()) }

func TestController_AddressInUse(t *testing.T) {
	api := startAPI(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { taken.Close() })
	address := taken.Addr().String()
	recordStore, err := sqlstore.Open("sqlite:" + filepath.Join(t.TempDir(), "record.db"))
	require.NoError(t, err)

	listConfig := testConfig("one", address, api.Addr())
	recordConfig := testConfig("one", unusedAddress(t), api.Addr())
	recordConfig.RecordAddress, recordConfig.Store = address, recordStore
	for name, config := range map[string]Config{"list": listConfig, "record": recordConfig} {
		t.Run(name, func(t *testing.T) {
			controller, err := New(config, zap.NewNop())
			require.NoError(t, err)
			ended := make(chan error, 1)
			go func() { ended <- controller.Run(t.Context()) }()
			select {
			case err := <-ended:
				assert.ErrorContains(t, err, address)
			case <-time.After(eventTimeout):
				t.Fatal("Run did not fail although an address is in use")
			}
		})
	}
}

func TestNew_RecordAddressWithoutStore(t *testing.T) {
	_, err := New(Config{
		RecordAddress: "127.0.0.1:8600", Membership: membership.DefaultConfig(), Fanout: fanout.DefaultConfig(),
	}, zap.NewNop())
	assert.ErrorContains(t, err, "record address 127.0.0.1:8600 is set, but there is no store")
}
