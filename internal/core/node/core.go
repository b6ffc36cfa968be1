// Package node is the core of a node: the ledger of its RPCs, attempts and servers around the Balancer of package
// decide, which makes all decisions.
//
// A Core does no I/O and knows no real clock. It is called by the frontends (Arrived, ClientGone), by the upstream
// connections (Bind, Begin, BodyReceived, AttemptDone), by the endpoint watcher (UpdateEndpoints,
// EndpointWatchFailed) and by its timers; it notifies the Balancer, and implements decide.Host, by which the Balancer
// acts. One mutex guards the Balancer and the ledger, and nothing that may block happens while it is held: what the
// Balancer orders for an RPC is put into the RPC's channel of orders, and carried out by whoever serves that RPC.
//
// The core also checks invariants on its own ledger, apart from the decisions that they bound (invariants.go), keeps
// the operators' bans of servers (bans.go), and converts servers' start times, which are by another machine's clock
// (starttimes.go).
package node

import (
	"sync"
	"time"

	"robincart/decide"
	"robincart/internal/protocol/settings"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// Clock is the only time that the core knows. Now is monotonic.
type Clock interface {
	Now() time.Duration
	AfterFunc(d time.Duration, f func())
}

// Core drives one Balancer and is its decide.Host.
type Core struct {
	clock         Clock
	wallOrigin    time.Time // the wall clock's time when clock was at 0
	requestWatch  func()
	onUnavailable func([]*Server)

	mu          sync.Mutex
	balancer    *decide.Balancer
	settings    *settings.Instance // in force, with names in their slots
	maxAttempts int                // the most that any settings of this process allowed: a removed method keeps its own
	methods     []slot             // by the Balancer's number
	tenants     []slot
	closed      bool

	servers   map[string]*Server // by ID, without those that are gone and carry nothing
	updates   int                // of the endpoint list
	bans      map[string]Ban     // by ID
	knownIDs  recentIDs          // of servers that were ever listed
	listClock listClock

	openRPCs int        // not ended
	attempts []*Attempt // not done

	timers   *timingwheel.Wheel
	armedFor time.Duration // when the clock will call fireTimers; 0: not at all

	recorder     *telemetry.Recorder // nil: none
	answerReason telemetry.Reason    // of the answers that the Balancer orders during the present call
}

// New creates a core. The wall clock's time is taken once: from then on the core goes by the monotonic clock.
// requestWatch is called, with the mutex held, when the endpoint list has to be polled; it must not block.
func New(s *settings.Instance, seed int64, clock Clock, wall time.Time, requestWatch func()) *Core {
	c := &Core{
		clock:        clock,
		wallOrigin:   wall.Add(-clock.Now()),
		requestWatch: requestWatch,
		settings:     s,
		maxAttempts:  s.MaxAttempts,
		methods:      make([]slot, len(s.Methods)),
		tenants:      make([]slot, max(1, len(s.Tenants))),
		servers:      map[string]*Server{},
		bans:         map[string]Ban{},
		timers:       timingwheel.New(timerResolution, clock.Now(), timerSlots),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer = decide.New(c, s.Settings, seed)
	c.arm()
	if !s.MustSubscribe {
		// The Balancer expects updates without requesting them: the node has to.
		requestWatch()
	}
	return c
}

// SetRecorder has events and violations recorded. It is called before any RPC arrives.
func (c *Core) SetRecorder(r *telemetry.Recorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorder = r
}

// OnServersUnavailable sets what is called, without the mutex, with servers that accept nothing new any more or have
// another address: connections to them are not worth keeping.
func (c *Core) OnServersUnavailable(f func([]*Server)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onUnavailable = f
}

// Close stops the timers and cancels all exchanges. No attempt begins after it.
func (c *Core) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, a := range c.attempts {
		a.cancelExchange()
	}
}

// InFlight is the number of RPCs that are not answered.
func (c *Core) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRPCs
}

// wallNow is the present time by the wall clock, as it was at the core's start.
func (c *Core) wallNow() time.Time { return c.wallOrigin.Add(c.clock.Now()) }
