package keys

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"robincart/internal/controlplane/endpoints"
	"robincart/internal/controlplane/fanout"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
)

// filesOf returns the files of a name that makeKeys has written.
func filesOf(dir, name string) Files {
	return Files{
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
}

// makeKeys returns a directory with the keys of a controller and a node, and of an authority of their own.
func makeKeys(t *testing.T, validity time.Duration) (dir string) {
	t.Helper()
	dir = t.TempDir()
	require.NoError(t, Make(dir, []string{"controller", "node"}, []string{"ctl.test"}, validity))
	return dir
}

func openRing(t *testing.T, files Files) *Ring {
	t.Helper()
	ring, err := Open(files, zap.NewNop())
	require.NoError(t, err)
	return ring
}

// handshake reports whether two sides accept each other.
func handshake(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	for _, conn := range []net.Conn{near, far} {
		conn.SetDeadline(time.Now().Add(20 * time.Second))
	}
	accepted := make(chan bool, 1)
	go func() {
		conn := tls.Server(near, server)
		ok := conn.Handshake() == nil
		accepted <- ok
		if ok {
			conn.Write([]byte("!"))
		}
		near.Close()
	}()
	conn := tls.Client(far, client)
	_, err := io.ReadFull(conn, make([]byte, 1)) // in TLS 1.3 a server rejects after the client's handshake
	return <-accepted && err == nil
}

func TestRing_AcceptsOnlyTrustedPeers(t *testing.T) {
	dir, otherDir := makeKeys(t, time.Hour), makeKeys(t, time.Hour)
	controller := openRing(t, filesOf(dir, "controller"))
	nodeRing := openRing(t, filesOf(dir, "node"))
	stranger := openRing(t, filesOf(otherDir, "node"))
	strangeController := openRing(t, filesOf(otherDir, "controller"))
	withoutCertificate := nodeRing.Client("127.0.0.1:1")
	withoutCertificate.Certificates = nil
	oldTLS := nodeRing.Client("127.0.0.1:1")
	oldTLS.MinVersion, oldTLS.MaxVersion = 0, tls.VersionTLS12
	for name, test := range map[string]struct {
		server, client *tls.Config
		accepted       bool
	}{
		"trusted":                   {controller.Server(), nodeRing.Client("127.0.0.1:1"), true},
		"trusted, by name":          {controller.Server(), nodeRing.Client("ctl.test:1"), true},
		"certificate of other name": {controller.Server(), nodeRing.Client("elsewhere.test:1"), false},
		"client of other authority": {controller.Server(), stranger.Client("127.0.0.1:1"), false},
		"server of other authority": {strangeController.Server(), nodeRing.Client("127.0.0.1:1"), false},
		"client has no certificate": {controller.Server(), withoutCertificate, false},
		"old TLS":                   {controller.Server(), oldTLS, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.accepted, handshake(t, test.server, test.client))
		})
	}
}

func TestMake_Errors(t *testing.T) {
	dir := makeKeys(t, time.Hour)
	assert.ErrorContains(t, Make(dir, []string{"node"}, nil, time.Hour), "there already")
	assert.Error(t, Make(t.TempDir(), []string{"../x"}, nil, time.Hour))
}

func TestFiles_ValidatePartial(t *testing.T) {
	assert.Error(t, Files{Cert: "x"}.Validate())
}

func TestOpen_UnusableFiles(t *testing.T) {
	otherDir := makeKeys(t, time.Hour)
	for name, damage := range map[string]func(files *Files){
		"missing file":              func(files *Files) { files.CA += "x" },
		"key of other certificate":  func(files *Files) { files.Key = filesOf(otherDir, "node").Key },
		"no certificate":            func(files *Files) { files.CA = files.Key },
		"key is readable by others": func(files *Files) { os.Chmod(files.Key, 0o644) },
	} {
		t.Run(name, func(t *testing.T) {
			files := filesOf(makeKeys(t, time.Hour), "node")
			damage(&files)
			_, err := Open(files, zap.NewNop())
			assert.ErrorContains(t, err, "keys: ")
		})
	}
	t.Run("expired", func(t *testing.T) {
		_, err := Open(filesOf(makeKeys(t, time.Nanosecond), "node"), zap.NewNop())
		assert.ErrorContains(t, err, "holds from")
		var validity *ValidityError
		assert.ErrorAs(t, err, &validity)
	})
}

func TestRing_ReloadsAndLogsExpiry(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	dir, nextDir := makeKeys(t, time.Hour), makeKeys(t, 2*time.Hour)
	files := filesOf(dir, "controller")
	ring, err := Open(files, zap.New(core))
	require.NoError(t, err)
	now := time.Now()
	ring.now = func() time.Time { return now }
	ring.poll()
	assert.Zero(t, logs.Len())
	client := openRing(t, filesOf(nextDir, "node"))
	replace := func(path, from string) {
		text, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path+".new", text, 0o600))
		require.NoError(t, os.Rename(path+".new", path))
		ring.poll()
		ring.poll()
	}
	replace(files.Cert, filesOf(nextDir, "controller").Cert)
	assert.Equal(t, 1, logs.FilterMessage("keys rejected").Len(), "halfway through a change, logged once")
	replace(files.Key, filesOf(nextDir, "controller").Key)
	replace(files.CA, filesOf(nextDir, "controller").CA)
	assert.True(t, handshake(t, ring.Server(), client.Client("127.0.0.1:1")))
	now = now.Add(100 * time.Minute)
	ring.poll()
	ring.poll()
	assert.Equal(t, 1, logs.FilterMessage("certificate expires soon").Len())
	now = now.Add(time.Hour)
	ring.poll()
	ring.poll()
	assert.Equal(t, 1, logs.FilterMessage("certificate expired").Len())
}

// listReceiver passes on the endpoint lists that a watcher receives.
type listReceiver chan []node.Endpoint

func (l listReceiver) UpdateEndpoints(endpoints []node.Endpoint, _ bool) { l <- endpoints }
func (l listReceiver) EndpointWatchFailed(node.WatchFailure)             {}

func (l listReceiver) receive(t *testing.T) []node.Endpoint {
	t.Helper()
	select {
	case endpoints := <-l:
		return endpoints
	case <-time.After(20 * time.Second):
		require.Fail(t, "no list received")
		return nil
	}
}

// watchList has a node's watcher watch the endpoint list at an address, over TLS unless that is nil.
func watchList(t *testing.T, address string, clientTLS func(string) *tls.Config, log *zap.Logger) listReceiver {
	l := limits.Limits{
		Wire:                    httpwire.Sizes{BufferSize: 512, ReadSize: 64, MaxHead: 4096, MaxBody: 4096, MaxChunkLine: 64},
		MaxListLine:             1 << 16,
		DiscoveryConnectTimeout: 10 * time.Second,
		FirstMessageTimeout:     10 * time.Second,
		MaxPollInterval:         20 * time.Second,
		MaxUpdateDelay:          10 * time.Second,
		WatchSilenceTimeout:     10 * time.Second,
	}
	watcher := endpoints.New(address, []string{"z"}, l, limits.NewBudget(1, 0, nil), log)
	receiver := make(listReceiver, 9)
	watcher.SetReceiver(receiver)
	if clientTLS != nil {
		watcher.SetTLS(clientTLS)
	}
	watcher.RequestWatch()
	runUntilCleanup(t, watcher.Run)
	return receiver
}

// runUntilCleanup runs a function in a goroutine, which it cancels and waits for at the test's end.
func runUntilCleanup(t *testing.T, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// A node watches a controller's list over TLS, and goes on with new keys on both sides.
func TestRing_EndpointWatch(t *testing.T) {
	const watchFailed = "endpoint watch lost"
	dir := makeKeys(t, time.Hour)
	controller := openRing(t, filesOf(dir, "controller"))
	nodeRing := openRing(t, filesOf(dir, "node"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	list := fanout.New(fanout.DefaultConfig(), zap.NewNop())
	list.PublishSnapshot(7, []fanout.Member{
		{ID: "a", HostPort: "127.0.0.1:80", Locality: "z", Phase: "ready", Size: 1},
	})
	runUntilCleanup(t, func(ctx context.Context) { list.Serve(ctx, tls.NewListener(listener, controller.Server())) })
	core, logs := observer.New(zap.InfoLevel)
	log := zap.New(core)
	failures := func() int { return logs.FilterMessage(watchFailed).Len() }

	assert.Equal(t, "a", watchList(t, address, nodeRing.Client, log).receive(t)[0].ID)
	stranger := openRing(t, filesOf(makeKeys(t, time.Hour), "node"))
	watchList(t, address, stranger.Client, log)
	require.Eventually(t, func() bool { return failures() == 1 }, 20*time.Second, time.Millisecond)
	watchList(t, address, nil, log)
	require.Eventually(t, func() bool { return failures() == 2 }, 20*time.Second, time.Millisecond)

	for _, name := range []string{"ca.pem", "controller.pem", "controller.key", "node.pem", "node.key"} {
		require.NoError(t, os.Remove(filepath.Join(dir, name)))
	}
	require.NoError(t, Make(dir, []string{"controller", "node"}, nil, time.Hour))
	controller.poll()
	nodeRing.poll()
	assert.Equal(t, "a", watchList(t, address, nodeRing.Client, log).receive(t)[0].ID)
	assert.Equal(t, 2, failures())
}
