package standin

import (
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

// Policies of straight callers, the baselines.
var Policies = []string{"random", "round-robin", "least-outstanding", "two-choices"}

// Straight is a caller's own balancer: it follows the server list and knows what it has out itself, no more.
type Straight struct {
	policy string
	list   atomic.Pointer[[]load.Dest]
	next   atomic.Uint32
	out    sync.Map // server index → *atomic.Int64
	mu     sync.Mutex
	rand   *rand.Rand
	stop   chan struct{}
}

// NewStraight follows discovery's list until it is closed.
func NewStraight(policy string, d *Discovery, seed uint64) *Straight {
	s := &Straight{policy: policy, rand: plan.Source(seed, "straight"), stop: make(chan struct{})}
	s.next.Store(s.rand.Uint32()) // many that begin at the same server would go on in step
	s.follow(d)
	go func() {
		t := time.NewTicker(50 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				s.follow(d)
			case <-s.stop:
				return
			}
		}
	}()
	return s
}

// Close ends the following.
func (s *Straight) Close() { close(s.stop) }

func (s *Straight) follow(d *Discovery) {
	d.mu.Lock()
	gone := d.gone
	_, members := d.list()
	d.mu.Unlock()
	if gone && s.list.Load() != nil {
		return // nobody tells: the list stays
	}
	ready := []load.Dest{}
	for _, m := range members {
		if m.Phase == "ready" {
			ready = append(ready, load.Dest{ID: m.Index, Node: -1, Addr: m.Addr})
		}
	}
	s.list.Store(&ready)
}

func (s *Straight) outstanding(id int32) *atomic.Int64 {
	n, ok := s.out.Load(id)
	if !ok {
		n, _ = s.out.LoadOrStore(id, &atomic.Int64{})
	}
	return n.(*atomic.Int64)
}

// Choose picks a server that this call has not tried, if there is one.
func (s *Straight) Choose(_ *plan.Arrival, tried []int32) (load.Dest, bool) {
	list := *s.list.Load()
	if len(tried) > 0 {
		if rest := slices.DeleteFunc(slices.Clone(list), func(d load.Dest) bool { return slices.Contains(tried, d.ID) }); len(rest) > 0 {
			list = rest
		}
	}
	if len(list) == 0 {
		return load.Dest{}, false
	}
	s.mu.Lock()
	i, j := s.rand.Intn(len(list)), s.rand.Intn(len(list))
	s.mu.Unlock()
	switch s.policy {
	case "round-robin":
		i = int(s.next.Add(1)) % len(list)
	case "two-choices":
		if s.outstanding(list[j].ID).Load() < s.outstanding(list[i].ID).Load() {
			i = j
		}
	case "least-outstanding":
		least := s.outstanding(list[i].ID).Load()
		for k := range list { // from a random place on, so that equals share
			at := (i + k) % len(list)
			if n := s.outstanding(list[at].ID).Load(); n < least {
				least, j = n, at
			} else if k == 0 {
				j = at
			}
		}
		i = j
	}
	s.outstanding(list[i].ID).Add(1)
	return list[i], true
}

// Ended counts a try out.
func (s *Straight) Ended(d load.Dest, _ judge.End) { s.outstanding(d.ID).Add(-1) }

// Excused is never asked for: a straight caller has no node.
func (s *Straight) Excused(load.Dest, time.Duration) bool { return false }

// StraightFleet is many straight callers, each with a view of its own, among which calls are dealt out in turn as a front does.
type StraightFleet struct {
	callers []*Straight
	next    atomic.Uint32
}

// NewStraightFleet starts so many.
func NewStraightFleet(policy string, d *Discovery, seed uint64, callers int) *StraightFleet {
	f := &StraightFleet{}
	for i := range callers {
		f.callers = append(f.callers, NewStraight(policy, d, seed+uint64(i)*7919))
	}
	return f
}

// Close ends the following of all.
func (f *StraightFleet) Close() {
	for _, s := range f.callers {
		s.Close()
	}
}

// Choose has the next caller choose.
func (f *StraightFleet) Choose(a *plan.Arrival, tried []int32) (load.Dest, bool) {
	via := int(f.next.Add(1)) % len(f.callers)
	d, ok := f.callers[via].Choose(a, tried)
	d.Via = int32(via)
	return d, ok
}

// Ended tells the caller that chose.
func (f *StraightFleet) Ended(d load.Dest, end judge.End) { f.callers[d.Via].Ended(d, end) }

// Excused is never asked for: a straight caller has no node.
func (f *StraightFleet) Excused(load.Dest, time.Duration) bool { return false }
