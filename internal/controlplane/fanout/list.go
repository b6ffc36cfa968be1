// Package fanout publishes lists of servers to nodes over the discovery protocol. A node requests one snapshot, or a
// watch: an open-ended response with snapshots and deltas, which have revisions, and with heartbeats. A heartbeat is an
// empty line every two seconds.
//
// A List keeps the members of one service and the history of the list's deltas, and serves the connections of its
// watchers. Each delta is encoded once for all watchers. The only state of a watcher is its position in the history, so
// no watcher has a backlog of its own. A watcher that lags too far behind is sent a snapshot. The callers of
// PublishSnapshot and PublishDelta decide which servers are members.
package fanout

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// maxDeltasBehind is the largest number of missing deltas that a watcher is sent one by one. A watcher that lacks
	// more deltas is sent a snapshot instead.
	maxDeltasBehind = 64
	// staleOrderSlack is the constant part of a limit: List.order is compacted when List.order has more than
	// 2*members + staleOrderSlack IDs.
	staleOrderSlack = 16
)

// List is the server list of one service. Its methods may be called concurrently.
type List struct {
	config Config
	log    *zap.Logger

	mu       sync.Mutex
	revision int64
	members  map[string]Member // by ID; nil before the first snapshot
	// order has the members' IDs in the order of their first appearance. It may have duplicates, and IDs of removed
	// members.
	order         []string
	history       []delta
	snapshot      []byte        // the encoded snapshot at the current revision; nil: not encoded yet
	changed       chan struct{} // closed at the next change
	pending       []Member      // changes of the current batch
	batchTimer    *time.Timer   // ends the current batch; nil: no batch has begun
	sourceAliveAt time.Time     // when the source of the list was last known to be alive

	watchers      atomic.Int64
	rejected      atomic.Int64
	snapshotsSent atomic.Int64
}

// delta has the encoded changes from one revision to the next.
type delta struct {
	from, to int64
	chunk    []byte
}

// New returns a list without a snapshot. Until the first call of PublishSnapshot, requests are answered with 503, so
// that nodes keep their current list.
func New(config Config, log *zap.Logger) *List {
	return &List{config: config, log: log, changed: make(chan struct{})}
}

// PublishSnapshot replaces the members. The revision has to be higher than all revisions that nodes have received. If
// the passed revision is lower than the list's next revision, the list's next revision is used instead.
func (l *List) PublishSnapshot(revision int64, members []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = make(map[string]Member, len(members))
	l.order, l.history, l.pending = nil, nil, nil
	for _, member := range members {
		l.setMember(member)
	}
	l.revision = max(revision, l.revision+1)
	l.snapshot = nil
	l.sourceAliveAt = time.Now()
	l.notifyWatchers()
}

// PublishDelta applies changes. If one of the changes is urgent (see hasUrgent), all changes are published at once,
// together with all pending changes. Otherwise the changes are collected for BatchDelay, so that few messages are sent
// when thousands of servers become ready.
func (l *List) PublishDelta(changes []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil || len(changes) == 0 {
		return
	}
	l.pending = append(l.pending, changes...)
	l.sourceAliveAt = time.Now()
	switch {
	case hasUrgent(changes) || l.config.BatchDelay <= 0:
		l.flush()
	case l.batchTimer == nil:
		l.batchTimer = time.AfterFunc(l.config.BatchDelay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.flush()
		})
	}
}

// hasUrgent reports whether any of the changes sets a phase other than ready, such as draining or gone.
func hasUrgent(changes []Member) bool {
	for _, member := range changes {
		if member.Phase != phaseReady {
			return true
		}
	}
	return false
}

// MarkSourceAlive records that the source of the list is alive now. Status returns how long ago the source was last
// known to be alive.
func (l *List) MarkSourceAlive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sourceAliveAt = time.Now()
}

// flush publishes all pending changes in their order. It publishes a change, such as a drain, even if a later pending
// change reverses the published change. The mutex is held.
func (l *List) flush() {
	if l.batchTimer != nil {
		l.batchTimer.Stop()
		l.batchTimer = nil
	}
	if len(l.pending) == 0 {
		return
	}
	for _, member := range l.pending {
		l.setMember(member)
	}
	next := l.revision + 1
	text, err := json.Marshal(message{Revision: next, Members: l.pending})
	l.pending = nil
	if err != nil {
		l.log.Error("delta encoding failed", zap.Error(err))
		return
	}
	l.history = append(l.history, delta{from: l.revision, to: next, chunk: newChunk(text)})
	if len(l.history) > l.config.History {
		// Copy the part of the history that is kept, so that the old array and the chunks of its deltas can be freed.
		// Half of the history is dropped at once, so that not every delta causes a copy.
		l.history = append([]delta(nil), l.history[len(l.history)-l.config.History/2:]...)
	}
	l.revision = next
	l.snapshot = nil
	l.notifyWatchers()
}

func (l *List) setMember(member Member) {
	if member.Phase == phaseGone {
		delete(l.members, member.ID)
	} else {
		if _, known := l.members[member.ID]; !known {
			l.order = append(l.order, member.ID)
		}
		l.members[member.ID] = member
	}
	if len(l.order) > 2*len(l.members)+staleOrderSlack {
		l.order = l.orderedIDs()
	}
}

// orderedIDs returns the members' IDs in the order of their first appearance.
func (l *List) orderedIDs() []string {
	ids := make([]string, 0, len(l.members))
	seen := make(map[string]bool, len(l.members))
	for _, id := range l.order {
		if _, known := l.members[id]; known && !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// notifyWatchers wakes all watchers.
func (l *List) notifyWatchers() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// update is the next data to send to a node.
type update struct {
	chunk    []byte          // nil: nothing to send
	revision int64           // the node's revision after this update
	changed  <-chan struct{} // closed when a further update may exist
}

// firstUpdate returns the first update for a node. since is the revision of the node's list. If since is the latest
// revision, the update is an empty delta. Before the first snapshot there is nothing to send.
func (l *List) firstUpdate(since int64) update {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members != nil && since == l.revision {
		text := fmt.Appendf(nil, `{"revision":%d,"complete":false,"members":[]}`, since)
		return update{chunk: newChunk(text), revision: since, changed: l.changed}
	}
	return l.updateSince(since)
}

// nextUpdate returns the next update for a watcher. since is the revision of the watcher's list. If since is the latest
// revision, there is nothing to send.
func (l *List) nextUpdate(since int64) update {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.updateSince(since)
}

// snapshotUpdate returns a snapshot, whichever revision the node has.
func (l *List) snapshotUpdate() update {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil {
		return update{changed: l.changed}
	}
	return l.snapshotSince(0)
}

func (l *List) updateSince(since int64) update {
	nothing := update{revision: since, changed: l.changed}
	if l.members == nil || since == l.revision || l.isLaterEpoch(since) {
		return nothing
	}
	if next := l.deltaSince(since); next != nil {
		return update{chunk: next.chunk, revision: next.to, changed: l.changed}
	}
	return l.snapshotSince(since)
}

// isLaterEpoch reports whether a revision belongs to a later epoch than the list's revision. The list of a node with
// such a revision comes from a newer leader than the latest one that this replica has seen, so the node must not be
// sent the older list of this replica.
func (l *List) isLaterEpoch(revision int64) bool {
	return l.config.EpochOf != nil && l.config.EpochOf(revision) > l.config.EpochOf(l.revision)
}

// deltaSince returns the delta that starts at a revision, or nil if a snapshot has to be sent instead.
func (l *List) deltaSince(revision int64) *delta {
	if revision <= 0 || len(l.history) == 0 || revision < l.history[0].from || revision >= l.revision {
		return nil
	}
	oldest := max(0, len(l.history)-maxDeltasBehind)
	for i := len(l.history) - 1; i >= oldest; i-- {
		if l.history[i].from == revision {
			return &l.history[i]
		}
	}
	return nil
}

// snapshotSince returns a snapshot for a node. since is the revision of the node's list. If the encoding fails, the
// returned update has the revision since and nothing to send. The snapshot is encoded once per revision.
func (l *List) snapshotSince(since int64) update {
	if l.snapshot == nil {
		snapshot := message{Revision: l.revision, Complete: true, Members: make([]Member, 0, len(l.members))}
		for _, id := range l.orderedIDs() {
			snapshot.Members = append(snapshot.Members, l.members[id])
		}
		text, err := json.Marshal(snapshot)
		if err != nil {
			l.log.Error("snapshot encoding failed", zap.Error(err))
			return update{revision: since, changed: l.changed}
		}
		l.snapshot = newChunk(text)
	}
	l.snapshotsSent.Add(1)
	return update{chunk: l.snapshot, revision: l.revision, changed: l.changed}
}

// Status is the state of a list, as shown on the controller's status page.
type Status struct {
	Revision               int64   `json:"revision"`
	Servers                int     `json:"servers"`
	Watchers               int64   `json:"watchers"`
	Rejected               int64   `json:"refused"`
	Snapshots              int64   `json:"whole_lists_sent"`
	SecondsSinceSourceSeen float64 `json:"heard_seconds_ago"` // since the source was last known to be alive; -1: never
}

// Status returns the current state of the list.
func (l *List) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := Status{
		Revision:               l.revision,
		Servers:                len(l.members),
		Watchers:               l.watchers.Load(),
		Rejected:               l.rejected.Load(),
		Snapshots:              l.snapshotsSent.Load(),
		SecondsSinceSourceSeen: -1,
	}
	if !l.sourceAliveAt.IsZero() {
		status.SecondsSinceSourceSeen = time.Since(l.sourceAliveAt).Seconds()
	}
	return status
}
