// Package pools keeps the services of one process: each with a core of its own, its list of servers and its connections,
// all of them within what they share. A new configuration is taken as one step, or not at all.
package services

import (
	"math"
	"math/rand"
	"sync"
	"time"

	"robincart/internal/dataplane/frontend"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
)

// gate puts one lock round what services share. Nothing waits under it.
type gate struct {
	mu   sync.Mutex
	tree *quota.Tree
	back time.Duration // the shortest time after which to come again
	rand *rand.Rand
}

// share is one service's side of the gate.
type share struct {
	g    *gate
	s    *quota.Service
	most time.Duration // that callers may be told to wait; 0: they are told nothing
}

// Acquire asks for a request's part.
func (s *share) Acquire(tenant, body int) (frontend.Lease, time.Duration, bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	l, why := s.s.Acquire(tenant, quota.Amount{quota.InFlight: 1, quota.BodyBytes: int64(body)})
	if why != quota.Admitted {
		// Spread, so that those who follow it do not all come back in one moment.
		wait := time.Duration(float64(s.g.back) * (0.5 + 1.5*s.g.rand.Float64()))
		return nil, min(wait, s.most), false
	}
	return &lease{s.g, l}, 0, true
}

type lease struct {
	g *gate
	l *quota.Lease
}

func (l *lease) Revoked() <-chan struct{} { return l.l.Revoked() }

func (l *lease) Release() {
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	l.l.Release()
}

var oneConn = quota.Amount{quota.Connections: 1}

// budget is what a service's connections to servers are counted against: its part, and the process's descriptors.
type budget struct {
	x     *share
	all   *limits.Budget
	evict func() bool // its own oldest idle connection
	other func(*share) bool
}

func (b *budget) Acquire() bool {
	if !b.grow() && !(b.evict() && b.grow()) && !(b.other(b.x) && b.grow()) {
		return false
	}
	if b.all.Acquire() {
		return true
	}
	b.x.g.mu.Lock()
	defer b.x.g.mu.Unlock()
	b.x.s.Shrink(oneConn)
	return false
}

func (b *budget) grow() bool {
	b.x.g.mu.Lock()
	defer b.x.g.mu.Unlock()
	return b.x.s.Grow(oneConn)
}

func (b *budget) Release() {
	b.x.g.mu.Lock()
	b.x.s.Shrink(oneConn)
	b.x.g.mu.Unlock()
	b.all.Release()
}

func (b *budget) Memory() *limits.MemoryBudget { return b.all.Memory() }

func (b *budget) SetEvictor(f func() bool) { b.evict = f }

// plain counts against the process's descriptors alone. It leaves to the set whose idle connections give way.
type plain struct{ *limits.Budget }

func (plain) SetEvictor(func() bool) {}

// tick tells the tree of the time and of the CPU taken, and calls back what is due.
func (g *gate) tick(now, cpu, cores float64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tree.Tick(now, cpu, math.Max(cores, 0.01)))
}
