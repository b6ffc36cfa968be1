package controller

// The files under testdata fix the formats of the objects that the controller reads from the cluster manager's API, of
// the requests by which it writes to the API, and of its status page. The .json files of API objects were written by
// hand, and the expected results are those of the code at commit 0cdd5b2. That code wrote the .http files, the status
// pages and list.json. In these files, fixedTime replaces the times of the clock. When a name changes in the code, do
// not change or regenerate the files.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	coordination "k8s.io/api/coordination/v1"
	core "k8s.io/api/core/v1"
	discovery "k8s.io/api/discovery/v1"
	"k8s.io/apimachinery/pkg/apis/meta/v1/unstructured"
	"k8s.io/client-go/rest"

	"robincart/internal/controlplane/desiredstate"
	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
	"robincart/internal/controlplane/recordserver"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/testutil"
	"robincart/internal/testutil/golden"
)

const fixedTime = "2024-04-13T09:00:00Z"

// recentTime matches a time in JSON that the clock gave, with or without a fraction of a second. It does not match the
// times in the golden objects, which are in 2024.
var recentTime = regexp.MustCompile(`"20(2[5-9]|[3-9]\d)-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z"`)

// apiRequest is one request as the API receives it.
type apiRequest struct {
	method, path, contentType string
	body                      string
}

// String returns the request in the form of the golden files.
func (r apiRequest) String() string {
	body := recentTime.ReplaceAllString(strings.TrimSuffix(r.body, "\n"), `"`+fixedTime+`"`)
	return fmt.Sprintf("%s %s\nContent-Type: %s\n\n%s\n", r.method, r.path, r.contentType, body)
}

// fakeAPI is an HTTP transport that records all requests that write. It stores one object: the body of the last request
// that wrote.
type fakeAPI struct {
	mu      sync.Mutex
	object  string
	written []apiRequest
	changed chan struct{} // signals a request that writes
}

func newFakeAPI() *fakeAPI { return &fakeAPI{changed: make(chan struct{}, 100)} }

func (a *fakeAPI) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		body, _ = io.ReadAll(request.Body)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	status := http.StatusOK
	if request.Method == http.MethodGet {
		if a.object == "" {
			status = http.StatusNotFound
		}
	} else {
		a.object = string(body)
		a.written = append(a.written, apiRequest{
			method: request.Method, path: request.URL.RequestURI(),
			contentType: request.Header.Get("Content-Type"), body: string(body),
		})
		a.changed <- struct{}{}
	}
	response := a.object
	if response == "" {
		response = `{"apiVersion":"v1","kind":"Status","status":"Failure","reason":"NotFound","code":404}`
	}
	if request.Method == http.MethodPatch {
		response = `{"apiVersion":"v1","kind":"Pod","metadata":{"name":"patched"}}`
	}
	return &http.Response{
		StatusCode: status, Header: http.Header{"Content-Type": {"application/json"}}, Request: request,
		Body: io.NopCloser(strings.NewReader(response)),
	}, nil
}

// requests returns the recorded requests.
func (a *fakeAPI) requests() []apiRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written
}

// goldenController returns a replica that started at fixedTime, has not listed any kind, and sends its requests to api.
func goldenController(t *testing.T, api *fakeAPI) *Controller {
	t.Helper()
	config := Config{
		API: &rest.Config{Host: "http://api.example.org", Transport: api}, Namespace: "booking",
		Identity: "controller-1", LeaseName: "booking-controller", LeaseDuration: 6 * time.Second,
		Membership: membership.DefaultConfig(), Fanout: fanout.DefaultConfig(),
		Services: []Service{{ListName: "booking", ServiceName: "booking-api", Port: "http", Listen: "127.0.0.1:0"}},
	}
	controller, err := New(config, zap.NewNop())
	require.NoError(t, err)
	controller.started, err = time.Parse(time.RFC3339, fixedTime)
	require.NoError(t, err)
	controller.revisionOffset = 5
	return controller
}

// goldenObject decodes an object of the API.
func goldenObject[T any](t *testing.T, name string) *T {
	t.Helper()
	object := new(T)
	require.NoError(t, json.Unmarshal(golden.Read(t, name), object))
	return object
}

// syncAll passes objects of the required kinds to the replica, and marks all required kinds as listed.
func syncAll(t *testing.T, controller *Controller) {
	t.Helper()
	controller.handlePod("booking/booking-1", goldenObject[core.Pod](t, "pod.json"), objectUpdated)
	slice := goldenObject[discovery.EndpointSlice](t, "endpointslice.json")
	controller.handleEndpointSlice("booking/booking-api-1", slice, objectUpdated)
	lease := goldenObject[coordination.Lease](t, "lease.json")
	controller.handleLease("booking/booking-controller", lease, objectUpdated)
	for _, kind := range []string{"endpointslices", "pods", "nodes", "leases"} {
		controller.markListed(kind)
	}
}

// publishedMembers returns the members of the service "booking-api" as nodes receive them.
func publishedMembers(controller *Controller) []fanout.Member {
	var members []fanout.Member
	for _, member := range controller.state.Members("booking-api") {
		members = append(members, controller.listMember(member))
	}
	return members
}

func TestController_GoldenList(t *testing.T) {
	controller := goldenController(t, newFakeAPI())
	syncAll(t, controller)
	members := publishedMembers(controller)
	require.Len(t, members, 2)
	assert.Greater(t, members[1].UpSince, members[0].UpSince,
		"the start of the second server is not known, so its first observation is used")
	members[1].UpSince = 1712998800456
	golden.JSON(t, "list.json", members)
	assert.EqualValues(t, 7<<40+5+controller.state.Revision()+1, controller.lists["booking-api"].Status().Revision,
		"the epoch is one more than the transitions of the lease")

	terminating := goldenObject[discovery.EndpointSlice](t, "endpointslice-terminating.json")
	controller.handleEndpointSlice("booking/booking-api-1", terminating, objectUpdated)
	controller.handleNode("node-b", goldenObject[core.Node](t, "node.json"), objectUpdated)
	members = publishedMembers(controller)
	require.Len(t, members, 2)
	assert.Equal(t, []string{"draining", "draining"}, []string{members[0].Phase, members[1].Phase},
		"the endpoint of the first is terminating, and the node of the second has a taint")
	assert.Equal(t, "zone-b", members[1].Locality, "the zone of the server's node")
}

func TestHandleLease_OtherLeaseIgnored(t *testing.T) {
	controller := goldenController(t, newFakeAPI())
	other := goldenObject[coordination.Lease](t, "lease.json")
	other.Name = "another"
	controller.handleLease("booking/another", other, objectUpdated)
	assert.Zero(t, controller.epoch)
}

func TestOpenGates_GoldenPatch(t *testing.T) {
	api := newFakeAPI()
	controller := goldenController(t, api)
	var err error
	controller.clients, err = newAPIClients(controller.config.API)
	require.NoError(t, err)
	syncAll(t, controller)
	controller.setLeading(true)
	controller.openGates(t.Context())
	require.Len(t, api.requests(), 1)
	golden.Check(t, "pod-gate.http", []byte(api.requests()[0].String()))
	assert.Equal(t, "robincart.dev/may-serve", string(ReadinessGate))
}

func TestElect_GoldenLease(t *testing.T) {
	api := newFakeAPI()
	controller := goldenController(t, api)
	var err error
	controller.clients, err = newAPIClients(controller.config.API)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		controller.elect(ctx)
	}()
	testutil.Receive(t, api.changed) // the lease is acquired
	testutil.Receive(t, api.changed) // the lease is renewed
	cancel()
	testutil.Receive(t, ended)
	requests := api.requests()
	golden.Check(t, "lease-taken.http", []byte(requests[0].String()))
	golden.Check(t, "lease-released.http", []byte(requests[len(requests)-1].String()))
}

// fakeStore is a record in memory, with the changes that were written to it.
type fakeStore struct {
	store.Store
	entries []record.Entry
	changes []record.Change
}

func (s *fakeStore) Since(context.Context, int64, int) (record.Page, error) {
	return record.Page{Meta: record.Meta{Epoch: "5f2a9c", Revision: 7}, Complete: true, Entries: s.entries}, nil
}

func (s *fakeStore) Write(_ context.Context, _ string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	for _, change := range changes {
		s.changes = append(s.changes, change)
		s.entries = append(s.entries, record.Entry{
			Key: change.Key, Revision: 7, Writer: change.Writer, IdempotencyKey: change.IdempotencyKey,
			Value: change.Value,
		})
	}
	return s.entries, record.Meta{}, nil
}

func goldenRecordWriter(t *testing.T) (*recordWriter, *fakeAPI, *fakeStore) {
	t.Helper()
	api, recordStore := newFakeAPI(), &fakeStore{}
	writer, err := newRecordWriter(goldenController(t, api), recordStore)
	require.NoError(t, err)
	writer.instance = "boot"
	return writer, api, recordStore
}

func goldenSetting(t *testing.T, name string) *unstructured.Unstructured {
	t.Helper()
	object := &unstructured.Unstructured{}
	require.NoError(t, object.UnmarshalJSON(golden.Read(t, name)))
	return object
}

func TestHandleSetting_GoldenObject(t *testing.T) {
	writer, _, _ := goldenRecordWriter(t)
	writer.handleSetting("booking/acme-quota", goldenSetting(t, "setting.json"), objectUpdated)
	writer.handleSetting("booking/odd", goldenSetting(t, "setting-malformed.json"), objectUpdated)
	assert.Equal(t, settingObject{
		Object: desiredstate.Object{
			Key: "booking/acme-quota", UID: "uid-acme-quota", Generation: 3, CreatedAt: 1712998800000,
			Spec: desiredstate.Spec{Kind: "tenant", Name: "booking/acme", Text: `{"quota": 200, "weight": 2}`},
		},
		namespace: "booking", name: "acme-quota",
		published: desiredstate.Status{
			Accepted: true, Reason: "being written to the record", Generation: 2, Revision: 7, Epoch: "5f2a9c",
			Nodes: 11, ListRevision: 7696581394473,
		},
	}, writer.settings["booking/acme-quota"])
	odd := writer.settings["booking/odd"]
	assert.NotEmpty(t, odd.Malformed)
	assert.Equal(t, desiredstate.Status{Generation: -1}, odd.published,
		"a status that can't be decoded is published again")
}

func TestRecordWriter_GoldenStatusPatch(t *testing.T) {
	const service = "[[service]]\nname = \"booking\"\ndiscovery = \"127.0.0.1:8500\"\n"
	for _, test := range []struct {
		golden    string
		spec      desiredstate.Spec
		published desiredstate.Status
	}{
		{
			golden: "setting-accepted.http",
			spec:   desiredstate.Spec{Kind: "tenant", Name: "booking/acme", Text: `{"quota":200,"weight":2}`},
		},
		{
			golden: "setting-refused.http",
			spec:   desiredstate.Spec{Kind: "drain", Name: "booking/pod-1", Text: `{}`},
		},
		{
			golden:    "setting-listed.http",
			spec:      desiredstate.Spec{Kind: "service", Name: "booking", Text: service},
			published: desiredstate.Status{Nodes: 11, ListRevision: 7696581394473},
		},
	} {
		t.Run(test.golden, func(t *testing.T) {
			writer, api, _ := goldenRecordWriter(t)
			writer.nodesCountedAt = time.Now() // so that reconcile keeps the published number of nodes
			object := desiredstate.Object{Key: "booking/acme-quota", UID: "u", Generation: 3, Spec: test.spec}
			settings := map[string]settingObject{
				object.Key: {Object: object, namespace: "booking", name: "acme-quota", published: test.published},
			}
			require.NoError(t, writer.reconcile(t.Context(), settings))
			require.Len(t, api.requests(), 1)
			golden.Check(t, test.golden, []byte(api.requests()[0].String()))
		})
	}
}

func TestRecordWriter_RecordedChange(t *testing.T) {
	writer, _, recordStore := goldenRecordWriter(t)
	object := desiredstate.Object{
		Key: "booking/acme-quota", UID: "u", Generation: 3,
		Spec: desiredstate.Spec{Kind: "tenant", Name: "booking/acme", Text: `{"quota":200,"weight":2}`},
	}
	settings := map[string]settingObject{object.Key: {Object: object, namespace: "booking", name: "acme-quota"}}
	started := time.Now().UnixMilli()
	require.NoError(t, writer.reconcile(t.Context(), settings))
	require.Len(t, recordStore.changes, 1)
	change := recordStore.changes[0]
	assert.GreaterOrEqual(t, change.WrittenAt, started, "milliseconds of Unix time")
	change.WrittenAt = 0
	assert.Equal(t, record.Change{
		Key: record.Key{Kind: "tenant", Name: "booking/acme"}, Writer: "controller",
		IdempotencyKey: "controller-1.boot.1", Value: json.RawMessage(`{"quota":200,"weight":2}`),
	}, change)
}

func TestStatus_Golden(t *testing.T) {
	for name, want := range map[string]Status{
		"status.json": {
			Identity: "controller-1", Leading: true, Epoch: 7, Synced: true,
			Disconnected: map[string]float64{"endpointslices": 2.5, "pods": 3.5},
			Skipped:      map[string]string{"pod booking/odd": "it has no UID"},
			GatesOpened:  8, RecordError: "the store is away",
			RecordServer: &recordserver.Status{
				Epoch: "5f2a9c", Revision: 9, Entries: 10, Watchers: 11, SecondsSinceContact: 12.5, Error: "no answer",
				Pending: 13, Written: 14, Answered: 15, Merged: 16,
			},
			Services: map[string]fanout.Status{
				"booking": {Revision: 17, Servers: 18, Watchers: 19, Rejected: 20, Snapshots: 21,
					SecondsSinceSourceSeen: 22.5},
			},
		},
		"status-zero.json": {},
	} {
		t.Run(name, func(t *testing.T) { golden.JSON(t, name, want) })
	}
}

func TestServeStatus_Golden(t *testing.T) {
	writer, _, _ := goldenRecordWriter(t)
	controller := writer.controller
	controller.recordWriter = writer
	writer.lastError = "the store is away"
	controller.setLeading(true)
	lease := goldenObject[coordination.Lease](t, "lease.json")
	controller.handleLease("booking/booking-controller", lease, objectUpdated)
	controller.handlePod("booking/odd", &core.Pod{}, objectUpdated)
	controller.gatesOpened = 8
	response := httptest.NewRecorder()
	controller.serveStatus(response, httptest.NewRequest("GET", "/status", nil))
	assert.Equal(t, http.StatusOK, response.Code)
	assert.Equal(t, "application/json", response.Header().Get("Content-Type"))
	golden.Check(t, "page.json", response.Body.Bytes())
	var shown Status
	require.NoError(t, json.NewDecoder(bytes.NewReader(golden.Read(t, "page.json"))).Decode(&shown))
	assert.Equal(t, controller.Status(), shown)
}
