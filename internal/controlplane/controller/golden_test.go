package controller

// The files under testdata pin what the controller reads from the cluster manager's API, what it writes there, and
// its status page. The .json files of API objects were written by hand and read by the code at commit 0cdd5b2; the
// .http files, the status pages and list.json were written by that code. Times that the clock gives are replaced
// by fixedTime. Never change or regenerate the files to follow a rename.

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
)

const fixedTime = "2024-04-13T09:00:00Z"

// recentTime is a time that the clock gave, alone or in microseconds. Those of the golden objects are of 2024.
var recentTime = regexp.MustCompile(`"20(2[5-9]|[3-9]\d)-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z"`)

// apiRequest is one request as the API hears it.
type apiRequest struct {
	method, path, contentType string
	body                      string
}

// String is the request as the golden files have it.
func (r apiRequest) String() string {
	body := recentTime.ReplaceAllString(strings.TrimSuffix(r.body, "\n"), `"`+fixedTime+`"`)
	return fmt.Sprintf("%s %s\nContent-Type: %s\n\n%s\n", r.method, r.path, r.contentType, body)
}

// fakeAPI keeps the requests that change something. It holds one object: the body of the last of them.
type fakeAPI struct {
	mu      sync.Mutex
	object  string
	written []apiRequest
	heard   chan struct{} // something was written
}

func newFakeAPI() *fakeAPI { return &fakeAPI{heard: make(chan struct{}, 100)} }

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
		a.heard <- struct{}{}
	}
	answer := a.object
	if answer == "" {
		answer = `{"apiVersion":"v1","kind":"Status","status":"Failure","reason":"NotFound","code":404}`
	}
	if request.Method == http.MethodPatch {
		answer = `{"apiVersion":"v1","kind":"Pod","metadata":{"name":"patched"}}`
	}
	return &http.Response{
		StatusCode: status, Header: http.Header{"Content-Type": {"application/json"}}, Request: request,
		Body: io.NopCloser(strings.NewReader(answer)),
	}, nil
}

// requests are those that changed something.
func (a *fakeAPI) requests() []apiRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written
}

// goldenController is a replica that has begun at a fixed time and knows nothing yet. Its requests go to the API
// given.
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
	controller.begin, err = time.Parse(time.RFC3339, fixedTime)
	require.NoError(t, err)
	controller.base = 5
	return controller
}

// goldenObject decodes an object of the API.
func goldenObject[T any](t *testing.T, name string) *T {
	t.Helper()
	object := new(T)
	require.NoError(t, json.Unmarshal(testutil.Golden(t, name), object))
	return object
}

// hearAll has the replica hear all kinds of objects, so that its view is whole.
func hearAll(t *testing.T, controller *Controller) {
	t.Helper()
	controller.pod("booking/booking-1", goldenObject[core.Pod](t, "pod.json"), false)
	controller.slice("booking/booking-api-1", goldenObject[discovery.EndpointSlice](t, "endpointslice.json"), false)
	controller.lease("booking/booking-controller", goldenObject[coordination.Lease](t, "lease.json"), false)
	for _, kind := range []string{"endpointslices", "pods", "nodes", "leases"} {
		controller.sync(kind)
	}
}

// toldMembers are a service's members as nodes are told them.
func toldMembers(controller *Controller) []fanout.Member {
	var members []fanout.Member
	for _, member := range controller.state.Members("booking-api") {
		members = append(members, controller.member(member))
	}
	return members
}

func TestObjects_ListThatFollows(t *testing.T) {
	controller := goldenController(t, newFakeAPI())
	hearAll(t, controller)
	members := toldMembers(controller)
	require.Len(t, members, 2)
	assert.Greater(t, members[1].UpSince, members[0].UpSince, "it is not known when the second one started")
	members[1].UpSince = 1712998800456
	testutil.EqualGoldenJSON(t, "list.json", members)
	assert.EqualValues(t, 7<<40+5+controller.state.Revision()+1, controller.lists["booking-api"].Status().Revision,
		"the epoch follows the lease's transitions")

	terminating := goldenObject[discovery.EndpointSlice](t, "endpointslice-terminating.json")
	controller.slice("booking/booking-api-1", terminating, false)
	controller.node("node-b", goldenObject[core.Node](t, "node.json"), false)
	members = toldMembers(controller)
	require.Len(t, members, 2)
	assert.Equal(t, []string{"draining", "draining"}, []string{members[0].Phase, members[1].Phase},
		"an endpoint that terminates, and a node with a taint")
	assert.Equal(t, "zone-b", members[1].Locality, "of its node")
}

func TestLease_OnlyItsOwn(t *testing.T) {
	controller := goldenController(t, newFakeAPI())
	other := goldenObject[coordination.Lease](t, "lease.json")
	other.Name = "another"
	controller.lease("booking/another", other, false)
	assert.Zero(t, controller.epoch)
}

func TestOpenGates_GoldenPatch(t *testing.T) {
	api := newFakeAPI()
	controller := goldenController(t, api)
	var err error
	controller.pods, err = controller.client("", "v1")
	require.NoError(t, err)
	hearAll(t, controller)
	controller.lead(true)
	controller.openGates(t.Context())
	require.Len(t, api.requests(), 1)
	testutil.EqualGolden(t, "pod-gate.http", []byte(api.requests()[0].String()))
	assert.Equal(t, "robincart.dev/may-serve", string(ReadinessGate))
}

func TestElect_GoldenLease(t *testing.T) {
	api := newFakeAPI()
	controller := goldenController(t, api)
	client, err := controller.client("coordination.k8s.io", "v1")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		controller.elect(ctx, client)
	}()
	testutil.Receive(t, api.heard) // it is taken
	testutil.Receive(t, api.heard) // and held
	cancel()
	testutil.Receive(t, ended)
	requests := api.requests()
	testutil.EqualGolden(t, "lease-taken.http", []byte(requests[0].String()))
	testutil.EqualGolden(t, "lease-released.http", []byte(requests[len(requests)-1].String()))
}

// fakeStore is a record that keeps what is written to it.
type fakeStore struct {
	store.Store
	facts   []record.Entry
	changes []record.Change
}

func (s *fakeStore) Since(context.Context, int64, int) (record.Page, error) {
	return record.Page{Meta: record.Meta{Epoch: "5f2a9c", Revision: 7}, Complete: true, Entries: s.facts}, nil
}

func (s *fakeStore) Write(_ context.Context, _ string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	for _, change := range changes {
		s.changes = append(s.changes, change)
		s.facts = append(s.facts, record.Entry{
			Key: change.Key, Revision: 7, Writer: change.Writer, IdempotencyKey: change.IdempotencyKey, Value: change.Value,
		})
	}
	return s.facts, record.Meta{}, nil
}

func goldenBook(t *testing.T) (*book, *fakeAPI, *fakeStore) {
	t.Helper()
	api, kept := newFakeAPI(), &fakeStore{}
	opened, err := newBook(goldenController(t, api), kept)
	require.NoError(t, err)
	opened.boot = "boot"
	return opened, api, kept
}

func goldenSetting(t *testing.T, name string) *unstructured.Unstructured {
	t.Helper()
	object := &unstructured.Unstructured{}
	require.NoError(t, object.UnmarshalJSON(testutil.Golden(t, name)))
	return object
}

func TestSetting_Read(t *testing.T) {
	opened, _, _ := goldenBook(t)
	opened.hear("booking/acme-quota", goldenSetting(t, "setting.json"), false)
	opened.hear("booking/odd", goldenSetting(t, "setting-malformed.json"), false)
	assert.Equal(t, wish{
		Object: desiredstate.Object{
			Key: "booking/acme-quota", UID: "uid-acme-quota", Generation: 3, CreatedAt: 1712998800000,
			Spec: desiredstate.Spec{Kind: "tenant", Name: "booking/acme", Text: `{"quota": 200, "weight": 2}`},
		},
		namespace: "booking", name: "acme-quota",
		has: desiredstate.Status{
			Accepted: true, Reason: "being written to the record", Generation: 2, Revision: 7, Epoch: "5f2a9c",
			Nodes: 11, ListRevision: 7696581394473,
		},
	}, opened.all["booking/acme-quota"])
	odd := opened.all["booking/odd"]
	assert.NotEmpty(t, odd.Malformed)
	assert.Equal(t, desiredstate.Status{Generation: -1}, odd.has, "a status that can't be read is written anew")
}

func TestSetting_GoldenStatusPatch(t *testing.T) {
	const service = "[[service]]\nname = \"booking\"\ndiscovery = \"127.0.0.1:8500\"\n"
	for _, test := range []struct {
		golden string
		spec   desiredstate.Spec
		has    desiredstate.Status
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
			golden: "setting-listed.http",
			spec:   desiredstate.Spec{Kind: "service", Name: "booking", Text: service},
			has:    desiredstate.Status{Nodes: 11, ListRevision: 7696581394473},
		},
	} {
		t.Run(test.golden, func(t *testing.T) {
			opened, api, _ := goldenBook(t)
			opened.counted = time.Now() // nodes stay as the status has them
			object := desiredstate.Object{Key: "booking/acme-quota", UID: "u", Generation: 3, Spec: test.spec}
			wishes := map[string]wish{
				object.Key: {Object: object, namespace: "booking", name: "acme-quota", has: test.has},
			}
			require.NoError(t, opened.fulfil(t.Context(), []desiredstate.Object{object}, wishes))
			require.Len(t, api.requests(), 1)
			testutil.EqualGolden(t, test.golden, []byte(api.requests()[0].String()))
		})
	}
}

func TestSetting_RecordedChange(t *testing.T) {
	opened, _, kept := goldenBook(t)
	object := desiredstate.Object{
		Key: "booking/acme-quota", UID: "u", Generation: 3,
		Spec: desiredstate.Spec{Kind: "tenant", Name: "booking/acme", Text: `{"quota":200,"weight":2}`},
	}
	wishes := map[string]wish{object.Key: {Object: object, namespace: "booking", name: "acme-quota"}}
	begun := time.Now().UnixMilli()
	require.NoError(t, opened.fulfil(t.Context(), []desiredstate.Object{object}, wishes))
	require.Len(t, kept.changes, 1)
	change := kept.changes[0]
	assert.GreaterOrEqual(t, change.WrittenAt, begun, "milliseconds of Unix time")
	change.WrittenAt = 0
	assert.Equal(t, record.Change{
		Key: record.Key{Kind: "tenant", Name: "booking/acme"}, Writer: "controller", IdempotencyKey: "controller-1.boot.1",
		Value: json.RawMessage(`{"quota":200,"weight":2}`),
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
				Epoch: "5f2a9c", Revision: 9, Entries: 10, Nodes: 11, SecondsSinceContact: 12.5, Error: "no answer", Pending: 13,
				Written: 14, Answered: 15, Merged: 16,
			},
			Services: map[string]fanout.Status{
				"booking": {Revision: 17, Servers: 18, Watchers: 19, Rejected: 20, Snapshots: 21, SecondsSinceSource: 22.5},
			},
		},
		"status-zero.json": {},
	} {
		t.Run(name, func(t *testing.T) { testutil.EqualGoldenJSON(t, name, want) })
	}
}

func TestPage_Golden(t *testing.T) {
	opened, _, _ := goldenBook(t)
	controller := opened.k
	controller.book = opened
	opened.fault = "the store is away"
	controller.lead(true)
	controller.lease("booking/booking-controller", goldenObject[coordination.Lease](t, "lease.json"), false)
	controller.pod("booking/odd", &core.Pod{}, false)
	controller.gates = 8
	answer := httptest.NewRecorder()
	controller.page(answer, httptest.NewRequest("GET", "/status", nil))
	assert.Equal(t, http.StatusOK, answer.Code)
	assert.Equal(t, "application/json", answer.Header().Get("Content-Type"))
	testutil.EqualGolden(t, "page.json", answer.Body.Bytes())
	var shown Status
	require.NoError(t, json.NewDecoder(bytes.NewReader(testutil.Golden(t, "page.json"))).Decode(&shown))
	assert.Equal(t, controller.Status(), shown)
}
