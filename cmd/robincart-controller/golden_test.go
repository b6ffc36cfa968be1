package main

// The files under testdata are configuration files that were written by hand, as users write them. The expected results
// are those of the code at commit 0cdd5b2. When a key is renamed in the code, do not change these files: users' files
// still have the old keys.

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"k8s.io/client-go/rest"

	"robincart/internal/controlplane/controller"
	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
	"robincart/internal/system/keys"
	"robincart/internal/system/tomlfile"
	"robincart/internal/testutil"
	"robincart/internal/testutil/golden"
)

// goldenKeys are the files of the [keys] table.
var goldenKeys = keys.Files{
	Cert: "/etc/robincart/controller.pem", Key: "/etc/robincart/controller.key", CA: "/etc/robincart/ca.pem",
}

func TestFile_EveryKey(t *testing.T) {
	var got file
	require.NoError(t, tomlfile.Decode(golden.Read(t, "every-key.toml"), &got))

	var want file
	want.Identity, want.Status = "controller-1", "127.0.0.1:9190"
	want.API.Server = "https://10.0.0.1:6443"
	want.API.TokenFile, want.API.CAFile = "token", "ca.crt"
	want.API.CertFile, want.API.KeyFile = "client.crt", "client.key"
	want.API.Kubeconfig, want.API.Namespace = "/root/.kube/config", "booking"
	want.Leader.Lease, want.Leader.LeaseDuration = "booking-controller", tomlfile.Duration(7*time.Second)
	want.Membership.FlapDelay = new(tomlfile.Duration(1500 * time.Millisecond))
	want.Membership.MaxFlapDelay = new(tomlfile.Duration(31 * time.Second))
	want.Membership.MaxShrinkFraction = new(0.45)
	want.Membership.ShrinkHold = new(tomlfile.Duration(61 * time.Second))
	want.Membership.ForgetAfter = new(tomlfile.Duration(11 * time.Minute))
	want.Membership.SlowStartDuration = new(tomlfile.Duration(21 * time.Second))
	want.Membership.MaxSlowStartFraction = new(0.35)
	want.Membership.DrainCordoned = true
	want.Fanout.History, want.Fanout.MaxWatchers = 5000, 600
	want.Keys = goldenKeys
	want.Record.Store, want.Record.Listen, want.Record.MaxClients = "sqlite:record.db", "127.0.0.1:8600", 700
	want.Services = append(want.Services, got.Services...)
	assert.Equal(t, want, got)

	require.Len(t, got.Services, 2)
	booking, tables := got.Services[0], got.Services[1]
	assert.Equal(t, []string{"booking", "booking-api", "http", "127.0.0.1:8500"},
		[]string{booking.Name, booking.Service, booking.Port, booking.Listen})
	assert.Equal(t, []string{"tables", "tables-api", "8080", "127.0.0.1:8501"},
		[]string{tables.Name, tables.Service, tables.Port, tables.Listen})
}

func TestReadConfig_GoldenFile(t *testing.T) {
	path, err := filepath.Abs("testdata/in-force.toml")
	require.NoError(t, err)
	t.Chdir(t.TempDir()) // the configuration file refers to files in the current directory
	for _, name := range []string{"token", "ca.crt", "client.crt", "client.key", "record.db"} {
		require.NoError(t, os.WriteFile(name, nil, 0o600))
	}
	got, err := readConfig(path)
	require.NoError(t, err)
	require.NotNil(t, got.Store)
	require.NoError(t, got.Store.Close())
	got.Store = nil
	assert.Equal(t, controller.Config{
		API: &rest.Config{
			Host: "https://10.0.0.1:6443", BearerTokenFile: "token",
			TLSClientConfig: rest.TLSClientConfig{CAFile: "ca.crt", CertFile: "client.crt", KeyFile: "client.key"},
		},
		Namespace:     "booking",
		Identity:      "controller-1",
		LeaseName:     "booking-controller",
		LeaseDuration: 7 * time.Second,
		Membership: membership.Config{
			FlapDelay: 1.5, MaxFlapDelay: 31, MaxShrinkFraction: 0.45, ShrinkHold: 61, ForgetAfter: 660,
			SlowStartDuration: 21, MaxSlowStartFraction: 0.35, DrainCordoned: true,
		},
		Fanout: fanout.Config{
			History: 5000, MaxWatchers: 600, HeartbeatInterval: 2 * time.Second, WriteTimeout: 2 * time.Second,
			BatchDelay: 20 * time.Millisecond,
		},
		Services: []controller.Service{
			{ListName: "booking", ServiceName: "booking-api", Port: "http", Listen: "127.0.0.1:8500"},
			{ListName: "tables", ServiceName: "tables-api", Port: "8080", Listen: "127.0.0.1:8501"},
		},
		StatusAddress:    "127.0.0.1:9190",
		Keys:             goldenKeys,
		RecordAddress:    "127.0.0.1:8600",
		MaxRecordClients: 700,
	}, got)
}

func TestFile_EveryFieldTagged(t *testing.T) {
	testutil.EveryFieldTagged[file](t, "toml")
}
