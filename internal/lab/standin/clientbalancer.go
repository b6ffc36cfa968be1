package standin

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

// leaveDelay is how long connections still go to a node that was told to stop.
const leaveDelay = 300 * time.Millisecond

// notEnded is the end of a span that lasts.
const notEnded = time.Duration(math.MaxInt64)

// ClientBalancer is the load balancer between the clients and the nodes. It notices only after a delay that a node has
// died, and uses a node again once that is ready.
type ClientBalancer struct {
	begin       time.Time
	noticeDelay time.Duration
	next        atomic.Uint32

	mu    sync.Mutex
	nodes []balancedNode
}

// balancedNode is a node as the ClientBalancer knows it.
type balancedNode struct {
	destination load.Destination
	out         bool
	killed      []span // by order of the run
}

// span is a span of time since the run's start.
type span struct{ from, to time.Duration }

// NewClientBalancer returns a balancer that uses all these nodes.
func NewClientBalancer(begin time.Time, noticeDelay time.Duration, nodes []load.Destination) *ClientBalancer {
	c := &ClientBalancer{begin: begin, noticeDelay: noticeDelay}
	for _, destination := range nodes {
		c.nodes = append(c.nodes, balancedNode{destination: destination})
	}
	return c
}

// Choose returns the next node in turn, also one that is out if all are. It returns false if there are no nodes.
func (c *ClientBalancer) Choose(_ *plan.Arrival, _ []int32) (load.Destination, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := int(c.next.Add(1))
	for i := range c.nodes {
		n := &c.nodes[(start+i)%len(c.nodes)]
		if !n.out {
			return n.destination, true
		}
	}
	if len(c.nodes) == 0 {
		return load.Destination{}, false
	}
	return c.nodes[start%len(c.nodes)].destination, true
}

// Done does nothing: a ClientBalancer does not count requests in flight.
func (c *ClientBalancer) Done(load.Destination, judge.Outcome) {}

// node is the node with an id, nil if there is none. The mutex is held.
func (c *ClientBalancer) node(id int32) *balancedNode {
	i := slices.IndexFunc(c.nodes, func(n balancedNode) bool { return n.destination.ID == id })
	if i < 0 {
		return nil
	}
	return &c.nodes[i]
}

// Killed notes that a node was killed by order of the run. The balancer notices it after its delay, unless the node is
// back by then.
func (c *ClientBalancer) Killed(id int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.node(id)
	if n == nil {
		return
	}
	n.killed = append(n.killed, span{from: time.Since(c.begin), to: notEnded})
	time.AfterFunc(c.noticeDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n.killed[len(n.killed)-1].to == notEnded {
			n.out = true
		}
	})
}

// Leaving notes that a node was told to stop: after a moment it gets no more connections.
func (c *ClientBalancer) Leaving(id int32) {
	time.AfterFunc(leaveDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n := c.node(id); n != nil {
			n.out = true
		}
	})
}

// Back notes that a node is ready again.
func (c *ClientBalancer) Back(id int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.node(id)
	if n == nil {
		return
	}
	n.out = false
	if last := len(n.killed) - 1; last >= 0 && n.killed[last].to == notEnded {
		n.killed[last].to = time.Since(c.begin)
	}
}

// Excused returns whether a node was killed by order of the run, or not back from that, after a moment.
func (c *ClientBalancer) Excused(destination load.Destination, since time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.node(destination.ID)
	if n == nil {
		return false
	}
	return slices.ContainsFunc(n.killed, func(s span) bool { return s.to >= since })
}
