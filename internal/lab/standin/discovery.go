package standin

import (
	"net"
	"sync"
	"time"

	"robincart/internal/lab/judge"
)

// Member is one entry of discovery's list.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Flavor  string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince int64   `json:"up_since_ms"`

	Index int32 `json:"-"` // in the ledger
}

var states = map[string]judge.State{"ready": judge.Ready, "draining": judge.Draining, "gone": judge.Gone}

type change struct {
	revision int64
	member   Member
}

// Discovery keeps the list of one tier and tells its changes. Each node has a door of its own, so that the ledger
// knows which node was told what, and when.
type Discovery struct {
	Log   *judge.Ledger
	Begin time.Time
	Every time.Duration // between empty lines
	Watch Watch         // how it tells of changes
	Wait  time.Duration // of WatchWaits: how long a watch lasts at most
	// Bound is how long after it could be reached a change counts as told to every node, told or not. 0: never unless it is told.
	Bound time.Duration

	mu       sync.Mutex
	revision int64
	members  map[string]Member
	order    []string
	changes  []change
	delay    time.Duration
	gone     bool
	queue    callQueue
	doors    []*DiscoveryListener
	back     time.Time              // when it last became reachable
	known    []Member               // the list as it was when it last could be reached
	binding  map[string]*time.Timer // by member: when its last change counts as told to all
	stopped  bool
	wake     chan struct{} // closed at each change
}

// NewDiscovery starts with an empty list at a revision.
func NewDiscovery(log *judge.Ledger, begin time.Time) *Discovery {
	return &Discovery{Log: log, Begin: begin, Every: 2 * time.Second, revision: 41, members: map[string]Member{},
		wake: make(chan struct{}), binding: map[string]*time.Timer{}, back: begin}
}

// SetRevision sets the revision that the list stands at, and forgets what changed before.
func (d *Discovery) SetRevision(revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision, d.changes = revision, nil
}

// Update changes the list.
func (d *Discovery) Update(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		if _, known := d.members[m.ID]; !known {
			d.order = append(d.order, m.ID)
		}
		d.members[m.ID] = m
		if m.Phase == "gone" {
			delete(d.members, m.ID)
			for i, id := range d.order {
				if id == m.ID {
					d.order = append(d.order[:i:i], d.order[i+1:]...)
					break
				}
			}
		}
		d.changes = append(d.changes, change{d.revision, m})
	}
	if n := len(d.changes); n > 10_000 {
		d.changes = append([]change(nil), d.changes[n-5000:]...)
	}
	for _, m := range members {
		d.bind(m)
	}
	d.stir()
}

func (d *Discovery) stir() {
	close(d.wake)
	d.wake = make(chan struct{})
}

// List is the whole list as it stands.
func (d *Discovery) List() (int64, []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

func (d *Discovery) list() (int64, []Member) {
	out := []Member{}
	for _, id := range d.order {
		out = append(out, d.members[id])
	}
	return d.revision, out
}

// SetDelay makes every word wait that long before it is written.
func (d *Discovery) SetDelay(by time.Duration) {
	d.mu.Lock()
	d.delay = by
	d.mu.Unlock()
}

// SetDown ends all watches and refuses new ones, or comes back.
func (d *Discovery) SetDown(gone bool) {
	d.mu.Lock()
	if gone && !d.gone {
		_, d.known = d.list()
	}
	d.gone = gone
	if !gone {
		d.back = time.Now()
	}
	var all []net.Conn
	for _, o := range d.doors {
		for c := range o.conns {
			all = append(all, c)
		}
	}
	d.mu.Unlock()
	if gone {
		for _, c := range all {
			reset(c)
		}
	}
}

// Replay writes the oldest changes again to every watch, under their old revisions, as a stream that was cut and
// resumed at the wrong place would.
func (d *Discovery) Replay() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ch := range d.changes[:min(50, len(d.changes))] {
		for _, o := range d.doors {
			for c, state := range o.conns {
				if state == watching {
					c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
					chunk(c, message(ch.revision, false, []Member{ch.member}))
				}
			}
		}
	}
}

// MuteWatches makes the watches that stand say nothing any more, as a path that is cut does. Calls are answered as before.
func (d *Discovery) MuteWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.doors {
		for c, state := range o.conns {
			if state == watching {
				o.conns[c] = silent
			}
		}
	}
	d.stir()
}

// ResetWatches resets the watches that stand.
func (d *Discovery) ResetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.doors {
		for c, state := range o.conns {
			if state != calling {
				reset(c)
			}
		}
	}
}

// SetWorkQueue has it work through calls in turn; work 0 ends that.
func (d *Discovery) SetWorkQueue(work, most time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue = callQueue{work: work, most: most}
}

// RejectedCalls counts the calls that it refused since the last Queue.
func (d *Discovery) RejectedCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.refused
}

// LastKnown is the list as a node that starts now has it from before: of now, or of when discovery was last reached.
func (d *Discovery) LastKnown() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gone {
		return d.known
	}
	_, members := d.list()
	return members
}

// Stop ends all of it.
func (d *Discovery) Stop() {
	d.SetDown(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for _, o := range d.doors {
		o.ln.Close()
	}
}
