package chaos

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/standin"
)

// View measures how long a controller takes to a complete view, from nothing and after a restart that all its watchers
// notice at the same moment, and what that costs.
type View struct {
	Program  string // the controller's
	Servers  int
	Watchers int // nodes, each of which watches the list again as soon as its watch has ended

	First  time.Duration // from the start to the first snapshot
	Half   time.Duration // from the restart until half of the watchers have a snapshot
	Last   time.Duration // from the restart until all watchers have one
	Idle   int64         // bytes that the controller has resident with all watchers connected
	Most   int64         // max bytes that it had resident
	CPU    time.Duration // of the controller, from its restart to the last snapshot
	Wholes int           // bytes of one snapshot
}

const (
	viewPodsPerSlice = 100
	// spareWatchers is how many more watchers the controller admits than there are.
	spareWatchers = 100
	// maxViewTime bounds the time until all watchers have a snapshot.
	maxViewTime = 2 * time.Minute
	// idleTime is the time between the last snapshot and the measure of the memory.
	idleTime = time.Second
	// rewatchPause is a watcher's pause after a watch that brought nothing.
	rewatchPause = 20 * time.Millisecond
	// maxLogShown is how much of a controller's log an error shows.
	maxLogShown = 2000

	watchDialTimeout = 5 * time.Second
	watchBufferSize  = 4096
)

// Play measures.
func (v *View) Play(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "view")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	api, err := apiserver.Start("127.0.0.1:0", nil)
	if err != nil {
		return err
	}
	defer api.Stop()
	cluster := &apiserver.Cluster{
		API:      api,
		Service:  "s",
		Port:     80,
		PerSlice: viewPodsPerSlice,
		Rand:     rand.New(rand.NewSource(1)),
		Address: func(n int) string {
			return fmt.Sprintf("10.%d.%d.%d", n/62500, n/250%250, n%250+1)
		},
	}
	cluster.Scale(v.Servers)
	controller, err := newReplica(dir, "c")
	if err != nil {
		return err
	}
	text := fmt.Sprintf("identity = \"c\"\n[api]\nserver = \"http://%s\"\n[leader]\nhold = \"3s\"\n"+
		"[fanout]\nwatchers = %d\n[[service]]\nname = \"s\"\nlisten = %q\n",
		api.Addr(), v.Watchers+spareWatchers, controller.list)
	if err := controller.writeConfig(text); err != nil {
		return err
	}
	defer controller.kill()
	w := &watchers{replica: controller, snapshots: make(chan int, 2*v.Watchers+2)}
	watchCtx, cancel := context.WithCancel(ctx)
	defer w.running.Wait()
	defer cancel()
	if err := v.measureStart(watchCtx, w); err != nil {
		return err
	}
	return v.measureRestart(watchCtx, w)
}

// measureStart starts the controller with nothing, and all watchers once it has served the first one.
func (v *View) measureStart(ctx context.Context, w *watchers) error {
	startedAt := time.Now()
	if err := w.replica.start(v.Program); err != nil {
		return err
	}
	w.start(ctx, 1)
	at, err := w.await(ctx, 1)
	if err != nil {
		return err
	}
	v.First = at[0].Sub(startedAt)
	w.start(ctx, v.Watchers-1)
	if _, err := w.await(ctx, v.Watchers-1); err != nil {
		return err
	}
	time.Sleep(idleTime)
	v.Idle = standin.ReadProcessUsage(w.replica.pid()).Resident
	return nil
}

// measureRestart restarts the controller, to which all watchers come back at once.
func (v *View) measureRestart(ctx context.Context, w *watchers) error {
	w.replica.kill()
	startedAt := time.Now()
	if err := w.replica.start(v.Program); err != nil {
		return err
	}
	at, err := w.await(ctx, v.Watchers)
	if err != nil {
		return err
	}
	slices.SortFunc(at, time.Time.Compare)
	v.Half, v.Last = at[len(at)/2].Sub(startedAt), at[len(at)-1].Sub(startedAt)
	usage := standin.ReadProcessUsage(w.replica.pid())
	v.CPU, v.Most = usage.CPU, usage.MaxResident
	v.Wholes = w.snapshotSize
	return nil
}

// watchers are clients that watch a controller's list as nodes do, but without their pauses: all come back at the same
// moment.
type watchers struct {
	replica      *replica
	running      sync.WaitGroup
	snapshots    chan int // the size of each snapshot received
	snapshotSize int      // of the last one awaited
}

// start starts that many watchers, which end with the context.
func (w *watchers) start(ctx context.Context, count int) {
	for range count {
		w.running.Go(func() { w.watchRepeatedly(ctx) })
	}
}

func (w *watchers) watchRepeatedly(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.watch(ctx); err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewatchPause):
		}
	}
}

// await waits until that many snapshots were received, and returns when each of them was.
func (w *watchers) await(ctx context.Context, count int) ([]time.Time, error) {
	var at []time.Time
	timeout := time.After(maxViewTime)
	for len(at) < count {
		select {
		case w.snapshotSize = <-w.snapshots:
			at = append(at, time.Now())
		case <-timeout:
			log, _ := os.ReadFile(w.replica.logPath())
			shown := log[max(0, len(log)-maxLogShown):]
			return nil, fmt.Errorf("%d of %d watchers have a snapshot: %s", len(at), count, shown)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return at, nil
}

// watch is one watch. It returns when the watch ends, with an error unless it has received a snapshot and then ended in
// order.
func (w *watchers) watch(ctx context.Context) error {
	dialer := net.Dialer{Timeout: watchDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", w.replica.list)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	fmt.Fprintf(conn, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReaderSize(conn, watchBufferSize)
	line, err := reader.ReadString('\n')
	if err != nil || len(line) < 12 || line[9:12] != "200" {
		return fmt.Errorf("%.40q: %w", line, io.ErrUnexpectedEOF)
	}
	size, err := skipSnapshot(reader)
	if err != nil {
		return err
	}
	select {
	case w.snapshots <- size:
	default:
	}
	_, err = io.Copy(io.Discard, reader)
	return err
}

// skipSnapshot reads a response to the end of its first message, however that is cut into chunks, and returns how many
// bytes it has read.
func skipSnapshot(reader *bufio.Reader) (int, error) {
	const endOfMessage = "]}\n"
	matched := 0
	for size := 1; ; size++ {
		b, err := reader.ReadByte()
		if err != nil {
			return 0, err
		}
		if b != endOfMessage[matched] {
			matched = 0
			continue
		}
		matched++
		if matched == len(endOfMessage) {
			return size, nil
		}
	}
}
