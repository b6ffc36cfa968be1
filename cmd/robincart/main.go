// Command robincart is one real node: callers and servers on sockets, the decisions of package decide between
// them. One program serves every tier; its settings tell it which.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"robincart/internal/controlplane/endpoints"
	"robincart/internal/core/node"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/dataplane/upstream"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

func main() {
	if err := socket.AwaitEpoll(); err != nil {
		fmt.Fprintf(os.Stderr, "robincart: files and connections can't be watched: %v; %s\n", err, socket.Classify(err).Advice())
		os.Exit(1)
	}
	// A log that nobody reads any more must not end the node; on sockets a broken pipe is only an error anyway.
	signal.Ignore(syscall.SIGPIPE)
	// Caught from the first moment on: uncaught, either would end the node and lose what it holds, or what the kernel has taken for it.
	sig := signals{hup: make(chan os.Signal, 1), term: make(chan os.Signal, 1), counters: make(chan os.Signal, 1)}
	signal.Notify(sig.hup, syscall.SIGHUP)
	signal.Notify(sig.term, syscall.SIGTERM, os.Interrupt)
	signal.Notify(sig.counters, syscall.SIGUSR1)
	// As the platform starts it, with no argument: nothing that only people need is set up.
	var err error
	if len(os.Args) == 1 {
		err = platform(sig)
	} else {
		err = root(sig).Execute()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "robincart:", err)
		os.Exit(1)
	}
}

// signals are what the node is told by them.
type signals struct{ hup, term, counters chan os.Signal }

// clock is the machine's: time.Since reads its monotonic part.
type clock struct{ start time.Time }

func (c clock) Now() time.Duration                  { return time.Since(c.start) }
func (c clock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// process sets the runtime to what the limits say.
func process(l limits.Limits) {
	runtime.GOMAXPROCS(l.Cores)
	debug.SetMemoryLimit(l.MemoryLimit)
	debug.SetGCPercent(100) // little lives long here; a higher one would let memory grow for minutes to its first collection
}

// served is what a running node has to do at its end, and when it is asked to read its configuration again.
type served struct {
	front     *frontend.Server
	listeners []net.Listener
	given     func() bool // another process takes callers; nil: there is none
	limits    limits.Limits
	log       *zap.Logger
	telemetry *telemetry.Recorder
	open      func() int
	serving   func()          // callers are taken from now on; may be nil
	reload    func() error    // an UnreadableError: it is to be tried again
	news      <-chan struct{} // the record's services, routes or tenants have changed; nil: there is none
	took      func()
	close     func() // after the last answer
}

// until serves until the program is told to stop, and ends without losing what it has taken.
func (s *served) until(sig signals) {
	for _, ln := range s.listeners {
		s.front.Serve(ln)
	}
	if s.serving != nil {
		s.serving()
	}
	again := rereading{log: s.log}
	for stops := false; !stops; {
		select {
		case <-sig.hup:
			again.told()
			again.tried(s.reload())
		case <-again.due():
			again.tried(s.reload())
		case <-s.news:
			s.took()
		case <-sig.counters:
			s.log.Info("counters", s.telemetry.Fields()...)
		case <-sig.term:
			stops = true
		}
	}
	most, cancel := context.WithTimeout(context.Background(), s.limits.ShutdownAbortAfter) // from the signal on, whatever the end waits for
	defer cancel()
	s.log.Info("stopping", zap.Int("open", s.open()))
	if s.given == nil || !s.given() { // else nobody comes any more, and those who are here go over
		s.front.BeginShutdown()
		time.Sleep(s.limits.ShutdownAcceptTime)
	}
	s.front.CloseListeners()
	if err := s.front.Drain(most); err != nil {
		s.log.Warn("stopped before all was answered", zap.Error(err))
	}
	s.close()
	s.log.Info("stopped", s.telemetry.Fields()...)
}

// platform is the node as the platform starts it, by EDGE_CONFIG: one service.
func platform(sig signals) error {
	c, err := starting(func() (*config, error) { return readConfig(os.Getenv) })
	if err != nil {
		return err
	}
	log := newLog("", zap.InfoLevel, c.Name)
	defer log.Sync()
	l := c.limits
	process(l)
	in, err := openDoor(c.Listen, os.Getenv("EDGE_ACCEPT_FD"))
	if err != nil {
		return err
	}
	var watch *poller.Poller
	err = socket.RetryTransient(func() (err error) {
		watch, err = poller.New()
		return err
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer watch.Close()
	clk := clock{time.Now()}
	budget := limits.NewBudget(l.Descriptors, l.OverloadConnections, limits.NewMemoryBudget(l.BodyMemory))
	budget.SetMaxClients(l.MaxClientConnections)
	watcher := endpoints.New(c.Discovery, c.node.ZoneNames, l, budget, log)
	recorder := telemetry.NewRecorder(log, newTrace(os.Getenv, c.Name))
	core := node.New(c.node, c.seed(), clk, time.Now(), watcher.RequestWatch)
	core.SetRecorder(recorder)
	watcher.StartWith(core, c.list)
	pool := upstream.NewPool(core, l, budget, watch)
	pool.SetRecorder(recorder)
	front := frontend.New(l, budget, clk.Now, log, watch)
	front.SetRecorder(recorder)
	service := frontend.NewService("", c.node, core, pool, nil)
	front.SetTable(&frontend.Table{Only: service})

	life, end := context.WithCancel(context.Background())
	var owned sync.WaitGroup
	for _, f := range []func(){func() { watcher.Run(life) }, func() { pool.Run(life) }} {
		owned.Go(f)
	}
	ops := newOperations(front, func() []*node.Core { return []*node.Core{core} }, log)
	next := &succession{log: log, ops: ops, front: front, core: core, pool: pool, budget: budget, limits: l, door: in}
	next.succeed(os.Getenv("TMPDIR"), c.Name+" "+c.Listen)
	if next.before != nil {
		watcher.RequestWatch() // the module's own first asking is spread for fleets that start together
	}
	closeAdmin, err := operated(c.Admin, ops, log)
	if err != nil {
		end()
		return err
	}
	log.Info("serving", zap.String("listen", c.Listen), zap.Int("tier", c.node.Stage),
		zap.Int("servers", len(c.list.Members)), zap.Int("descriptors", l.Descriptors),
		zap.Int64("memory", l.MemoryLimit))
	s := &served{front: front, listeners: []net.Listener{in.listener()}, given: next.given,
		limits: l, log: log, telemetry: recorder, open: core.InFlight,
		serving: func() {
			ops.taking.Store(true)
			next.takes()
		},
		close: func() {
			closeAdmin()
			next.close()
			core.Close()
			end()
			owned.Wait()
		}}
	tune := &tuning{core: core, now: time.Now, last: c.node}
	s.reload = func() (err error) {
		c, err = c.reload(os.Getenv, watcher, func(now *config) {
			is := tune.to(now.node, now.limits.RemovedMethodGrace)
			none := func(int) bool { return false }
			service = frontend.NewService("", now.node.WithSlotsOf(is, none, none), core, pool, nil).KeepFormer(service, clk.Now(), clk.Now()+now.limits.RemovedMethodGrace)
			front.SetTable(&frontend.Table{Only: service})
			front.SetRequestIDTTL(now.limits.RequestIDTTL)
			pool.SetTimeouts(now.limits)
			s.limits = now.limits
		}, log)
		return err
	}
	s.until(sig)
	return nil
}
