package controller

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/lab/apiserver"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// recordFixture is a controller that writes the API's Setting objects to a record.
type recordFixture struct {
	t          *testing.T
	api        *apiserver.Server
	controller *Controller
	// operators is the store as other writers of the record open it.
	operators store.Database
}

func newRecordFixture(t *testing.T) *recordFixture {
	url := "sqlite:" + filepath.Join(t.TempDir(), "record.db")
	operators, err := sqlstore.Open(url)
	require.NoError(t, err)
	t.Cleanup(func() { operators.Close() })
	recordStore, err := sqlstore.OpenExisting(url)
	require.NoError(t, err)
	api := startAPI(t)
	config := testConfig("one", unusedAddress(t), api.Addr())
	config.Services = []Service{{ListName: "front", ServiceName: "s", Listen: config.Services[0].Listen}}
	config.Store = recordStore
	config.RecordAddress = unusedAddress(t)
	config.MaxRecordClients = 10
	controller, err := New(config, zap.NewNop())
	require.NoError(t, err)
	return &recordFixture{t: t, api: api, controller: controller, operators: operators}
}

func (f *recordFixture) run() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.controller.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		assert.NoError(f.t, <-ended)
	})
}

func (f *recordFixture) set(object, kind, name, text string) {
	f.api.Set("settings", apiserver.Object{
		"metadata": map[string]any{"name": object, "namespace": "default"},
		"spec":     map[string]any{"kind": kind, "name": name, "text": text},
	})
}

func (f *recordFixture) status(object string) string {
	return fmt.Sprint(f.api.Get("settings", "default", object)["status"])
}

// requireStatus waits until an object's status contains a text.
func (f *recordFixture) requireStatus(object, text string) {
	f.t.Helper()
	f.requireEventually(func() bool { return strings.Contains(f.status(object), text) },
		"%s: %s, %+v", object, f.status(object), f.controller.Status())
}

func (f *recordFixture) requireEventually(condition func() bool, messageAndArguments ...any) {
	f.t.Helper()
	require.Eventually(f.t, condition, eventTimeout, pollInterval, messageAndArguments...)
}

// recorded returns "WRITER VALUE" of each entry that is not deleted, by "KIND NAME".
func (f *recordFixture) recorded() map[string]string {
	page, err := f.operators.Since(f.t.Context(), 0, 100)
	require.NoError(f.t, err)
	entries := map[string]string{}
	for _, entry := range page.Entries {
		if !entry.Deleted {
			entries[string(entry.Kind)+" "+entry.Name] = entry.Writer + " " + string(entry.Value)
		}
	}
	return entries
}

// writeQuota writes the value of a tenant to the record as an operator does.
func (f *recordFixture) writeQuota(name, value string) {
	meta, err := f.operators.Meta(f.t.Context())
	require.NoError(f.t, err)
	_, _, err = f.operators.Write(f.t.Context(), meta.Epoch, []record.Change{{
		Key:            record.Key{Kind: record.KindTenant, Name: name},
		Writer:         "a person",
		IdempotencyKey: "p",
		Value:          []byte(value),
	}})
	require.NoError(f.t, err)
}

// frontService is the text of a setting that defines the service "front" with one server.
func frontService(server string) string {
	return fmt.Sprintf("[[service]]\nname = \"front\"\nservers = [%q]\n", server)
}

func TestRecordWriter_FollowsSettings(t *testing.T) {
	f := newRecordFixture(t)
	f.set("front", "service", "front", frontService("127.0.0.1:1"))
	f.set("wrong", "service", "other", "[[service]]\nname = \"front\"\n")
	f.api.Set("settings", apiserver.Object{
		"metadata": map[string]any{"name": "odd", "namespace": "default"}, "spec": "no object",
	})
	f.run()
	f.requireEventually(func() bool { return f.controller.Status().RecordError != "" },
		"the status must show the error that there is no record yet")
	_, err := f.operators.Init(t.Context(), false)
	require.NoError(t, err)

	f.requireStatus("front", "accepted:true")
	f.requireStatus("wrong", "of that name")
	f.requireStatus("odd", "spec: ")
	assert.Len(t, f.recorded(), 1)
	assert.Contains(t, f.recorded()["service front"], "127.0.0.1:1")
	f.requireServedToNodes("front")
	f.watchList()
	f.requireStatus("front", "nodes:1")
	f.requireStatus("front", "listRevision:")
	assert.Empty(t, f.controller.Status().RecordError)

	f.writeQuota("front/acme", `{"quota":5,"weight":1}`)
	f.set("front", "service", "front", frontService("127.0.0.1:2"))
	f.set("wrong", "tenant", "front/acme", `{"quota":9,"weight":1}`)
	f.requireStatus("wrong", "by a person")
	f.requireStatus("front", "observedGeneration:2")
	f.requireStatus("front", "accepted:true")
	assert.Contains(t, f.recorded()["service front"], "127.0.0.1:2")
	assert.Contains(t, f.recorded()["tenant front/acme"], `"quota":5`)

	f.api.Delete("settings", "default", "front")
	f.requireEventually(func() bool { return len(f.recorded()) == 1 })
	assert.Contains(t, f.recorded(), "tenant front/acme")
}

// requireServedToNodes waits until the replica serves a record that has one entry, with the given name.
func (f *recordFixture) requireServedToNodes(name string) {
	f.t.Helper()
	served := store.DialControllers([]string{f.controller.config.RecordAddress}, nil)
	f.t.Cleanup(func() { served.Close() })
	f.requireEventually(func() bool {
		page, err := served.Since(f.t.Context(), 0, 100)
		return err == nil && len(page.Entries) == 1 && page.Entries[0].Name == name
	})
	assert.Equal(f.t, 1, f.controller.Status().RecordServer.Watchers)
}

// watchList watches the list as a node does, until the test ends.
func (f *recordFixture) watchList() {
	node, err := net.Dial("tcp", f.controller.config.Services[0].Listen)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { node.Close() })
	fmt.Fprint(node, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n")
}
