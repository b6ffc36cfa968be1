// Package fanout publishes lists of servers to nodes by the discovery protocol that nodes speak: a snapshot on request,
// or a watch with revisions and a heartbeat, which is an empty line every two seconds.
//
// A List owns the members of one service, the history of its deltas and the connections of its watchers. Each delta is
// encoded once for all watchers. A watcher is a position in the history; one that falls behind gets a snapshot, so that
// no watcher has a backlog. What the members are is decided elsewhere.
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
	// maxDeltasBehind is how many deltas a watcher may lack to be sent them one by one. One that lacks more is better
	// off with a snapshot.
	maxDeltasBehind = 64
	// staleOrderSlack is how many IDs of members that have gone the order may have before it is compacted, beside one
	// for each member.
	staleOrderSlack = 16
)

// List is the list of one service. Its methods may be called concurrently.
type List struct {
	config Config
	log    *zap.Logger

	mu       sync.Mutex
	revision int64
	members  map[string]Member // by ID; nil before the first snapshot
	// order has the members' IDs as they first appeared. An ID may be in it twice, or be of a member that has gone.
	order         []string
	history       []delta
	snapshot      []byte        // at revision, encoded; nil: not encoded yet
	changed       chan struct{} // closed with the next change
	pending       []Member      // changes that wait for the batch to end
	batchTimer    *time.Timer   // nil: no batch has begun
	sourceAliveAt time.Time     // when the source of the list last showed that it lives

	watchers      atomic.Int64
	rejected      atomic.Int64
	snapshotsSent atomic.Int64
}

// delta is an encoded step of the history, from one revision to the next.
type delta struct {
	from, to int64
	chunk    []byte
}

// New returns a list that has no snapshot. Until PublishSnapshot is called for the first time requests are answered
// with 503, so that nodes keep the list they have.
func New(config Config, log *zap.Logger) *List {
	return &List{config: config, log: log, changed: make(chan struct{})}
}

// PublishSnapshot replaces the members, at a revision that is above all that nodes have seen.
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

// PublishDelta applies changes. Servers that leave are published at once, with all that is pending. Servers that become
// ready wait for BatchDelay, so that the start of thousands is a few messages.
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

// hasUrgent reports whether a server leaves.
func hasUrgent(changes []Member) bool {
	for _, member := range changes {
		if member.Phase != phaseReady {
			return true
		}
	}
	return false
}

// MarkSourceAlive notes that the source of the list can still be reached, for the status.
func (l *List) MarkSourceAlive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sourceAliveAt = time.Now()
}

// flush publishes the pending changes, all of them in their order: a drain that was undone is sent, too.
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
		// Copied, so that the old array and its chunks can be freed; by half, so that it is not done each time.
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

// update is what a node is to be sent.
type update struct {
	chunk    []byte          // nil: nothing
	revision int64           // that the node has with it
	changed  <-chan struct{} // closed once there may be more
}

// firstUpdate returns what a node that has a revision is to be sent at first. One that has the latest gets an empty
// delta. Nothing is sent before the first snapshot.
func (l *List) firstUpdate(since int64) update {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members != nil && since == l.revision {
		text := fmt.Appendf(nil, `{"revision":%d,"complete":false,"members":[]}`, since)
		return update{chunk: newChunk(text), revision: since, changed: l.changed}
	}
	return l.updateSince(since)
}

// nextUpdate returns what a watcher that has a revision is to be sent next; nothing if it has the latest.
func (l *List) nextUpdate(since int64) update {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.updateSince(since)
}

// snapshotUpdate returns a snapshot, whatever revision a node has.
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
	if step := l.deltaSince(since); step != nil {
		return update{chunk: step.chunk, revision: step.to, changed: l.changed}
	}
	return l.snapshotSince(since)
}

// isLaterEpoch reports whether a revision is of a later epoch than the list's. A node that has it follows a newer
// leader than this replica does, and must not be taken back.
func (l *List) isLaterEpoch(revision int64) bool {
	return l.config.EpochOf != nil && l.config.EpochOf(revision) > l.config.EpochOf(l.revision)
}

// deltaSince returns the delta that begins at a revision; nil: a snapshot is to be sent.
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

// snapshotSince returns all members, encoded once for each revision, to a node that has a revision.
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

// Status is the state of a list as the controller's status page shows it.
type Status struct {
	Revision               int64   `json:"revision"`
	Servers                int     `json:"servers"`
	Watchers               int64   `json:"watchers"`
	Rejected               int64   `json:"refused"`
	Snapshots              int64   `json:"whole_lists_sent"`
	SecondsSinceSourceSeen float64 `json:"heard_seconds_ago"` // since the source showed that it lives; -1: it never did
}

// Status returns the present state of the list.
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
