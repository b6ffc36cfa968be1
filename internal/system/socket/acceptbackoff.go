package socket

import "time"

// firstWaitDivisor is the longest wait of an AcceptBackoff divided by its first one.
const firstWaitDivisor = 16

// AcceptBackoff is the wait after failed accepts of a listener. Many failures concern one connection or a moment, and
// connections behind them in the queue wait as well, so the first retry is immediate. Further retries wait for twice as
// long each time.
type AcceptBackoff struct {
	longest time.Duration
	next    time.Duration
}

// NewAcceptBackoff returns a backoff with a longest wait.
func NewAcceptBackoff(longest time.Duration) AcceptBackoff { return AcceptBackoff{longest: longest} }

// Failed returns how long to wait after a failure.
func (b *AcceptBackoff) Failed() time.Duration {
	wait := b.next
	b.next = min(b.longest, max(2*wait, b.longest/firstWaitDivisor))
	return wait
}

// Succeeded ends a row of failures: the retry after the next failure is immediate.
func (b *AcceptBackoff) Succeeded() { b.next = 0 }
