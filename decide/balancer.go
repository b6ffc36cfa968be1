package decide

import "math/rand"

// Balancer makes the decisions of one instance. It is composed of one type for each decision, with that decision's
// state and rules. Its methods must not be called concurrently.
type Balancer struct {
	host Host
	rng  *rand.Rand

	// Settings. Methods and tenants are indexed by slot.
	zone            int     // of this node
	innerTier       bool    // nodes of the previous stage send to this node, not clients
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
	servers      []*Server // those listed, and those with attempts in flight
	readyServers int
	meanWeight   float64 // of the ready servers

	// Estimates.
	qTable             qTable
	fleetLatencyRatio  latencyRatio // over all servers that got attempts
	unknownServerPrior float64      // prior for servers without samples, as of the last search
	loadReports        loadReports
	idleConnections    idleConnections
	slowStart          slowStart

	// Selection of servers.
	subset     subset
	candidates []candidate // of the last search; the next search reuses the memory
}

// New creates the Balancer of an instance. The seed determines all its random choices.
func New(host Host, settings Settings, seed int64) *Balancer {
	b := &Balancer{host: host, rng: rand.New(rand.NewSource(seed))}
	b.applySettings(&settings)
	if settings.MustSubscribe {
		delay := b.rng.Float64() * maxFirstWatchDelay(&settings)
		host.StartTimer(delay, watchTimer{})
	}
	return b
}

// TimerFired handles the end of a timer that was set with Host.StartTimer.
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
