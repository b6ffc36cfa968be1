package decide

import (
	"container/heap"
	"math"
	"math/rand"
)

// A fleet is many balancers in one virtual time, all before the same servers. It counts what reaches the cold ones.
type fleet struct {
	now           float64
	events        eventQueue
	eventID       int
	rng           *rand.Rand
	shape         fleetShape
	nodes         []*fleetNode
	trafficShares []float64 // of the traffic, by node
	demand        func(node int, t float64) float64
	startedAt     []float64 // by server; 0: long ago
	received      [][]float64
	newServers    bool // what starts is another server, in place of one that has left
}

// fleetShape is a fleet's shape. Rates are a second, times seconds.
type fleetShape struct {
	nodes, servers int
	capacity       float64 // of one warm server
	load           float64 // what the callers ask of all warm servers
	seed           int64
	latency        float64
}

const (
	overloadMultiple  = 2.5
	overloadWindow    = 3.0
	slowStartFraction = 0.14
	slowStartDuration = 24.0
)

type fleetEvent struct {
	at float64
	id int
	do func()
}

type eventQueue []fleetEvent

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].id < e[j].id
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(fleetEvent)) }

func (e *eventQueue) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (f *fleet) after(d float64, do func()) {
	f.eventID++
	heap.Push(&f.events, fleetEvent{f.now + d, f.eventID, do})
}

func (f *fleet) advanceTo(t float64) {
	for len(f.events) > 0 && f.events[0].at <= t {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = t
}

// fleetNode is one node's host.
type fleetNode struct {
	fleet     *fleet
	balancer  *Balancer
	servers   []*Server
	startedAt []float64 // CameUp by server, as this node was told
	ended     bool      // its process has ended
}

func (f *fleetNode) Now() float64 { return f.fleet.now }

func (f *fleetNode) CloseIdleConnections(s *Server) {}

func (f *fleetNode) WatchEndpoints() {}

func (f *fleetNode) Abort(r *RPC) {}

func (f *fleetNode) PushBack(r *RPC, _ float64) {}

func (f *fleetNode) StartTimer(delay float64, what any) {
	f.fleet.after(delay, func() {
		if !f.ended {
			f.balancer.TimerFired(what)
		}
	})
}

func (f *fleetNode) Cancel(p *Attempt) { f.fleet.after(0, func() { f.finish(p, Canceled) }) }

func (f *fleetNode) Send(p *Attempt, _ float64) {
	i := p.Server.HostData.(int)
	if f.fleet.startedAt[i] > 0 && f.startedAt[i] == f.fleet.startedAt[i] {
		f.fleet.received[i] = append(f.fleet.received[i], f.fleet.now)
	}
	f.fleet.after(f.fleet.shape.latency*(0.5+0.5*f.fleet.rng.ExpFloat64()), func() { f.finish(p, OK) })
}

func (f *fleetNode) finish(p *Attempt, res Result) {
	if p.HostData != nil || f.ended {
		return
	}
	p.HostData = true
	f.balancer.AttemptDone(p, res, res == OK || !p.RPC.open, f.fleet.now-p.sentAt, nil)
}

func (f *fleet) start(seed int64) *fleetNode {
	n := &fleetNode{fleet: f, startedAt: make([]float64, f.shape.servers)}
	n.balancer = New(n, Settings{Instances: f.shape.nodes, MaxAttempts: 5, MayCancel: true, Hedging: true, MaxRetryAfter: 2,
		SlowStartFraction: slowStartFraction, SlowStartDuration: slowStartDuration, OverloadMultiple: overloadMultiple, OverloadWindow: overloadWindow,
		Methods: []Method{{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10}}}, seed)
	for i := range f.shape.servers {
		n.servers = append(n.servers, &Server{HostData: i})
	}
	n.notify(f.startedAt)
	return n
}

func (f *fleetNode) notify(cameUp []float64) {
	var list []EndpointUpdate
	copy(f.startedAt, cameUp)
	for i, s := range f.servers {
		list = append(list, EndpointUpdate{Server: s, Weight: 1, StartedAt: cameUp[i]})
	}
	f.balancer.UpdateEndpoints(list, true)
}

func newFleet(sp fleetShape) *fleet {
	f := &fleet{now: 100, rng: rand.New(rand.NewSource(sp.seed)), shape: sp,
		startedAt: make([]float64, sp.servers), received: make([][]float64, sp.servers)}
	sum := 0.0
	for i := range sp.nodes {
		f.nodes = append(f.nodes, f.start(sp.seed*1000+int64(i)))
		w := 1.0
		if i%5 == 0 {
			w = 4 // uneven: some get several times the mean
		}
		f.trafficShares = append(f.trafficShares, w)
		sum += w
	}
	for i := range f.trafficShares {
		f.trafficShares[i] /= sum
		f.runClient(i)
	}
	return f
}

// runClient is a Poisson process, thinned by calls where that is set.
func (f *fleet) runClient(i int) {
	const most = 3
	f.after(f.rng.ExpFloat64()/(most*f.trafficShares[i]*f.shape.load*f.shape.capacity*float64(f.shape.servers)), func() {
		part := 1.0
		if f.demand != nil {
			part = f.demand(i, f.now)
		}
		if f.rng.Float64()*most < part {
			f.arrive(i)
		}
		f.runClient(i)
	})
}

func (f *fleet) arrive(i int) {
	f.nodes[i].balancer.Arrived(&RPC{Deadline: f.now + 6})
}

// restartServer starts a server anew, and tells the nodes within apart seconds.
func (f *fleet) restartServer(server int, apart float64) {
	f.startedAt[server] = f.now
	if f.newServers {
		for _, n := range f.nodes {
			n.servers[server] = &Server{HostData: server}
		}
	}
	for i := range f.nodes {
		f.after(apart*f.rng.Float64(), func() { f.nodes[i].notify(f.startedAt) })
	}
}

func capacityFraction(age float64) float64 {
	return min(1, slowStartFraction+(1-slowStartFraction)*age/slowStartDuration)
}

// budget is what the settings allow from one age to another.
func (s fleetShape) budget(from, to float64) float64 {
	n, steps := 0.0, 30
	for i := range steps {
		n += capacityFraction(from + (to-from)*(float64(i)+0.5)/float64(steps))
	}
	return overloadMultiple * s.capacity * n / float64(steps) * (to - from)
}

// worstWindow is the window of fallFor within the ramp that lies highest beside its limit.
func (f *fleet) worstWindow(server int) (excess, got, n, at float64, total, all float64) {
	excess = math.Inf(-1)
	var ages []float64
	for _, t := range f.received[server] {
		if a := t - f.startedAt[server]; a <= slowStartDuration {
			ages = append(ages, a)
		}
	}
	j := 0
	for i, a := range ages {
		for ages[j] < a-overloadWindow {
			j++
		}
		n0 := f.shape.budget(max(0, a-overloadWindow), max(0, a-overloadWindow)+overloadWindow)
		limit := n0 + 2*math.Sqrt(n0) + 2
		if e := float64(i-j+1) - limit; e > excess {
			excess, got, n, at = e, float64(i-j+1), n0, a
		}
	}
	return excess, got, n, at, float64(len(ages)), f.shape.budget(0, slowStartDuration)
}

// playSlowStart plays a cold server's whole ramp from now.
func (f *fleet) playSlowStart(less float64) { f.advanceTo(f.now + slowStartDuration - less) }

// replaceAll starts all servers anew.
func (f *fleet) replaceAll() {
	for i := range f.shape.servers {
		f.restartServer(i, 0)
	}
	f.playSlowStart(0)
}

// burst is an idle fleet in which every node is asked some calls in one moment.
func (f *fleet) burst(calls int) {
	const idle = 16
	back := f.now + idle
	f.demand = func(_ int, t float64) float64 {
		if t < back {
			return 0
		}
		return 1
	}
	f.restartServer(0, 0)
	f.advanceTo(back)
	for range calls {
		for i := range f.nodes {
			f.arrive(i)
		}
	}
	f.playSlowStart(idle)
}
