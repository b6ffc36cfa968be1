// Package node is the core of a node. It keeps records of the node's RPCs, attempts and servers. It passes events to
// the Balancer of package decide, and the Balancer makes all decisions.
//
// A Core does no I/O and reads time only from its Clock. It is called by the frontends (Arrived, ClientGone), by the
// upstream connections (Bind, Begin, BodyReceived, AttemptDone), by the endpoint watcher (UpdateEndpoints,
// EndpointWatchFailed) and by its timers. It implements decide.Host: the Balancer calls the methods of that interface
// to carry out its decisions.
//
// One mutex guards the Balancer and the core's records. No operation that may block runs while the mutex is held. So
// the core does not execute the Balancer's decisions about an RPC itself: it sends each decision as an Order to the
// RPC's buffered channel, and the goroutine that serves the RPC executes the order.
//
// The core also checks invariants on its own records, independently of the Balancer's decisions (invariants.go), and
// keeps the operators' bans of servers (bans.go). The start times of servers come from the clock of another machine;
// the core converts them to the Balancer's clock (starttimes.go).
package node

import (
	"sync"
	"time"

	"robincart/decide"
	"robincart/internal/protocol/settings"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// Clock is the core's only source of time. Now is monotonic.
type Clock interface {
	Now() time.Duration
	AfterFunc(d time.Duration, f func())
}

// Core drives one Balancer and is its decide.Host.
type Core struct {
	clock         Clock
	wallOrigin    time.Time // wall-clock time at which clock.Now() was 0
	requestWatch  func()
	onUnavailable func([]*Server)

	mu          sync.Mutex
	balancer    *decide.Balancer
	settings    *settings.Instance // current settings; each name is at the index of its slot
	maxAttempts int                // highest MaxAttempts so far, because RPCs of a removed method keep their limit
	methods     []slot             // one slot per method, at the Balancer's method index
	tenants     []slot             // one slot per tenant, at the Balancer's tenant index
	closed      bool

	servers   map[string]*Server // by ID; without servers that are gone and have no attempt in flight
	updates   int                // number of endpoint list updates so far
	bans      map[string]Ban     // by server ID
	knownIDs  recentIDs          // IDs of the servers that were listed so far; the oldest IDs are dropped
	listClock listClock

	openRPCs int        // number of RPCs in state rpcOpen
	attempts []*Attempt // attempts whose result is not known yet

	timers   *timingwheel.Wheel
	armedFor time.Duration // time at which the clock will call fireTimers; 0: no call is scheduled

	recorder     *telemetry.Recorder // nil: events are not recorded
	answerReason telemetry.Reason    // recorded if the Balancer answers an RPC during the current call
}

// New creates a core. wall is the current wall-clock time. The core never reads the wall clock later; it adds the time
// that has passed on clock, which is monotonic. The core calls requestWatch when the endpoint list has to be polled.
// The mutex is held during that call, so requestWatch must not block.
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
		// With these settings the Balancer does not request a watch, so the core does.
		requestWatch()
	}
	return c
}

// SetRecorder sets the recorder of events and violations. It must be called before any RPC arrives.
func (c *Core) SetRecorder(r *telemetry.Recorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorder = r
}

// OnServersUnavailable sets the function that is called with servers that have stopped accepting new attempts or have
// changed their address. The function can close the idle connections to these servers. The core does not hold its mutex
// during the call.
func (c *Core) OnServersUnavailable(f func([]*Server)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onUnavailable = f
}

// Close stops the timers and cancels all exchanges. No attempt begins after Close.
func (c *Core) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, a := range c.attempts {
		a.cancelExchange()
	}
}

// InFlight returns the number of RPCs whose clients wait for an answer.
func (c *Core) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRPCs
}

// wallNow returns the current wall-clock time, computed from wallOrigin and clock. It does not follow a step that the
// wall clock makes after the core was created.
func (c *Core) wallNow() time.Time { return c.wallOrigin.Add(c.clock.Now()) }
