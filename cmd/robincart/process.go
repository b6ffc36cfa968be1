package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"robincart/internal/dataplane/frontend"
	"robincart/internal/resources/limits"
	"robincart/internal/system/memorywatch"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// gcPercent is the garbage collector's target percentage (GOGC). The process has few long-lived objects. With a higher
// percentage, memory would grow for minutes before the first collection.
const gcPercent = 100

// clock measures the time since the process started, with the machine's monotonic clock.
type clock struct{ start time.Time }

func (c clock) Now() time.Duration                  { return time.Since(c.start) }
func (c clock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// process holds the parts of a node that do not depend on whether the node serves the platform's configuration or a
// configuration file.
type process struct {
	limits    limits.Limits // in force; a reload may change them
	log       *zap.Logger
	clock     clock
	budget    *limits.Budget
	poller    *poller.Poller
	telemetry *telemetry.Recorder
	frontend  *frontend.Server
	memory    *memorywatch.Watch
}

// newProcess applies the limits to the Go runtime, and creates the front end and its dependencies.
func newProcess(name string, l limits.Limits, log *zap.Logger) (*process, error) {
	runtime.GOMAXPROCS(l.Cores)
	debug.SetMemoryLimit(l.MemoryLimit)
	debug.SetGCPercent(gcPercent)
	p := &process{limits: l, log: log, clock: clock{start: time.Now()}}
	p.budget = limits.NewBudget(l.Descriptors, l.OverloadConnections, limits.NewMemoryBudget(l.BodyMemory))
	p.budget.SetMaxClients(l.MaxClientConnections)
	p.budget.SetSocketMemory(limits.NewMemoryBudget(l.SocketMemory))
	err := socket.RetryTransient(func() (err error) {
		p.poller, err = poller.New()
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("poller: %w", err)
	}
	p.telemetry = telemetry.NewRecorder(log, newEventLog(os.Getenv, name))
	p.frontend = frontend.New(l, p.budget, p.clock.Now, log, p.poller)
	p.frontend.SetRecorder(p.telemetry)
	p.memory = memorywatch.Start(l.MemoryLimit, log)
	return p, nil
}

func (p *process) close() {
	p.memory.Stop()
	p.poller.Close()
}

const (
	// startGrace is how long connections may wait in the queue of an inherited listener while the process starts.
	startGrace = 200 * time.Millisecond
	// maxStartWait is how long a request waits for the end of a slow start before it is rejected. A predecessor that
	// hangs delays the start for less.
	maxStartWait = 1200 * time.Millisecond
)

// beginStart prepares for requests that arrive before the process is ready to serve. There are such requests only where
// the listener is inherited, since its queue has connections already. If the start takes longer than startGrace, the
// front end accepts them: requests in the queue must not wait for files or for another process. The caller calls the
// returned function with the services once the process is ready to serve.
func (p *process) beginStart(clients *clientListener) (ready func(*frontend.Table)) {
	readyChannel := make(chan struct{})
	p.frontend.SetTable(frontend.StartingTable(readyChannel, maxStartWait, p.limits.OverloadRetryAfter))
	timer := time.NewTimer(startGrace)
	if clients.inherited() {
		go p.acceptSlowStart(clients, timer, readyChannel)
	}
	return func(table *frontend.Table) {
		p.frontend.SetTable(table)
		timer.Stop()
		close(readyChannel)
	}
}

// acceptSlowStart accepts clients if the process is not ready when the timer ends.
func (p *process) acceptSlowStart(clients *clientListener, timer *time.Timer, ready <-chan struct{}) {
	select {
	case <-ready:
	case <-timer.C:
		p.log.Warn("start slow: accepting clients before it ends", zap.Duration("waited", startGrace))
		p.frontend.Serve(clients.current())
	}
}

// backend is the set of services that the front end serves requests with: the platform's one service, or the services
// of a configuration file.
type backend interface {
	// started is called when the process has begun to accept clients.
	started()
	// reload reads the configuration again and applies it. An unreadableError means that the reload has to be retried.
	reload() error
	// recordChanges returns a channel that receives a value when services, routes or tenants of the record have
	// changed. The channel is nil if there is no record.
	recordChanges() <-chan struct{}
	// applyRecord applies the record's present content.
	applyRecord()
	// inFlight returns the number of requests without a response.
	inFlight() int
	// prepareShutdown reports whether a successor accepts the clients. If so, this process does not accept clients
	// again, even if the successor dies after the call.
	prepareShutdown() (handedOver bool)
	// close releases the backend's resources. It is called after the last response.
	close()
}

// run serves clients until the process receives a signal to stop, and then shuts down gracefully.
func (p *process) run(listeners []net.Listener, b backend, caught signals) {
	for _, listener := range listeners {
		p.frontend.Serve(listener)
	}
	b.started()
	p.handleEvents(b, caught)
	p.shutDown(b)
}

// handleEvents handles signals and changes of the record until the process receives a signal to stop.
func (p *process) handleEvents(b backend, caught signals) {
	retry := reloadRetry{log: p.log}
	for {
		select {
		case <-caught.reload:
			retry.begin()
			retry.finish(b.reload())
		case <-retry.due():
			retry.finish(b.reload())
		case <-b.recordChanges():
			b.applyRecord()
		case <-caught.counters:
			p.log.Info("counters", p.telemetry.Fields()...)
		case <-caught.stop:
			return
		}
	}
}

// shutDown answers the accepted requests and then closes the backend. It stops waiting for answers when
// ShutdownAbortAfter has passed.
func (p *process) shutDown(b backend) {
	ctx, cancel := context.WithTimeout(context.Background(), p.limits.ShutdownAbortAfter)
	defer cancel()
	p.log.Info("stopping", zap.Int("open", b.inFlight()))
	if !b.prepareShutdown() {
		// For up to ShutdownAcceptTime, the platform still sends new client connections to this process.
		p.frontend.BeginShutdown()
		time.Sleep(p.limits.ShutdownAcceptTime)
	}
	p.frontend.CloseListeners()
	if err := p.frontend.Drain(ctx); err != nil {
		p.log.Warn("shutdown incomplete", zap.Error(err))
	}
	b.close()
	p.log.Info("stopped", p.telemetry.Fields()...)
}
