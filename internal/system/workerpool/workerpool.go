// Package workerpool runs short tasks on goroutines that are used again: a fresh one begins with a small stack and grows it
// anew, by copying, for every request.
package workerpool

import "sync"

// Task is something to run once. Run may wait, as any goroutine may.
type Task interface{ Run() }

// Pool has as many goroutines as tasks run at once, and keeps those that were needed lately.
type Pool struct {
	mu     sync.Mutex
	idle   []*hand // the one that ran last is last
	low    int     // fewest idle since the last Trim
	closed bool
	all    sync.WaitGroup
}

type hand struct{ in chan Task }

// Do runs a task, at once, beside its caller.
func (p *Pool) Do(t Task) {
	p.mu.Lock()
	n := len(p.idle) - 1
	if n >= 0 {
		h := p.idle[n]
		p.idle[n] = nil
		p.idle = p.idle[:n]
		p.low = min(p.low, n)
		p.mu.Unlock()
		h.in <- t
		return
	}
	p.low = 0
	p.mu.Unlock()
	h := &hand{in: make(chan Task, 1)}
	p.all.Go(func() { p.run(h, t) })
}

func (p *Pool) run(h *hand, t Task) {
	for {
		t.Run()
		t = nil
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		p.idle = append(p.idle, h)
		p.mu.Unlock()
		var ok bool
		if t, ok = <-h.in; !ok {
			return
		}
	}
}

// Trim ends those that were not needed since the last Trim, and tells how many are idle still. It is called every second
// or so.
func (p *Pool) Trim() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.idle[:p.low] {
		close(h.in)
	}
	p.idle = append(p.idle[:0:0], p.idle[p.low:]...)
	p.low = len(p.idle)
	return p.low
}

// Close ends the idle ones and waits for the tasks that still run. Nothing may be given to it any more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, h := range p.idle {
		close(h.in)
	}
	p.idle, p.low = nil, 0
	p.mu.Unlock()
	p.all.Wait()
}
