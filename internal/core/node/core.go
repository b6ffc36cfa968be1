// Package node is the core of a node. It records the node's RPCs, attempts and servers, and passes events to the
// Balancer of package decide, which makes all decisions.
//
// A Core does no I/O and reads time only from its Clock. It is called by the frontends (Arrived, ClientGone), by the
// upstream connections (Bind, Begin, BodyReceived, AttemptDone), by the endpoint watcher (UpdateEndpoints,
// EndpointWatchFailed) and by its timers. It notifies the Balancer and implements decide.Host, through which the
// Balancer acts.
//
// One mutex guards the Balancer and the core's records. No operation that may block runs while it is held: an order of
// the Balancer for an RPC is sent to the RPC's buffered channel, and the goroutine that serves the RPC executes it.
//
// The core also checks invariants on its own records, independently of the Balancer's decisions (invariants.go), keeps
// the operators' bans of servers (bans.go), and converts servers' start times, which another machine's clock has
// assigned, to the Balancer's clock (starttimes.go).
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
	wallOrigin    time.Time // the wall clock's time when clock was 0
	requestWatch  func()
	onUnavailable func([]*Server)

	mu          sync.Mutex
	balancer    *decide.Balancer
	settings    *settings.Instance // in force; names are at the indices of their slots
	maxAttempts int                // highest limit of all settings so far: RPCs of a removed method keep their limit
	methods     []slot             // by the Balancer's method index
	tenants     []slot             // by the Balancer's tenant index
	closed      bool

	servers   map[string]*Server // by ID; without servers that are gone and have no attempt in flight
	updates   int                // number of endpoint list updates so far
	bans      map[string]Ban     // by server ID
	knownIDs  recentIDs          // IDs of the servers that were ever listed
	listClock listClock

	openRPCs int        // number of RPCs in state rpcOpen
	attempts []*Attempt // those without a result yet

	timers   *timingwheel.Wheel
	armedFor time.Duration // when the clock calls fireTimers; 0: no call is scheduled

	recorder     *telemetry.Recorder // nil: events are not recorded
	answerReason telemetry.Reason    // for answers that the Balancer orders during the current call
}

// New creates a core. wall is the wall clock's current time; it is read only once, and the core adds the monotonic
// clock's progress to it. The core calls requestWatch, with the mutex held, when the endpoint list has to be polled;
// requestWatch must not block.
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
		// The Balancer does not request a watch with these settings, so the core does.
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

// OnServersUnavailable sets the function that is called, without the mutex held, with servers that have stopped
// accepting new attempts or have changed their address. Idle connections to them can be closed.
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

// wallNow returns the current wall-clock time. Steps of the wall clock after the core's start do not change it.
func (c *Core) wallNow() time.Time { return c.wallOrigin.Add(c.clock.Now()) }
