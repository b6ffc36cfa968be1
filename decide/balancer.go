package decide

// The Balancer composes the decisions: this file has its state, how it begins and how it takes settings.

import (
	"math"
	"math/rand"
)

// methodRules are a method's. An RPC keeps those that it came under.
type methodRules struct {
	Method
	relativeWeight float64 // utility as a part of the dearest method's
	maxAttempts    int     // picks an RPC may have, by its utility
}

type serverState struct {
	state                   State
	zone, cell, listVersion int
	weight, startedAt       float64
	entries                 []qEntry
	inFlight                []*Attempt // oldest first
	pace                    pace
	lastAnswerAt            float64
	outlier                 outlierState
	slowStart               slowStartBudget
	load                    serverLoad
	inSubset                bool // a neighbour
	connections             serverConnections
}

type rpcState struct {
	rules                   *methodRules
	clockStart, usefulUntil float64 // after useful an answer earns nothing
	attempts                []*Attempt
	inFlight                int
	firstMayHaveRun         *Attempt // the first pick that may have run
	open, streaming         bool
	admissionShare          float64 // the part of the room, or of the time left, that it may use: the cheaper, the less
	extraWork               float64 // its work over its method's mean, less one
}

type attemptState struct {
	sentAt, expectedLatency float64
	extraLatency            float64 // what it takes longer than its method's mean, by its hint
	lateAfter               float64 // the age from which it is late
	row                     int
	inFlight                bool
	countedLate             bool    // already counted as late
	neverRan                bool    // known not to have run
	connectionIdle          float64 // how long its connection had been idle; 0: it was not, or was new
	opensConnection         bool    // it opens a connection
	withoutReport           bool    // sent without knowing what its server held
}

// Balancer decides for one instance.
type Balancer struct {
	host              Host
	rng               *rand.Rand
	methods           []methodState
	tenants           []tenantQuota
	servers           []*Server
	subset            subset
	qTable            qTable
	listVersion, zone int // lists seen; this node's zone

	innerTier, hedging, mayCancel  bool
	overQuotaWeight, crossZoneCost float64
	maxRetryAfter, nodeShare       float64 // part: this node's of the tier's nodes
	watch                          watchBackoff

	openRPCs, attemptsInFlight, readyServers int // RPCs held; picks out; servers
	admission                                admission
	meanWeight                               float64 // mean over ready servers
	attemptsSent                             decayingValue
	hedgeBudget                              hedgeBudget
	slowStart                                slowStart
	fleetPace                                pace    // of all servers
	unknownServerPace                        float64 // what a server not known is taken for
	loadReports                              loadReports
	idleConnections                          idleConnections
	candidates                               []candidate // of the last search, whose memory the next one uses again
}

// New starts an instance.
func New(h Host, s Settings, seed int64) *Balancer {
	b := &Balancer{host: h, rng: rand.New(rand.NewSource(seed))}
	b.applySettings(s)
	if s.MustSubscribe {
		// All nodes start together and the list is one slow service: each waits a random part of the time.
		wait := min(s.MaxPollInterval/4, 0.1*float64(s.Instances))
		if s.MaxFirstPollDelay > 0 {
			wait = min(wait, s.MaxFirstPollDelay) // else what was told before the start binds first
		}
		h.StartTimer(b.rng.Float64()*wait, watchTimer{})
	}
	return b
}

// applySettings takes the settings over. A method that is empty has left: its slot keeps what its last RPCs need.
func (b *Balancer) applySettings(s Settings) {
	b.innerTier, b.hedging, b.mayCancel = s.Stage > 0, s.Hedging, s.MayCancel
	b.overQuotaWeight, b.crossZoneCost, b.zone = s.OverQuotaWeight, s.CrossZoneCost, s.Zone
	b.nodeShare = 1 / float64(max(1, s.Instances))
	b.maxRetryAfter = s.MaxRetryAfter
	b.slowStart.configure(&s, b.nodeShare)
	top := 0.0
	for _, m := range s.Methods {
		top = max(top, m.PriorityWeight)
	}
	for i, m := range s.Methods {
		k := &methodRules{Method: m, relativeWeight: 1}
		if top > 0 {
			k.relativeWeight = m.PriorityWeight / top
		}
		k.maxAttempts = 1 + int(math.Ceil(float64(s.MaxAttempts-1)*math.Cbrt(k.relativeWeight)))
		if i == len(b.methods) {
			b.methods = append(b.methods, methodState{methodRules: k})
			b.qTable.addMethod()
		} else if m != (Method{}) {
			b.methods[i].methodRules = k
		}
	}
	b.tenants = append(b.tenants, make([]tenantQuota, max(0, len(s.Tenants)-len(b.tenants)))...)
	for i, t := range s.Tenants {
		b.tenants[i].rate = t.Quota * b.nodeShare
	}
	b.qTable.addTenants(max(1, len(b.tenants)))
}

// UpdateSettings takes other settings. What was learnt stays; RPCs that are open keep the rules that they came under.
func (b *Balancer) UpdateSettings(s Settings) {
	b.applySettings(s)
	for _, s := range b.servers {
		s.entries = b.qTable.grow(s.entries)
	}
}

// Method is the rules of a method that RPCs come under now, also of one that has left the settings.
func (b *Balancer) Method(i int) Method { return b.methods[i].Method }

// TimerFired is the end of a timer set with Host.StartTimer.
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
