package decide

import (
	"container/heap"
	"flag"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A fleet is many balancers in one virtual time, all before the same servers. It counts what reaches the cold ones.
type fleet struct {
	now    float64
	events events
	seq    int
	rng    *rand.Rand
	spec   spec
	nodes  []*fleetNode
	weight []float64 // of the traffic, by node
	calls  func(node int, t float64) float64
	cameUp []float64 // by server; 0: long ago
	got    [][]float64
	fresh  bool // what starts is another server, in place of one that has left
}

// spec is a fleet's shape. Rates are a second, times seconds.
type spec struct {
	nodes, servers int
	capacity       float64 // of one warm server
	load           float64 // what the callers ask of all warm servers
	seed           int64
	latency        float64
}

const (
	fallMultiple = 2.5
	fallFor      = 3.0
	coldFrom     = 0.14
	coldFor      = 24.0
)

type event struct {
	at  float64
	seq int
	do  func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (f *fleet) after(d float64, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + d, f.seq, do})
}

func (f *fleet) until(t float64) {
	for len(f.events) > 0 && f.events[0].at <= t {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = t
}

// fleetNode is one node's host.
type fleetNode struct {
	f       *fleet
	b       *Balancer
	servers []*Server
	told    []float64 // CameUp by server, as this node was told
	gone    bool      // its process has ended
}

func (f *fleetNode) Now() float64                   { return f.f.now }
func (f *fleetNode) CloseIdleConnections(s *Server) {}
func (f *fleetNode) WatchEndpoints()                {}
func (f *fleetNode) Abort(r *RPC)                   {}
func (f *fleetNode) PushBack(r *RPC, _ float64)     {}
func (f *fleetNode) StartTimer(delay float64, what any) {
	f.f.after(delay, func() {
		if !f.gone {
			f.b.TimerFired(what)
		}
	})
}
func (f *fleetNode) Cancel(p *Attempt) { f.f.after(0, func() { f.end(p, Canceled) }) }
func (f *fleetNode) Send(p *Attempt, _ float64) {
	i := p.Server.HostData.(int)
	if f.f.cameUp[i] > 0 && f.told[i] == f.f.cameUp[i] {
		f.f.got[i] = append(f.f.got[i], f.f.now)
	}
	f.f.after(f.f.spec.latency*(0.5+0.5*f.f.rng.ExpFloat64()), func() { f.end(p, OK) })
}

func (f *fleetNode) end(p *Attempt, res Result) {
	if p.HostData != nil || f.gone {
		return
	}
	p.HostData = true
	f.b.AttemptDone(p, res, res == OK || !p.RPC.open, f.f.now-p.sentAt, nil)
}

func (f *fleet) start(seed int64) *fleetNode {
	n := &fleetNode{f: f, told: make([]float64, f.spec.servers)}
	n.b = New(n, Settings{Instances: f.spec.nodes, MaxAttempts: 5, MayCancel: true, Hedging: true, MaxRetryAfter: 2,
		SlowStartFraction: coldFrom, SlowStartDuration: coldFor, OverloadMultiple: fallMultiple, OverloadWindow: fallFor,
		Methods: []Method{{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10}}}, seed)
	for i := range f.spec.servers {
		n.servers = append(n.servers, &Server{HostData: i})
	}
	n.tell(f.cameUp)
	return n
}

func (f *fleetNode) tell(cameUp []float64) {
	var list []EndpointUpdate
	copy(f.told, cameUp)
	for i, s := range f.servers {
		list = append(list, EndpointUpdate{Server: s, Weight: 1, StartedAt: cameUp[i]})
	}
	f.b.UpdateEndpoints(list, true)
}

func newFleet(sp spec) *fleet {
	f := &fleet{now: 100, rng: rand.New(rand.NewSource(sp.seed)), spec: sp,
		cameUp: make([]float64, sp.servers), got: make([][]float64, sp.servers)}
	sum := 0.0
	for i := range sp.nodes {
		f.nodes = append(f.nodes, f.start(sp.seed*1000+int64(i)))
		w := 1.0
		if i%5 == 0 {
			w = 4 // uneven: some get several times the mean
		}
		f.weight = append(f.weight, w)
		sum += w
	}
	for i := range f.weight {
		f.weight[i] /= sum
		f.caller(i)
	}
	return f
}

// caller is a Poisson process, thinned by calls where that is set.
func (f *fleet) caller(i int) {
	const most = 3
	f.after(f.rng.ExpFloat64()/(most*f.weight[i]*f.spec.load*f.spec.capacity*float64(f.spec.servers)), func() {
		part := 1.0
		if f.calls != nil {
			part = f.calls(i, f.now)
		}
		if f.rng.Float64()*most < part {
			f.arrive(i)
		}
		f.caller(i)
	})
}

func (f *fleet) arrive(i int) {
	f.nodes[i].b.Arrived(&RPC{Deadline: f.now + 6})
}

// cold starts a server anew, and tells the nodes within apart seconds.
func (f *fleet) cold(server int, apart float64) {
	f.cameUp[server] = f.now
	if f.fresh {
		for _, n := range f.nodes {
			n.servers[server] = &Server{HostData: server}
		}
	}
	for i := range f.nodes {
		f.after(apart*f.rng.Float64(), func() { f.nodes[i].tell(f.cameUp) })
	}
}

func coldPart(age float64) float64 { return min(1, coldFrom+(1-coldFrom)*age/coldFor) }

// budget is what the settings allow from one age to another.
func (s spec) budget(from, to float64) float64 {
	n, steps := 0.0, 30
	for i := range steps {
		n += coldPart(from + (to-from)*(float64(i)+0.5)/float64(steps))
	}
	return fallMultiple * s.capacity * n / float64(steps) * (to - from)
}

// worst is the window of fallFor within the ramp that lies highest beside its limit.
func (f *fleet) worst(server int) (excess, got, n, at float64, total, all float64) {
	excess = math.Inf(-1)
	var ages []float64
	for _, t := range f.got[server] {
		if a := t - f.cameUp[server]; a <= coldFor {
			ages = append(ages, a)
		}
	}
	j := 0
	for i, a := range ages {
		for ages[j] < a-fallFor {
			j++
		}
		n0 := f.spec.budget(max(0, a-fallFor), max(0, a-fallFor)+fallFor)
		limit := n0 + 2*math.Sqrt(n0) + 2
		if e := float64(i-j+1) - limit; e > excess {
			excess, got, n, at = e, float64(i-j+1), n0, a
		}
	}
	return excess, got, n, at, float64(len(ages)), f.spec.budget(0, coldFor)
}

var long = flag.Bool("long", false, "play the fleets round cold servers in all shapes, on five seeds")

// ramp plays a cold server's whole ramp from now.
func (f *fleet) ramp(less float64) { f.until(f.now + coldFor - less) }

// replaceAll starts all servers anew.
func (f *fleet) replaceAll() {
	for i := range f.spec.servers {
		f.cold(i, 0)
	}
	f.ramp(0)
}

// burst is an idle fleet in which every node is asked some calls in one moment.
func (f *fleet) burst(calls int) {
	const idle = 16
	back := f.now + idle
	f.calls = func(_ int, t float64) float64 {
		if t < back {
			return 0
		}
		return 1
	}
	f.cold(0, 0)
	f.until(back)
	for range calls {
		for i := range f.nodes {
			f.arrive(i)
		}
	}
	f.ramp(idle)
}

// A cold server falls under the sum of all processes: in any window of the time in which servers fall it gets at most N,
// what the settings allow it, and 2 root N + 2 by chance. Each node keeping to its part was not enough: thirty nodes that
// were idle each sent a whole call at once (33 where N was 17), and where all servers were replaced the nodes divided what
// the warm ones had answered by the cold ones' part (43 where N was 15).
func TestColdServersHoldUnderTheSumOfAllNodes(t *testing.T) {
	type shape struct {
		nodes, servers int
		capacity       float64
	}
	// The long form fails with 440 thin nodes of a few neighbours each, on a surge (84 where N is 65) and with all servers
	// cold (29 where N is 16): docs/design.md. The short form plays the first shapes of each scene.
	all := []shape{{30, 20, 3}, {5, 20, 10}, {20, 20, 10}, {440, 60, 10}}
	for _, scene := range []struct {
		name  string
		short int     // of the shapes, from the first, that are played in the short form
		used  float64 // at least, of all that the settings allow over the ramp
		play  func(*fleet)
	}{
		// The callers ask of each server 0.24 of what a cold one is allowed, on a surge 0.48; half of that has to reach it.
		{"steady", 1, 0, func(f *fleet) { f.cold(0, 0); f.ramp(0) }},
		{"told apart", 1, 0, func(f *fleet) { f.cold(0, 6); f.ramp(0) }},
		{"surge", 3, 0.24, func(f *fleet) {
			f.calls = func(int, float64) float64 { return 2 }
			f.cold(0, 0)
			f.ramp(-10)
			late := 0
			for _, at := range f.got[0] {
				if at > f.cameUp[0]+coldFor {
					late++
				}
			}
			assert.Greater(t, float64(late), 0.5*2*f.spec.load*f.spec.capacity*10, "%v: warm, it does as much as others", f.spec)
		}},
		{"three at once", 1, 0, func(f *fleet) {
			for i := range 3 {
				f.cold(i, 0)
			}
			f.ramp(0)
		}},
		{"one call a node at once", 1, 0, func(f *fleet) { f.burst(1) }},
		{"ten calls a node at once", 3, 0, func(f *fleet) { f.burst(10) }},
		{"all back cold", 1, 0.24, (*fleet).replaceAll},
		{"all replaced", 3, 0.24, func(f *fleet) { f.fresh = true; f.replaceAll() }},
		{"six in ten within 7 s", 1, 0, func(f *fleet) {
			for i := range f.spec.servers * 6 / 10 {
				f.after(7*f.rng.Float64(), func() { f.cold(i, 0) })
			}
			f.ramp(0)
		}},
		{"nodes restarted", 1, 0, func(f *fleet) {
			f.cold(0, 0)
			for k := range 12 {
				f.until(f.now + 2)
				for i := k % 4; i < len(f.nodes); i += 4 {
					f.nodes[i].gone = true
					f.nodes[i] = f.start(f.spec.seed*1000 + int64(1000*k+i))
				}
			}
		}},
	} {
		for i, sh := range all {
			if i >= scene.short && !*long {
				break
			}
			seeds := int64(1)
			if *long {
				seeds = 5
			}
			used := 0.0
			for seed := range seeds {
				f := newFleet(spec{nodes: sh.nodes, servers: sh.servers, capacity: sh.capacity, load: 0.6, seed: seed + 1, latency: 0.1})
				f.until(f.now + 20)
				scene.play(f)
				cold, share := 0.0, 0.0
				for i := range f.cameUp {
					if f.cameUp[i] > 0 {
						excess, got, n, at, total, allowed := f.worst(i)
						assert.LessOrEqual(t, excess, 0.0, "%s, %v, seed %d: %g within %g s, N is %.1f, at age %.1f", scene.name, sh, seed, got, fallFor, n, at)
						cold++
						share += total / allowed
					}
				}
				used += share / cold / float64(seeds)
			}
			assert.GreaterOrEqual(t, used, scene.used, "%s, %v: used", scene.name, sh)
			if *long {
				t.Logf("%s, %v: used %.2f of what is allowed", scene.name, sh, used)
			}
		}
	}
}
