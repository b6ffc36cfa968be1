package standin

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

// ClientBalancer deals out connections among the nodes that it believes in: it notices only after a while that one has died,
// and takes it in again once it says that it is ready.
type ClientBalancer struct {
	Begin  time.Time
	Notice time.Duration

	mu    sync.Mutex
	nodes []frontNode
	next  atomic.Uint32
}

type frontNode struct {
	Dest    load.Destination
	out     bool
	excused []span // when it was killed or away by order
}

type span struct{ from, to time.Duration }

// NewClientBalancer deals out connections to these.
func NewClientBalancer(begin time.Time, notice time.Duration, nodes []load.Destination) *ClientBalancer {
	f := &ClientBalancer{Begin: begin, Notice: notice}
	for _, d := range nodes {
		f.nodes = append(f.nodes, frontNode{Dest: d})
	}
	return f
}

// Choose deals nodes out in turn.
func (f *ClientBalancer) Choose(_ *plan.Arrival, _ []int32) (load.Destination, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	start := int(f.next.Add(1))
	for i := range f.nodes {
		if n := &f.nodes[(start+i)%len(f.nodes)]; !n.out {
			return n.Dest, true
		}
	}
	if len(f.nodes) == 0 {
		return load.Destination{}, false
	}
	return f.nodes[start%len(f.nodes)].Dest, true // nobody is left: a front deals them out all the same
}

// Done is of no use to a front.
func (f *ClientBalancer) Done(load.Destination, judge.Outcome) {}

// Killed notes that a node has been killed by order; the front learns of it later.
func (f *ClientBalancer) Killed(id int32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		if n := &f.nodes[i]; n.Dest.ID == id {
			n.excused = append(n.excused, span{time.Since(f.Begin), 1 << 62})
			time.AfterFunc(f.Notice, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if last := len(n.excused) - 1; n.excused[last].to == 1<<62 {
					n.out = true
				}
			})
		}
	}
}

// Leaving notes that a node is told to stop: the front goes on for a moment, then leaves it out.
func (f *ClientBalancer) Leaving(id int32) {
	time.AfterFunc(300*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i := range f.nodes {
			if f.nodes[i].Dest.ID == id {
				f.nodes[i].out = true
			}
		}
	})
}

// Back takes a node in again.
func (f *ClientBalancer) Back(id int32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		if n := &f.nodes[i]; n.Dest.ID == id {
			n.out = false
			if last := len(n.excused) - 1; last >= 0 && n.excused[last].to == 1<<62 {
				n.excused[last].to = time.Since(f.Begin)
			}
		}
	}
}

// Excused tells whether a node was killed by order after that moment.
func (f *ClientBalancer) Excused(d load.Destination, since time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		if f.nodes[i].Dest.ID == d.ID {
			return slices.ContainsFunc(f.nodes[i].excused, func(s span) bool { return s.to >= since })
		}
	}
	return false
}
