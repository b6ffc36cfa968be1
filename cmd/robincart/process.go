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
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// gcPercent is the garbage collector's target percentage (GOGC). Few objects live long here; with a higher percentage
// memory would grow for minutes before the first collection.
const gcPercent = 100

// clock is the machine's monotonic clock, as the time since the process started.
type clock struct{ start time.Time }

func (c clock) Now() time.Duration                  { return time.Since(c.start) }
func (c clock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// process has the parts of a node that do not depend on how it is started.
type process struct {
	limits    limits.Limits // in force; a reload may change them
	log       *zap.Logger
	clock     clock
	budget    *limits.Budget
	poller    *poller.Poller
	telemetry *telemetry.Recorder
	frontend  *frontend.Server
}

// newProcess applies the limits to the Go runtime, and creates the front end and its dependencies.
func newProcess(name string, l limits.Limits, log *zap.Logger) (*process, error) {
	runtime.GOMAXPROCS(l.Cores)
	debug.SetMemoryLimit(l.MemoryLimit)
	debug.SetGCPercent(gcPercent)
	p := &process{limits: l, log: log, clock: clock{start: time.Now()}}
	p.budget = limits.NewBudget(l.Descriptors, l.OverloadConnections, limits.NewMemoryBudget(l.BodyMemory))
	p.budget.SetMaxClients(l.MaxClientConnections)
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
	return p, nil
}

func (p *process) close() { p.poller.Close() }

// backend is the set of services that the front end serves requests with: the platform's one service, or the services
// of a configuration file.
type backend interface {
	// started is called once clients are accepted.
	started()
	// reload reads the configuration again and applies it. An unreadableError means that the reload has to be retried.
	reload() error
	// recordChanges receives a value when services, routes or tenants of the record have changed; nil if there is no
	// record.
	recordChanges() <-chan struct{}
	// applyRecord applies the record's present content.
	applyRecord()
	// inFlight returns the number of requests without a response.
	inFlight() int
	// prepareShutdown reports whether a successor accepts the clients. After the call this process does not resume
	// accepting them.
	prepareShutdown() (handedOver bool)
	// close releases the backend's resources. It is called after the last response.
	close()
}

// run serves clients until the process is signalled to stop, and then shuts down gracefully.
func (p *process) run(listeners []net.Listener, b backend, caught signals) {
	for _, listener := range listeners {
		p.frontend.Serve(listener)
	}
	b.started()
	p.handleEvents(b, caught)
	p.shutDown(b)
}

// handleEvents handles signals and changes of the record until the process is signalled to stop.
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

// shutDown answers the requests that were accepted, for ShutdownAbortAfter at most, and closes the backend.
func (p *process) shutDown(b backend) {
	ctx, cancel := context.WithTimeout(context.Background(), p.limits.ShutdownAbortAfter)
	defer cancel()
	p.log.Info("stopping", zap.Int("open", b.inFlight()))
	if !b.prepareShutdown() {
		// The platform keeps sending clients here for up to ShutdownAcceptTime.
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
