package endpoints

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

const (
	// maxUpdateDelay is the operators' bound: whatever is allowed after a poll that failed, was rejected or given up,
	// a change has to be in force so long after discovery had it and could be reached.
	maxUpdateDelay = 6 * time.Second

	// pollTime is how long a discovery that works needs for a poll here: STANDING.md allows a poll to wait as long.
	pollTime = 2 * time.Second

	// checkInterval is how often a simulation looks whether a list has arrived.
	checkInterval = 10 * time.Millisecond

	noQueueTimeout = time.Hour

	firstAddress = "127.0.0.1:1"
	nextAddress  = "127.0.0.1:2"
)

// simulation runs in a synctest bubble: real Watchers and real cores with their decisions, at fakeDiscoveries behind
// dialers of their own. What it measures is the same on any machine.
type simulation struct {
	t           *testing.T
	ctx         context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup
	discoveries []*fakeDiscovery
}

// newSimulation starts a simulation that ends with its test.
func newSimulation(t *testing.T) *simulation {
	t.Helper()
	s := &simulation{t: t}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	t.Cleanup(s.close)
	return s
}

// close ends everything, and has the timers that are left run out.
func (s *simulation) close() {
	s.cancel()
	for _, d := range s.discoveries {
		d.close()
	}
	s.running.Wait()
	time.Sleep(2 * noQueueTimeout)
}

func (s *simulation) startDiscovery(serviceTime time.Duration) *fakeDiscovery {
	d := newFakeDiscovery(serviceTime, noQueueTimeout)
	s.discoveries = append(s.discoveries, d)
	s.running.Go(func() { d.serveQueue(s.ctx) })
	return d
}

// nodeOptions describe one node of a simulation.
type nodeOptions struct {
	dial      DialFunc
	seed      int64
	instances int
	budget    *limits.Budget // nil: two descriptors
}

// testNode is one node: its watcher and its core.
type testNode struct {
	updateRecorder
	watcher *Watcher
	budget  *limits.Budget
}

func (s *simulation) startNode(o nodeOptions) *testNode {
	s.t.Helper()
	if o.budget == nil {
		o.budget = limits.NewBudget(2, 0, nil)
	}
	instance, err := settings.Parse(fmt.Appendf(nil,
		`{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],"Instances":%d,`+
			`"RegistryMode":"subscribe","Rules":{"MustAskInMs":60000}}`, o.instances))
	require.NoError(s.t, err)
	l, err := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, instance)
	require.NoError(s.t, err)
	instance.MaxFirstPollDelay = l.MaxPollInterval.Seconds()
	n := &testNode{budget: o.budget}
	n.watcher = New(firstAddress, nil, l, n.budget, zap.NewNop())
	n.watcher.SetDialer(o.dial)
	n.Core = node.New(instance, o.seed, bubbleClock{time.Now()}, time.Now(), n.watcher.RequestWatch)
	n.watcher.SetReceiver(n)
	s.running.Go(func() {
		n.watcher.Run(s.ctx)
		n.Close()
	})
	return n
}

// startFleet starts nodes at one discovery.
func (s *simulation) startFleet(d *fakeDiscovery, nodes int, firstSeed int64) []*testNode {
	s.t.Helper()
	fleet := make([]*testNode, nodes)
	for i := range fleet {
		fleet[i] = s.startNode(nodeOptions{dial: d.dial, seed: firstSeed + int64(i), instances: nodes})
	}
	return fleet
}

// bubbleClock is the core's clock on that of the bubble.
type bubbleClock struct{ began time.Time }

func (b bubbleClock) Now() time.Duration { return time.Since(b.began) }

// AfterFunc never fires at once: with -race, a timer of a bubble that is due when it is set crashes Go 1.26's runtime.
func (b bubbleClock) AfterFunc(d time.Duration, f func()) {
	time.AfterFunc(max(d, time.Nanosecond), f)
}

// updateRecorder is a real core that notes when it was last updated.
type updateRecorder struct {
	*node.Core
	mu         sync.Mutex
	lastUpdate time.Time
}

func (u *updateRecorder) UpdateEndpoints(e []node.Endpoint, full bool) {
	u.mu.Lock()
	u.lastUpdate = time.Now()
	u.mu.Unlock()
	u.Core.UpdateEndpoints(e, full)
}

func (u *updateRecorder) updatedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastUpdate
}

func (u *updateRecorder) updatedSince(since time.Time) bool { return !u.updatedAt().Before(since) }

// awaitUpdate waits for an update at or after a time, and gives up after a while. It returns how long after that time
// it stopped waiting.
func (u *updateRecorder) awaitUpdate(since time.Time, giveUpAfter time.Duration) time.Duration {
	for !u.updatedSince(since) && time.Since(since) < giveUpAfter {
		time.Sleep(checkInterval)
	}
	return time.Since(since)
}

// dialByAddress dials one discovery at the next address, and another one everywhere else.
func dialByAddress(next, otherwise *fakeDiscovery) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == nextAddress {
			return next.dial(ctx, network, addr)
		}
		return otherwise.dial(ctx, network, addr)
	}
}
