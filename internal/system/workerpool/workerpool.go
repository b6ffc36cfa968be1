// Package workerpool runs short tasks on goroutines that are used again: a new one begins with a small stack and grows
// it, by copying, for every request.
//
// A Pool owns its goroutines. It neither queues nor limits tasks: each begins at once.
package workerpool

import "sync"

// Task is something to run once. Run may block, as any goroutine may.
type Task interface{ Run() }

// Pool has as many goroutines as tasks run at once, and keeps those that were needed lately. The zero value is ready
// for use, and it is safe for concurrent use.
type Pool struct {
	mu         sync.Mutex
	idle       []*worker // the one that ran last is last
	minIdle    int       // the fewest since the last Trim
	closed     bool
	goroutines sync.WaitGroup
}

// worker is a goroutine, or the way to give it its next task.
type worker struct{ tasks chan Task }

// Do runs a task, at once and beside its caller.
func (p *Pool) Do(task Task) {
	if w := p.takeIdle(); w != nil {
		w.tasks <- task
		return
	}
	w := &worker{tasks: make(chan Task, 1)}
	p.goroutines.Go(func() { p.run(w, task) })
}

// takeIdle returns the worker that ran last, whose stack is most likely cached, or nil.
func (p *Pool) takeIdle() *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		p.minIdle = 0
		return nil
	}
	w := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	p.minIdle = min(p.minIdle, last)
	return w
}

// run runs a worker's tasks, the first one and those that follow, until its channel or the pool is closed.
func (p *Pool) run(w *worker, task Task) {
	for {
		task.Run()
		task = nil // an idle worker must not keep its memory alive
		if !p.putIdle(w) {
			return
		}
		var ok bool
		if task, ok = <-w.tasks; !ok {
			return
		}
	}
}

// putIdle makes a worker available for further tasks, unless the pool is closed.
func (p *Pool) putIdle(w *worker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.idle = append(p.idle, w)
	return true
}

// Trim ends the goroutines that were not needed since the last Trim, and returns how many are still idle. It is to be
// called every second or so.
func (p *Pool) Trim() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.idle[:p.minIdle] {
		close(w.tasks)
	}
	p.idle = append(p.idle[:0:0], p.idle[p.minIdle:]...)
	p.minIdle = len(p.idle)
	return p.minIdle
}

// Close ends the idle goroutines and waits for the tasks that still run. Do may not be called any more.
func (p *Pool) Close() {
	p.endIdle()
	p.goroutines.Wait()
}

func (p *Pool) endIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.idle {
		close(w.tasks)
	}
	p.idle = nil
	p.minIdle = 0
}
