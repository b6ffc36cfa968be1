package decide

import (
	"container/heap"
	"math"
	"math/rand"
)

// The slow-start settings of a fleet's servers.
const (
	overloadMultiple  = 2.5  // a server is overloaded above this multiple of its current capacity
	overloadWindow    = 3.0  // seconds over which the overload is measured
	slowStartFraction = 0.14 // fraction of the full capacity
	slowStartDuration = 24.0 // seconds from the start to the full capacity
)

// fleet simulates many Balancers that send to the same servers, in virtual time. It records when attempts are sent to
// servers in slow start.
type fleet struct {
	now           float64
	events        eventQueue
	lastEventID   int
	rng           *rand.Rand
	shape         fleetShape
	nodes         []*fleetNode
	trafficShares []float64                           // fractions of the fleet's traffic, by node
	demand        func(node int, now float64) float64 // as a multiple of the usual traffic; nil: always 1
	startedAt     []float64                           // last start of each server; 0: long ago
	received      [][]float64                         // by server: times of attempts from nodes that know of its start
	newServers    bool                                // restartServer replaces the server by a new one
}

// fleetShape is the size and the load of a fleet. Rates are per second, times in seconds.
type fleetShape struct {
	nodes, servers int
	capacity       float64 // capacity of one warm server, in attempts per second
	load           float64 // clients' requests as a fraction of the warm servers' capacity
	seed           int64
	latency        float64 // mean latency of an attempt
}

// fleetEvent is a scheduled function.
type fleetEvent struct {
	at  float64
	id  int // events at the same time run in the order of their ids
	run func()
}

// eventQueue is a heap of events, ordered by time.
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

// newFleet starts a fleet whose servers all started long ago.
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
			weight = 4 // uneven traffic: some nodes get several times the mean
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

// after schedules a function after a delay in seconds.
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

// runClients schedules a node's arrivals: a Poisson process at the highest demand, thinned to the current demand.
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

// arrive passes a new RPC to a node.
func (f *fleet) arrive(node int) {
	f.nodes[node].balancer.Arrived(&RPC{Deadline: f.now + testDeadline})
}

// restartServer restarts a server. Each node is notified at a random time in the next notifiedWithin seconds.
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

// restartAll restarts all servers and runs the fleet until the end of their slow start.
func (f *fleet) restartAll() {
	for i := range f.shape.servers {
		f.restartServer(i, 0)
	}
	f.runSlowStart()
}

// runSlowStart runs the fleet for slowStartDuration, in which a server that starts now completes its slow start.
func (f *fleet) runSlowStart() { f.advanceTo(f.now + slowStartDuration) }

// runBurst restarts a server in an idle fleet. After a pause each node gets the given number of RPCs at the same time.
func (f *fleet) runBurst(rpcs int) {
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

// capacityFraction returns the fraction of its capacity that a server of the given age in seconds has, according to the
// settings.
func capacityFraction(age float64) float64 {
	return min(1, slowStartFraction+(1-slowStartFraction)*age/slowStartDuration)
}

// budget returns the number of attempts that the settings allow a server between two ages, from and to, in seconds:
//
//	overloadMultiple * capacity * mean capacity fraction * (to - from)
func (s fleetShape) budget(from, to float64) float64 {
	const steps = 30
	sum := 0.0
	for i := range steps {
		sum += capacityFraction(from + (to-from)*(float64(i)+0.5)/steps)
	}
	return overloadMultiple * s.capacity * sum / steps * (to - from)
}

// slowStartWindow holds the number of attempts that a server in slow start received in a window of overloadWindow
// seconds.
type slowStartWindow struct {
	age      float64 // seconds; age of the server at the end of the window
	received float64 // attempts that the server received
	budget   float64 // attempts that the settings allow
	excess   float64 // attempts above the budget and the allowance for random variation
}

// receivedInSlowStart returns the server's age in seconds at each attempt that the server received in slow start.
func (f *fleet) receivedInSlowStart(server int) []float64 {
	var ages []float64
	for _, at := range f.received[server] {
		if age := at - f.startedAt[server]; age <= slowStartDuration {
			ages = append(ages, age)
		}
	}
	return ages
}

// worstWindow returns the window of overloadWindow seconds with the highest excess in a server's slow start.
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
