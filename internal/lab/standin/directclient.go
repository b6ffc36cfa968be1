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

// The policies by which a DirectClient chooses a server. Any other one is random.
const (
	policyRoundRobin       = "round-robin"
	policyLeastOutstanding = "least-outstanding"
	policyTwoChoices       = "two-choices"
)

const (
	// listInterval is how often a direct client reads the list.
	listInterval = 50 * time.Millisecond
	// seedStride is between the seeds of two direct clients.
	seedStride = 7919
)

// DirectClient is a client that balances its load by itself, with no node between: it follows the list of servers and
// knows its own requests in flight, no more.
type DirectClient struct {
	policy   string
	list     atomic.Pointer[[]load.Destination]
	next     atomic.Uint32
	inFlight sync.Map // by a server's index: *atomic.Int64
	stop     chan struct{}

	mu   sync.Mutex
	rand *rand.Rand
}

// NewDirectClient returns a client that follows discovery's list until it is closed.
func NewDirectClient(policy string, discovery *Discovery, seed uint64) *DirectClient {
	d := &DirectClient{policy: policy, rand: plan.NewSource(seed, "straight"), stop: make(chan struct{})}
	d.next.Store(d.rand.Uint32()) // many clients that begin at the same server would stay in step
	d.readList(discovery)
	go d.follow(discovery)
	return d
}

// Close ends the following of the list.
func (d *DirectClient) Close() { close(d.stop) }

// follow reads the list again and again until Close.
func (d *DirectClient) follow(discovery *Discovery) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.readList(discovery)
		case <-d.stop:
			return
		}
	}
}

// readList takes the ready servers of the list. While discovery is down the list stays as it is.
func (d *DirectClient) readList(discovery *Discovery) {
	members, reachable := discovery.reachable()
	if !reachable && d.list.Load() != nil {
		return
	}
	ready := []load.Destination{}
	for _, m := range members {
		if m.Phase == phaseReady {
			ready = append(ready, load.Destination{ID: m.Index, Node: -1, Addr: m.Addr})
		}
	}
	d.list.Store(&ready)
}

// requests is the counter of the requests in flight at a server.
func (d *DirectClient) requests(server load.Destination) *atomic.Int64 {
	counter, ok := d.inFlight.Load(server.ID)
	if !ok {
		counter, _ = d.inFlight.LoadOrStore(server.ID, &atomic.Int64{})
	}
	return counter.(*atomic.Int64)
}

// Choose returns a server, if there is any: one that this call has not tried, unless it has tried all.
func (d *DirectClient) Choose(_ *plan.Arrival, tried []int32) (load.Destination, bool) {
	servers := untried(*d.list.Load(), tried)
	if len(servers) == 0 {
		return load.Destination{}, false
	}
	chosen := d.choose(servers)
	d.requests(chosen).Add(1)
	return chosen, true
}

// untried are the servers that were not tried, or all of them if they all were.
func untried(servers []load.Destination, tried []int32) []load.Destination {
	if len(tried) == 0 {
		return servers
	}
	wasTried := func(server load.Destination) bool { return slices.Contains(tried, server.ID) }
	left := slices.DeleteFunc(slices.Clone(servers), wasTried)
	if len(left) == 0 {
		return servers
	}
	return left
}

// choose chooses a server by the policy.
func (d *DirectClient) choose(servers []load.Destination) load.Destination {
	d.mu.Lock()
	first, second := d.rand.Intn(len(servers)), d.rand.Intn(len(servers))
	d.mu.Unlock()
	switch d.policy {
	case policyRoundRobin:
		return servers[int(d.next.Add(1))%len(servers)]
	case policyTwoChoices:
		if d.requests(servers[second]).Load() < d.requests(servers[first]).Load() {
			return servers[second]
		}
	case policyLeastOutstanding:
		return d.leastOutstanding(servers, first)
	}
	return servers[first]
}

// leastOutstanding is the server with the fewest requests in flight, the first such one from a place on: with a random
// place, equals share the load.
func (d *DirectClient) leastOutstanding(servers []load.Destination, from int) load.Destination {
	least := servers[from]
	minimum := d.requests(least).Load()
	for i := range servers {
		server := servers[(from+i)%len(servers)]
		if requests := d.requests(server).Load(); requests < minimum {
			least, minimum = server, requests
		}
	}
	return least
}

// Done notes the end of a request.
func (d *DirectClient) Done(server load.Destination, _ judge.Outcome) { d.requests(server).Add(-1) }

// Excused is false: there is no node that could have been killed.
func (d *DirectClient) Excused(load.Destination, time.Duration) bool { return false }

// DirectClients are several direct clients, each with a view of its own, among which the calls are distributed in turn.
type DirectClients struct {
	clients []*DirectClient
	next    atomic.Uint32
}

// NewDirectClients returns that many clients.
func NewDirectClients(policy string, discovery *Discovery, seed uint64, clients int) *DirectClients {
	d := &DirectClients{}
	for i := range clients {
		d.clients = append(d.clients, NewDirectClient(policy, discovery, seed+uint64(i)*seedStride))
	}
	return d
}

// Close ends the following of the list by all.
func (d *DirectClients) Close() {
	for _, client := range d.clients {
		client.Close()
	}
}

// Choose has the next client choose.
func (d *DirectClients) Choose(arrival *plan.Arrival, tried []int32) (load.Destination, bool) {
	via := int(d.next.Add(1)) % len(d.clients)
	server, ok := d.clients[via].Choose(arrival, tried)
	server.Via = int32(via)
	return server, ok
}

// Done notes the end of a request at the client that chose its server.
func (d *DirectClients) Done(server load.Destination, outcome judge.Outcome) {
	d.clients[server.Via].Done(server, outcome)
}

// Excused is false: there is no node that could have been killed.
func (d *DirectClients) Excused(load.Destination, time.Duration) bool { return false }
