// Package inputclock estimates when a client wrote the last byte of a request that the node is still reading. The
// client's time for the request counts from that byte.
//
// The node can't see the last byte while its receive buffer is full: the client may have written everything long ago.
// While there is space, all that the client has written has arrived. So bytes that arrive after a moment with space
// were written after it.
package inputclock

import "time"

// ArrivalTolerance covers the ticks of the clock by which the kernel tells when bytes have arrived.
const ArrivalTolerance = 10 * time.Millisecond

// ObserveInterval is the shortest time between two looks at a client's input, which cost system calls.
const ObserveInterval = 10 * time.Millisecond

// State is what the kernel knows of a client's input.
type State struct {
	Full      bool      // the receive buffer has little space, so the client's machine may hold more
	ArrivedAt time.Time // when the last bytes arrived
}

// Clock estimates when a client wrote its last byte.
type Clock struct {
	doneSince time.Time // the client may have written its last byte then, but not earlier
	spaceAt   time.Time // the latest moment at which there was space; zero: there was none
	filled    bool      // there was none at a moment after that
}

// New returns a Clock of a client that may have written its last byte at a time, but not earlier.
func New(doneSince time.Time) Clock { return Clock{doneSince: doneSince} }

// Observe notes the state of the client's input.
func (c *Clock) Observe(now time.Time, input State) {
	if !c.spaceAt.IsZero() && input.ArrivedAt.After(c.spaceAt.Add(ArrivalTolerance)) {
		stillWriting := c.spaceAt
		if !input.Full && !c.filled {
			stillWriting = input.ArrivedAt
		}
		if stillWriting.After(c.doneSince) {
			c.doneSince = stillWriting
		}
	}
	c.filled = input.Full
	if !input.Full {
		c.spaceAt = now
	}
}

// DoneSince returns the earliest time at which the client may have written its last byte.
func (c *Clock) DoneSince() time.Time { return c.doneSince }
