package standin

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
)

// A request that a node resets unread is lost, unless its connection was in the listener's queue when that closed.
func TestMisbehavingClients_ResetUnread(t *testing.T) {
	t.Parallel()
	closeListener := func(ln net.Listener) { ln.Close() }
	for _, c := range []struct {
		name    string
		node    func(net.Listener)
		outcome judge.Outcome
	}{
		{"listener closed with the connection in its queue", closeListener, judge.Crossed},
		{"connection closed while the listener stays", acceptAndReset(false, 0), judge.Lost},
		{"connection closed long after its connect, and the listener too", acceptAndReset(true, 2*maxListenerCloseTime), judge.Lost},
	} {
		for kind, play := range map[string]func(*MisbehavingClients, context.Context){
			"hurry":    (*MisbehavingClients).hurry,
			"pipeline": (*MisbehavingClients).pipeline,
		} {
			t.Run(c.name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				ln := listenDeferred(t)
				log := &judge.Ledger{}
				clients := &MisbehavingClients{
					Begin:   time.Now(),
					Dest:    load.Destination{Addr: ln.Addr().String()},
					Log:     log,
					Calls:   &atomic.Uint32{},
					Excused: func(time.Duration) bool { return false },
					Slack:   5 * time.Second,
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					play(clients, t.Context())
				}()
				awaitQueued(t, ln)
				c.node(ln)
				<-done
				outcomes := map[judge.ID]judge.Outcome{}
				log.EachAttempt(func(attempt judge.ClientAttempt) { outcomes[attempt.ID] = attempt.Outcome })
				require.Contains(t, outcomes, judge.ID{Call: firstMisbehavingCall + 1})
				assert.Equal(t, c.outcome, outcomes[judge.ID{Call: firstMisbehavingCall + 1}], "its first request")
			})
		}
	}
}

// acceptAndReset accepts the connection and resets it after a while, without reading from it.
func acceptAndReset(closeListener bool, after time.Duration) func(net.Listener) {
	return func(ln net.Listener) {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		time.Sleep(after)
		if closeListener {
			ln.Close()
		}
		reset(conn)
	}
}

// listenDeferred listens so that a connection is queued only once bytes were received on it.
func listenDeferred(t *testing.T) *net.TCPListener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		outer := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, 10)
		})
		return errors.Join(outer, err)
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// awaitQueued waits until a connection is in a listener's queue.
func awaitQueued(t *testing.T, ln *net.TCPListener) {
	t.Helper()
	raw, err := ln.SyscallConn()
	require.NoError(t, err)
	queued, failed := 0, error(nil)
	require.NoError(t, raw.Control(func(fd uintptr) {
		queued, failed = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 10_000)
	}))
	require.NoError(t, failed)
	require.Positive(t, queued, "no connection within ten seconds")
}
