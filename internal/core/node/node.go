// Package node is the core of a real node: the ledger of its RPCs, picks and servers round the module's
// Balancer. It knows no socket and no real clock. One mutex guards the Balancer and the ledger, and nothing
// that may block happens while it is held: what the module orders is noted, and carried out by whoever waits
// for it.
package node

import (
	"sync"
	"sync/atomic"
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

// OrderKind is what the module orders for an RPC.
type OrderKind int

const (
	OrderSend     OrderKind = iota
	OrderPushBack           // retrying is harmless
	OrderAbort              // no promise
	OrderServed
	OrderClientGone // not the core's: the caller has left, by who watches its connection, once at most
)

// Order is one thing to be done for an RPC, by the one that serves it.
type Order struct {
	Kind       OrderKind
	Attempt    *Attempt      // of a Send
	RetryAfter time.Duration // of a PushBack: when to come again
	Response   *Response     // of a Served
}

// Response is a server's, to be passed on unchanged.
type Response struct {
	ContentType   string
	Body          []byte
	BodyStream    BodyStream // of the body; nil: that is all
	ReservedBytes int        // of the process's bytes: who has passed it on gives them back
}

// BodyStream is what of an answer had not come yet when it was passed on. Who gets the answer has to close it.
type BodyStream interface {
	Read(to []byte) (int, error)
	Remaining() int64
	Close(whole bool)
}

// RPC is one request that the node has taken and owes an answer.
type RPC struct {
	Orders   chan Order // as many as the module can give: writing one never waits
	Deadline time.Duration
	obj      decide.RPC
	ring     timingwheel.Timer
	out      int
	ended    bool
	left     bool // its slots

	request  string        // the caller's id of it
	method   decide.Method // as it was when the request came: that rule holds to its end
	attempts []*Attempt
	answered bool
}

// Canceler is what carries a pick out. Break makes whatever waits there return at once, and waits for nothing itself.
type Canceler interface{ Cancel() }

// Attempt is one attempt of an RPC at a server.
type Attempt struct {
	Server          *Server
	LoadReport      string // the server's report that came with its answer
	FreshConnection bool   // idle connections to the server may have been dropped unseen: they are closed, and one is opened
	Deadline        time.Duration
	obj             *decide.Attempt
	rpc             *RPC
	by              Canceler
	ring            timingwheel.Timer
	end             timingwheel.Timer
	at              int // in the core's picks
	sent            time.Duration
	canceled        bool
	expired         bool
	done            bool

	begun    bool          // its first byte was let through
	begunAt  time.Duration // when
	neverRan bool          // its result proves so
	result   telemetry.Reason
}

// Server is one server of the tier below, as the list has it.
type Server struct {
	id    string
	obj   *decide.Server
	addr  string
	state decide.State
	ready atomic.Bool // state is Ready, for who does not hold the core's mutex
	seen  int
	out   int      // picks
	worn  bool     // its idle connections are not to be trusted
	last  Endpoint // as it was listed
	// Since when it is back by an operator's word, by the module's clock, where the list had not told of a start meanwhile: taken for that
	// start until it does. 0: it is not.
	back float64
	// When it started, by the module's clock, and the list's time which that was found for.
	cameUp    float64
	startSeen time.Time
	// Attempts that began in the time in which it may be pushed over, while it is in slow start.
	starts []time.Duration
}

func (s *Server) set(state decide.State) {
	s.state = state
	s.ready.Store(state == decide.Ready)
}

// Endpoint is one line of the server list.
type Endpoint struct {
	ID        string       `json:"ID"`
	Addr      string       `json:"Addr"`
	State     decide.State `json:"State"`
	Zone      int          `json:"Zone"`
	Cell      int          `json:"Cell"`
	Weight    float64      `json:"Weight"`
	StartedAt time.Time    `json:"Started"` // zero: long ago
	Revision  int64        `json:"Listed"`  // the list's revision that told so; 0: not known
}

// grain is the step of the core's timers.
const grain = time.Millisecond

const (
	// endOrders is how many orders an RPC may have beside its attempts: an answer, its caller's end, and one to spare.
	endOrders = 3
	// maxQueued is how many attempts of an RPC can wait to be carried out: whoever serves it takes them one after another.
	maxQueued = 61
)

// atOnce is how many timers end in one go while the mutex is held.
const atOnce = 256

// Core drives one Balancer and is its decide.Host.
type Core struct {
	clock  Clock
	origin time.Time // the wall clock's time when clock stood at 0
	watch  func()
	left   func([]*Server)

	mu       sync.Mutex
	balancer *decide.Balancer
	servers  map[string]*Server
	settings *settings.Instance // in force; names in their slots
	// The most attempts that any settings of this process allowed: a class that has left them keeps its own.
	mostPicks int
	methods   []slot // of the module's, by number
	tenants   []slot
	barred    map[string]Ban // taken out by an operator
	known     names          // that were ever listed
	picks     []*Attempt     // out
	open      int            // RPCs owed an answer
	timers    *timingwheel.Wheel
	armed     time.Duration // when the clock will ring; 0: not at all
	lists     int
	closed    bool

	listClock listClock
	telemetry *telemetry.Recorder // may be nil
	cause     telemetry.Reason    // of what the module orders during the present call
}

// New starts the core. The module's wish to watch the list goes to watch, which must not wait.
func New(s *settings.Instance, seed int64, clock Clock, wall time.Time, watch func()) *Core {
	c := &Core{clock: clock, origin: wall.Add(-clock.Now()), settings: s, watch: watch,
		servers: map[string]*Server{}, barred: map[string]Ban{}, timers: timingwheel.New(grain, clock.Now(), 1024)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mostPicks = s.MaxAttempts
	c.methods, c.tenants = make([]slot, len(s.Methods)), make([]slot, max(1, len(s.Tenants)))
	c.balancer = decide.New(c, s.Settings, seed)
	c.arm()
	if !s.MustSubscribe {
		watch() // the module expects changes to come unasked; here somebody has to ask
	}
	return c
}

// OnServersUnavailable names who wants to hear of servers that take nothing new any more, or are elsewhere now: nobody should go on
// keeping connections to them.
func (c *Core) OnServersUnavailable(f func([]*Server)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = f
}

// Close ends the core's timers and breaks what is out.
func (c *Core) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.picks {
		c.giveUp(p)
	}
}

// UpdateEndpoints takes news of the servers.
func (c *Core) UpdateEndpoints(entries []Endpoint, full bool) {
	if left, tell := c.listed(entries, full); len(left) > 0 && tell != nil {
		tell(left)
	}
}

func (c *Core) listed(entries []Endpoint, full bool) (left []*Server, tell func([]*Server)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	c.listClock.observe(entries, c.wall())
	list := make([]decide.EndpointUpdate, 0, len(entries))
	for _, e := range entries {
		s := c.servers[e.ID]
		state := c.stateOf(e)
		if s == nil {
			s = &Server{id: e.ID, obj: &decide.Server{}}
			s.obj.HostData = s
			c.servers[e.ID] = s
			c.known.add(e.ID)
		} else if s.state == decide.Ready && (state != decide.Ready || e.Addr != s.addr) {
			left = append(left, s)
		}
		c.recordState(s, e, state)
		s.addr, s.seen, s.last = e.Addr, c.lists, e
		s.set(state)
		list = append(list, c.listing(s))
	}
	var gone []*Server
	if full {
		for _, s := range c.servers {
			if s.seen == c.lists {
				continue
			}
			if s.state == decide.Ready {
				left = append(left, s)
			}
			s.last.State = decide.Gone
			c.recordState(s, s.last, c.stateOf(s.last))
			if s.set(c.stateOf(s.last)); s.state == decide.Gone {
				gone = append(gone, s)
			} else { // what the module knows of it has to outlive its restart
				list = append(list, c.listing(s))
			}
		}
	}
	c.balancer.UpdateEndpoints(list, full)
	for _, s := range gone {
		c.forget(s)
	}
	for _, e := range entries {
		if s := c.servers[e.ID]; s != nil {
			c.forget(s)
		}
	}
	c.arm()
	return left, c.left
}

// forget drops a server that has left, as the module does: under deploys all day the map would else grow with every id
// there has been.
func (c *Core) forget(s *Server) {
	if s.state == decide.Gone && s.out == 0 && c.servers[s.id] == s {
		delete(c.servers, s.id)
	}
}

// Endpoints is the list of servers as the core holds it.
func (c *Core) Endpoints() []Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Endpoint, 0, len(c.servers))
	for _, s := range c.servers {
		if s.state != decide.Gone {
			out = append(out, s.last)
		}
	}
	return out
}

// WatchFailure tells how a call for the server list, or its watch, has failed, in terms of when the next call is due.
type WatchFailure struct {
	// ResetBackoff says that the failure is no sign of an overloaded discovery: pauses begin with the shortest again.
	ResetBackoff bool
	// The pause before the next call is drawn from a third to the whole of a span that grows with each failure and lies
	// between these two.
	MinPause, MaxPause time.Duration
}

// EndpointWatchFailed tells that a watch has ended or never began. The module asks again in its own time, within the failure's bounds.
func (c *Core) EndpointWatchFailed(f WatchFailure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.EndpointWatchFailed(f.ResetBackoff, seconds(f.MinPause), seconds(f.MaxPause))
	c.arm()
}

// Arrival is a request as the frontend has read it.
type Arrival struct {
	RequestID      string // its id, for logs
	Method, Tenant int
	Deadline       time.Duration // of the core's clock: its caller waits until then
	Retry          bool          // its caller has asked before
	// BodyPending: of its body the rest is on its way still, and goes to its server as it comes: its time begins with Came.
	BodyPending bool
	WorkHint    float64 // the caller's hint of its cost, 0 for none; it counts where the settings say that hints come
}

// Arrived takes a request and returns its RPC, whose orders tell what to do.
func (c *Core) Arrived(a Arrival) *RPC {
	r := &RPC{Deadline: a.Deadline, request: a.RequestID, obj: decide.RPC{Method: a.Method, Tenant: a.Tenant, Deadline: seconds(a.Deadline) + epoch,
		Retry: a.Retry, BodyPending: a.BodyPending}}
	r.obj.HostData = r
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings.WorkHints {
		r.obj.WorkHint = a.WorkHint
	}
	r.method = c.balancer.Method(a.Method)
	r.Orders = make(chan Order, min(c.mostPicks, maxQueued)+endOrders)
	c.open++
	c.methods[a.Method].held++
	c.tenants[a.Tenant].held++
	c.telemetry.Record(telemetry.Event{Kind: telemetry.RequestTaken, Request: a.RequestID, Duration: a.Deadline - c.clock.Now()})
	c.cause = telemetry.NotAdmitted
	c.balancer.Arrived(&r.obj)
	c.leaves(r)
	c.arm()
	return r
}

// BodyReceived tells that the last byte of a pick's request has been written: its RPC's time runs from now on.
func (c *Core) BodyReceived(p *Attempt, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := p.rpc
	if r.ended || !r.obj.BodyPending {
		return
	}
	now := c.clock.Now()
	r.Deadline = now + left
	r.obj.Deadline = seconds(r.Deadline) + epoch
	p.Deadline, p.sent = r.Deadline, now
	c.timers.Add(&p.end, p.Deadline)
	c.balancer.BodyReceived(&r.obj)
	c.arm()
}

// ClientGone tells that the RPC's caller has left.
func (c *Core) ClientGone(r *RPC) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.ended {
		return
	}
	c.end(r)
	c.balancer.ClientGone(&r.obj)
	c.leaves(r)
}

// Bind names what carries a pick out, before its server is reached. It is false if the pick is not wanted any more.
func (c *Core) Bind(p *Attempt, by Canceler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.by = by
	return !c.closed && !p.canceled && !p.expired && !p.rpc.ended
}

// Begin is asked right before a pick's first byte is written, by what writes it. A connect can take longer than a drain's
// grace, and the RPC can be over by then.
func (c *Core) Begin(p *Attempt, by Canceler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.by = by
	now := c.clock.Now()
	wanted := !c.closed && !p.canceled && !p.expired && !p.rpc.ended
	if !wanted || p.Server.state != decide.Ready || now >= p.Deadline || !c.mayRepeat(p, now) {
		return false
	}
	c.checkSlowStart(p, now)
	p.begun, p.begunAt = true, now
	return true
}

// TimeLeft is how long a pick may still last.
func (c *Core) TimeLeft(p *Attempt) time.Duration { return p.Deadline - c.clock.Now() }

// Address is where a server is reached now, and whether it takes anything new.
func (c *Core) Address(s *Server) (addr string, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.addr, s.state == decide.Ready
}

// Ready tells, without waiting for anyone, whether a server takes anything new.
func (c *Core) Ready(s *Server) bool { return s.ready.Load() }

// AttemptDone takes a pick's result, and its answer if that was ok. Each pick has one; from then on nothing breaks what carried
// it out. It tells whether the answer is its RPC's.
func (c *Core) AttemptDone(p *Attempt, res decide.Result, answer *Response) (served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.done {
		return false
	}
	p.done = true
	c.timers.Remove(&p.ring)
	c.timers.Remove(&p.end)
	last := len(c.picks) - 1
	c.picks[p.at] = c.picks[last]
	c.picks[p.at].at = p.at
	c.picks[last] = nil
	c.picks = c.picks[:last]
	p.Server.out--
	c.forget(p.Server)
	r := p.rpc
	r.out--
	switch {
	case res == decide.OK || res == decide.Rejected || res == decide.Failed:
	case p.canceled:
		res = decide.Canceled // what broke it was the cancel
	case p.expired && res == decide.Reset:
		res = decide.TimedOut
	}
	p.neverRan, p.result = res.NeverRan(), endings[res]
	c.checkEnd(p, res)
	c.telemetry.Record(telemetry.Event{Kind: telemetry.AttemptEnded, Reason: p.result, Request: r.request, Server: p.Server.id, Duration: c.clock.Now() - p.sent})
	if res == decide.OK && !r.ended {
		r.Orders <- Order{Kind: OrderServed, Response: answer}
		c.answers(r, telemetry.ServedByServer)
		c.end(r)
		served = true
	}
	c.cause = telemetry.AttemptsFailed
	var load *decide.LoadReport
	if c.settings.LoadReports && p.LoadReport != "" {
		load, _ = c.settings.ParseLoadReport(p.LoadReport) // one that can't be read is none: it is no reason to fail its answer
	}
	c.balancer.AttemptDone(p.obj, res, r.ended, seconds(c.clock.Now()-p.sent), load)
	c.leaves(r)
	c.arm()
	return served
}

// InFlight tells how many RPCs are owed an answer.
func (c *Core) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

func (c *Core) end(r *RPC) {
	r.ended = true
	c.open--
	c.timers.Remove(&r.ring)
}

// giveUp breaks what carries a pick out.
func (c *Core) giveUp(p *Attempt) {
	if p.by != nil {
		p.by.Cancel()
	}
}

// arm makes the clock ring when the next timer may end.
func (c *Core) arm() {
	at, any := c.timers.Next()
	if !any || c.closed || c.armed != 0 && c.armed <= at {
		return
	}
	c.armed = at
	c.clock.AfterFunc(max(0, at-c.clock.Now()), func() { c.ring(at) })
}

// ring ends the timers whose time has come. A ring that another one overtook does nothing.
func (c *Core) ring(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.armed != at {
		return
	}
	c.armed = 0
	c.timers.Advance(c.clock.Now(), atOnce, func(t *timingwheel.Timer) {
		switch w := t.Payload.(type) {
		case *Attempt: // its time is over
			w.expired = true
			c.giveUp(w)
		default:
			c.cause = telemetry.DeadlineExceeded
			c.balancer.TimerFired(w)
			if r, ok := w.(*decide.RPC); ok {
				c.leaves(r.HostData.(*RPC))
			}
		}
	})
	c.arm()
}
