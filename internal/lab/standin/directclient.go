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

// DirectClient is a caller's own balancer: it follows the server list and knows what it has out itself, no more.
type DirectClient struct {
	policy string
	list   atomic.Pointer[[]load.Destination]
	next   atomic.Uint32
	out    sync.Map // server index → *atomic.Int64
	mu     sync.Mutex
	rand   *rand.Rand
	stop   chan struct{}
}

// NewDirectClient follows discovery's list until it is closed.
func NewDirectClient(policy string, d *Discovery, seed uint64) *DirectClient {
	s := &DirectClient{policy: policy, rand: plan.NewSource(seed, "straight"), stop: make(chan struct{})}
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
func (s *DirectClient) Close() { close(s.stop) }

func (s *DirectClient) follow(d *Discovery) {
	d.mu.Lock()
	gone := d.gone
	_, members := d.list()
	d.mu.Unlock()
	if gone && s.list.Load() != nil {
		return // nobody tells: the list stays
	}
	ready := []load.Destination{}
	for _, m := range members {
		if m.Phase == "ready" {
			ready = append(ready, load.Destination{ID: m.Index, Node: -1, Addr: m.Addr})
		}
	}
	s.list.Store(&ready)
}

func (s *DirectClient) outstanding(id int32) *atomic.Int64 {
	n, ok := s.out.Load(id)
	if !ok {
		n, _ = s.out.LoadOrStore(id, &atomic.Int64{})
	}
	return n.(*atomic.Int64)
}

// Choose picks a server that this call has not tried, if there is one.
func (s *DirectClient) Choose(_ *plan.Arrival, tried []int32) (load.Destination, bool) {
	list := *s.list.Load()
	if len(tried) > 0 {
		if rest := slices.DeleteFunc(slices.Clone(list), func(d load.Destination) bool { return slices.Contains(tried, d.ID) }); len(rest) > 0 {
			list = rest
		}
	}
	if len(list) == 0 {
		return load.Destination{}, false
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

// Done counts a try out.
func (s *DirectClient) Done(d load.Destination, _ judge.Outcome) { s.outstanding(d.ID).Add(-1) }

// Excused is never asked for: a straight caller has no node.
func (s *DirectClient) Excused(load.Destination, time.Duration) bool { return false }

// DirectClients is many straight callers, each with a view of its own, among which calls are dealt out in turn as a front does.
type DirectClients struct {
	callers []*DirectClient
	next    atomic.Uint32
}

// NewDirectClients starts so many.
func NewDirectClients(policy string, d *Discovery, seed uint64, callers int) *DirectClients {
	f := &DirectClients{}
	for i := range callers {
		f.callers = append(f.callers, NewDirectClient(policy, d, seed+uint64(i)*7919))
	}
	return f
}

// Close ends the following of all.
func (f *DirectClients) Close() {
	for _, s := range f.callers {
		s.Close()
	}
}

// Choose has the next caller choose.
func (f *DirectClients) Choose(a *plan.Arrival, tried []int32) (load.Destination, bool) {
	via := int(f.next.Add(1)) % len(f.callers)
	d, ok := f.callers[via].Choose(a, tried)
	d.Via = int32(via)
	return d, ok
}

// Done tells the caller that chose.
func (f *DirectClients) Done(d load.Destination, end judge.Outcome) { f.callers[d.Via].Done(d, end) }

// Excused is never asked for: a straight caller has no node.
func (f *DirectClients) Excused(load.Destination, time.Duration) bool { return false }
