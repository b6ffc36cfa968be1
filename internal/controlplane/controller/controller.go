// Package controller follows a cluster manager's API and publishes lists of servers to nodes. It owns the connections
// to the API (reflectors, leader election, patches of readiness gates and of Setting objects' statuses), the listeners
// for nodes and the status page.
//
// What the objects of the API mean for servers is decided by package membership, what Setting objects mean for the
// record by package desiredstate; lists are sent to nodes by package fanout and the record by package recordserver.
//
// All replicas follow the API and serve nodes. Only the leader writes: it opens readiness gates and keeps the record.
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

// tickInterval is the time between looks at what depends on time alone: delays of servers, readiness gates, watches
// that stay lost.
const tickInterval = 100 * time.Millisecond

// Controller is one replica.
type Controller struct {
	config Config
	log    *zap.Logger
	// started is the zero of the times that package membership is given.
	started time.Time
	// synced is closed once every kind in requiredKinds has been listed, and so lists may be published.
	synced chan struct{}
	// revisionOffset is where this process begins to number its lists within an epoch. A node that reconnects sends
	// only the revision it has: if each replica counted from one, another replica's revision would look like one of
	// this replica's, and what changed between the two would never be sent.
	revisionOffset int64
	lists          map[string]*fanout.List // by the name of the cluster manager's Service; fixed after New

	// Set by Run before it starts a goroutine.
	clients        apiClients
	keyRing        *keys.Ring   // nil without keys
	statusListener net.Listener // nil without a status page
	recordListener net.Listener // nil where the record is not served

	goroutines   sync.WaitGroup // all that Run starts
	listenErrors chan error     // why a list can't be served

	mu           sync.Mutex
	state        *membership.State
	listed       map[string]bool // kinds whose initial list has been read
	pods         map[string]podRecord
	epoch        int64
	leading      bool
	skipped      map[string]string         // why an object is not used, by kind and key
	disconnected map[string]*disconnection // by kind
	gatesOpened  int
	recordWriter *recordWriter        // nil without a store
	recordServer *recordserver.Server // nil where the record is not served
}

// New prepares a replica. Nothing is connected or opened before Run.
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

// Run follows the API and serves nodes until the context ends. It must be called once. The error is what
// prevented the start, or listening for nodes.
func (c *Controller) Run(ctx context.Context) error {
	defer c.close()
	if err := c.open(ctx); err != nil {
		return err
	}
	defer c.goroutines.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // runs before the wait: the goroutines end with the context
	if err := c.start(ctx); err != nil {
		return err
	}
	return c.tick(ctx)
}

// open acquires what a replica needs from its start on. What can be wrong with a configuration is found here, before
// anything retries.
func (c *Controller) open(ctx context.Context) error {
	var err error
	if c.config.StatusAddress != "" {
		if c.statusListener, err = net.Listen("tcp", c.config.StatusAddress); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	if c.clients, err = newAPIClients(c.config.API); err != nil {
		return fmt.Errorf("the API's client: %w", err)
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
		c.recordListener = c.secure(listener)
	}
	return nil
}

// close releases what open acquired, and the store.
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

// start begins the goroutines of a replica. They end with the context.
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
	c.followCluster(ctx)
	c.goroutines.Go(func() { c.elect(ctx) })
	return nil
}

// tick does what depends on time alone, until the context ends or a list can't be served.
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

// serveList serves a list to nodes once all kinds are synced: where several replicas share one address, a replica that
// has just started would otherwise cost each node that reaches it a retry.
func (c *Controller) serveList(ctx context.Context, service Service) {
	select {
	case <-ctx.Done():
		return
	case <-c.synced:
	}
	listener, err := net.Listen("tcp", service.Listen)
	if err != nil {
		c.listenErrors <- fmt.Errorf("listen: %w", err)
		return
	}
	c.lists[service.ServiceName].Serve(ctx, c.secure(listener))
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

// secure puts TLS on a listener where keys are configured.
func (c *Controller) secure(listener net.Listener) net.Listener {
	if c.keyRing == nil {
		return listener
	}
	return tls.NewListener(listener, c.keyRing.Server())
}

// now is the present time as package membership counts it: in seconds since the start.
func (c *Controller) now() float64 { return time.Since(c.started).Seconds() }
