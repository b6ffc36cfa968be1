package decide

import (
	"container/heap"
	"math"
	"math/rand"
)

// The slow start of a fleet's servers.
const (
	overloadMultiple  = 2.5
	overloadWindow    = 3.0 // seconds
	slowStartFraction = 0.14
	slowStartDuration = 24.0 // seconds
)

// fleet is many balancers in one virtual time, all before the same servers. It records when the servers in slow start
// are sent attempts.
type fleet struct {
	now           float64
	events        eventQueue
	lastEventID   int
	rng           *rand.Rand
	shape         fleetShape
	nodes         []*fleetNode
	trafficShares []float64                           // by node
	demand        func(node int, now float64) float64 // times the usual traffic; nil: 1
	startedAt     []float64                           // by server; 0: long ago
	received      [][]float64                         // by server; when it was sent attempts by nodes that knew of its start
	newServers    bool                                // what starts is another server, in place of one that has gone
}

// fleetShape is the size of a fleet. Rates are a second, times in seconds.
type fleetShape struct {
	nodes, servers int
	capacity       float64 // of one warm server
	load           float64 // the part of the warm servers' capacity that clients ask for
	seed           int64
	latency        float64 // mean
}

// fleetEvent is something that happens later.
type fleetEvent struct {
	at  float64
	id  int // of two events at the same time the one with the lower id comes first
	run func()
}

// eventQueue is a heap of events.
type eventQueue []fleetEvent

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].id < e[j].id
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(fleetEvent)) }

func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

// newFleet starts a fleet whose servers have all been up for long.
func newFleet(shape fleetShape) *fleet {
	f := &fleet{
		now:       100,
		rng:       rand.New(rand.NewSource(shape.seed)),
		shape:     shape,
		startedAt: make([]float64, shape.servers),
		received:  make([][]float64, shape.servers),
	}
	sum := 0.0
	for i := range shape.nodes {
		f.nodes = append(f.nodes, f.startNode(shape.seed*1000+int64(i)))
		weight := 1.0
		if i%5 == 0 {
			weight = 4 // uneven: some get several times the mean
		}
		f.trafficShares = append(f.trafficShares, weight)
		sum += weight
	}
	for i := range f.trafficShares {
		f.trafficShares[i] /= sum
		f.runClients(i)
	}
	return f
}

// after runs something after a delay in seconds.
func (f *fleet) after(delay float64, run func()) {
	f.lastEventID++
	heap.Push(&f.events, fleetEvent{f.now + delay, f.lastEventID, run})
}

// advanceTo moves the clock and runs the events that are due.
func (f *fleet) advanceTo(t float64) {
	for len(f.events) > 0 && f.events[0].at <= t {
		event := heap.Pop(&f.events).(fleetEvent)
		f.now = event.at
		event.run()
	}
	f.now = t
}

// runClients is a Poisson process of a node's arrivals, thinned by the demand.
func (f *fleet) runClients(node int) {
	const maxDemand = 3
	rate := maxDemand * f.trafficShares[node] * f.shape.load * f.shape.capacity * float64(f.shape.servers)
	f.after(f.rng.ExpFloat64()/rate, func() {
		demand := 1.0
		if f.demand != nil {
			demand = f.demand(node, f.now)
		}
		if f.rng.Float64()*maxDemand < demand {
			f.arrive(node)
		}
		f.runClients(node)
	})
}

// arrive sends a node an RPC.
func (f *fleet) arrive(node int) {
	f.nodes[node].balancer.Arrived(&RPC{Deadline: f.now + testDeadline})
}

// restartServer starts a server anew. The nodes are notified within so many seconds, each at a time of its own.
func (f *fleet) restartServer(server int, notifiedWithin float64) {
	f.startedAt[server] = f.now
	if f.newServers {
		for _, n := range f.nodes {
			n.servers[server] = &Server{HostData: server}
		}
	}
	for i := range f.nodes {
		f.after(notifiedWithin*f.rng.Float64(), func() { f.nodes[i].notify(f.startedAt) })
	}
}

// restartAll starts all servers anew and plays their slow start.
func (f *fleet) restartAll() {
	for i := range f.shape.servers {
		f.restartServer(i, 0)
	}
	f.playSlowStart()
}

// playSlowStart plays the whole slow start of a server that starts now.
func (f *fleet) playSlowStart() { f.advanceTo(f.now + slowStartDuration) }

// playBurst starts a server in an idle fleet in which each node is then sent some RPCs in one moment.
func (f *fleet) playBurst(rpcs int) {
	const idle = 16 // seconds
	end := f.now + slowStartDuration
	busyAt := f.now + idle
	f.demand = func(_ int, now float64) float64 {
		if now < busyAt {
			return 0
		}
		return 1
	}
	f.restartServer(0, 0)
	f.advanceTo(busyAt)
	for range rpcs {
		for i := range f.nodes {
			f.arrive(i)
		}
	}
	f.advanceTo(end)
}

// capacityFraction is what the settings say of a server of an age.
func capacityFraction(age float64) float64 {
	return min(1, slowStartFraction+(1-slowStartFraction)*age/slowStartDuration)
}

// budget is how many attempts the settings allow a server from one age to another.
func (s fleetShape) budget(from, to float64) float64 {
	const steps = 30
	sum := 0.0
	for i := range steps {
		sum += capacityFraction(from + (to-from)*(float64(i)+0.5)/steps)
	}
	return overloadMultiple * s.capacity * sum / steps * (to - from)
}

// slowStartWindow is what a server in slow start was sent in a window that ends at an age.
type slowStartWindow struct {
	age      float64
	received float64
	budget   float64
	excess   float64 // over the budget and what is allowed by chance
}

// receivedInSlowStart is the ages at which a server in slow start was sent attempts.
func (f *fleet) receivedInSlowStart(server int) []float64 {
	var ages []float64
	for _, at := range f.received[server] {
		if age := at - f.startedAt[server]; age <= slowStartDuration {
			ages = append(ages, age)
		}
	}
	return ages
}

// worstWindow is the overload window of a server's slow start with the highest excess.
func (f *fleet) worstWindow(server int) slowStartWindow {
	worst := slowStartWindow{excess: math.Inf(-1)}
	ages := f.receivedInSlowStart(server)
	first := 0
	for i, age := range ages {
		for ages[first] < age-overloadWindow {
			first++
		}
		from := max(0, age-overloadWindow)
		budget := f.shape.budget(from, from+overloadWindow)
		received := float64(i - first + 1)
		excess := received - (budget + 2*math.Sqrt(budget) + 2)
		if excess > worst.excess {
			worst = slowStartWindow{age: age, received: received, budget: budget, excess: excess}
		}
	}
	return worst
}
