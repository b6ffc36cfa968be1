package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

// openWatch opens a watch at a listener and returns the lines that it receives, and its connection.
func openWatch(t *testing.T, listener *DiscoveryListener, since int64) (*bufio.Scanner, net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "GET /registry/instances?follow=1&since=%d HTTP/1.1\r\nHost: lab\r\n\r\n", since)
	return bufio.NewScanner(conn), conn
}

// nextMessage is the next line with a message; empty at the connection's end.
func nextMessage(lines *bufio.Scanner) string {
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "{") {
			return lines.Text()
		}
	}
	return ""
}

// startDiscovery starts a discovery with one ready server, and a listener for one node.
func startDiscovery(t *testing.T, mode Watch) (*Discovery, *DiscoveryListener) {
	t.Helper()
	d := NewDiscovery(&judge.Ledger{}, time.Now())
	d.HeartbeatInterval, d.Watch, d.Wait = 20*time.Millisecond, mode, 200*time.Millisecond
	d.Update(Member{ID: "a", Addr: "127.0.0.1:1", Phase: phaseReady, Index: 1})
	listener, err := d.Listen(3, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	return d, listener
}

func TestDiscovery_WatchModes(t *testing.T) {
	for name, c := range map[string]struct {
		mode     Watch
		messages int
	}{
		"streams":        {WatchStreams, 3},
		"waits":          {WatchWaits, 2},
		"ends with list": {WatchEndsWithList, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d, listener := startDiscovery(t, c.mode)
			lines, conn := openWatch(t, listener, 0)
			require.Contains(t, nextMessage(lines), `"complete":true`)
			for n := 1; n < c.messages; n++ {
				d.Update(Member{ID: "a", Addr: "127.0.0.1:1", Phase: phaseDraining, Index: 1})
				assert.Contains(t, nextMessage(lines), "draining")
			}
			if c.mode == WatchStreams {
				conn.Close()
			}
			assert.Empty(t, nextMessage(lines), "the watch has ended")
		})
	}
	t.Run("waits without a change", func(t *testing.T) {
		_, listener := startDiscovery(t, WatchWaits)
		lines, _ := openWatch(t, listener, 0)
		assert.NotEmpty(t, nextMessage(lines))
		assert.Empty(t, nextMessage(lines), "the watch ends in time")
	})
}

func TestDiscovery_MuteWatches(t *testing.T) {
	d, listener := startDiscovery(t, WatchStreams)
	lines, conn := openWatch(t, listener, 0)
	require.NotEmpty(t, nextMessage(lines))
	d.MuteWatches()
	d.Update(Member{ID: "a", Addr: "127.0.0.1:1", Phase: phaseDraining, Index: 1})
	conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	assert.Empty(t, nextMessage(lines))
	_, err := conn.Write([]byte("x"))
	assert.NoError(t, err, "it is still open")
	lines, _ = openWatch(t, listener, 0)
	assert.Contains(t, nextMessage(lines), "draining", "another watch is notified")
}

func TestDiscovery_RejectsWhenBusy(t *testing.T) {
	d, listener := startDiscovery(t, WatchStreams)
	d.SetWorkQueue(time.Hour, time.Minute)
	conn, err := net.Dial("tcp", listener.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	fmt.Fprint(conn, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: lab\r\n\r\n")
	answer, err := wire.ReadResponse(bufio.NewReader(conn))
	require.NoError(t, err)
	assert.Equal(t, 503, answer.Status)
	assert.Equal(t, 1, d.RejectedCalls())
}

func TestCallQueue_Admit(t *testing.T) {
	now := time.Unix(0, 0)
	queue := callQueue{work: 300 * time.Millisecond, maxWait: time.Second}
	for _, want := range []time.Duration{300, 600, 900} {
		wait, admitted := queue.admit(now)
		assert.True(t, admitted)
		assert.Equal(t, want*time.Millisecond, wait)
	}
	_, admitted := queue.admit(now)
	assert.False(t, admitted)
	wait, admitted := queue.admit(now.Add(400 * time.Millisecond))
	assert.True(t, admitted)
	assert.Equal(t, 800*time.Millisecond+queue.work/rejectionCost, wait, "a rejection costs a little")
	wait, admitted = (&callQueue{}).admit(now)
	assert.True(t, admitted)
	assert.Zero(t, wait, "without work no call waits")
}

// A change that no node was notified of counts as notified to all of them in time: the ledger then shows which of them
// still send there.
func TestDiscovery_NotificationBound(t *testing.T) {
	draining := Member{ID: "a", Phase: phaseDraining, Index: 1}
	for name, c := range map[string]struct {
		play func(d *Discovery)
		due  time.Duration // 0: it never counts as notified
	}{
		"reachable": {func(d *Discovery) { d.Update(draining) }, 6 * time.Second},
		"down": {func(d *Discovery) {
			d.SetDown(true)
			d.Update(draining)
			time.Sleep(9 * time.Second)
			d.SetDown(false)
		}, 15 * time.Second},
		"down meanwhile": {func(d *Discovery) {
			d.Update(draining)
			time.Sleep(2 * time.Second)
			d.SetDown(true)
			time.Sleep(time.Second)
			d.SetDown(false)
		}, 9 * time.Second},
		"ready again": {func(d *Discovery) {
			d.Update(draining)
			time.Sleep(5 * time.Second)
			d.Update(Member{ID: "a", Phase: phaseReady, Index: 1})
		}, 0},
		"replaced": {func(d *Discovery) {
			d.Update(draining)
			time.Sleep(5 * time.Second)
			d.Update(Member{ID: "a", Phase: phaseGone, Index: 1})
		}, 11 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				log := &judge.Ledger{}
				d := NewDiscovery(log, begin)
				d.Bound = 6 * time.Second
				d.listeners = []*DiscoveryListener{{discovery: d, node: 3}, {discovery: d, node: 4}}
				c.play(d)
				time.Sleep(time.Minute)
				notifications := log.Notifications()
				if c.due == 0 {
					assert.Empty(t, notifications)
					return
				}
				require.Len(t, notifications, 2)
				for i, notification := range notifications {
					assert.Equal(t, int32(3+i), notification.Node)
					assert.Equal(t, int32(1), notification.Server)
					assert.NotEqual(t, judge.Ready, notification.State)
					assert.Equal(t, c.due, notification.At)
				}
			})
		})
	}
}
