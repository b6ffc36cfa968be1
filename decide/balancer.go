package decide

import "math/rand"

// Balancer makes the decisions of one instance. Each kind of decision has a type of its own, which holds the state and
// the rules. The methods of a Balancer must not be called concurrently.
type Balancer struct {
	host Host
	rng  *rand.Rand

	// Settings. Methods and tenants are indexed by slot.
	zone            int     // zone of this node
	innerTier       bool    // the nodes of the previous stage send RPCs to this node; clients do not
	nodeShare       float64 // 1 / number of nodes in the tier
	hedging         bool
	mayCancel       bool
	maxRetryAfter   float64 // seconds
	overQuotaWeight float64 // factor on the weight of an RPC that exceeds its tenant's quota
	crossZoneCost   float64 // Settings.CrossZoneCost
	methods         []methodState
	tenants         []tenantQuota

	// RPCs and attempts of this node.
	admission        admission
	openRPCs         int
	attemptsInFlight int
	attemptsSent     decayingValue // decaying count, half-life attemptRateHalfLife
	hedgeBudget      hedgeBudget

	// The endpoint list.
	watch        watchBackoff
	listVersion  int       // number of watch events applied
	servers      []*Server // the servers in the endpoint list, and removed servers with attempts in flight
	readyServers int
	meanWeight   float64 // mean weight of the ready servers

	// Estimates.
	qTable             qTable
	fleetLatencyRatio  latencyRatio // latency ratio of all servers that got attempts
	unknownServerPrior float64      // prior latency ratio of a server without samples; set by each server search
	loadReports        loadReports
	idleConnections    idleConnections
	slowStart          slowStart

	// Selection of servers.
	subset     subset
	candidates []candidate // candidates of the last server search; the next search reuses the slice
}

// New creates the Balancer of an instance. The seed determines all random choices of the Balancer.
func New(host Host, settings Settings, seed int64) *Balancer {
	b := &Balancer{host: host, rng: rand.New(rand.NewSource(seed))}
	b.applySettings(&settings)
	if settings.MustSubscribe {
		delay := b.rng.Float64() * maxFirstWatchDelay(&settings)
		host.StartTimer(delay, watchTimer{})
	}
	return b
}

// TimerFired handles a timer that was started with Host.StartTimer and has fired.
func (b *Balancer) TimerFired(payload any) {
	now := b.host.Now()
	switch p := payload.(type) {
	case watchTimer:
		if b.watch.isCurrent(p) {
			b.host.WatchEndpoints()
		}
	case *RPC:
		b.expire(p, now)
	case *Attempt:
		b.recheck(p, now)
	}
}
