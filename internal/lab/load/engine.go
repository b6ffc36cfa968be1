// Package load is an open-loop load generator: it sends every request of a plan at its planned moment, whether or not
// earlier ones have been answered. Requests that can't be written at once wait for a connection, and their latency
// counts from the planned moment; past a limit they count as not sent.
//
// An Engine owns its connections and the retries of its clients. Where attempts go is up to a Target, and what comes of
// them is recorded in a judge.Ledger and not evaluated here.
package load

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
)

const (
	// laneRate is how many calls a second a lane is given: one thread writes some 20,000 small requests a second
	// before it lags.
	laneRate = 12_000
	maxLanes = 4
	// peakWindow is the time over which a plan's highest rate is taken.
	peakWindow = 100 * time.Millisecond
	// gcPercent is the garbage collector's target during a run. Little of what a run allocates lives long, and the
	// assists of more frequent collections would delay the lanes.
	gcPercent = 800
	// drainTimeout is how long a run waits for calls beyond one and a half times the longest deadline.
	drainTimeout = 5 * time.Second
	// interruptedDrainTimeout is how long an interrupted run waits for them.
	interruptedDrainTimeout = 2 * time.Second
	// extraResponseWait is how long the last responses' connections stay open, to see second responses.
	extraResponseWait = 50 * time.Millisecond
)

// The faults of the generator itself.
const (
	outOfDescriptors = "out of descriptors"
	outOfLocalPorts  = "out of local ports"
)

// Engine plays one plan.
type Engine struct {
	Config
	plan    []plan.Arrival
	target  Target
	ledger  *judge.Ledger
	start   time.Time
	lanes   []*lane
	calls   sync.WaitGroup // that have not ended
	readers sync.WaitGroup // of connections; added to under the lock of a lane that is not closed
	next    atomic.Int64   // index of the next arrival to be taken by a lane
	closed  atomic.Bool

	connections, waiting, inFlight atomic.Int64
	sent, ok, pushedBack, failed   atomic.Int64

	mu     sync.Mutex
	faults map[string]int
}

// New prepares an engine. Times count from start.
func New(c Config, arrivals []plan.Arrival, target Target, ledger *judge.Ledger, start time.Time) *Engine {
	if c.Lanes == 0 {
		c.Lanes = 1 + int(peakRate(arrivals)/laneRate)
	}
	c.Lanes = max(1, min(c.Lanes, maxLanes, runtime.NumCPU()))
	e := &Engine{
		Config: c,
		plan:   arrivals,
		target: target,
		ledger: ledger,
		start:  start,
		faults: map[string]int{},
	}
	for range c.Lanes {
		e.lanes = append(e.lanes, &lane{engine: e, idle: map[poolKey][]*conn{}, all: map[*conn]struct{}{}})
	}
	return e
}

// peakRate is a plan's highest rate, in calls a second.
func peakRate(arrivals []plan.Arrival) float64 {
	peak, from := 0, 0
	for i := range arrivals {
		for arrivals[i].At-arrivals[from].At > peakWindow {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return float64(peak) * float64(time.Second/peakWindow)
}

// String describes the engine's load in a log.
func (e *Engine) String() string {
	return fmt.Sprintf("%d requests on %d lanes", len(e.plan), len(e.lanes))
}

// now is the time since the start.
func (e *Engine) now() time.Duration { return time.Since(e.start) }

// Counts returns the load's present state. It may be called at any time.
func (e *Engine) Counts() Counts {
	return Counts{
		Sent:        e.sent.Load(),
		OK:          e.ok.Load(),
		PushedBack:  e.pushedBack.Load(),
		Failed:      e.failed.Load(),
		Open:        e.inFlight.Load(),
		Waiting:     e.waiting.Load(),
		Connections: e.connections.Load(),
	}
}

// Faults returns how often the generator itself ran out of something: the figures of such a run are invalid.
func (e *Engine) Faults() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.faults)
}

// noteFault counts an error of connecting if it is the generator's own.
func (e *Engine) noteFault(err error) {
	var fault string
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		fault = outOfDescriptors
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		fault = outOfLocalPorts
	default:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults[fault]++
}

// WarmUp opens connections ahead, so that the first requests don't wait for them.
func (e *Engine) WarmUp() {
	hosts := e.hosts()
	var dials sync.WaitGroup
	for i := range e.WarmConnections {
		l := e.lanes[i%len(e.lanes)]
		for _, destination := range e.WarmTo {
			for _, host := range hosts {
				dials.Go(func() { l.warmUp(destination, host) })
			}
		}
	}
	dials.Wait()
}

// hosts lists the hosts of the methods, each once.
func (e *Engine) hosts() []string {
	var hosts []string
	seen := map[string]bool{}
	for _, method := range e.Methods {
		if !seen[method.Host] {
			seen[method.Host] = true
			hosts = append(hosts, method.Host)
		}
	}
	return hosts
}

// Run plays the plan and returns when every call has ended, or soon after the context has.
func (e *Engine) Run(ctx context.Context) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	// Each lane keeps a thread while it waits.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU() + len(e.lanes)))
	var lanes sync.WaitGroup
	for _, l := range e.lanes {
		lanes.Go(func() { l.run(ctx) })
	}
	lanes.Wait()
	e.awaitCalls(ctx)
	time.Sleep(extraResponseWait)
	e.closed.Store(true)
	for _, l := range e.lanes {
		l.close()
	}
	e.readers.Wait()
}

// awaitCalls waits until every call has ended, as long as one may take. An interrupted run waits a shorter time.
func (e *Engine) awaitCalls(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		e.calls.Wait()
		close(ended)
	}()
	timeout := drainTimeout
	for _, method := range e.Methods {
		timeout = max(timeout, method.Deadline+method.Deadline/2+drainTimeout)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	interrupted := ctx.Done()
	for {
		select {
		case <-ended:
			return
		case <-timer.C:
			return
		case <-interrupted:
			timer.Reset(min(timeout, interruptedDrainTimeout))
			interrupted = nil
		}
	}
}
