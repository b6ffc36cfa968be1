package decide

import "math/rand"

// Balancer decides for one instance. It composes the decisions: each has its state and its rules in a type of its own.
// Its methods must not be called concurrently.
type Balancer struct {
	host Host
	rng  *rand.Rand

	// Settings, by the slots of methods and tenants.
	zone            int
	innerTier       bool    // other nodes send to this one, not clients
	nodeShare       float64 // this node's part of its tier's nodes
	hedging         bool
	mayCancel       bool
	maxRetryAfter   float64 // seconds
	overQuotaWeight float64 // times its weight, for an RPC beyond its tenant's quota
	crossZoneCost   float64
	methods         []methodState
	tenants         []tenantQuota

	// RPCs and attempts.
	admission        admission
	openRPCs         int
	attemptsInFlight int
	attemptsSent     decayingValue
	hedgeBudget      hedgeBudget

	// The endpoint list.
	watch        watchBackoff
	listVersion  int // counts watch events
	servers      []*Server
	readyServers int
	meanWeight   float64 // of the ready servers

	// What is expected of servers.
	qTable            qTable
	fleetPace         pace    // of all servers tried
	unknownServerPace float64 // as of the last search
	loadReports       loadReports
	idleConnections   idleConnections
	slowStart         slowStart

	// The choice of a server.
	subset     subset
	candidates []candidate // of the last search; the next one uses their memory again
}

// New starts an instance. All its random choices follow from the seed.
func New(host Host, settings Settings, seed int64) *Balancer {
	b := &Balancer{host: host, rng: rand.New(rand.NewSource(seed))}
	b.applySettings(&settings)
	if settings.MustSubscribe {
		delay := b.rng.Float64() * maxFirstWatchDelay(&settings)
		host.StartTimer(delay, watchTimer{})
	}
	return b
}

// TimerFired is the end of a timer that was set with Host.StartTimer.
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
