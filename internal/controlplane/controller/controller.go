// Package controller watches a cluster manager's API and publishes lists of servers to robincart nodes. It owns the
// connections to the API (reflectors, leader election, patches of readiness gates and of Setting objects' statuses),
// the listeners at which nodes connect, and the status page.
//
// Package membership derives the lists of servers from the objects of the API, and package desiredstate derives changes
// to the record from Setting objects. Package fanout sends the lists to nodes, and package recordserver sends the
// record to nodes.
//
// All replicas watch the API and serve nodes. Only the leader writes: it opens readiness gates, and updates the record
// and the statuses of Setting objects.
package controller

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
	"robincart/internal/controlplane/recordserver"
	"robincart/internal/record/store"
	"robincart/internal/system/keys"
)

// tickInterval is the interval at which the state that depends on time is evaluated again: delays of servers, readiness
// gates and lost watches.
const tickInterval = 100 * time.Millisecond

// Controller is one replica of the controller.
type Controller struct {
	config Config
	log    *zap.Logger
	// started is the zero point of the times passed to package membership, which are in seconds since started.
	started time.Time
	// synced is closed once every kind in requiredKinds has been listed. Lists are published only after that.
	synced chan struct{}
	// revisionOffset is the random number from which this process counts revisions within an epoch. A node that
	// reconnects sends only its latest revision. If every replica counted from 1, the lists of two replicas could have
	// the same revision although they differ, and a node that changes replicas would never receive the differences.
	revisionOffset int64
	lists          map[string]*fanout.List // by Service.ServiceName; not changed after New

	// Run sets these fields before it starts a goroutine.
	clients        apiClients
	keyRing        *keys.Ring   // nil without keys
	statusListener net.Listener // nil without a status page
	recordListener net.Listener // nil if the record is not served

	goroutines   sync.WaitGroup // all goroutines that Run starts
	listenErrors chan error     // errors of the listeners for lists

	mu           sync.Mutex
	state        *membership.State
	listed       map[string]bool // kinds whose initial list has been read
	pods         map[string]podRecord
	epoch        int64
	leading      bool
	skipped      map[string]string         // reason why an object is not used, by the object's kind and key
	disconnected map[string]*disconnection // by kind
	gatesOpened  int
	recordWriter *recordWriter        // nil without a record store
	recordServer *recordserver.Server // nil if the record is not served
}

// New creates a replica. Run opens its connections and listeners.
func New(config Config, log *zap.Logger) (*Controller, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config.Fanout.EpochOf = epochOf
	c := &Controller{
		config:         config,
		log:            log,
		started:        time.Now(),
		synced:         make(chan struct{}),
		revisionOffset: rand.Int63n(1 << (epochShift - 1)),
		lists:          make(map[string]*fanout.List, len(config.Services)),
		listenErrors:   make(chan error, len(config.Services)),
		state:          membership.New(config.Membership, 0),
		listed:         make(map[string]bool),
		pods:           make(map[string]podRecord),
		skipped:        make(map[string]string),
		disconnected:   make(map[string]*disconnection),
	}
	for _, service := range config.Services {
		c.lists[service.ServiceName] = fanout.New(config.Fanout, log.With(zap.String("service", service.ListName)))
	}
	return c, nil
}

// Run watches the API and serves nodes until the context ends. It must be called only once. It returns an error if the
// replica can't start or can't listen for nodes.
func (c *Controller) Run(ctx context.Context) error {
	defer c.close()
	if err := c.open(ctx); err != nil {
		return err
	}
	defer c.goroutines.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // runs before goroutines.Wait: the goroutines end with the context
	if err := c.start(ctx); err != nil {
		return err
	}
	return c.tick(ctx)
}

// open opens the listeners, API clients and keys that a replica needs from its start on. Configuration errors are
// returned here, before any goroutine starts. A goroutine that met such an error would retry forever, because the error
// is permanent.
func (c *Controller) open(ctx context.Context) error {
	var err error
	if c.config.StatusAddress != "" {
		if c.statusListener, err = net.Listen("tcp", c.config.StatusAddress); err != nil {
			return fmt.Errorf("status page: %w", err)
		}
	}
	if c.clients, err = newAPIClients(c.config.API); err != nil {
		return fmt.Errorf("create API clients: %w", err)
	}
	if err := c.checkAPI(ctx); err != nil {
		return err
	}
	if c.config.Keys.Enabled() {
		if c.keyRing, err = keys.Open(c.config.Keys, c.log); err != nil {
			return err
		}
	}
	if c.config.RecordAddress != "" {
		listener, err := net.Listen("tcp", c.config.RecordAddress)
		if err != nil {
			return fmt.Errorf("record.listen: %w", err)
		}
		c.recordListener = c.withTLS(listener)
	}
	return nil
}

// close closes the listeners at which the status page and the record are served, and closes the record store.
func (c *Controller) close() {
	for _, listener := range []net.Listener{c.statusListener, c.recordListener} {
		if listener != nil {
			listener.Close()
		}
	}
	if c.config.Store != nil {
		c.config.Store.Close()
	}
}

// start starts the goroutines of a replica. The goroutines end when the context ends.
func (c *Controller) start(ctx context.Context) error {
	if c.keyRing != nil {
		c.goroutines.Go(func() { c.keyRing.Run(ctx) })
	}
	for _, service := range c.config.Services {
		c.goroutines.Go(func() { c.serveList(ctx, service) })
	}
	if c.statusListener != nil {
		c.startStatusServer(ctx)
	}
	if c.recordListener != nil {
		c.startRecordServer(ctx)
	}
	if c.config.Store != nil {
		if err := c.startRecordWriter(ctx); err != nil {
			return err
		}
	}
	c.startClusterReflectors(ctx)
	c.goroutines.Go(func() { c.elect(ctx) })
	return nil
}

// Every tickInterval, tick re-evaluates the state that depends on time. It returns when the context ends, or when a
// list's listener can't be opened.
func (c *Controller) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-c.listenErrors:
			return err
		case <-ticker.C:
			c.update(func(state *membership.State, now float64) []membership.Change { return state.Tick(now) })
			c.openGates(ctx)
			c.logDisconnections()
		}
	}
}

// serveList serves a list to nodes once all required kinds have been listed. serveList does not listen before that:
// with several replicas behind one address, a node that connected to a replica still starting would have to retry.
func (c *Controller) serveList(ctx context.Context, service Service) {
	select {
	case <-ctx.Done():
		return
	case <-c.synced:
	}
	listener, err := net.Listen("tcp", service.Listen)
	if err != nil {
		c.listenErrors <- fmt.Errorf("list %s: %w", service.ListName, err)
		return
	}
	c.lists[service.ServiceName].Serve(ctx, c.withTLS(listener))
}

// startRecordServer serves the record to nodes.
func (c *Controller) startRecordServer(ctx context.Context) {
	server := recordserver.New(c.config.Store, recordserver.DefaultConfig(), c.log)
	c.mu.Lock()
	c.recordServer = server
	c.mu.Unlock()
	c.goroutines.Go(func() { server.Run(ctx) })
	limits := recordserver.ClientLimits(c.config.MaxRecordClients)
	c.goroutines.Go(func() { store.ServeWithLimits(ctx, c.recordListener, server, limits) })
}

// withTLS wraps a listener in TLS if keys are configured.
func (c *Controller) withTLS(listener net.Listener) net.Listener {
	if c.keyRing == nil {
		return listener
	}
	return tls.NewListener(listener, c.keyRing.Server())
}

// now returns the time in seconds since the start of the controller, as package membership expects it.
func (c *Controller) now() float64 { return time.Since(c.started).Seconds() }
