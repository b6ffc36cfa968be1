package cost

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

// directPath is the path of calls that go past the nodes, from one tier's servers to the next one's.
const directPath = "straight"

const (
	firstTierTraceID = 1 << 60                // of calls between tiers; others have lower ones
	callGrace        = 100 * time.Millisecond // that a call's client waits past its deadline
	maxCallClients   = 2                      // that a call is tried on
	seedsPerChain    = 64                     // of the tiers' random numbers
)

// errClosedTwice reports a call whose idle connection was closed, and the one dialed instead as well.
var errClosedTwice = errors.New("closed twice")

// tiers is a running chain: nodes and servers in a row, where the servers of each tier call the next tier's node.
type tiers struct {
	all       []*tier // the first node's first
	dir       string  // of the nodes' files
	failAt    FailurePoint
	failShare float64
	calls     atomic.Uint64 // made between tiers
	requests  atomic.Int64  // that reached servers
	exceeded  atomic.Bool   // more than maxChainRequests have
}

// tier is one node and the servers that it forwards to.
type tier struct {
	chain     *tiers
	number    int
	servers   *servers
	discovery *standin.Discovery
	node      *standin.Node
	next      *tier      // nil: this is the last one
	clients   clientPool // of the previous tier's servers, to this tier
	requests  atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
}

// startTiers starts a chain. close ends it.
func startTiers(ctx context.Context, config *RigConfig, attempts *AttemptCase) (*tiers, error) {
	t := &tiers{failAt: attempts.FailAt, failShare: attempts.FailShare}
	if err := t.start(ctx, config, attempts); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

// start prepares the tiers from the last one on, and starts their nodes side by side.
func (t *tiers) start(ctx context.Context, config *RigConfig, attempts *AttemptCase) error {
	var err error
	if t.dir, err = os.MkdirTemp("", "chain"); err != nil {
		return err
	}
	t.all = make([]*tier, attempts.Depth)
	for number := range t.all {
		seed := attempts.Seed*seedsPerChain + int64(number)
		t.all[number] = &tier{chain: t, number: number, random: rand.New(rand.NewSource(seed))}
	}
	for number := attempts.Depth - 1; number >= 0; number-- {
		if number < attempts.Depth-1 {
			t.all[number].next = t.all[number+1]
		}
		if err := t.all[number].prepare(config); err != nil {
			return err
		}
	}
	started := make(chan error, attempts.Depth)
	for _, tier := range t.all {
		go func() { started <- tier.node.Start(ctx) }()
	}
	for range t.all {
		err = errors.Join(err, <-started)
	}
	return err
}

// prepare starts a tier's servers and discovery. Its node is not started yet.
func (t *tier) prepare(config *RigConfig) error {
	var err error
	if t.servers, err = startServers(t.answer); err != nil {
		return err
	}
	t.discovery = standin.NewDiscovery(&judge.Ledger{}, time.Now())
	members := t.servers.members(fmt.Sprintf("s%d-", t.number), config.Servers)
	t.node, err = prepareNode(config, fmt.Sprintf("n%d", t.number), t.chain.dir, t.number, t.discovery, members)
	return err
}

// close ends all tiers, also of a start that has failed half way.
func (t *tiers) close() {
	var closing sync.WaitGroup
	for _, tier := range t.all {
		closing.Go(tier.close)
	}
	closing.Wait()
	os.RemoveAll(t.dir)
}

func (t *tier) close() {
	t.clients.close()
	if t.node != nil {
		t.node.End(nodeEndTimeout)
	}
	if t.discovery != nil {
		t.discovery.Stop()
	}
	if t.servers != nil {
		t.servers.close()
	}
}

// crashed returns an error if a node has ended by itself.
func (t *tiers) crashed() error {
	var err error
	for _, tier := range t.all {
		err = errors.Join(err, tier.node.Crashed())
	}
	return err
}

// answer answers a request at one of the tier's servers, which fails or calls the next tier first.
func (t *tier) answer(head []byte) []byte {
	t.requests.Add(1)
	if t.chain.requests.Add(1) > maxChainRequests {
		t.chain.exceeded.Store(true)
		return responseErr
	}
	fails := t.drawFailure()
	if fails && t.chain.failAt != FailAfterWork {
		return responseErr
	}
	if t.next != nil && !t.next.work(head) {
		return responseErr
	}
	if fails {
		return responseErr
	}
	return responseOK
}

// drawFailure reports whether a request fails at this tier.
func (t *tier) drawFailure() bool {
	failAt := t.chain.failAt
	canFail := failAt == FailBeforeWork || failAt == FailAfterWork || failAt == FailAtLastTier && t.next == nil
	if !canFail {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < t.chain.failShare
}

// work makes the call to this tier that a request at the previous one needs, and reports whether it succeeded.
func (t *tier) work(head []byte) bool {
	timeLeft, err := strconv.Atoi(headerValue(head, "X-Expires-In-Ms: "))
	if err != nil || timeLeft < 1 {
		return false
	}
	direct := bytes.HasPrefix(head, []byte("GET /"+directPath))
	return isOK(t.call(direct, time.Duration(timeLeft)*time.Millisecond))
}

// call makes a call to the tier, by its node or directly to its first server. Where an idle connection was closed
// meanwhile, the call is made once more, on another.
func (t *tier) call(direct bool, timeLeft time.Duration) (int, error) {
	address, path := t.node.Addr, methodName
	if direct {
		address, path = t.servers.address(0), directPath
	}
	for range maxCallClients {
		client, dialed, err := t.clients.take(address)
		if err != nil {
			return 0, err
		}
		client.traceID = firstTierTraceID | t.chain.calls.Add(1)
		client.SetDeadline(time.Now().Add(timeLeft + callGrace))
		status, err := client.callPath(path, timeLeft)
		if err == nil {
			t.clients.release(address, client)
			return status, nil
		}
		client.Close()
		if dialed || errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
	}
	return 0, errClosedTwice
}

// clientPool keeps idle clients by their addresses. The zero value is an empty pool.
type clientPool struct {
	mu     sync.Mutex
	idle   map[string][]*client
	closed bool
}

// take returns an idle client, or one that it dials.
func (c *clientPool) take(address string) (taken *client, dialed bool, err error) {
	if taken := c.takeIdle(address); taken != nil {
		return taken, false, nil
	}
	taken, err = dial(address, "", 0)
	return taken, true, err
}

func (c *clientPool) takeIdle(address string) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	c.idle[address] = idle[:last]
	return idle[last]
}

func (c *clientPool) release(address string, released *client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		released.Close()
		return
	}
	if c.idle == nil {
		c.idle = map[string][]*client{}
	}
	c.idle[address] = append(c.idle[address], released)
}

func (c *clientPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, clients := range c.idle {
		for _, idle := range clients {
			idle.Close()
		}
	}
	c.idle = nil
}
