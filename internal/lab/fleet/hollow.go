package fleet

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/endpoints"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/core/node"
	"robincart/internal/dataplane/services"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
)

// Endpoint is where a part of the control side is reached.
type Endpoint struct {
	Place Place
	Addr  string
}

// Setup is what the hollow nodes of one process are made by.
type Setup struct {
	Latency  Latency
	First    int // number of the first node; the others follow
	Places   []Place
	Zones    []string
	Services []string
	Doors    []string     // the address that each service's list has in the nodes' files
	Lists    [][]Endpoint // behind it: by service, by controller replica
	Store    Endpoint     // empty: nodes keep no record
	Address  string       // of the store, with user and password
	Relays   []Endpoint   // of the controllers, where nodes are told the record by them; none: nodes read the store
}

// Phases of an Event.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
	Set      = "set"
)

// Event is one thing that came into force at a node.
type Event struct {
	At    int64 // nanoseconds of Unix time: all processes are on one machine
	Node  int
	What  string // address of a server, or NAME=VALUE of a setting
	Phase string
}

// Use is what hollow nodes have used and hold.
type Use struct {
	Nodes   int
	Lists   Volume // of the server lists
	Record  Volume // of the store of record
	Heap    int64  // live bytes after a collection
	Waiting int    // changes that are to be written to the store
	Facts   int    // of the record, in one node's copy
	Listed  int    // servers that the node that knows fewest has as ready
	Behind  int    // nodes whose copy does not follow the store
}

// Hollow is many nodes' control side in one process: the watches of all services, the keeper with its copy of the record, the
// cores with their modules and what shares them, wired as cmd/robincart does. What it lacks of a node: the process, the listeners
// and callers, the snapshot on disk, and the helper process at the store, whose client runs in here.
type Hollow struct {
	// Set before Start, if at all:
	Witnessed func(Event)                                              // in the place of Events
	Connect   func(ctx context.Context, addr string) (net.Conn, error) // in the place of TCP
	Patient   bool                                                     // watches outlast any silence: a slow machine's is no news
	Open      func(number int) (store.Store, error)                    // in the place of the client of Setup.Address

	net    *Network
	setup  Setup
	lists  Traffic
	record Traffic

	mu     sync.Mutex
	nodes  map[int]*hollow
	events []Event
}

// hollow is one node.
type hollow struct {
	h       *Hollow
	number  int
	place   Place
	file    *nodeconfig.Config
	keep    *recordcache.Cache
	set     *services.Manager
	poller  *poller.Poller
	life    context.Context
	end     context.CancelFunc
	own     sync.WaitGroup
	turn    atomic.Int64
	mu      sync.Mutex
	phases  map[string]string // by address: as last heard
	setting map[string]string
}

// NewHollow prepares; Start begins nodes.
func NewHollow(s Setup) *Hollow {
	return &Hollow{net: NewNetwork(s.Latency), setup: s, nodes: map[int]*hollow{}}
}

type clock struct{ start time.Time }

func (c clock) Now() time.Duration                  { return time.Since(c.start) }
func (c clock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// NodeFile is the operator's file of a node, hollow or real.
func NodeFile(s *Setup, name, listen string, zone int, nodes int, more string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nlisten = [%q]\n[log]\nlevel = \"error\"\n[machine]\ncores = 1\nmemory_mb = 64\nsockets = 1024\n%s", name, listen, more)
	zones := make([]string, len(s.Zones))
	for i, z := range s.Zones {
		zones[i] = fmt.Sprintf("%q", z)
	}
	for i, name := range s.Services {
		b.WriteString(serviceText(s, i, 1, zone, nodes, zones))
		fmt.Fprintf(&b, "[[route]]\nname = %q\nhost = %q\nto = %q\n", name, name+".example.org", name)
	}
	return b.String()
}

// serviceText is one service's part of it. A weight is the smallest of changes: it is taken in place.
func serviceText(s *Setup, i int, weight float64, zone, nodes int, zones []string) string {
	at := ""
	if zone >= 0 {
		at = fmt.Sprintf("zone = %s\n", zones[zone])
	}
	return fmt.Sprintf("[[service]]\nname = %q\ndiscovery = %q\nguarantee = %.4f\nweight = %g\nnodes = %d\nzones = [%s]\n%s"+
		"[[service.method]]\nname = \"find\"\nrepeat = \"idempotent\"\ntarget = \"400ms\"\ndeadline = \"2s\"\n",
		s.Services[i], s.Doors[i], 1/float64(len(s.Services)), weight, nodes, strings.Join(zones, ", "), at)
}

// Start begins nodes by their numbers.
func (h *Hollow) Start(numbers []int) error {
	if h.Connect != nil {
		h.net.Connect = h.Connect
	}
	errs := make(chan error, len(numbers))
	places := make(chan struct{}, 16)
	for _, n := range numbers {
		places <- struct{}{}
		go func() {
			defer func() { <-places }()
			errs <- h.start(n)
		}()
	}
	var bad error
	for range numbers {
		if err := <-errs; err != nil {
			bad = err
		}
	}
	return bad
}

func (h *Hollow) start(number int) (err error) {
	s := &h.setup
	x := &hollow{h: h, number: number, place: s.Places[number-s.First], phases: map[string]string{}, setting: map[string]string{}}
	x.life, x.end = context.WithCancel(context.Background())
	name := fmt.Sprint("h", number)
	if x.file, err = nodeconfig.Parse([]byte(NodeFile(s, name, "127.0.0.1:1", x.place.Zone, 440, "")), 0); err != nil {
		return err
	}
	if h.Patient {
		for i := range x.file.Pools {
			l := &x.file.Pools[i].Limits
			l.DiscoveryConnectTimeout, l.FirstUpdateTimeout, l.MaxUpdateDelay, l.WatchSilenceTimeout = time.Hour, time.Hour, time.Hour, time.Hour
		}
	}
	if x.poller, err = poller.New(); err != nil {
		return err
	}
	log := zap.NewNop()
	if number == s.First && h.Open == nil && h.Connect == nil { // one of them tells its faults, into the process's log
		c := zap.NewProductionConfig()
		c.Level.SetLevel(zap.WarnLevel)
		c.Sampling = nil
		if log, err = c.Build(zap.Fields(zap.String("node", name))); err != nil {
			return err
		}
	}
	l := x.file.Limits
	budget := limits.NewBudget(l.Descriptors, l.OverloadConnections, limits.NewMemoryBudget(l.BodyMemory))
	x.set = services.New(x.file, clock{time.Now()}, budget, log, x.poller)
	x.set.Dial, x.set.WrapReceiver = x.dial, x.heard
	c := x.file
	if s.Address != "" || h.Open != nil {
		u, err := url.Parse(s.Address)
		if err != nil {
			return err
		}
		r := x.file.Record
		x.keep, err = recordcache.Open(x.life, recordcache.Config{Name: name, Store: u.Redacted(), MaxStaleness: time.Duration(*r.MaxStaleness), MaxPending: r.MaxPending, CallTimeout: time.Duration(r.CallTimeout),
			PollInterval: time.Duration(r.PollInterval), Open: func() (store.Store, error) {
				if h.Open != nil {
					return h.Open(number)
				}
				if len(s.Relays) > 0 {
					return x.through(), nil
				}
				return sqlstore.OpenWithDialer(s.Address, func(ctx context.Context, _, _ string) (net.Conn, error) {
					return h.net.Dial(ctx, x.place, s.Store.Place, s.Store.Addr, &h.record)
				})
			}}, log)
		if err != nil {
			return err
		}
		x.set.RecordCache = x.keep
		c = x.over(c)
	}
	x.set.Apply(c)
	x.settings(c)
	if x.keep != nil {
		x.own.Go(func() {
			for now := c; ; {
				select {
				case <-x.life.Done():
					return
				case <-x.keep.Changes():
				}
				if fresh := x.over(now); fresh != now {
					now = fresh
					x.set.Apply(now)
					x.settings(now)
				}
			}
		})
	}
	h.mu.Lock()
	h.nodes[number] = x
	h.mu.Unlock()
	return nil
}

// over puts what the record says over the file, as the program does.
func (x *hollow) over(now *nodeconfig.Config) *nodeconfig.Config {
	var facts []record.Entry
	for _, kind := range []record.Kind{record.KindService, record.KindRoute, record.KindTenant} {
		facts = append(facts, x.keep.Entries(kind)...)
	}
	if len(facts) == 0 {
		return x.file
	}
	fresh, err := x.file.WithRecord(facts)
	if err != nil {
		return now
	}
	fresh.KeepProcessSettings(now)
	return fresh
}

// Kill ends nodes, with what they know.
func (h *Hollow) Kill(numbers []int) {
	var all sync.WaitGroup
	for _, n := range numbers {
		h.mu.Lock()
		x := h.nodes[n]
		delete(h.nodes, n)
		h.mu.Unlock()
		if x == nil {
			continue
		}
		all.Go(x.stop)
	}
	all.Wait()
}

func (x *hollow) stop() {
	x.end()
	x.set.Close()
	x.own.Wait()
	if x.keep != nil {
		x.keep.Close()
	}
	x.poller.Close()
}

// Close ends all.
func (h *Hollow) Close() {
	h.net.Set(nil)
	var all []int
	h.mu.Lock()
	for n := range h.nodes {
		all = append(all, n)
	}
	h.mu.Unlock()
	h.Kill(all)
}

// Cuts puts cuts in force.
func (h *Hollow) Cuts(c []Cut) { h.net.Set(c) }

// dial reaches a service's list at one of the replicas that live, as through an address that spreads connections.
func (x *hollow) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	s := &x.h.setup
	for i, d := range s.Doors {
		if d == addr {
			return dialFirst(ctx, x.h.net, x.place, spread(s.Lists[i], int(x.turn.Add(1))+x.number), &x.h.lists)
		}
	}
	return nil, fmt.Errorf("%s is no door of the fleet", addr)
}

// through is the record by way of the controllers, those of the node's own region first.
func (x *hollow) through() store.Store {
	h := x.h
	at := map[string]Place{}
	var near, far []string
	for _, t := range spread(h.setup.Relays, x.number) {
		if at[t.addr] = t.place; t.place.Region == x.place.Region {
			near = append(near, t.addr)
		} else {
			far = append(far, t.addr)
		}
	}
	return store.DialControllersWith(func(ctx context.Context, addr string) (net.Conn, error) {
		return h.net.Dial(ctx, x.place, at[addr], addr, &h.record)
	}, append(near, far...), nil)
}

// spread is the order in which replicas are tried.
func spread(of []Endpoint, turn int) []target {
	out := make([]target, len(of))
	for i := range of {
		e := of[(turn+i)%len(of)]
		out[i] = target{e.Place, e.Addr}
	}
	return out
}

// heard stands before a core and notes what has come into force there.
func (x *hollow) heard(_ string, core endpoints.Receiver) endpoints.Receiver {
	return &witness{Receiver: core, x: x, mine: map[string]bool{}}
}

type witness struct {
	endpoints.Receiver
	x    *hollow
	mine map[string]bool
}

var phaseOf = map[decide.State]string{decide.Ready: Ready, decide.Draining: Draining, decide.Gone: Gone}

func (w *witness) UpdateEndpoints(entries []node.Endpoint, full bool) {
	w.Receiver.UpdateEndpoints(entries, full)
	now := time.Now().UnixNano()
	x := w.x
	var news []Event
	x.mu.Lock()
	is := make(map[string]bool, len(entries))
	for _, e := range entries {
		phase, at := phaseOf[e.State], e.Addr
		if e.State == decide.Gone && at == "" {
			continue
		}
		is[at] = true
		w.mine[at] = true
		if was := x.phases[at]; was != phase {
			x.phases[at] = phase
			news = append(news, Event{now, x.number, at, phase})
		}
	}
	if full {
		for at := range w.mine {
			if !is[at] {
				delete(w.mine, at)
				x.phases[at] = Gone // kept: it must not come back
				news = append(news, Event{now, x.number, at, Gone})
			}
		}
	}
	x.mu.Unlock()
	x.h.tell(news)
}

// settings notes which settings are in force.
func (x *hollow) settings(c *nodeconfig.Config) {
	now := time.Now().UnixNano()
	var news []Event
	x.mu.Lock()
	note := func(name, value string) {
		if x.setting[name] != value {
			x.setting[name] = value
			news = append(news, Event{now, x.number, name + "=" + value, Set})
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		note("weight "+s.Name, fmt.Sprint(s.Weight))
		for _, t := range s.Tenants {
			note("quota "+s.Name+"/"+t.Name, fmt.Sprint(t.Quota))
		}
	}
	x.mu.Unlock()
	x.h.tell(news)
}

func (h *Hollow) tell(news []Event) {
	if h.Witnessed != nil {
		for _, e := range news {
			h.Witnessed(e)
		}
		return
	}
	h.mu.Lock()
	h.events = append(h.events, news...)
	h.mu.Unlock()
}

// Events are those since the last call.
func (h *Hollow) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.events
	h.events = nil
	return e
}

// Drain is an operator's word to one node.
func (h *Hollow) Drain(number int, server string) error {
	h.mu.Lock()
	x := h.nodes[number]
	h.mu.Unlock()
	if x == nil || x.keep == nil {
		return fmt.Errorf("node %d does not run, or keeps no record", number)
	}
	x.keep.AddDrain(server, record.Drain{Since: time.Now().UnixMilli(), By: "operator"})
	return nil
}

// Use tells what has been used; with a collection of the heap first if that is wanted.
func (h *Hollow) Use(collect bool) Use {
	u := Use{Lists: h.lists.Volume(), Record: h.record.Volume()}
	if collect {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		u.Heap = int64(m.HeapAlloc)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	u.Nodes, u.Listed = len(h.nodes), -1
	for _, x := range h.nodes {
		if x.keep != nil {
			s := x.keep.Status()
			u.Waiting += s.Pending
			u.Facts = max(u.Facts, s.Entries)
			if s.SyncState != record.Following.String() {
				u.Behind++
			}
		}
		x.mu.Lock()
		n := 0
		for _, p := range x.phases {
			if p == Ready {
				n++
			}
		}
		x.mu.Unlock()
		if u.Listed < 0 || n < u.Listed {
			u.Listed = n
		}
	}
	return u
}

// Known is the phase in which each node has a server, as counts by phase, nodes that never heard of it among "".
func (h *Hollow) Known(what string) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]int{}
	for _, x := range h.nodes {
		x.mu.Lock()
		out[x.phases[what]]++
		x.mu.Unlock()
	}
	return out
}
