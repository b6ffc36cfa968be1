package standin

import (
	"net"
	"slices"
	"sync"
	"time"

	"robincart/internal/lab/judge"
)

// Watch is how discovery notifies watchers of changes.
type Watch int

// The ways in which discovery notifies watchers of changes.
const (
	// WatchStreams sends each change on a watch until its connection ends.
	WatchStreams Watch = iota
	// WatchWaits ends a watch with the first change after the list, or after a time without one.
	WatchWaits
	// WatchEndsWithList ends a watch right after its list: watchers poll.
	WatchEndsWithList
)

const (
	firstRevision     = 41
	heartbeatInterval = 2 * time.Second
	// maxDeltas is how many deltas are known at most, and keptDeltas how many are left once there are more. A watch
	// from an older revision on begins with a snapshot.
	maxDeltas  = 10_000
	keptDeltas = 5_000
	// maxReplayed is how many deltas a replay sends again.
	maxReplayed = 50
	// replayTimeout bounds a replay's write to one watch.
	replayTimeout = 100 * time.Millisecond
)

// delta is a change of one member.
type delta struct {
	revision int64
	member   Member
}

// Discovery serves one tier's list of servers and its changes. Each node has a listener of its own, so that the ledger
// knows which node was notified of what, and when.
type Discovery struct {
	Log               *judge.Ledger
	Begin             time.Time
	HeartbeatInterval time.Duration // between the heartbeats of a watch, which are empty lines
	Watch             Watch
	Wait              time.Duration // how long a watch lasts at most, with WatchWaits
	// Bound is how long after discovery could be reached a change counts as notified to every node, whether it was or
	// not. 0: only what was sent counts.
	Bound time.Duration

	mu           sync.Mutex
	revision     int64
	members      map[string]Member
	order        []string // the members' ids, the oldest first
	deltas       []delta
	delay        time.Duration // before each message
	queue        callQueue
	spoiler      *spoiler // nil: messages are sent whole
	listeners    []*DiscoveryListener
	down         bool
	upSince      time.Time
	lastSnapshot []Member               // as it was when discovery went down
	boundTimers  map[string]*time.Timer // by member: when its last change counts as notified to every node
	stopped      bool
	changed      chan struct{} // closed at each change
}

// NewDiscovery returns a discovery with an empty list.
func NewDiscovery(log *judge.Ledger, begin time.Time) *Discovery {
	return &Discovery{
		Log:               log,
		Begin:             begin,
		HeartbeatInterval: heartbeatInterval,
		revision:          firstRevision,
		members:           map[string]Member{},
		boundTimers:       map[string]*time.Timer{},
		upSince:           begin,
		changed:           make(chan struct{}),
	}
}

// SetRevision sets the list's revision, and forgets all deltas.
func (d *Discovery) SetRevision(revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision, d.deltas = revision, nil
}

// Update adds or changes members. One whose phase is "gone" is removed.
func (d *Discovery) Update(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		d.updateMember(m)
		d.deltas = append(d.deltas, delta{d.revision, m})
	}
	if len(d.deltas) > maxDeltas {
		d.deltas = slices.Clone(d.deltas[len(d.deltas)-keptDeltas:])
	}
	for _, m := range members {
		d.scheduleBound(m)
	}
	d.wakeWatches()
}

// updateMember changes the list. The mutex is held.
func (d *Discovery) updateMember(m Member) {
	_, known := d.members[m.ID]
	if !known {
		d.order = append(d.order, m.ID)
	}
	d.members[m.ID] = m
	if m.Phase == phaseGone {
		delete(d.members, m.ID)
		d.order = slices.DeleteFunc(d.order, func(id string) bool { return id == m.ID })
	}
}

// wakeWatches has all watches look at the list. The mutex is held.
func (d *Discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns a snapshot of the list with its revision.
func (d *Discovery) List() (int64, []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision, d.snapshot()
}

// snapshot is the list. The mutex is held.
func (d *Discovery) snapshot() []Member {
	members := make([]Member, 0, len(d.order))
	for _, id := range d.order {
		members = append(members, d.members[id])
	}
	return members
}

// LastKnown is the list as a node that starts now knows it from before: the present one, or the one from when discovery
// went down.
func (d *Discovery) LastKnown() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return d.lastSnapshot
	}
	return d.snapshot()
}

// reachable returns the list, and whether discovery can be reached.
func (d *Discovery) reachable() ([]Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot(), !d.down
}

// SetDelay delays each message by that much.
func (d *Discovery) SetDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = by
}

// SetWorkQueue makes it answer calls one after another, each of which takes that much work, and reject a call whose
// answer would take longer than maxWait. A work of 0 ends that.
func (d *Discovery) SetWorkQueue(work, maxWait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue = callQueue{work: work, maxWait: maxWait}
}

// RejectedCalls is the number of calls rejected since the last SetWorkQueue.
func (d *Discovery) RejectedCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.rejected
}

// SetDown resets all connections and every new one, or ends that.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down && !d.down {
		d.lastSnapshot = d.snapshot()
	}
	d.down = down
	if !down {
		d.upSince = time.Now()
		return
	}
	d.eachConn(func(conn net.Conn, _ *connState) { reset(conn) })
}

// Replay sends the oldest deltas to every watch again, under their old revisions, as a stream that was cut and resumed
// at the wrong place would.
func (d *Discovery) Replay() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, old := range d.deltas[:min(maxReplayed, len(d.deltas))] {
		text := encodeList(old.revision, false, []Member{old.member})
		d.eachConn(func(conn net.Conn, state *connState) {
			if *state != connWatching {
				return
			}
			conn.SetWriteDeadline(time.Now().Add(replayTimeout))
			writeChunk(conn, text)
		})
	}
}

// MuteWatches makes the present watches silent, as a network path that is cut does. Calls are answered as before.
func (d *Discovery) MuteWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.eachConn(func(_ net.Conn, state *connState) {
		if *state == connWatching {
			*state = connMuted
		}
	})
	d.wakeWatches()
}

// ResetWatches resets the present watches.
func (d *Discovery) ResetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.eachConn(func(conn net.Conn, state *connState) {
		if *state != connCalling {
			reset(conn)
		}
	})
}

// eachConn calls a function for each connection of each listener. The mutex is held.
func (d *Discovery) eachConn(f func(conn net.Conn, state *connState)) {
	for _, l := range d.listeners {
		for conn, state := range l.conns {
			f(conn, state)
		}
	}
}

// Stop closes all listeners and connections.
func (d *Discovery) Stop() {
	d.SetDown(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for _, l := range d.listeners {
		l.listener.Close()
	}
}
