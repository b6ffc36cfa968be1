package controller

import (
	"context"
	"fmt"
	"net"
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
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// What the API's settings wish for stands in the record, each is told how it stands, and what has left is taken out again.
func TestSettingsOfTheAPIGoIntoTheRecord(t *testing.T) {
	api, err := apiserver.Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(api.Stop)
	at := "sqlite:" + filepath.Join(t.TempDir(), "record.db")
	people, err := sqlstore.Open(at)
	require.NoError(t, err)
	t.Cleanup(func() { people.Close() })
	set := func(name, kind, of, text string) {
		api.Set("settings", apiserver.Object{"metadata": map[string]any{"name": name, "namespace": "default"}, "spec": map[string]any{"kind": kind, "name": of, "text": text}})
	}
	set("front", "service", "front", "[[service]]\nname = \"front\"\nservers = [\"127.0.0.1:1\"]\n")
	set("wrong", "service", "other", "[[service]]\nname = \"front\"\n")
	api.Set("settings", apiserver.Object{"metadata": map[string]any{"name": "odd", "namespace": "default"}, "spec": "no object"})
	list := free(t)
	s, err := sqlstore.OpenExisting(at)
	require.NoError(t, err)
	told := free(t)
	k, err := New(Config{API: &rest.Config{Host: "http://" + api.Addr()}, Namespace: "default", Identity: "one", LeaseName: "l", LeaseDuration: 2 * time.Second, Store: s, RecordAddress: told, MaxRecordClients: 10,
		Membership: membership.DefaultConfig(), Fanout: fanout.DefaultConfig(), Services: []Service{{ListName: "front", ServiceName: "s", Listen: list}}}, zap.NewNop())
	require.NoError(t, err)
	ctx, end := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() { end(); assert.NoError(t, <-done) })
	require.Eventually(t, func() bool { return k.Status().RecordError != "" }, 20*time.Second, 5*time.Millisecond, "there is no record yet, and it says so")
	_, err = people.Init(t.Context(), false)
	require.NoError(t, err)
	status := func(name string) string {
		return fmt.Sprint(api.Get("settings", "default", name)["status"])
	}
	becomes := func(name, text string) {
		t.Helper()
		require.Eventually(t, func() bool { return strings.Contains(status(name), text) }, 20*time.Second, 5*time.Millisecond, "%s: %s, %+v", name, status(name), k.Status())
	}
	recorded := func() map[string]string {
		p, err := people.Since(t.Context(), 0, 100)
		require.NoError(t, err)
		out := map[string]string{}
		for _, f := range p.Entries {
			if !f.Deleted {
				out[string(f.Kind)+" "+f.Name] = f.Writer + " " + string(f.Value)
			}
		}
		return out
	}
	becomes("front", "accepted:true")
	becomes("wrong", "of that name")
	becomes("odd", "spec: ")
	assert.Len(t, recorded(), 1)
	assert.Contains(t, recorded()["service front"], "127.0.0.1:1")
	through := store.DialControllers([]string{told}, nil) // as a node is told it
	t.Cleanup(func() { through.Close() })
	require.Eventually(t, func() bool {
		p, err := through.Since(t.Context(), 0, 100)
		return err == nil && len(p.Entries) == 1 && p.Entries[0].Name == "front"
	}, 20*time.Second, 5*time.Millisecond)
	assert.Equal(t, 1, k.Status().RecordServer.Nodes)
	node, err := net.Dial("tcp", list)
	require.NoError(t, err)
	defer node.Close()
	fmt.Fprintf(node, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n")
	becomes("front", "nodes:1")
	becomes("front", "listRevision:")
	assert.Empty(t, k.Status().RecordError)
	// Changed, mended, in somebody's way, and gone.
	meta, err := people.Meta(t.Context())
	require.NoError(t, err)
	_, _, err = people.Write(t.Context(), meta.Epoch, []record.Change{{Key: record.Key{Kind: record.KindTenant, Name: "front/acme"}, Writer: "a person", IdempotencyKey: "p", Value: []byte(`{"quota":5,"weight":1}`)}})
	require.NoError(t, err)
	set("front", "service", "front", "[[service]]\nname = \"front\"\nservers = [\"127.0.0.1:2\"]\n")
	set("wrong", "tenant", "front/acme", `{"quota":9,"weight":1}`)
	becomes("wrong", "by a person")
	becomes("front", "observedGeneration:2")
	becomes("front", "accepted:true")
	assert.Contains(t, recorded()["service front"], "127.0.0.1:2")
	assert.Contains(t, recorded()["tenant front/acme"], `"quota":5`)
	api.Delete("settings", "default", "front")
	require.Eventually(t, func() bool { return len(recorded()) == 1 }, 20*time.Second, 5*time.Millisecond)
	assert.Contains(t, recorded(), "tenant front/acme")
}
