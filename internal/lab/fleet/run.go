package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/standin"
	"robincart/internal/record/store/sqlstore"
)

// Options are what a run needs beside its file.
type Options struct {
	Node       string // programs
	Controller string
	Lab        string // this one, for the processes of its own
	Dir        string // for logs and files
	Notes      func(format string, args ...any)
}

// Role is a part of a result: what one role used in one step.
type Role struct {
	Name     string  `json:"Name"`
	Count    int     `json:"Count"`
	Bytes    float64 `json:"Bytes"` // a second each, both ways, headers estimated
	Payload  float64 `json:"Payload"`
	Messages float64 `json:"Messages"` // a second each, both ways
	CPU      float64 `json:"CPU"`      // of one core, each
	RSS      int64   `json:"RSS"`      // bytes each
	Heap     int64   `json:"Heap"`     // live bytes each, of hollow nodes
	Conns    float64 `json:"Conns"`    // open, each
}

// Told is how the changes of a step came into force.
type Told struct {
	Changes  int            `json:"Changes"`
	P50      time.Duration  `json:"P50"` // of the times until each was in force at its last node
	P99      time.Duration  `json:"P99"`
	Max      time.Duration  `json:"Max"`
	One50    time.Duration  `json:"One50"` // of the times at each node
	One99    time.Duration  `json:"One99"`
	NotTold  int            `json:"NotTold"` // pairs of change and node
	Missing  []string       `json:"Missing"` // some of them
	ByRegion map[int]string `json:"ByRegion"`
}

// Outcome is one step's.
type Outcome struct {
	Name     string        `json:"Name"`
	Took     time.Duration `json:"Took"`
	Told     Told          `json:"Told"`
	Drains   Told          `json:"Drains"`
	Roles    []Role        `json:"Roles"`
	Disagree int           `json:"Disagree"` // servers that some nodes would send to at its end, and others not
	Waiting  int           `json:"Waiting"`  // changes that nodes have not written to the store at its end
	Behind   int           `json:"Behind"`   // nodes whose copy does not follow the store
	Commits  int           `json:"Commits"`  // of the store in it
	Note     string        `json:"Note"`
}

// Result is one size's.
type Result struct {
	File     string    `json:"File"`
	Nodes    int       `json:"Nodes"`
	Steps    []Outcome `json:"Steps"`
	CameBack []string  `json:"CameBack"` // servers ready again at a node after their drain
	Failed   []string  `json:"Failed"`   // expectations that were not met
	Broken   []string  `json:"Broken"`   // what went wrong in the lab itself
}

var figures = []string{"node_bytes", "node_messages", "node_cpu", "node_heap_mb", "real_cpu", "real_rss_mb", "real_bytes", "controller_cpu", "controller_rss_mb", "store_cpu",
	"change_p50_s", "change_p99_s", "change_most_s", "not_told", "disagree", "waiting", "came_back", "changes"}

// expectation is one change, and when it came into force where.
type expectation struct {
	step   int
	what   string
	phases []string
	at     int64
	node   map[int]int64 // 0: not yet
	left   int
}

// run is a fleet that runs.
type run struct {
	o     Options
	f     *File
	nodes int
	setup Setup
	sites map[string]Place // of controllers, store, API

	net         *Network
	api         *apiserver.Server
	cluster     *Cluster
	store       *process
	storeURL    string
	storeAddr   string
	controllers []*process
	lists       [][]string // by replica, by service
	relays      map[string]*Relay
	real        []*standin.Node
	workers     []*process
	perWorker   int
	cuts        map[string]Cut
	weights     int
	port        int
	rush        time.Time // when the nodes began to start, together

	mu       sync.Mutex
	dead     map[int]bool
	since    map[int]int64 // a node's last start
	open     map[string][]*expectation
	all      []*expectation
	phase    map[int]map[string]string // by node, by server
	drained  map[string]int64
	cameBack []string
	step     int
	events   int
}

// workerNodes is how many hollow nodes one process has: a process may have 20,000 descriptors here, and each node takes 33.
const workerNodes = 440

// Play runs one size.
func Play(ctx context.Context, f *File, nodes int, o Options) (res *Result, err error) {
	if o.Notes == nil {
		o.Notes = func(string, ...any) {}
	}
	r := &run{o: o, f: f, nodes: nodes, net: NewNetwork(f.latency()), relays: map[string]*Relay{}, cuts: map[string]Cut{}, dead: map[int]bool{}, since: map[int]int64{},
		open: map[string][]*expectation{}, phase: map[int]map[string]string{}, drained: map[string]int64{}}
	res = &Result{File: f.Name, Nodes: nodes}
	if err = os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	defer r.close()
	begun := time.Now()
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	outcomes := []Outcome{{Name: "start", Took: time.Since(begun)}}
	rush := time.Since(r.rush)
	quiet, err := r.quiet(ctx, r.f.Quiet.Std())
	if err != nil {
		return nil, err
	}
	outcomes[0].Note = fmt.Sprintf("all nodes together know all lists after %.1f s, the record is quiet %.1f s later", rush.Seconds(), quiet.Seconds())
	outcomes[0].Commits = r.commits()
	for i := range f.Step {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r.mu.Lock()
		r.step = i + 1
		r.mu.Unlock()
		o, err := r.do(ctx, &f.Step[i])
		if err != nil {
			res.Broken = append(res.Broken, fmt.Sprintf("%s: %v", f.Step[i].Name, err))
		}
		outcomes = append(outcomes, o)
	}
	r.poll()
	for i := range outcomes {
		outcomes[i].Told, outcomes[i].Drains = r.told(i, false), r.told(i, true)
	}
	res.Steps, res.CameBack = outcomes, r.cameBack
	res.judge(f)
	return res, nil
}

func (f *File) latency() Latency {
	return Latency{f.Latency.Region.Std(), f.Latency.Zone.Std(), f.Latency.Rack.Std()}
}

// begin starts everything.
func (r *run) begin(ctx context.Context) (err error) {
	f := r.f
	places := f.Places(r.nodes)
	r.setup = Setup{Latency: f.latency(), Places: places}
	for i := range f.Zones {
		r.setup.Zones = append(r.setup.Zones, zoneName(i))
	}
	for i := range f.Services {
		r.setup.Services = append(r.setup.Services, fmt.Sprintf("s%02d", i))
	}
	// The control side stands on machines of its own: API and first replica in the first zone, the store in the second, the other
	// replicas each in the first zone that is left of the next region.
	perRegion := f.Zones / f.Regions
	site := func(zone, n int) Place {
		return Place{Region: zone / perRegion, Zone: zone, Rack: f.Zones*f.Racks + n, Machine: r.nodes + n}
	}
	r.sites = map[string]Place{"api": site(0, 0), "store": site(min(1, f.Zones-1), 1)}
	for i := range f.Replicas {
		zone := (i % f.Regions * perRegion) + i/f.Regions%perRegion
		r.sites[fmt.Sprint("controller:", i)] = site(zone, 2+i)
	}
	if r.api, err = apiserver.Start("127.0.0.1:0", nil); err != nil {
		return err
	}
	r.cluster = &Cluster{API: r.api, Services: r.setup.Services, Places: places, Port: 9}
	r.cluster.Fill()
	if *f.Record {
		if err := r.beginStore(ctx); err != nil {
			return err
		}
	}
	for i := range f.Replicas {
		if err := r.newController(i); err != nil {
			return err
		}
	}
	for _, c := range r.controllers {
		if err := c.start(false); err != nil {
			return err
		}
	}
	for i := range r.controllers {
		if err := r.controllerReady(ctx, i); err != nil {
			return err
		}
	}
	r.setup.Lists = make([][]Endpoint, f.Services)
	for s := range f.Services {
		for i := range f.Replicas {
			r.setup.Lists[s] = append(r.setup.Lists[s], Endpoint{r.sites[fmt.Sprint("controller:", i)], r.lists[i][s]})
		}
	}
	// Doors are what the files of nodes name: real nodes reach them, hollow ones go to what stands behind.
	for s := range f.Services {
		turn := 0
		var mu sync.Mutex
		d, err := r.relay(fmt.Sprint("door ", s), places[0], func() []target {
			mu.Lock()
			defer mu.Unlock()
			turn++
			return spread(r.setup.Lists[s], turn)
		})
		if err != nil {
			return err
		}
		r.setup.Doors = append(r.setup.Doors, d.Addr())
	}
	for i := range f.Real {
		if err := r.beginReal(ctx, i); err != nil {
			return err
		}
	}
	n := (r.nodes + workerNodes - 1) / workerNodes
	r.perWorker = (r.nodes + n - 1) / n
	for w := range n {
		p := &process{name: fmt.Sprint("hollow", w), log: filepath.Join(r.o.Dir, fmt.Sprintf("hollow%d.log", w)), args: []string{r.o.Lab, "fleet-part", "nodes"}}
		if err := p.start(true); err != nil {
			return err
		}
		r.workers = append(r.workers, p)
		s := r.setup
		s.First = w * r.perWorker
		s.Places = places[s.First:min(r.nodes, s.First+r.perWorker)]
		if err := p.call("Nodes.Prepare", s, &None{}); err != nil {
			return err
		}
	}
	var all []int
	first := slices.IndexFunc(places, func(p Place) bool { return p.Zone == r.sites["store"].Zone })
	for i := range r.nodes {
		if f.Cold || !*f.Record || i != first {
			all = append(all, i)
		}
	}
	if len(all) < r.nodes { // what it hears is recorded before the others come, as in a fleet that has been there for long
		if err := r.startNodes([]int{first}); err != nil {
			return err
		}
		if err := r.knownBy(ctx, 1, r.nodes, 30*time.Second); err != nil {
			return err
		}
		if _, err := r.quiet(ctx, f.Quiet.Std()); err != nil {
			return err
		}
	}
	r.rush = time.Now()
	if err := r.startNodes(all); err != nil {
		return err
	}
	return r.knownBy(ctx, r.nodes, r.nodes, 120*time.Second)
}

// address is one of this run's own: a loopback address by the process, so that another run beside it can't take the place of a
// controller that is down, and a port below those that the kernel gives to connections, each once.
func (r *run) address() (string, error) {
	if r.port == 0 {
		r.port = 10_000
	}
	pid := os.Getpid()
	for range 5000 {
		if r.port++; r.port > 32_000 {
			break
		}
		addr := fmt.Sprintf("127.%d.%d.1:%d", 64+pid/250%128, pid%250, r.port)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr, nil
		}
	}
	return "", errors.New("no port is free")
}

func (r *run) beginStore(ctx context.Context) error {
	r.store = &process{name: "store", log: filepath.Join(r.o.Dir, "store.log"), args: []string{r.o.Lab, "fleet-part", "store"}}
	if r.storeAddr == "" {
		addr, err := r.address()
		if err != nil {
			return err
		}
		r.storeAddr = addr
	}
	if err := r.startStore(); err != nil {
		return err
	}
	s, err := sqlstore.Open(r.storeURL)
	if err != nil {
		return err
	}
	defer s.Close()
	if _, err := s.Init(ctx, false); err != nil {
		return err
	}
	r.setup.Store, r.setup.Address = Endpoint{r.sites["store"], r.storeAddr}, r.storeURL
	return nil
}

func (r *run) startStore() error {
	if err := r.store.start(true); err != nil {
		return err
	}
	return r.store.call("Store.Begin", Where{r.storeAddr, filepath.Join(r.o.Dir, "record.db")}, &r.storeURL)
}

// relay makes one at an address of this run's own.
func (r *run) relay(name string, from Place, to func() []target) (*Relay, error) {
	addr, err := r.address()
	if err != nil {
		return nil, err
	}
	x, err := NewRelay(r.net, from, addr, to)
	if err == nil {
		r.relays[name] = x
	}
	return x, err
}

// throughRelay is the store's address behind a relay.
func (r *run) throughRelay(name string, from Place) (string, error) {
	relay, err := r.relay(name, from, func() []target { return []target{{r.sites["store"], r.storeAddr}} })
	if err != nil {
		return "", err
	}
	u, err := url.Parse(r.storeURL)
	if err != nil {
		return "", err
	}
	u.Host = relay.Addr()
	return u.String(), nil
}

func (r *run) newController(i int) error {
	name := fmt.Sprint("controller:", i)
	api, err := r.relay("api "+name, r.sites[name], func() []target { return []target{{r.sites["api"], r.api.Addr()}} })
	if err != nil {
		return err
	}
	status, err := r.address()
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "identity = %q\nstatus = %q\n[api]\nserver = \"http://%s\"\n", fmt.Sprint("c", i), status, api.Addr())
	if *r.f.Record {
		address, err := r.throughRelay("store "+name, r.sites[name])
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "[record]\nstore = %q\n", address)
		if r.f.Through {
			at, err := r.address()
			if err != nil {
				return err
			}
			fmt.Fprintf(&b, "listen = %q\n", at)
			r.setup.Relays = append(r.setup.Relays, Endpoint{r.sites[name], at})
		}
	}
	var lists []string
	for _, s := range r.setup.Services {
		addr, err := r.address()
		if err != nil {
			return err
		}
		lists = append(lists, addr)
		fmt.Fprintf(&b, "[[service]]\nname = %q\nlisten = %q\n", s, addr)
	}
	r.lists = append(r.lists, lists)
	file := filepath.Join(r.o.Dir, fmt.Sprintf("c%d.toml", i))
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		return err
	}
	r.controllers = append(r.controllers, &process{name: name, log: file + ".log", args: []string{r.o.Controller, "--config", file}})
	return nil
}

func (r *run) controllerReady(ctx context.Context, i int) error {
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", r.lists[i][len(r.lists[i])-1], time.Second)
		if err == nil {
			c.Close()
			return nil
		}
	}
	text, _ := os.ReadFile(r.controllers[i].log)
	return fmt.Errorf("controller %d serves no list: %.500s", i, text)
}

func (r *run) beginReal(ctx context.Context, i int) error {
	addr, err := r.address()
	if err != nil {
		return err
	}
	more := ""
	if *r.f.Record {
		address, err := r.throughRelay(fmt.Sprint("real ", i), r.setup.Places[0])
		if err != nil {
			return err
		}
		if r.f.Through {
			var all []string
			for c, e := range r.setup.Relays {
				x, err := r.relay(fmt.Sprint("real ", i, " record ", c), r.setup.Places[0], func() []target { return []target{{e.Place, e.Addr}} })
				if err != nil {
					return err
				}
				all = append(all, x.Addr())
			}
			address = "controllers:" + strings.Join(all, ",")
		}
		more = fmt.Sprintf("[record]\nstore = %q\n", address)
	}
	n := &standin.Node{Name: fmt.Sprint("real", i), Addr: addr, Program: r.o.Node, Dir: r.o.Dir, Text: NodeFile(&r.setup, fmt.Sprint("real", i), addr, 0, 440, more)}
	if err := n.Start(ctx); err != nil {
		return err
	}
	r.real = append(r.real, n)
	return nil
}

func (r *run) close() {
	for _, n := range r.real {
		n.Kill()
	}
	for _, p := range append(append(r.workers, r.controllers...), r.store) {
		if p != nil {
			p.kill()
		}
	}
	r.net.Set(nil)
	for _, x := range r.relays {
		x.Close()
	}
	if r.api != nil {
		r.api.Stop()
	}
}

// each calls the workers that have some of these nodes.
func (r *run) each(nodes []int, method string) error {
	parts := make([][]int, len(r.workers))
	for _, n := range nodes {
		parts[n/r.perWorker] = append(parts[n/r.perWorker], n)
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	var bad error
	for w, part := range parts {
		if len(part) > 0 {
			all.Go(func() {
				err := r.workers[w].call(method, Numbers{part}, &None{})
				mu.Lock()
				bad = errors.Join(bad, err)
				mu.Unlock()
			})
		}
	}
	all.Wait()
	return bad
}

func (r *run) startNodes(nodes []int) error {
	r.mu.Lock()
	for _, n := range nodes {
		delete(r.dead, n)
		r.phase[n] = map[string]string{}
		r.since[n] = time.Now().UnixNano()
	}
	r.mu.Unlock()
	return r.each(nodes, "Nodes.Start")
}

func (r *run) killNodes(nodes []int) error {
	r.poll()
	r.mu.Lock()
	for _, n := range nodes {
		r.dead[n] = true
		delete(r.phase, n)
		for _, e := range r.all { // who has died need not be told
			if at, is := e.node[n]; is && at == 0 {
				delete(e.node, n)
				e.left--
			}
		}
	}
	r.mu.Unlock()
	return r.each(nodes, "Nodes.Kill")
}

// knownBy waits until so many nodes run and each has so many ready servers.
func (r *run) knownBy(ctx context.Context, nodes, servers int, most time.Duration) error {
	least := 0
	for limit := time.Now().Add(most); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		u, err := r.use(false)
		if err != nil {
			return err
		}
		if least = u.Listed; u.Nodes >= nodes && least >= servers {
			r.poll()
			return nil
		}
	}
	return fmt.Errorf("after %v a node knows %d of %d servers", most, least, servers)
}

// quiet waits until nothing waits to be written to the store.
func (r *run) quiet(ctx context.Context, most time.Duration) (time.Duration, error) {
	begun := time.Now()
	if !*r.f.Record {
		return 0, nil
	}
	waiting := 0
	for still := 0; time.Since(begun) < most && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		u, err := r.use(false)
		if err != nil {
			return 0, err
		}
		if waiting = u.Waiting; waiting > 0 {
			still = 0
		} else if still++; still >= 5 {
			return time.Since(begun) - time.Second, nil
		}
		r.poll()
	}
	r.o.Notes("after %v nodes still have %d changes to write to the store", most, waiting)
	return time.Since(begun), nil
}

func (r *run) use(collect bool) (u Use, err error) {
	u.Listed = 1 << 30
	for _, w := range r.workers {
		var x Use
		if err := w.call("Nodes.Use", collect, &x); err != nil {
			return u, err
		}
		u.Nodes, u.Lists, u.Record, u.Heap = u.Nodes+x.Nodes, u.Lists.Plus(x.Lists), u.Record.Plus(x.Record), u.Heap+x.Heap
		u.Waiting, u.Behind, u.Facts = u.Waiting+x.Waiting, u.Behind+x.Behind, max(u.Facts, x.Facts)
		if x.Nodes > 0 {
			u.Listed = min(u.Listed, x.Listed)
		}
	}
	return u, nil
}

func (r *run) commits() (n int) {
	if r.store != nil && r.store.runs() {
		r.store.call("Store.Commits", None{}, &n)
	}
	return n
}

// poll takes the events that have come.
func (r *run) poll() {
	for _, w := range r.workers {
		var events []Event
		if err := w.call("Nodes.Events", None{}, &events); err != nil {
			continue
		}
		r.mu.Lock()
		for _, e := range events {
			r.take(e)
		}
		r.mu.Unlock()
	}
}

func (r *run) take(e Event) {
	r.events++
	for _, x := range r.open[e.What] {
		if at, expected := x.node[e.Node]; expected && at == 0 && e.At >= x.at && slices.Contains(x.phases, e.Phase) {
			x.node[e.Node] = e.At
			x.left--
		}
	}
	if e.Phase == Set || r.dead[e.Node] || e.At < r.since[e.Node] {
		return
	}
	was := r.phase[e.Node][e.What]
	r.phase[e.Node][e.What] = e.Phase
	if at, drained := r.drained[e.What]; drained && e.Phase == Ready && (was == Draining || was == Gone || r.since[e.Node] > at+2e9) && len(r.cameBack) < 1000 {
		r.cameBack = append(r.cameBack, fmt.Sprintf("node %d: %s is ready %.2f s after its drain", e.Node, e.What, float64(e.At-at)/1e9))
	}
}

// expect notes a change that all nodes are to hear, right before it is made.
func (r *run) expect(what string, phases ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &expectation{step: r.step, what: what, phases: phases, at: time.Now().UnixNano(), node: map[int]int64{}}
	for n := range r.nodes {
		if !r.dead[n] {
			x.node[n] = 0
		}
	}
	x.left = len(x.node)
	r.open[what] = append(r.open[what], x)
	r.all = append(r.all, x)
}

func (r *run) leaves(p *Pod) {
	r.expect(p.Addr, Draining, Gone)
	r.mu.Lock()
	r.drained[p.Addr] = time.Now().UnixNano()
	r.mu.Unlock()
}

// settle waits until all changes of the present step are in force everywhere, or for so long.
func (r *run) settle(ctx context.Context, most time.Duration) {
	for limit := time.Now().Add(most); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		r.poll()
		left := 0
		r.mu.Lock()
		for _, x := range r.all {
			if x.step == r.step {
				left += x.left
			}
		}
		r.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// told is how a step's changes came into force; drains are told apart from all else.
func (r *run) told(step int, drains bool) (t Told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last, each []time.Duration
	region := map[int][]time.Duration{}
	missing := map[int]int{}
	places := r.setup.Places
	for _, x := range r.all {
		if x.step != step || drains != slices.Contains(x.phases, Draining) {
			continue
		}
		t.Changes++
		most := time.Duration(0)
		for n, at := range x.node {
			reg := places[n].Region
			if at == 0 {
				t.NotTold++
				missing[reg]++
				if len(t.Missing) < 5 {
					t.Missing = append(t.Missing, fmt.Sprintf("node %d (region %d, zone %d): %s", n, reg, places[n].Zone, x.what))
				}
				continue
			}
			d := time.Duration(at - x.at)
			most = max(most, d)
			each = append(each, d)
			region[reg] = append(region[reg], d)
		}
		last = append(last, most)
	}
	t.P50, t.P99, t.Max = quantiles(last)
	t.One50, t.One99, _ = quantiles(each)
	t.ByRegion = map[int]string{}
	for reg := range r.f.Regions {
		p50, p99, most := quantiles(region[reg])
		t.ByRegion[reg] = fmt.Sprintf("p50 %.2f s, p99 %.2f s, most %.2f s, %d told, %d not", p50.Seconds(), p99.Seconds(), most.Seconds(), len(region[reg]), missing[reg])
	}
	return t
}

func quantiles(d []time.Duration) (p50, p99, most time.Duration) {
	if len(d) == 0 {
		return
	}
	slices.Sort(d)
	return d[len(d)/2], d[min(len(d)-1, len(d)*99/100)], d[len(d)-1]
}

// disagree counts the servers that some nodes that live would send to and others not: draining, gone and never heard of are alike.
func (r *run) disagree() int {
	r.poll()
	r.mu.Lock()
	defer r.mu.Unlock()
	first, differ := map[string]string{}, map[string]bool{}
	all := map[string]bool{}
	for _, of := range r.phase {
		for what := range of {
			all[what] = true
		}
	}
	for what := range all {
		for _, of := range r.phase {
			p := of[what]
			if p != Ready {
				p = Gone
			}
			if was, known := first[what]; !known {
				first[what] = p
			} else if was != p {
				differ[what] = true
			}
		}
	}
	return len(differ)
}

// sample is what has been used at one moment.
type sample struct {
	at            time.Time
	use           Use
	hollow, api   time.Duration
	hollowRSS     int64
	controllers   []time.Duration
	controllerRSS []int64
	store         time.Duration
	storeRSS      int64
	real, realRSS []int64
	relays        map[string]Volume
	commits       int
}

func (r *run) sample(collect bool) (s sample) {
	s.at, s.relays = time.Now(), map[string]Volume{}
	s.use, _ = r.use(collect)
	for _, w := range r.workers {
		cpu, rss := w.used()
		s.hollow, s.hollowRSS = s.hollow+cpu, s.hollowRSS+rss
	}
	for _, c := range r.controllers {
		cpu, rss := c.used()
		s.controllers, s.controllerRSS = append(s.controllers, cpu), append(s.controllerRSS, rss)
	}
	if r.store != nil {
		s.store, s.storeRSS = r.store.used()
	}
	for _, n := range r.real {
		cpu, rss := usedBy(n.Pid())
		for _, child := range children(n.Pid()) {
			c, m := usedBy(child)
			cpu, rss = cpu+c, rss+m
		}
		s.real, s.realRSS = append(s.real, int64(cpu)), append(s.realRSS, rss)
	}
	s.api, _ = usedBy(os.Getpid())
	for name, x := range r.relays {
		s.relays[name] = x.Volume()
	}
	s.commits = r.commits()
	return s
}

// roles is what each used between two samples.
func (r *run) roles(a, b sample) (out []Role) {
	took := b.at.Sub(a.at).Seconds()
	sum := func(prefix string) (v Volume) {
		for name, x := range b.relays {
			if strings.HasPrefix(name, prefix) {
				v = v.Plus(x.Minus(a.relays[name]))
			}
		}
		return v
	}
	role := func(name string, count int, v Volume, cpu time.Duration, rss int64) Role {
		n := float64(max(1, count))
		return Role{Name: name, Count: count, Bytes: float64(v.Wire()) / took / n, Payload: float64(v.Payload()) / took / n, Messages: float64(v.Messages()) / took / n,
			CPU: cpu.Seconds() / took / n, RSS: rss / int64(n), Conns: float64(v.Open) / n}
	}
	lists, rec := b.use.Lists.Minus(a.use.Lists), b.use.Record.Minus(a.use.Record)
	h := role("hollow node", b.use.Nodes, lists.Plus(rec), b.hollow-a.hollow, b.hollowRSS)
	h.Heap = b.use.Heap / int64(max(1, b.use.Nodes))
	out = append(out, h, role("  its lists", b.use.Nodes, lists, 0, 0), role("  its record", b.use.Nodes, rec, 0, 0))
	if n := len(r.real); n > 0 {
		var cpu, rss int64
		for i := range b.real {
			cpu, rss = cpu+b.real[i]-a.real[i], rss+b.realRSS[i]
		}
		out = append(out, role("real node", n, sum("door ").Plus(sum("real ")), time.Duration(cpu), rss))
	}
	var cpu time.Duration
	var rss int64
	for i := range b.controllers {
		cpu, rss = cpu+b.controllers[i]-a.controllers[i], rss+b.controllerRSS[i]
	}
	out = append(out, role("controller", len(r.controllers), lists.Plus(sum("door ")).Plus(sum("api ")).Plus(sum("store ")), cpu, rss))
	if r.store != nil {
		out = append(out, role("store", 1, rec.Plus(sum("store ")).Plus(sum("real ")), b.store-a.store, b.storeRSS))
	}
	out = append(out, role("API and relays", 1, sum("api "), b.api-a.api, 0))
	return out
}

// judge compares with what is expected.
func (r *Result) judge(f *File) {
	value := func(o *Outcome, figure string) (float64, bool) {
		role := func(name string) *Role {
			i := slices.IndexFunc(o.Roles, func(x Role) bool { return x.Name == name })
			if i < 0 {
				return nil
			}
			return &o.Roles[i]
		}
		of := func(name string, f func(*Role) float64) (float64, bool) {
			if x := role(name); x != nil {
				return f(x), true
			}
			return 0, false
		}
		longest := func(f func(*Told) time.Duration) (float64, bool) {
			return max(f(&o.Told), f(&o.Drains)).Seconds(), o.Told.Changes+o.Drains.Changes > 0
		}
		switch figure {
		case "node_bytes":
			return of("hollow node", func(x *Role) float64 { return x.Bytes })
		case "node_messages":
			return of("hollow node", func(x *Role) float64 { return x.Messages })
		case "node_cpu":
			return of("hollow node", func(x *Role) float64 { return x.CPU })
		case "node_heap_mb":
			return of("hollow node", func(x *Role) float64 { return float64(x.Heap) / 1e6 })
		case "real_cpu":
			return of("real node", func(x *Role) float64 { return x.CPU })
		case "real_rss_mb":
			return of("real node", func(x *Role) float64 { return float64(x.RSS) / 1e6 })
		case "real_bytes":
			return of("real node", func(x *Role) float64 { return x.Bytes })
		case "controller_cpu":
			return of("controller", func(x *Role) float64 { return x.CPU })
		case "controller_rss_mb":
			return of("controller", func(x *Role) float64 { return float64(x.RSS) / 1e6 })
		case "store_cpu":
			return of("store", func(x *Role) float64 { return x.CPU })
		case "change_p50_s":
			return longest(func(t *Told) time.Duration { return t.P50 })
		case "change_p99_s":
			return longest(func(t *Told) time.Duration { return t.P99 })
		case "change_most_s":
			return longest(func(t *Told) time.Duration { return t.Max })
		case "not_told":
			return float64(o.Told.NotTold + o.Drains.NotTold), true
		case "changes":
			return float64(o.Told.Changes + o.Drains.Changes), true
		case "disagree":
			return float64(o.Disagree), true
		case "waiting":
			return float64(o.Waiting), true
		case "came_back":
			return float64(len(r.CameBack)), true
		}
		return 0, false
	}
	for key, b := range f.Expect {
		step, figure, _ := strings.Cut(key, ".")
		for i := range r.Steps {
			o := &r.Steps[i]
			if o.Name != step && (step != "all" || i == 0) {
				continue
			}
			v, has := value(o, figure)
			switch {
			case !has && step == "all":
			case !has:
				r.Failed = append(r.Failed, fmt.Sprintf("%s.%s: it was not measured", o.Name, figure))
			case b.Most != nil && v > *b.Most:
				r.Failed = append(r.Failed, fmt.Sprintf("%s.%s is %.4g, %.4g at most was expected", o.Name, figure, v, *b.Most))
			case b.Least != nil && v < *b.Least:
				r.Failed = append(r.Failed, fmt.Sprintf("%s.%s is %.4g, %.4g at least was expected", o.Name, figure, v, *b.Least))
			}
		}
	}
	sort.Strings(r.Failed)
}

// Passed tells whether all that was expected came, and nothing broke.
func (r *Result) Passed() bool { return len(r.Failed) == 0 && len(r.Broken) == 0 }
