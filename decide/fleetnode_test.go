package decide

// fleetNode is one node of a fleet. It is the Host of its Balancer.
type fleetNode struct {
	fleet     *fleet
	balancer  *Balancer
	servers   []*Server
	startedAt []float64 // start of each server, from the last snapshot
	ended     bool      // the node's process has ended
}

// startNode starts a node and sends it a snapshot of the servers.
func (f *fleet) startNode(seed int64) *fleetNode {
	n := &fleetNode{fleet: f, startedAt: make([]float64, f.shape.servers)}
	n.balancer = New(n, Settings{
		Methods:   []Method{{LatencyObjective: 2.5, Deadline: testDeadline, PriorityWeight: 10}},
		Instances: f.shape.nodes, MaxAttempts: 5, MayCancel: true, Hedging: true, MaxRetryAfter: 2,
		SlowStartFraction: slowStartFraction, SlowStartDuration: slowStartDuration,
		OverloadMultiple: overloadMultiple, OverloadWindow: overloadWindow,
	}, seed)
	for i := range f.shape.servers {
		n.servers = append(n.servers, &Server{HostData: i})
	}
	n.notify(f.startedAt)
	return n
}

// notify sends the node a snapshot of the servers with the given start times.
func (f *fleetNode) notify(startedAt []float64) {
	var list []EndpointUpdate
	copy(f.startedAt, startedAt)
	for i, s := range f.servers {
		list = append(list, EndpointUpdate{Server: s, Weight: 1, StartedAt: startedAt[i]})
	}
	f.balancer.UpdateEndpoints(list, true)
}

func (f *fleetNode) Now() float64 { return f.fleet.now }

func (f *fleetNode) CloseIdleConnections(*Server) {}

func (f *fleetNode) WatchEndpoints() {}

func (f *fleetNode) Abort(*RPC) {}

func (f *fleetNode) PushBack(*RPC, float64) {}

func (f *fleetNode) StartTimer(delay float64, payload any) {
	f.fleet.after(delay, func() {
		if !f.ended {
			f.balancer.TimerFired(payload)
		}
	})
}

func (f *fleetNode) Cancel(a *Attempt) { f.fleet.after(0, func() { f.finish(a, Canceled) }) }

func (f *fleetNode) Send(a *Attempt, _ float64) {
	server := a.Server.HostData.(int)
	startedAt := f.fleet.startedAt[server]
	if startedAt > 0 && f.startedAt[server] == startedAt {
		f.fleet.received[server] = append(f.fleet.received[server], f.fleet.now)
	}
	latency := f.fleet.shape.latency * (0.5 + 0.5*f.fleet.rng.ExpFloat64())
	f.fleet.after(latency, func() { f.finish(a, OK) })
}

// finish ends an attempt, unless the attempt or the node has already ended.
func (f *fleetNode) finish(a *Attempt, result Result) {
	if a.HostData != nil || f.ended {
		return
	}
	a.HostData = true
	f.balancer.AttemptDone(a, result, result == OK || !a.RPC.open, f.fleet.now-a.sentAt, nil)
}
