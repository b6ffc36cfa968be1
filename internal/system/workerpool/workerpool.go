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
func (c *Pool) Do(t Task) {
	c.mu.Lock()
	n := len(c.idle) - 1
	if n >= 0 {
		h := c.idle[n]
		c.idle[n] = nil
		c.idle = c.idle[:n]
		c.low = min(c.low, n)
		c.mu.Unlock()
		h.in <- t
		return
	}
	c.low = 0
	c.mu.Unlock()
	h := &hand{in: make(chan Task, 1)}
	c.all.Go(func() { c.run(h, t) })
}

func (c *Pool) run(h *hand, t Task) {
	for {
		t.Run()
		t = nil
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return
		}
		c.idle = append(c.idle, h)
		c.mu.Unlock()
		var ok bool
		if t, ok = <-h.in; !ok {
			return
		}
	}
}

// Trim ends those that were not needed since the last Trim, and tells how many are idle still. It is called every second
// or so.
func (c *Pool) Trim() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.idle[:c.low] {
		close(h.in)
	}
	c.idle = append(c.idle[:0:0], c.idle[c.low:]...)
	c.low = len(c.idle)
	return c.low
}

// Close ends the idle ones and waits for the tasks that still run. Nothing may be given to it any more.
func (c *Pool) Close() {
	c.mu.Lock()
	c.closed = true
	for _, h := range c.idle {
		close(h.in)
	}
	c.idle, c.low = nil, 0
	c.mu.Unlock()
	c.all.Wait()
}
