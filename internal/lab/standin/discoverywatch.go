package standin

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// watchWriteTimeout bounds a write to a watch.
const watchWriteTimeout = 2 * time.Second

// errMuted is returned by a watch's notify after MuteWatches.
var errMuted = errors.New("the watch is muted")

// watch is one watch of a node.
type watch struct {
	listener *DiscoveryListener
	conn     net.Conn
	since    int64 // the revision that was sent last
	endsAt   time.Time
	closed   chan struct{} // closed when the watcher has closed its connection
}

// watch sends the list and its changes until the connection ends, or for as long as discovery's watches last.
func (d *DiscoveryListener) watch(conn net.Conn, since int64) {
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	w := &watch{listener: d, conn: conn, since: since, closed: make(chan struct{})}
	go w.awaitClose()
	defer func() {
		conn.Close()
		<-w.closed
	}()
	d.discovery.mu.Lock()
	*d.conns[conn] = connWatching
	d.watchesBegun++
	d.discovery.mu.Unlock()
	w.endsAt = time.Now().Add(d.discovery.Wait)
	w.run()
}

// awaitClose waits for the end of the watcher's side, which ends the watch at once. Watchers send nothing.
func (w *watch) awaitClose() {
	w.conn.Read(make([]byte, 1))
	w.conn.Close()
	close(w.closed)
}

func (w *watch) run() {
	d := w.listener.discovery
	for first := true; ; first = false {
		d.mu.Lock()
		muted, changed, delay := w.muted(), d.changed, d.delay
		outdated := d.revision > w.since
		d.mu.Unlock()
		switch {
		case muted:
			<-w.closed
			return
		case outdated || first:
			time.Sleep(delay)
			err := w.notify()
			if errors.Is(err, errMuted) {
				continue
			}
			if err != nil || w.endsAfterMessage(first) {
				return
			}
		case !w.awaitChange(changed):
			return
		}
	}
}

// muted returns whether the watch stays silent. The mutex is held.
func (w *watch) muted() bool { return *w.listener.conns[w.conn] == connMuted }

// endsAfterMessage returns whether the watch ends with the message that was just sent.
func (w *watch) endsAfterMessage(first bool) bool {
	switch w.listener.discovery.Watch {
	case WatchEndsWithList:
		return true
	case WatchWaits:
		return !first
	default:
		return false
	}
}

// awaitChange waits for a change, and sends a heartbeat if none comes. It returns false at the watch's end.
func (w *watch) awaitChange(changed <-chan struct{}) bool {
	d := w.listener.discovery
	wait := d.HeartbeatInterval
	if d.Watch == WatchWaits {
		if time.Now().After(w.endsAt) {
			return false
		}
		wait = min(wait, time.Until(w.endsAt)+time.Millisecond)
	}
	select {
	case <-changed:
		return true
	case <-w.closed:
		return false
	case <-time.After(wait):
		w.conn.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
		return writeChunk(w.conn, []byte("\n")) == nil
	}
}

// notify sends what has changed since the last message, or a snapshot if that is not known any more. It writes with the
// mutex held, so that the ledger's order is that of the connection.
func (w *watch) notify() error {
	d := w.listener.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.muted() {
		return errMuted
	}
	revision := d.revision
	complete := w.since == 0 || w.since > revision || len(d.deltas) == 0 || d.deltas[0].revision > w.since+1
	var members []Member
	if complete {
		members = d.snapshot()
	} else {
		members = d.changedSince(w.since)
	}
	w.conn.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	w.since = revision
	text := encodeList(revision, complete, members)
	if d.spoiler.spoils() {
		return w.writeCut(text, members)
	}
	w.listener.record(members, complete)
	return writeChunk(w.conn, text)
}

// changedSince are the members of the deltas after a revision. The mutex is held.
func (d *Discovery) changedSince(revision int64) []Member {
	var members []Member
	for _, change := range d.deltas {
		if change.revision > revision {
			members = append(members, change.member)
		}
	}
	return members
}
