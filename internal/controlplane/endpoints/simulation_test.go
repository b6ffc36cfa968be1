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
	// maxUpdateDelay is the longest time in which a node must apply a change. The time counts from the moment at which
	// discovery has the change and can be reached. The limit also holds after polls that failed, were rejected or were
	// canceled.
	maxUpdateDelay = 6 * time.Second

	// pollTime is the time that discovery takes for one poll: the longest time that a working discovery may take.
	pollTime = 2 * time.Second

	// checkInterval is the time between checks whether a list has arrived.
	checkInterval = 10 * time.Millisecond

	noQueueTimeout = time.Hour

	firstAddress = "127.0.0.1:1"
	nextAddress  = "127.0.0.1:2"
)

// simulation runs in a synctest bubble. It has real Watchers and cores, and the Watchers connect to fakeDiscoveries
// through the method fakeDiscovery.dial. The measurements of a simulation are the same on any machine.
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

// close ends all watchers and discoveries, and waits until the remaining timers have expired.
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

// nodeOptions configures one node of a simulation.
type nodeOptions struct {
	dial      DialFunc
	seed      int64
	instances int
	budget    *limits.Budget // nil: two descriptors
}

// testNode is a node of a simulation, with its watcher and its core.
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
	n.watcher.SetTierNodes(o.instances)
	n.Core = node.New(instance, o.seed, bubbleClock{time.Now()}, time.Now(), n.watcher.RequestWatch)
	n.watcher.SetReceiver(n)
	s.running.Go(func() {
		n.watcher.Run(s.ctx)
		n.Close()
	})
	return n
}

// startFleet starts nodes that all connect to discovery in the same way.
func (s *simulation) startFleet(dial DialFunc, nodes int, firstSeed int64) []*testNode {
	s.t.Helper()
	fleet := make([]*testNode, nodes)
	for i := range fleet {
		fleet[i] = s.startNode(nodeOptions{dial: dial, seed: firstSeed + int64(i), instances: nodes})
	}
	return fleet
}

// bubbleClock is a core's clock that follows the synctest bubble's clock.
type bubbleClock struct{ began time.Time }

func (b bubbleClock) Now() time.Duration { return time.Since(b.began) }

// AfterFunc waits at least 1 ns: with -race, Go 1.26's runtime crashes if a bubble's timer is already due when the
// timer is set.
func (b bubbleClock) AfterFunc(d time.Duration, f func()) {
	time.AfterFunc(max(d, time.Nanosecond), f)
}

// updateRecorder is a real core that stores the time of its last endpoint update.
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

// awaitUpdate waits for an update of the core at or after a start time, since. The timeout also counts from the start
// time. The result is the time from the start time until the update or the timeout.
func (u *updateRecorder) awaitUpdate(since time.Time, timeout time.Duration) time.Duration {
	for !u.updatedSince(since) && time.Since(since) < timeout {
		time.Sleep(checkInterval)
	}
	return time.Since(since)
}

// dialByAddress returns a DialFunc that connects to the discovery next if the address is nextAddress, and to the
// discovery otherwise if not.
func dialByAddress(next, otherwise *fakeDiscovery) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == nextAddress {
			return next.dial(ctx, network, addr)
		}
		return otherwise.dial(ctx, network, addr)
	}
}
