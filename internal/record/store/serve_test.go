package store

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/record/record"
)

// memoryStore is a store that answers only Meta and Since.
type memoryStore struct{ Store }

func (s *memoryStore) Meta(context.Context) (record.Meta, error) {
	return record.Meta{Epoch: "e", Revision: 3}, nil
}

func (s *memoryStore) Since(_ context.Context, after int64, _ int) (record.Page, error) {
	return record.Page{Meta: record.Meta{Epoch: "e", Revision: after}}, nil
}

// startServer serves a store on a listener until the test ends.
func startServer(t *testing.T, network, address string, serve func(context.Context, net.Listener)) string {
	listener, err := net.Listen(network, address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var server sync.WaitGroup
	server.Go(func() { serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		server.Wait()
	})
	return listener.Addr().String()
}

// send sends a text over a connection of its own, and returns the first line of the answer.
func send(t *testing.T, network, address, text string) string {
	t.Helper()
	connection, err := net.Dial(network, address)
	require.NoError(t, err)
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(connection, text)
	line, _ := bufio.NewReader(connection).ReadString('\n')
	return line
}

// The server limits the number of clients, the size of a request, the time for a request to arrive, and the calls that
// it answers.
func TestServeWithLimits(t *testing.T) {
	verifyNoLeaks(t)
	address := startServer(t, "tcp", "127.0.0.1:0", func(ctx context.Context, listener net.Listener) {
		ServeWithLimits(ctx, listener, &memoryStore{}, ServerLimits{
			MaxClients:   2,
			MaxCallBytes: 100,
			CallTimeout:  200 * time.Millisecond,
			WriteTimeout: time.Second,
			AllowedCalls: []string{"since"},
		})
	})
	for name, test := range map[string]struct{ call, want string }{
		"meta is not allowed":   {`{"op":"meta","left":1000000000}` + "\n", `no call named \"meta\" here`},
		"follow is not allowed": {`{"op":"follow","left":1000000000}` + "\n", `no call named \"follow\" here`},
		"since is allowed":      {`{"op":"since","after":7,"left":1000000000}` + "\n", `"revision":7`},
		"call too long":         {`{"op":"` + strings.Repeat("x", 200) + "\n", "invalid call"},
		"empty call":            {"\n", "invalid call"},
	} {
		t.Run(name, func(t *testing.T) { assert.Contains(t, send(t, "tcp", address, test.call), test.want) })
	}
	t.Run("slow client", func(t *testing.T) {
		begin := time.Now()
		send(t, "tcp", address, `{"op":"si`) // an incomplete request
		assert.Less(t, time.Since(begin), 5*time.Second)
	})
	t.Run("too many clients", func(t *testing.T) {
		for range 2 {
			connection, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer connection.Close()
		}
		require.Eventually(t, func() bool { // after both are accepted, a third connection is closed at once
			connection, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer connection.Close()
			begin := time.Now()
			connection.SetDeadline(begin.Add(10 * time.Second))
			_, err = connection.Read(make([]byte, 1))
			return !errors.Is(err, context.DeadlineExceeded) && time.Since(begin) < 150*time.Millisecond
		}, eventTimeout, eventPoll)
	})
}

// As in earlier versions, a node's own store process does not serve opFollow, and it ignores the caller's position.
func TestServe_LocalStore(t *testing.T) {
	verifyNoLeaks(t)
	path := startServer(t, "unix", filepath.Join(t.TempDir(), "s"), func(ctx context.Context, listener net.Listener) {
		Serve(ctx, listener, &memoryStore{})
	})
	meta, err := Remote(path).Meta(t.Context())
	require.NoError(t, err)
	assert.EqualValues(t, 3, meta.Revision)
	line := send(t, "unix", path, fmt.Sprintln(`{"op":"follow","at":{"epoch":"x","revision":9},"left":1000000000}`))
	assert.Contains(t, line, `no call named \"follow\"`)
}
