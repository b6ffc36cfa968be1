package decide

// The Balancer composes the decisions: this file has its state, how it begins and how it takes settings.

import (
	"math"
	"math/rand"
)

// rules are a method's. An RPC keeps those that it came under.
type rules struct {
	Method
	value float64 // utility as a part of the dearest method's
	picks int     // picks an RPC may have, by its utility
}

type method struct {
	*rules
	took, work average
}

type tenant struct {
	quota float64 // this node's part
	asked decaying
}

type server struct {
	state            State
	zone, cell, seen int
	weight, cameUp   float64
	entries          []entry
	pending          []*Attempt // oldest first
	cost, due        decaying
	heard            float64
	strikes          int
	ejected, backoff float64 // until then; for how long the last time
	tokens, tokensAt float64
	others, othersAt float64 // RPCs that it held for others when it last reported
	near             bool    // a neighbour
	used             float64 // when its connections last carried something
	linked, dead     bool    // a connection to it is open; an idle one has swallowed a pick
}

type rpc struct {
	rules         *rules
	came, useful  float64 // after useful an answer earns nothing
	picks         []*Attempt
	out           int
	ran           *Attempt // the first pick that may have run
	open, started bool
	early         float64 // the part of the room, or of the time left, that it may use: the cheaper, the less
	size          float64 // its work over its method's mean, less one
}

type pick struct {
	sent, due float64
	extra     float64 // what it takes longer than its method's mean, by its hint
	late      float64 // the age from which it is late
	row       int
	out       bool
	charged   bool    // already counted as late
	unran     bool    // known not to have run
	idle      float64 // how long its connection had been idle; 0: it was not, or was new
	opens     bool    // it opens a connection
	blind     bool    // sent without knowing what its server held
}

// Balancer decides for one instance.
type Balancer struct {
	host       Host
	rng        *rand.Rand
	methods    []method
	tenants    []tenant
	servers    []*Server
	near       []*Server // the neighbours
	rows       []row
	blocks     [][]int // where the rows of each method and tenant begin
	list, zone int     // lists seen; this node's zone

	inner, copies, cancels bool
	overShare, cross       float64
	maxWait, part          float64 // part: this node's of the tier's nodes
	coldFrom, coldFor      float64
	fallFor                float64 // the time in which a cold server falls
	coldPush               float64 // times its part that a cold server may be sent
	floorRate              float64 // picks a second to a warm server when nothing is known
	watchBackoff           float64
	watchTurn              int // of the timers that ask again, the last one counts

	open, out, ready int     // RPCs held; picks out; servers
	room             float64 // RPCs to hold at most
	waits, old       average // of RPCs, given up or ok, and the same over a longer time
	held             average // RPCs held when others came
	base, baseAt     float64 // the lowest mean wait of late
	usual            float64 // RPCs held at most while waits were near the base
	weight           float64 // mean over ready servers
	done, sent       decaying
	extra, moved     decaying // second copies; neighbours taken for others
	best, bestAt     float64  // rate of one warm server
	cost, due        decaying // of all servers
	others           float64  // what a server not known is taken for
	outs, blinds     average  // picks out when others were sent; those that did not know what their servers held
	heldThere        average  // RPCs of others that servers reported
	setup            average  // how much longer picks took that opened a connection
	idleMost, idleAt float64  // connections idle for longer are not trusted; 0: all are
	idleOK           decaying // the longest idle times after which a connection still worked
	mute             *Server  // whose idle connection last swallowed a pick, and when
	muteAt           float64
	cands            []*Server
	ests             []float64
}

// New starts an instance.
func New(h Host, s Settings, seed int64) *Balancer {
	b := &Balancer{host: h, rng: rand.New(rand.NewSource(seed))}
	b.tune(s)
	if s.MustSubscribe {
		// All nodes start together and the list is one slow service: each waits a random part of the time.
		wait := min(s.MaxPollInterval/4, 0.1*float64(s.Instances))
		if s.MaxFirstPollDelay > 0 {
			wait = min(wait, s.MaxFirstPollDelay) // else what was told before the start binds first
		}
		h.StartTimer(b.rng.Float64()*wait, watchAgain{})
	}
	return b
}

// tune takes the settings over. A method that is empty has left: its slot keeps what its last RPCs need.
func (b *Balancer) tune(s Settings) {
	b.inner, b.copies, b.cancels = s.Stage > 0, s.Hedging, s.MayCancel
	b.overShare, b.cross, b.zone = s.OverQuotaWeight, s.CrossZoneCost, s.Zone
	b.coldFrom, b.coldFor, b.fallFor, b.part = s.SlowStartFraction, s.SlowStartDuration, s.OverloadWindow, 1/float64(max(1, s.Instances))
	b.maxWait, b.coldPush = s.MaxRetryAfter, max(1, s.OverloadMultiple/2)
	if b.floorRate = s.OverloadMultiple / s.OverloadWindow * b.part; s.OverloadWindow <= 0 || s.OverloadMultiple <= 0 {
		b.coldFor, b.floorRate = 0, 0 // nothing pushes a cold server over
	}
	top := 0.0
	for _, m := range s.Methods {
		top = max(top, m.PriorityWeight)
	}
	for i, m := range s.Methods {
		k := &rules{Method: m, value: 1}
		if top > 0 {
			k.value = m.PriorityWeight / top
		}
		k.picks = 1 + int(math.Ceil(float64(s.MaxAttempts-1)*math.Cbrt(k.value)))
		if i == len(b.methods) {
			b.methods, b.blocks = append(b.methods, method{rules: k}), append(b.blocks, nil)
		} else if m != (Method{}) {
			b.methods[i].rules = k
		}
	}
	b.tenants = append(b.tenants, make([]tenant, max(0, len(s.Tenants)-len(b.tenants)))...)
	for i, t := range s.Tenants {
		b.tenants[i].quota = t.Quota * b.part
	}
	for i := range b.blocks {
		for len(b.blocks[i]) < max(1, len(b.tenants)) {
			b.blocks[i] = append(b.blocks[i], len(b.rows))
			b.rows = append(b.rows, make([]row, levels)...)
		}
	}
}

// UpdateSettings takes other settings. What was learnt stays; RPCs that are open keep the rules that they came under.
func (b *Balancer) UpdateSettings(s Settings) {
	b.tune(s)
	for _, s := range b.servers {
		s.entries = append(s.entries, make([]entry, len(b.rows)-len(s.entries))...)
	}
}

// Method is the rules of a method that RPCs come under now, also of one that has left the settings.
func (b *Balancer) Method(i int) Method { return b.methods[i].Method }
