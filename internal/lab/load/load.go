// Package load plays a plan against nodes or servers: open loop, every request at its planned moment whether or not
// earlier ones have been answered. What can't be written at once waits, and its wait counts; past a cap it is unsent.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
)

// Destination is where a try goes.
type Destination struct {
	ID   int32 // of the node or the server, one connection pool each
	Node int32 // -1: straight to a server
	Via  int32 // which of several straight callers
	Addr string
}

// Target chooses where tries go, and hears how they ended. It is called from many goroutines.
type Target interface {
	Choose(a *plan.Arrival, tried []int32) (Destination, bool)
	Done(d Destination, end judge.Outcome)
	// Excused tells whether a node was killed or unable by the run's own order since that moment.
	Excused(d Destination, since time.Duration) bool
}

// Method is what a caller knows of one.
type Method struct {
	Name     string
	Repeat   judge.Idempotency
	Deadline time.Duration
	Window   time.Duration
	Host     string
}

// Clients says how callers try again.
type Clients struct {
	Share   float64 // of the calls whose callers try again
	Most    int     // tries after the first
	Backoff time.Duration
	Honour  float64 // share of those that follow Retry-After
	Marks   bool    // they tell that it is a second try
	AtOnce  int     // further servers tried at once, with no pause: a straight client's own failover
}

// Config is a load's part of an experiment.
type Config struct {
	Methods     []Method
	Tenants     []string
	Clients     Clients
	Lanes       int // threads that keep the schedule; 0: by the plan's rate
	Connections int // at most; what comes when all are busy waits for one
	Waiting     int // at most; what comes beyond is unsent
	Warm        int // connections to each of these before the start
	WarmTo      []Destination
	Slack       time.Duration // that a caller waits past its deadline, to see a late answer
	Seed        uint64
	First       uint32 // number of the first call: plays before the same nodes must not repeat their ids
}

// Counts is the load so far, for a line of progress.
type Counts struct{ Sent, OK, PushedBack, Failed, Open, Waiting, Connections int64 }

// Engine plays one plan.
type Engine struct {
	Config
	plan   []plan.Arrival
	target Target
	log    *judge.Ledger
	start  time.Time
	lanes  []*lane
	out    sync.WaitGroup // calls not ended
	reads  sync.WaitGroup // connections' readers; added to under a lane's lock while it has not ended
	taken  atomic.Int64
	closed atomic.Bool

	open, waiting                          atomic.Int64
	sent, ok, pushedBack, failed, inFlight atomic.Int64

	mu     sync.Mutex
	faults map[string]int // what the generator itself ran into
}

// New prepares an engine; the run's clock starts at start.
func New(c Config, p []plan.Arrival, target Target, log *judge.Ledger, start time.Time) *Engine {
	if c.Lanes == 0 {
		// One thread writes some 20,000 small requests a second before it lags.
		c.Lanes = 1 + int(peak(p)/12_000)
	}
	c.Lanes = max(1, min(c.Lanes, 4, runtime.NumCPU()))
	e := &Engine{Config: c, plan: p, target: target, log: log, start: start, faults: map[string]int{}}
	for range c.Lanes {
		e.lanes = append(e.lanes, &lane{e: e, idle: map[key][]*conn{}})
	}
	return e
}

// peak is the plan's highest rate over 100 ms, a second.
func peak(p []plan.Arrival) float64 {
	most, from := 0, 0
	for i := range p {
		for p[i].At-p[from].At > 100*time.Millisecond {
			from++
		}
		most = max(most, i-from+1)
	}
	return float64(most) * 10
}

func (e *Engine) now() time.Duration { return time.Since(e.start) }

// Counts may be asked at any time.
func (e *Engine) Counts() Counts {
	return Counts{e.sent.Load(), e.ok.Load(), e.pushedBack.Load(), e.failed.Load(), e.inFlight.Load(), e.waiting.Load(), e.open.Load()}
}

// Faults tells what the generator itself ran into, such as too few descriptors: figures of such a run are void.
func (e *Engine) Faults() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for k, n := range e.faults {
		out[k] = n
	}
	return out
}

func (e *Engine) fault(err error) {
	var what string
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		what = "out of descriptors"
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		what = "out of local ports"
	default:
		return // the other side's doing
	}
	e.mu.Lock()
	e.faults[what]++
	e.mu.Unlock()
}

// WarmUp opens connections ahead, so that the first requests don't pay for them.
func (e *Engine) WarmUp() {
	var all sync.WaitGroup
	for i := range e.Config.Warm {
		for _, d := range e.WarmTo {
			hosts := map[string]bool{}
			for _, m := range e.Methods {
				if hosts[m.Host] {
					continue
				}
				hosts[m.Host] = true
				l := e.lanes[i%len(e.lanes)]
				all.Go(func() {
					if c, err := l.dial(d, m.Host); err == nil {
						e.open.Add(1)
						e.reads.Go(c.read)
						l.keep(c)
					} else {
						e.fault(err)
					}
				})
			}
		}
	}
	all.Wait()
}

// Run plays the plan and returns when every call has ended, or soon after the context has.
func (e *Engine) Run(ctx context.Context) {
	// Little of what a run allocates lives long, and a collection's assists would be paid by the pacers.
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	// The pacers hold threads of their own while they wait.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU() + len(e.lanes)))
	var pacers sync.WaitGroup
	for _, l := range e.lanes {
		pacers.Go(func() { l.run(ctx) })
	}
	pacers.Wait()
	ended := make(chan struct{})
	go func() { e.out.Wait(); close(ended) }()
	most := 5 * time.Second
	for _, m := range e.Methods {
		most = max(most, m.Deadline+m.Deadline/2+5*time.Second)
	}
	limit := time.NewTimer(most)
	defer limit.Stop()
	stopped := ctx.Done()
wait:
	for {
		select {
		case <-ended:
			break wait
		case <-limit.C:
			break wait
		case <-stopped:
			limit.Reset(min(most, 2*time.Second)) // an interrupted run waits for what is out, but not for long
			stopped = nil
		}
	}
	time.Sleep(ExtraResponseWait)
	e.closed.Store(true)
	for _, l := range e.lanes {
		l.end()
	}
	e.reads.Wait()
}

// ExtraResponseWait is how long the last answers' connections stay open, for a second answer.
const ExtraResponseWait = 50 * time.Millisecond

// key tells connections apart: whose callers they belong to, and where they go. Callers of different hosts share none.
type key struct {
	dest int32
	host string
}

// flight is one try on its way.
type flight struct {
	judge.ClientAttempt
	a       *plan.Arrival
	lane    *lane
	dest    Destination
	tried   []int32
	crossed int
	wait    time.Duration // what the answer advised
}

// lane is one pacer with the connections that it uses.
type lane struct {
	e *Engine

	mu    sync.Mutex
	idle  map[key][]*conn
	queue []*flight // waiting for a connection
	all   map[*conn]struct{}
	ended bool
}

// run deals with each of the lane's arrivals at its moment. It keeps a thread: a goroutine's timer may be a
// millisecond late.
func (l *lane) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	unix.Prctl(unix.PR_SET_TIMERSLACK, 1, 0, 0, 0)
	for {
		// Taken in turn, not dealt out ahead: a thread that the machine holds up holds up one request.
		i := int(l.e.taken.Add(1)) - 1
		if i >= len(l.e.plan) {
			return
		}
		a := &l.e.plan[i]
		if !l.e.until(ctx, a.At) {
			return
		}
		m := &l.e.Methods[a.Method]
		f := &flight{a: a, lane: l}
		f.Call, f.Method, f.Tenant, f.Planned, f.Until = l.e.First+uint32(i), a.Method, a.Tenant, a.At, a.At+m.Deadline
		f.Handed = l.e.now()
		l.e.out.Add(1)
		l.dispatch(f)
	}
}

// until waits for a moment: asleep until shortly before, then awake.
func (e *Engine) until(ctx context.Context, at time.Duration) bool {
	const awake, slice = 60 * time.Microsecond, 50 * time.Millisecond
	for {
		left := at - e.now()
		switch {
		case left <= 0:
			return ctx.Err() == nil
		case left > awake:
			if ctx.Err() != nil {
				return false
			}
			t := unix.NsecToTimespec(int64(min(left-awake, slice)))
			unix.Nanosleep(&t, nil)
		}
	}
}

// dispatch finds a try a connection, or a place to wait for one.
func (l *lane) dispatch(f *flight) {
	dest, ok := l.e.target.Choose(f.a, f.tried)
	if !ok {
		f.Node, f.dest = -1, Destination{ID: -1, Node: -1}
		f.finish(judge.NotConnected)
		return
	}
	f.dest, f.Node = dest, dest.Node
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		f.finish(judge.NotSent)
		return
	}
	k := key{dest.ID, f.host()}
	if list := l.idle[k]; len(list) > 0 {
		c := list[len(list)-1]
		l.idle[k] = list[:len(list)-1]
		l.mu.Unlock()
		if f.a.Body > 8<<10 {
			go c.send(f) // a large write can wait for its reader, and the schedule can't
		} else {
			c.send(f)
		}
		return
	}
	if l.e.open.Add(1) > int64(l.e.Connections) && !l.evict() {
		l.e.open.Add(-1)
		room := !l.ended && l.e.waiting.Load() < int64(l.e.Waiting)
		if room {
			l.e.waiting.Add(1)
			l.queue = append(l.queue, f)
		}
		l.mu.Unlock()
		if !room {
			f.finish(judge.NotSent)
		}
		return
	}
	l.e.reads.Add(1)
	l.mu.Unlock()
	go l.connect(f)
}

// evict closes one idle connection of another pool.
func (l *lane) evict() bool {
	for id, list := range l.idle {
		if n := len(list); n > 0 {
			c := list[n-1]
			l.idle[id] = list[:n-1]
			c.kill() // its reader gives the place back: until then there is one connection more
			return true
		}
	}
	return false
}

func (f *flight) host() string { return f.lane.e.Methods[f.Method].Host }

func (l *lane) dial(d Destination, host string) (*conn, error) {
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	raw, err := dialer.Dial("tcp", d.Addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, lane: l, dest: d, key: key{d.ID, host}}
	l.mu.Lock()
	if l.all == nil {
		l.all = map[*conn]struct{}{}
	}
	l.all[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// connect opens a connection for a try and goes on as its reader.
func (l *lane) connect(f *flight) {
	defer l.e.reads.Done()
	c, err := l.dial(f.dest, f.host())
	if err != nil {
		l.e.fault(err)
		l.e.open.Add(-1)
		f.finish(judge.NotConnected)
		l.next()
		return
	}
	c.send(f)
	c.read()
}

// keep takes a connection back, for the one that waits longest or for later.
func (l *lane) keep(c *conn) {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		c.kill()
		return
	}
	if f := l.waits(); f != nil {
		if f.host() == c.host && (f.dest.ID == c.dest.ID || f.dest.Node >= 0 && c.dest.Node >= 0) {
			via := f.dest.Via
			f.dest, f.Node = c.dest, c.dest.Node // a caller who waits takes the first node that is free
			f.dest.Via = via
			l.mu.Unlock()
			c.send(f)
			return
		}
		l.queue = append([]*flight{f}, l.queue...)
		l.e.waiting.Add(1)
		l.mu.Unlock()
		c.kill()
		return
	}
	l.idle[c.key] = append(l.idle[c.key], c)
	l.mu.Unlock()
}

// waits takes the longest waiting try whose caller is still there, under the lane's lock.
func (l *lane) waits() *flight {
	for len(l.queue) > 0 {
		f := l.queue[0]
		l.queue[0] = nil
		l.queue = l.queue[1:]
		l.e.waiting.Add(-1)
		if l.e.now() < f.Until {
			return f
		}
		go f.finish(judge.NotSent)
	}
	return nil
}

// next gives a place that has become free to the one that waits longest.
func (l *lane) next() {
	l.mu.Lock()
	f := l.waits()
	if f != nil && l.e.open.Add(1) > int64(l.e.Connections) {
		l.e.open.Add(-1)
		l.queue = append([]*flight{f}, l.queue...)
		l.e.waiting.Add(1)
		f = nil
	}
	if f != nil {
		l.e.reads.Add(1)
	}
	l.mu.Unlock()
	if f != nil {
		go l.connect(f)
	}
}

// end closes what is left. What still waits or flies ends with it.
func (l *lane) end() {
	l.mu.Lock()
	l.ended = true
	queue, all := l.queue, l.all
	l.queue, l.all, l.idle = nil, nil, map[key][]*conn{}
	l.mu.Unlock()
	for _, f := range queue {
		l.e.waiting.Add(-1)
		f.finish(judge.NotSent)
	}
	for c := range all {
		c.kill()
	}
}

// finish notes how a try ended and lets its caller try again, if it is one that does.
func (f *flight) finish(end judge.Outcome) {
	e := f.lane.e
	if f.Outcome = end; f.Answered == 0 {
		f.Answered = max(e.now(), f.Planned)
	}
	if end == judge.NotSent || end == judge.NotConnected {
		e.log.AddAttempt(f.ClientAttempt) // no connection will
	}
	switch end {
	case judge.OK:
		e.ok.Add(1)
	case judge.PushedBack:
		e.pushedBack.Add(1)
	default:
		e.failed.Add(1)
	}
	if f.dest.ID >= 0 {
		e.target.Done(f.dest, end)
	}
	if again, pause := f.again(end); again {
		next := &flight{a: f.a, lane: f.lane, crossed: f.crossed, tried: append(f.tried[:len(f.tried):len(f.tried)], f.dest.ID)}
		next.ClientAttempt = judge.ClientAttempt{ID: judge.ID{Call: f.Call, N: f.N + 1}, Method: f.Method, Tenant: f.Tenant, Planned: f.Planned, Until: f.Until}
		time.AfterFunc(pause, func() {
			next.Handed = e.now()
			next.lane.dispatch(next)
		})
		return
	}
	e.out.Done()
}

// again decides whether the caller tries again, by its own lights: what it may repeat, how often, how long it waits.
func (f *flight) again(end judge.Outcome) (bool, time.Duration) {
	e, m, c := f.lane.e, &f.lane.e.Methods[f.Method], &f.lane.e.Clients
	if e.closed.Load() || f.N > 200 || end == judge.NotSent || end == judge.OK {
		return false, 0
	}
	now := e.now()
	until := f.Until
	promised := end == judge.PushedBack || end == judge.NotConnected
	if m.Repeat == judge.Deduplicated && !promised {
		until = min(until, f.Planned+m.Window) // by then the servers have forgotten its mark
	}
	switch {
	case end == judge.Crossed && f.crossed == 0: // the protocol lets a caller send it once more
		f.crossed = 1
		return true, 0
	case m.Repeat == judge.NonIdempotent && !promised:
		return false, 0
	case int(f.N) < c.AtOnce && now < until:
		return true, 0
	}
	r := rand.New(rand.NewSource(int64(e.Seed) ^ int64(f.Call)<<20 ^ int64(f.N)))
	willing, honours := float64(f.Call*2654435761>>8&0xffff)/65536 < c.Share, r.Float64() < c.Honour
	if !willing || int(f.N) >= c.Most+c.AtOnce {
		return false, 0
	}
	pause := time.Duration(float64(c.Backoff) * float64(uint(1)<<min(f.N, 10)) * (0.5 + r.Float64()))
	if honours && f.wait > 0 {
		pause = f.wait
	}
	return now+pause < until, pause
}

// String names the engine's load in a log.
func (e *Engine) String() string {
	return fmt.Sprintf("%d requests on %d lanes", len(e.plan), len(e.lanes))
}
