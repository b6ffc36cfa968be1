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

func of(dir, name string) Files {
	return Files{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.pem")}
}

func made(t *testing.T, life time.Duration) string {
	dir := t.TempDir()
	require.NoError(t, Make(dir, []string{"controller", "node"}, []string{"ctl.test"}, life))
	return dir
}

// meet tells whether two sides take each other.
func meet(t *testing.T, server, client *tls.Config) bool {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	for _, c := range []net.Conn{a, b} {
		c.SetDeadline(time.Now().Add(20 * time.Second))
	}
	taken := make(chan bool, 1)
	go func() {
		s := tls.Server(a, server)
		ok := s.Handshake() == nil
		if taken <- ok; ok {
			s.Write([]byte("!"))
		}
		a.Close()
	}()
	c := tls.Client(b, client)
	one := make([]byte, 1)
	_, err := io.ReadFull(c, one) // in TLS 1.3 a server's no comes after the client's handshake
	return <-taken && err == nil
}

func TestOnlyWhoIsTrustedIsSpokenTo(t *testing.T) {
	dir, other := made(t, time.Hour), made(t, time.Hour)
	open := func(f Files) *Ring {
		r, err := Open(f, zap.NewNop())
		require.NoError(t, err)
		return r
	}
	ctl, n, stranger := open(of(dir, "controller")), open(of(dir, "node")), open(of(other, "node"))
	assert.True(t, meet(t, ctl.Server(), n.Client("127.0.0.1:1")))
	assert.True(t, meet(t, ctl.Server(), n.Client("ctl.test:1")))
	assert.False(t, meet(t, ctl.Server(), n.Client("elsewhere.test:1")), "a certificate for another name")
	assert.False(t, meet(t, ctl.Server(), stranger.Client("127.0.0.1:1")))
	assert.False(t, meet(t, open(of(other, "controller")).Server(), n.Client("127.0.0.1:1")))
	nobody := n.Client("127.0.0.1:1")
	nobody.Certificates = nil
	assert.False(t, meet(t, ctl.Server(), nobody), "who shows none")
	old := n.Client("127.0.0.1:1")
	old.MinVersion, old.MaxVersion = 0, tls.VersionTLS12
	assert.False(t, meet(t, ctl.Server(), old))

	assert.ErrorContains(t, Make(dir, []string{"node"}, nil, time.Hour), "there already")
	assert.Error(t, Make(t.TempDir(), []string{"../x"}, nil, time.Hour))
	assert.Error(t, Files{Cert: "x"}.Validate())
	for name, spoil := range map[string]func(f *Files){
		"no such file": func(f *Files) { f.CA += "x" }, "fits another": func(f *Files) { f.Key = of(other, "node").Key },
		"no certificate": func(f *Files) { f.CA = f.Key }, "readable": func(f *Files) { os.Chmod(f.Key, 0o644) }} {
		f := of(made(t, time.Hour), "node")
		spoil(&f)
		_, err := Open(f, zap.NewNop())
		assert.ErrorContains(t, err, "keys: ", name)
	}
	_, err := Open(of(made(t, time.Nanosecond), "node"), zap.NewNop())
	assert.ErrorContains(t, err, "holds from", "one that has ended")
}

func TestKeysAreFollowedAndTheirEndIsTold(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	dir, next := made(t, time.Hour), made(t, 2*time.Hour)
	f := of(dir, "controller")
	r, err := Open(f, zap.New(core))
	require.NoError(t, err)
	now := time.Now()
	r.now = func() time.Time { return now }
	r.tick()
	assert.Zero(t, logs.Len())
	client, err := Open(of(next, "node"), zap.NewNop())
	require.NoError(t, err)
	replace := func(to, from string) {
		text, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to+".new", text, 0o600))
		require.NoError(t, os.Rename(to+".new", to))
		r.tick()
		r.tick()
	}
	replace(f.Cert, of(next, "controller").Cert)
	assert.Equal(t, 1, logs.FilterMessageSnippet("those before stay").Len(), "halfway through a change, told once")
	replace(f.Key, of(next, "controller").Key)
	replace(f.CA, of(next, "controller").CA)
	assert.True(t, meet(t, r.Server(), client.Client("127.0.0.1:1")))
	now = now.Add(100 * time.Minute)
	r.tick()
	r.tick()
	assert.Equal(t, 1, logs.FilterMessageSnippet("ends soon").Len())
	now = now.Add(time.Hour)
	r.tick()
	r.tick()
	assert.Equal(t, 1, logs.FilterMessageSnippet("has ended").Len())
}

type lists chan []node.Endpoint

func (l lists) UpdateEndpoints(e []node.Endpoint, _ bool) { l <- e }
func (l lists) EndpointWatchFailed(node.WatchFailure)     {}

// A node follows a list over keys, and goes on with new ones on both sides.
func TestANodeFollowsItsControllerOverKeys(t *testing.T) {
	dir := made(t, time.Hour)
	ctl, err := Open(of(dir, "controller"), zap.NewNop())
	require.NoError(t, err)
	n, err := Open(of(dir, "node"), zap.NewNop())
	require.NoError(t, err)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	list := fanout.New(fanout.DefaultConfig(), zap.NewNop())
	list.PublishSnapshot(7, []fanout.Member{{ID: "a", HostPort: "127.0.0.1:80", Locality: "z", Phase: "ready", Size: 1}})
	life, end := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer all.Wait()
	defer end()
	all.Go(func() { list.Serve(life, tls.NewListener(plain, ctl.Server())) })
	logged, logs := observer.New(zap.InfoLevel)
	follow := func(by func(string) *tls.Config) lists {
		l := limits.Limits{Wire: httpwire.Sizes{BufferSize: 512, ReadSize: 64, MaxHead: 4096, MaxBody: 4096, MaxChunkLine: 64}, MaxListLine: 1 << 16, DiscoveryConnectTimeout: 10 * time.Second,
			FirstUpdateTimeout: 10 * time.Second, MaxCallInterval: 20 * time.Second, MaxUpdateDelay: 10 * time.Second, WatchSilenceTimeout: 10 * time.Second}
		w := endpoints.New(plain.Addr().String(), []string{"z"}, l, limits.NewBudget(1, 0, nil), zap.New(logged))
		told := make(lists, 9)
		w.SetReceiver(told)
		if by != nil {
			w.SetTLS(by)
		}
		w.RequestWatch()
		all.Go(func() { w.Run(life) })
		return told
	}
	hears := func(l lists) []node.Endpoint {
		select {
		case e := <-l:
			return e
		case <-time.After(20 * time.Second):
			require.Fail(t, "no list came", "%v", logs.All())
			return nil
		}
	}
	assert.Equal(t, "a", hears(follow(n.Client))[0].ID)
	strange, err := Open(of(made(t, time.Hour), "node"), zap.NewNop())
	require.NoError(t, err)
	follow(strange.Client)
	require.Eventually(t, func() bool { return logs.FilterMessage("endpoint watch lost").Len() == 1 }, 20*time.Second, time.Millisecond)
	follow(nil)
	require.Eventually(t, func() bool { return logs.FilterMessage("endpoint watch lost").Len() == 2 }, 20*time.Second, time.Millisecond)
	// New keys on both sides, in place.
	for _, name := range []string{"ca.pem", "controller.pem", "controller.key", "node.pem", "node.key"} {
		require.NoError(t, os.Remove(filepath.Join(dir, name)))
	}
	require.NoError(t, Make(dir, []string{"controller", "node"}, nil, time.Hour))
	ctl.tick()
	n.tick()
	assert.Equal(t, "a", hears(follow(n.Client))[0].ID)
	assert.Equal(t, 2, logs.FilterMessage("endpoint watch lost").Len())
}
