package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/controlplane/endpoints"
	"robincart/internal/core/node"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/dataplane/upstream"
)

// runPlatform runs the node as the platform starts it: one service, with the configuration that EDGE_CONFIG names.
func runPlatform(caught signals) error {
	config, err := readAtStart(func() (*platformConfig, error) { return readPlatformConfig(os.Getenv) })
	if err != nil {
		return err
	}
	log := newLog("", zap.InfoLevel, config.Name)
	defer log.Sync()
	listener, err := newClientListener(config.Listen, os.Getenv("EDGE_ACCEPT_FD"))
	if err != nil {
		return err
	}
	p, err := newProcess(config.Name, config.limits, log)
	if err != nil {
		return err
	}
	defer p.close()
	b, err := startPlatformBackend(p, config, listener)
	if err != nil {
		return err
	}
	// The listener is opened last. The kernel accepts connections for it from then on, and the requests that arrive
	// over these connections must not wait for files or for another process.
	if !listener.inherited() {
		if err := listener.open(); err != nil {
			b.close()
			return fmt.Errorf("listen: %w", err)
		}
	}
	p.log.Info("serving", zap.String("listen", config.Listen), zap.Int("tier", config.node.Stage),
		zap.Int("servers", len(config.list.Members)), zap.Int("descriptors", config.limits.Descriptors),
		zap.Int64("memory", config.limits.MemoryLimit))
	p.run([]net.Listener{listener.current()}, b, caught)
	return nil
}

// platformBackend serves requests with the platform's one service.
type platformBackend struct {
	process    *process
	config     *platformConfig // in force
	watcher    *endpoints.Watcher
	core       *node.Core
	pool       *upstream.Pool
	service    *frontend.Service
	settings   *settingsTransition
	commands   *commandHandler
	succession *succession
	closeAdmin func()
	cancel     context.CancelFunc // ends the goroutines
	goroutines sync.WaitGroup
}

// startPlatformBackend starts the service, and takes over from the predecessor if there is one.
func startPlatformBackend(p *process, config *platformConfig, listener *clientListener) (*platformBackend, error) {
	l := config.limits
	b := &platformBackend{process: p, config: config}
	b.watcher = endpoints.New(config.Discovery, config.node.ZoneNames, l, p.budget, p.log)
	b.core = node.New(config.node, config.seed(), p.clock, time.Now(), b.watcher.RequestWatch)
	b.core.SetRecorder(p.telemetry)
	b.watcher.SetRecorder(p.telemetry)
	b.watcher.SetTierNodes(config.node.Instances)
	b.watcher.SetInitialList(b.core, config.list)
	b.pool = upstream.NewPool(b.core, l, p.budget, p.poller)
	b.pool.SetRecorder(p.telemetry)
	b.settings = &settingsTransition{core: b.core, now: time.Now, current: config.node}
	b.service = frontend.NewService("", config.node, b.core, b.pool, nil)

	var ctx context.Context
	ctx, b.cancel = context.WithCancel(context.Background())
	b.goroutines.Go(func() { b.watcher.Run(ctx) })
	b.goroutines.Go(func() { b.pool.Run(ctx) })
	b.commands = newCommandHandler(p.frontend, func() []*node.Core { return []*node.Core{b.core} }, p.log)
	b.succession = &succession{
		log: p.log, commands: b.commands, frontend: p.frontend, core: b.core, pool: b.pool, budget: p.budget, limits: l,
		clients: listener,
	}
	ready := p.beginStart(listener)
	b.succession.start(ctx, os.Getenv("TMPDIR"), config.Name+" "+config.Listen)
	ready(&frontend.Table{Only: b.service})
	if b.succession.predecessor != nil {
		// The core delays its first poll at random, since the nodes of a fleet may start at the same time. A successor
		// starts alone and needs no delay.
		b.watcher.RequestWatch()
	}
	var err error
	if b.closeAdmin, err = serveAdmin(config.Admin, b.commands, p.log); err != nil {
		b.cancel()
		return nil, err
	}
	return b, nil
}

func (p *platformBackend) started() {
	p.commands.accepting.Store(true)
	p.succession.announceReady()
}

func (p *platformBackend) reload() error {
	config, err := p.config.reload(os.Getenv, p.watcher, p.applySettings, p.process.log)
	p.config = config
	return err
}

// applySettings applies a configuration's settings. Clients learn of a change later than the node, so requests that the
// previous settings allowed stay allowed for RemovedMethodGrace.
func (p *platformBackend) applySettings(config *platformConfig) {
	grace := config.limits.RemovedMethodGrace
	inForce := p.settings.update(config.node, grace)
	noSlots := func(int) bool { return false }
	now := p.process.clock.Now()
	service := frontend.NewService("", config.node.WithSlotsOf(inForce, noSlots, noSlots), p.core, p.pool, nil)
	p.service = service.KeepFormerSettings(p.service, now, now+grace)
	p.process.frontend.SetTable(&frontend.Table{Only: p.service})
	p.process.frontend.SetRequestIDTTL(config.limits.RequestIDTTL)
	p.pool.SetTimeouts(config.limits)
	p.watcher.SetTierNodes(config.node.Instances)
	p.process.limits = config.limits
}

func (p *platformBackend) recordChanges() <-chan struct{} { return nil }

func (p *platformBackend) applyRecord() {}

func (p *platformBackend) inFlight() int { return p.core.InFlight() }

func (p *platformBackend) prepareShutdown() (handedOver bool) { return p.succession.stop() }

func (p *platformBackend) close() {
	p.closeAdmin()
	p.succession.close()
	p.core.Close()
	p.cancel()
	p.goroutines.Wait()
}
