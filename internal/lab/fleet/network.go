package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// ConnectFunc connects to an address.
type ConnectFunc func(ctx context.Context, address string) (net.Conn, error)

// Network is the links between places, as a dialer: each connection knows the places of its two ends, is delayed by
// the latency between them, and carries nothing while they are partitioned. What is written meanwhile arrives after
// the partition, as what TCP retransmits does, and the other end learns of a close only then.
type Network struct {
	// Connect, if set before the first Dial, is used instead of TCP.
	Connect ConnectFunc

	latency Latency

	mu         sync.Mutex
	partitions []Partition
	changed    chan struct{} // closed at each change of them
}

// NewNetwork returns a network without partitions.
func NewNetwork(latency Latency) *Network {
	return &Network{latency: latency, changed: make(chan struct{})}
}

// SetPartitions replaces the partitions.
func (n *Network) SetPartitions(partitions []Partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = partitions
	close(n.changed)
	n.changed = make(chan struct{})
}

// isBlocked reports whether the link is partitioned now, and returns what is closed at the next change.
func (n *Network) isBlocked(from, to Place) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, partition := range n.partitions {
		if partition.blocks(from, to) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// awaitUnblocked waits until the link is not partitioned, and reports false if one of the others comes first.
func (n *Network) awaitUnblocked(from, to Place, end <-chan struct{}, deadline <-chan time.Time) bool {
	for {
		blocked, changed := n.isBlocked(from, to)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-end:
			return false
		case <-deadline:
			return false
		}
	}
}

// Dial connects two places. A connection attempt that is not answered lasts as long as the context.
func (n *Network) Dial(ctx context.Context, from, to Place, address string, traffic *Traffic) (net.Conn, error) {
	traffic.dials.Add(1)
	conn, err := n.dial(ctx, from, to, address)
	if err != nil {
		traffic.failed.Add(1)
		return nil, err
	}
	traffic.open.Add(1)
	return &linkConn{
		Conn:    conn,
		network: n,
		from:    from,
		to:      to,
		traffic: traffic,
		latency: n.latency.between(from, to),
		closed:  make(chan struct{}),
	}, nil
}

func (n *Network) dial(ctx context.Context, from, to Place, address string) (net.Conn, error) {
	if !n.awaitUnblocked(from, to, ctx.Done(), nil) || !n.awaitUnblocked(to, from, ctx.Done(), nil) {
		return nil, fmt.Errorf("dial %s: %w", address, os.ErrDeadlineExceeded)
	}
	roundTrip := 2 * n.latency.between(from, to)
	if !sleep(ctx, roundTrip) {
		return nil, ctx.Err()
	}
	if n.Connect != nil {
		return n.Connect(ctx, address)
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

// sleep waits, and reports whether the time has passed before the context's end.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// target is an address and its place.
type target struct {
	place   Place
	address string
}

// attemptTimeout is how long one of several targets is waited for, beside the latency of the link.
const attemptTimeout = 300 * time.Millisecond

// dialAny connects to the first target that answers, as an address does that spreads connections over what is alive.
func (n *Network) dialAny(ctx context.Context, from Place, targets []target, traffic *Traffic) (net.Conn, error) {
	err := os.ErrNotExist
	for i, target := range targets {
		attempt, cancel := ctx, context.CancelFunc(func() {})
		if i < len(targets)-1 {
			timeout := attemptTimeout + 2*n.latency.between(from, target.place)
			attempt, cancel = context.WithTimeout(ctx, timeout)
		}
		var conn net.Conn
		conn, err = n.Dial(attempt, from, target.place, target.address, traffic)
		cancel()
		if err == nil {
			return conn, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}
