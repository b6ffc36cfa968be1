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

// watch opens a watch at a door and returns the lines that it brings.
func watch(t *testing.T, door *DiscoveryListener, since int64) (lines *bufio.Scanner, c net.Conn) {
	c, err := net.Dial("tcp", door.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "GET /registry/instances?follow=1&since=%d HTTP/1.1\r\nHost: lab\r\n\r\n", since)
	return bufio.NewScanner(c), c
}

// next is the next line that holds a message; empty at the connection's end.
func next(lines *bufio.Scanner) string {
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "{") {
			return lines.Text()
		}
	}
	return ""
}

func listening(t *testing.T, watches Watch) (*Discovery, *DiscoveryListener) {
	d := NewDiscovery(&judge.Ledger{}, time.Now())
	d.Every, d.Watch, d.Wait = 20*time.Millisecond, watches, 200*time.Millisecond
	d.Update(Member{ID: "a", Addr: "127.0.0.1:1", Phase: "ready", Index: 1})
	door, err := d.Listen(3, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	return d, door
}

func TestDiscoveryTellsOfChangesInThreeWays(t *testing.T) {
	for watches, messages := range map[Watch]int{WatchStreams: 3, WatchWaits: 2, WatchEndsWithList: 1} {
		d, door := listening(t, watches)
		lines, c := watch(t, door, 0)
		require.Contains(t, next(lines), `"complete":true`)
		for n := 1; n < messages; n++ {
			d.Update(Member{ID: "a", Addr: "127.0.0.1:1", Phase: "draining", Index: 1})
			assert.Contains(t, next(lines), "draining")
		}
		if watches == WatchStreams {
			c.Close()
		}
		assert.Empty(t, next(lines), "the watch has ended")
	}
	_, door := listening(t, WatchWaits)
	lines, _ := watch(t, door, 0)
	assert.NotEmpty(t, next(lines))
	assert.Empty(t, next(lines), "a watch that waits ends in time where nothing changes")
}

func TestASilentWatchStaysOpenAndTellsNothing(t *testing.T) {
	d, door := listening(t, WatchStreams)
	lines, c := watch(t, door, 0)
	require.NotEmpty(t, next(lines))
	d.MuteWatches()
	d.Update(Member{ID: "a", Addr: "127.0.0.1:1", Phase: "draining", Index: 1})
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	assert.Empty(t, next(lines))
	_, err := c.Write([]byte("x"))
	assert.NoError(t, err, "it is still open")
	lines, _ = watch(t, door, 0)
	assert.Contains(t, next(lines), "draining", "another one is told")
}

func TestABusyDiscoveryRefusesWhoWouldWaitTooLong(t *testing.T) {
	d, door := listening(t, WatchStreams)
	d.SetWorkQueue(time.Hour, time.Minute)
	c, err := net.Dial("tcp", door.Addr())
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: lab\r\n\r\n")
	answer, err := wire.ReadResponse(bufio.NewReader(c))
	require.NoError(t, err)
	assert.Equal(t, 503, answer.Status)
	assert.Equal(t, 1, d.RejectedCalls())
}

func TestCallsAreWorkedThroughInTurn(t *testing.T) {
	now := time.Unix(0, 0)
	q := callQueue{work: 300 * time.Millisecond, most: time.Second}
	for _, want := range []time.Duration{300, 600, 900} {
		wait, taken := q.take(now)
		assert.True(t, taken)
		assert.Equal(t, want*time.Millisecond, wait)
	}
	_, taken := q.take(now)
	assert.False(t, taken)
	wait, taken := q.take(now.Add(400 * time.Millisecond))
	assert.True(t, taken)
	assert.Equal(t, 800*time.Millisecond+q.work/refusalShare, wait, "a refusal costs a little")
	wait, taken = (&callQueue{}).take(now)
	assert.True(t, taken)
	assert.Zero(t, wait, "without work nobody waits")
}

// What no node has been told binds all of them in time: the ledger then holds who still sends there.
func TestAChangeCountsAsToldSoLongAfterItCouldBeReached(t *testing.T) {
	draining := Member{ID: "a", Phase: "draining", Index: 1}
	for name, x := range map[string]struct {
		play func(d *Discovery)
		due  time.Duration // 0: it never binds
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
			d.Update(Member{ID: "a", Phase: "ready", Index: 1})
		}, 0},
		"replaced": {func(d *Discovery) {
			d.Update(draining)
			time.Sleep(5 * time.Second)
			d.Update(Member{ID: "a", Phase: "gone", Index: 1})
		}, 11 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				log := &judge.Ledger{}
				d := NewDiscovery(log, begin)
				d.Bound = 6 * time.Second
				d.doors = []*DiscoveryListener{{d: d, node: 3}, {d: d, node: 4}}
				x.play(d)
				time.Sleep(time.Minute)
				words := log.Notifications()
				if x.due == 0 {
					assert.Empty(t, words)
					return
				}
				require.Len(t, words, 2)
				for i, word := range words {
					assert.Equal(t, int32(3+i), word.Node)
					assert.Equal(t, int32(1), word.Server)
					assert.NotEqual(t, judge.Ready, word.State)
					assert.Equal(t, x.due, word.At)
				}
			})
		})
	}
}
