// Package wait has what goroutines that wait for work share: a sleep that a context ends, and a signal. It owns no
// goroutine.
package wait

import (
	"context"
	"time"
)

// Sleep returns after a delay, or earlier when the context ends.
func Sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Signal wakes one goroutine, which receives from it. A Signal that is set again before it is received is received
// once: the receiver has to look at the state that the signal is about, and not count signals.
type Signal chan struct{}

// NewSignal returns a Signal that is not set.
func NewSignal() Signal { return make(Signal, 1) }

// Set sets the signal. It never blocks.
func (s Signal) Set() {
	select {
	case s <- struct{}{}:
	default:
	}
}
