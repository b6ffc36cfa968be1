package fleet

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/dataplane/services"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
)

// noTimeout is longer than any run.
const noTimeout = time.Hour

// hollowNode is one of the HollowNodes.
type hollowNode struct {
	all         *HollowNodes
	number      int
	place       Place
	file        *nodeconfig.Config
	services    *services.Manager
	recordCache *recordcache.Cache // nil: it has none
	poller      *poller.Poller
	following   sync.WaitGroup // of followRecord
	cancel      context.CancelFunc
	dials       atomic.Int64 // of endpoint lists

	mu       sync.Mutex
	phases   map[string]Phase  // by address: as last received
	settings map[string]string // in force, by name
}

// clock is the time since a node's start.
type clock struct{ start time.Time }

func (c clock) Now() time.Duration                  { return time.Since(c.start) }
func (c clock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// startNode starts a node. stop ends it.
func (h *HollowNodes) startNode(number int) (*hollowNode, error) {
	n := &hollowNode{
		all:      h,
		number:   number,
		place:    h.config.Places[number-h.config.FirstNode],
		phases:   map[string]Phase{},
		settings: map[string]string{},
	}
	name := fmt.Sprint("h", number)
	if err := n.readFile(name); err != nil {
		return nil, err
	}
	log, err := n.newLog(name)
	if err != nil {
		return nil, err
	}
	if n.poller, err = poller.New(); err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	config := n.file
	n.newServices(log)
	if h.config.StoreURL != "" || h.OpenStore != nil {
		if err := n.openRecord(ctx, name, log); err != nil {
			n.stop()
			return nil, err
		}
		n.services.RecordCache = n.recordCache
		config = n.mergeRecord(config).Config
	}
	n.services.Apply(config)
	n.noteSettings(config)
	if n.recordCache != nil {
		n.following.Go(func() { n.followRecord(ctx, config) })
	}
	return n, nil
}

// readFile reads the node's file as written by NodeFile.
func (h *hollowNode) readFile(name string) error {
	const unusedListener = "127.0.0.1:1"
	text := NodeFile(&h.all.config, name, unusedListener, h.place.Zone, plannedNodes, "")
	var err error
	if h.file, err = nodeconfig.Parse([]byte(text), 0); err != nil {
		return err
	}
	if !h.all.NoTimeouts {
		return nil
	}
	for i := range h.file.Pools {
		l := &h.file.Pools[i].Limits
		l.DiscoveryConnectTimeout = noTimeout
		l.FirstMessageTimeout = noTimeout
		l.MaxUpdateDelay = noTimeout
		l.WatchSilenceTimeout = noTimeout
	}
	return nil
}

// newLog returns a log into the process's for the first node of a fleet of processes, and none for the others: what
// one logs, all would.
func (h *hollowNode) newLog(name string) (*zap.Logger, error) {
	inOwnProcess := h.all.OpenStore == nil && h.all.Connect == nil
	if h.number != h.all.config.FirstNode || !inOwnProcess {
		return zap.NewNop(), nil
	}
	config := zap.NewProductionConfig()
	config.Level.SetLevel(zap.WarnLevel)
	config.Sampling = nil
	return config.Build(zap.Fields(zap.String("node", name)))
}

func (h *hollowNode) newServices(log *zap.Logger) {
	l := h.file.Limits
	budget := limits.NewBudget(l.Descriptors, l.OverloadConnections, limits.NewMemoryBudget(l.BodyMemory))
	h.services = services.New(h.file, clock{start: time.Now()}, budget, log, h.poller)
	h.services.Dial = h.dialDiscovery
	h.services.WrapReceiver = h.observe
}

func (h *hollowNode) openRecord(ctx context.Context, name string, log *zap.Logger) error {
	storeURL, err := url.Parse(h.all.config.StoreURL)
	if err != nil {
		return err
	}
	r := h.file.Record
	h.recordCache, err = recordcache.Open(ctx, recordcache.Config{
		Name:         name,
		Store:        storeURL.Redacted(),
		MaxStaleness: time.Duration(*r.MaxStaleness),
		MaxPending:   r.MaxPending,
		CallTimeout:  time.Duration(r.CallTimeout),
		PollInterval: time.Duration(r.PollInterval),
		Open:         h.openStore,
	}, log)
	return err
}

// openStore returns the client of the store, by the controllers if there are record servers.
func (h *hollowNode) openStore() (store.Store, error) {
	config := &h.all.config
	if h.all.OpenStore != nil {
		return h.all.OpenStore(h.number)
	}
	if len(config.RecordServers) > 0 {
		return h.dialControllers(), nil
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return h.all.network.Dial(ctx, h.place, config.Store.Place, config.Store.Addr, &h.all.record)
	}
	return sqlstore.OpenWithDialer(config.StoreURL, dial)
}

// dialControllers returns a client of the controllers' record servers, those of the node's own region first.
func (h *hollowNode) dialControllers() store.Store {
	places := map[string]Place{}
	var near, far []string
	for _, server := range replicaTargets(h.all.config.RecordServers, h.number) {
		places[server.address] = server.place
		if server.place.Region == h.place.Region {
			near = append(near, server.address)
		} else {
			far = append(far, server.address)
		}
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return h.all.network.Dial(ctx, h.place, places[address], address, &h.all.record)
	}
	return store.DialControllersWith(dial, append(near, far...), nil)
}

// dialDiscovery connects to a service's endpoint list at one of the replicas that are alive, as behind an address that
// spreads connections.
func (h *hollowNode) dialDiscovery(ctx context.Context, _, address string) (net.Conn, error) {
	for _, service := range h.all.config.Services {
		if service.Discovery == address {
			turn := int(h.dials.Add(1)) + h.number
			targets := replicaTargets(service.Replicas, turn)
			return h.all.network.dialAny(ctx, h.place, targets, &h.all.endpointLists)
		}
	}
	return nil, fmt.Errorf("%s is no discovery address of the fleet", address)
}

// followRecord puts the record's changes in force until the context ends.
func (h *hollowNode) followRecord(ctx context.Context, current *nodeconfig.Config) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.recordCache.Changes():
		}
		merge := h.mergeRecord(current)
		if !merge.Changed {
			continue
		}
		current = merge.Config
		h.services.Apply(current)
		h.noteSettings(current)
	}
}

// mergeRecord returns the file with the record's settings over it, as the program does.
func (h *hollowNode) mergeRecord(current *nodeconfig.Config) *nodeconfig.RecordMerge {
	merge := h.file.WithRecord(h.recordCache.Configuration())
	if merge.Config != h.file {
		merge.Config.KeepProcessSettings(current)
	}
	h.recordCache.SetConfiguration(merge.InForce, merge.Invalid)
	return merge
}

func (h *hollowNode) stop() {
	h.cancel()
	h.services.Close()
	h.following.Wait()
	if h.recordCache != nil {
		h.recordCache.Close()
	}
	h.poller.Close()
}
