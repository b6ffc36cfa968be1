package decide

// All decisions of a node, and nothing else. Whoever carries RPCs (in the bench internal/simwire, on sockets
// internal/node) makes one Balancer an instance with New and calls one method for each thing that happens.
// The Balancer acts at once through the Host that New was handed; host.go defines that interface and the
// plain types. Nothing here knows a clock, a socket or an id.
// The ordinary path is the Q-router of DESIGN-robincart.md: choose sends to the server with the lowest
// estimated time-to-go, learn moves the entry that was used. The rest guards it; docs/design.md says when.

import (
	"math"
	"math/bits"
	"math/rand"
	"slices"
)

const (
	alpha   = 0.7  // the paper's learning rate
	explore = 0.01 // chance of a random server that is no neighbour
	nearTie = 1.1  // entries within a tenth of the lowest are tied
	levels  = 5    // load levels: 0, 1-2, 3-6, 7-14, 15 and more
	rowLife = 60.0 // an entry idle that long is dropped

	fade       = 8.0  // mean times in which half of what one sample says beyond its row's mean is past
	fadeMost   = 4.0  // seconds that it takes at most: a slow server may be another by then
	paceHalf   = 6.0  // half-life of a server's pace, long enough for a few samples at an inner node
	othersHalf = 20.0 // half-life of the pace of all servers tried, the jammed ones included
	strange    = 1.4  // times that for a server not known: on a par with those known, every node tries it
	paceDoubt  = 2.0  // samples' worth of doubt that holds a pace near 1
	paceCap    = 4.0  // no sample counts as more than this many times its due: one outlier is no verdict
	overdue    = 2.5  // times the expected: a pick out for longer is late, above quiet
	patience   = 1.2  // times the expected: by then a pick has had its chance
	strikeOut  = 3    // failures in a row that eject a server
	ejectMin   = 1.0  // first ejection, in seconds; doubles while trials fail
	ejectMax   = 8.0
	comeBack   = 0.1  // of the latency target: when a client pushed back may ask again
	spare      = 0.02 // second copies as a share of picks: they must not carry a slowdown into overload
	atOnce     = 0.25 // and at once for each server, over all nodes: a quiet node would else have none
	sight      = 128  // neighbours at most
	fewest     = 4    // neighbours at least: one may be ill, and a retry needs another
	breadth    = 2.5  // and as many for each pick that is out on average
	strangers  = 4    // others looked at for a pick
	moving     = 0.1  // of the picks may bring a new neighbour in place of another
	inTime     = 1.2  // times what is left: what is expected to take longer is turned away; times scatter
	anyway     = 0.02 // of those are sent all the same: without picks nothing would be learnt of a recovery
	freshFor   = 2.5  // mean times in which half of a load report is past
	idleHalf   = 10.0 // seconds in which an idle time that was too long is tried twice as long
	idleSafe   = 0.7  // of an idle time that was too long
	margin     = 0.01 // seconds before the deadline by which an answer must be on its way

	// The room for RPCs held at the front. Waits are counted in latency targets.
	goal       = 0.6  // a mean wait above it leaves too many RPCs late, and is where servers begin to jam
	crowded    = 1.4  // times the base wait: more RPCs held would only queue
	quiet      = 0.02 // a wait below it hurts nobody, however many times the lowest it is
	baseHalf   = 60.0 // the base rises, and the usual falls, by half in that time: a day changes in minutes
	roomMost   = 1.1  // times the usual: a burst fills a larger room before the first late answer tells of it
	roomLeast  = 0.5  // of the usual: below that, servers that jammed rest anyway
	countTrust = 0.25 // weight of a count of one: a crowd doubles the RPCs held, chance moves them by their root
	roomUp     = 0.2  // a server's answer makes room for a part of the next: a fifth more a turn
	roomDown   = 0.3  // and shrinks somewhat faster, since a crowd costs more than an idle server
	cheapest   = 0.65 // of the room is open to an RPC of no utility: the rest is kept for dearer ones

	// Half-lives in seconds: the shortest still covers some answers of a small node.
	fewWaits   = 6.0  // fewer waits than that say little; below it older ones stand in
	recentHalf = 0.7  // of waits
	doneHalf   = 5.0  // of times and rates that hardly change
	unitHalf   = 10.0 // of a server's rate: its best must not be chance at a node with an RPC a second
	extraHalf  = 5.0  // of the budget for second copies
	shareHalf  = 3.0  // of a tenant's rate: short enough for a burst, long enough for chance
)

// decaying is a sum that halves every half seconds, brought up to date when read.
type decaying struct{ sum, at float64 }

func (d *decaying) read(now, half float64) float64 {
	if now > d.at {
		d.sum *= math.Exp2((d.at - now) / half)
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(x, now, half float64) { d.sum = d.read(now, half) + x }

// average is a decaying mean, held to a guess by some samples' worth of doubt.
type average struct{ sum, n decaying }

func (a *average) add(x, now, half float64) {
	a.sum.add(x, now, half)
	a.n.add(1, now, half)
}

func (a *average) read(now, half, guess, doubt float64) float64 {
	return (a.sum.read(now, half) + guess*doubt) / max(a.n.read(now, half)+doubt, 1e-9)
}

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

type entry struct {
	q, at  float64
	failed bool
}

type row struct {
	sum float64 // over the entries of servers whose last answer was ok
	n   int
}

type server struct {
	state            State
	zone, cell, seen int
	weight, cameUp   float64
	entries          []entry
	pending          []*Pick // oldest first
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
	picks         []*Pick
	out           int
	ran           *Pick // the first pick that may have run
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

type watchAgain struct{ turn int }

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
	if s.MustWatch {
		// All nodes start together and the list is one slow service: each waits a random part of the time.
		wait := min(s.MustAskIn/4, 0.1*float64(s.Instances))
		if s.AskWithin > 0 {
			wait = min(wait, s.AskWithin) // else what was told before the start binds first
		}
		h.After(b.rng.Float64()*wait, watchAgain{})
	}
	return b
}

// tune takes the settings over. A method that is empty has left: its slot keeps what its last RPCs need.
func (b *Balancer) tune(s Settings) {
	b.inner, b.copies, b.cancels = s.Stage > 0, s.SecondCopies, s.MayCancel
	b.overShare, b.cross, b.zone = s.OverShare, s.CrossZone, s.Zone
	b.coldFrom, b.coldFor, b.fallFor, b.part = s.ColdFrom, s.ColdFor, s.FallFor, 1/float64(max(1, s.Instances))
	b.maxWait, b.coldPush = s.MaxRetryAfter, max(1, s.FallMultiple/2)
	if b.floorRate = s.FallMultiple / s.FallFor * b.part; s.FallFor <= 0 || s.FallMultiple <= 0 {
		b.coldFor, b.floorRate = 0, 0 // nothing pushes a cold server over
	}
	top := 0.0
	for _, m := range s.Methods {
		top = max(top, m.Utility)
	}
	for i, m := range s.Methods {
		k := &rules{Method: m, value: 1}
		if top > 0 {
			k.value = m.Utility / top
		}
		k.picks = 1 + int(math.Ceil(float64(s.MaxPicks-1)*math.Cbrt(k.value)))
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

// Method is the rules of a method that RPCs come under now, also of one that has left the settings.
func (b *Balancer) Method(i int) Method { return b.methods[i].Method }

// Retune takes other settings. What was learnt stays; RPCs that are open keep the rules that they came under.
func (b *Balancer) Retune(s Settings) {
	b.tune(s)
	for _, s := range b.servers {
		s.entries = append(s.entries, make([]entry, len(b.rows)-len(s.entries))...)
	}
}

// Listed takes news of the servers; a full list also tells which have left.
func (b *Balancer) Listed(list []Listing, full bool) {
	now := b.host.Now()
	b.list++
	for _, l := range list {
		s := l.Server
		if s.entries == nil {
			s.entries = make([]entry, len(b.rows))
			b.servers = append(b.servers, s)
			b.restart(s, now)
		} else if l.CameUp > s.cameUp {
			b.restart(s, now)
		}
		s.state, s.zone, s.cell, s.weight, s.cameUp = l.State, l.Zone, l.Cell, max(l.Weight, 0.01), l.CameUp
		s.seen = b.list
	}
	b.near = slices.DeleteFunc(b.near, func(s *Server) bool {
		s.near = s.state == Ready && (!full || s.seen == b.list)
		return !s.near
	})
	b.ready, b.weight = 0, 0
	b.servers = slices.DeleteFunc(b.servers, func(s *Server) bool {
		if full && s.seen != b.list {
			s.state = Gone
		}
		if s.state == Ready {
			b.ready++
			b.weight += s.weight
		}
		// What has left and has nothing out is forgotten, else a day of deploys would fill the memory.
		left := s.state == Gone && len(s.pending) == 0
		if left {
			b.restart(s, now)
			s.entries = nil
		}
		return left
	})
	b.weight /= float64(max(1, b.ready))
	if b.room == 0 {
		b.room, b.base, b.baseAt = 5*b.leastRoom(), goal, b.host.Now()
		b.usual = b.room / roomMost
	}
}

// restart forgets what was learnt of the process that ran before.
func (b *Balancer) restart(s *Server, now float64) {
	for i := range s.entries {
		b.forget(s, i)
	}
	s.cost, s.due, s.strikes, s.ejected, s.backoff, s.othersAt = decaying{}, decaying{}, 0, 0, 0, math.Inf(-1)
	// All nodes hear of the start at once: a random part of a token keeps their first picks apart.
	s.tokens, s.tokensAt = b.rng.Float64(), now
}

// ListFailed asks again, later each time while failures say that the list is overrun. Anew says that this
// one does not: there had been news for a while, or discovery had no call that it could fail. What discovery
// had meanwhile binds in time: no pause is over most. Least keeps a fleet from asking a busy one too soon.
func (b *Balancer) ListFailed(anew bool, least, most float64) {
	if anew {
		b.watchBackoff = 0
	}
	b.watchBackoff = min(max(0.25, b.watchBackoff*2), 4)
	b.watchTurn++
	b.host.After(min(max(1.5*b.watchBackoff, least), most)*(1+2*b.rng.Float64())/3, watchAgain{b.watchTurn})
}

// Arrived takes a new RPC.
func (b *Balancer) Arrived(r *RPC) {
	now := b.host.Now()
	m := &b.methods[r.Method]
	b.open++
	r.open, r.rules = true, m.rules
	b.begin(r, now)
	value := m.value
	if r.Work > 0 {
		m.work.add(r.Work, now, othersHalf)
		r.size = min(max(r.Work/m.work.read(now, othersHalf, r.Work, 1), 0.2), 5) - 1
	}
	if r.Tenant < len(b.tenants) && !b.inner {
		t := &b.tenants[r.Tenant]
		t.asked.add(1, now, shareHalf)
		// A node's part of a small quota is less than one RPC, and clients come by chance: one more and a root.
		due := t.quota * shareHalf / math.Ln2
		if t.quota > 0 && t.asked.sum > 1+due+math.Sqrt(due) {
			value *= b.overShare
		}
	}
	r.early = cheapest + (1-cheapest)*math.Cbrt(value)
	if !b.admit(r, now) {
		b.giveUp(r)
		return
	}
	if !r.Coming {
		b.host.After(r.useful-now, r)
	}
	b.pickOr(r, now)
}

// begin starts an RPC's time.
func (b *Balancer) begin(r *RPC, now float64) {
	r.came, r.useful = now, now+r.rules.LatencyTarget
	if r.rules.LateUtility > 0 {
		r.useful = r.Deadline
	}
	r.useful = min(r.useful, r.Deadline-margin)
}

// Came is the end of a body that came while its pick was out: only now can its server begin.
func (b *Balancer) Came(r *RPC) {
	now := b.host.Now()
	r.Coming = false
	b.begin(r, now)
	b.host.After(r.useful-now, r)
	for _, p := range r.picks {
		if p.out {
			p.sent = now
			b.host.After(b.lateAfter(p, now), p)
		}
	}
}

// admit takes an RPC only if there is room; the less it is worth, the earlier it gives way. That keeps crowds
// away of which all are late. Inner nodes take what can be in time: a pushback wastes the work above.
func (b *Balancer) admit(r *RPC, now float64) bool {
	if b.inner || r.useful <= now {
		return r.useful > now
	}
	waited := b.waited(now)
	room := b.room * r.early
	// The room stands in for what is not known of the servers: where they report, the estimates turn RPCs away.
	room /= max(0.05, b.blinds.read(now, doneHalf, 1, 1))
	// Waits far below the goal say that it is not full: what a few RPCs held exceed their usual by is chance.
	room *= math.Sqrt(max(1, goal/waited))
	n := float64(b.open - 1)
	b.held.add(n, now, doneHalf)
	// Chance moves the number held by its root. Of one held that is none or two, and over hundreds of such nodes
	// one more at each is a crowd.
	// A lone one goes unless the last were late: room below one would else refuse all, and nothing would be learnt.
	return n == 0 && waited < goal || n <= room+math.Sqrt(b.held.read(now, doneHalf, 0, 0))-1
}

// waited is what the last RPCs waited, as a part of their latency targets. Where few are recent, older ones
// stand in, and a guess for those: at an RPC a second a guess alone would hide that all are late.
func (b *Balancer) waited(now float64) float64 {
	lack := max(0, fewWaits-b.waits.n.read(now, recentHalf))
	return b.waits.read(now, recentHalf, b.old.read(now, doneHalf, goal/2, 1), lack)
}

// leastRoom keeps this node's part of the servers at work: a slowdown of all is not answered by idling them.
func (b *Balancer) leastRoom() float64 { return 2 * max(1, float64(b.ready)) * b.part }

// ended notes how long an RPC was held that found a server, and moves the room: RPCs are held only as many as
// keep the waits near the goal. A crowd above that would be late to the last one, and tip servers over.
func (b *Balancer) ended(r *RPC, now float64) {
	if len(r.picks) == 0 || r.Coming {
		return
	}
	wait := (now - r.came) / r.rules.LatencyTarget
	b.waits.add(wait, now, recentHalf)
	b.old.add(wait, now, doneHalf)
	w := b.waited(now)
	// The lowest of a few waits is chance, and a base found by chance lies under what any room can keep to.
	long := b.old.read(now, doneHalf, goal/2, 2)
	b.base = max(quiet, min(b.base*math.Exp2((now-b.baseAt)/baseHalf), long))
	b.usual *= math.Exp2((b.baseAt - now) / baseHalf)
	b.baseAt = now
	if long < 1.3*b.base {
		b.usual = max(b.usual, b.held.read(now, doneHalf, 0, 0))
	}
	switch {
	case w > goal:
		b.room *= 1 + max(goal-w, -0.5)/max(float64(b.open), 4)
	case w > crowded*b.base:
		// By Little's law a slowdown of all servers needs no more RPCs held than usual to keep them at work, and
		// no fewer either.
		b.room = max(b.room*(1-roomDown/max(float64(b.open), 4)), min(b.room, b.usual))
	case float64(b.open-1) > 0.6*b.room:
		b.room *= 1 + roomUp/max(float64(b.open), 4)
	}
	most := roomMost*b.usual + 2*math.Sqrt(b.usual)*b.usual/(b.usual+1/countTrust)
	// Where waits are next to nothing, so many more may come as would still wait little.
	b.room = min(b.room, most*max(1, quiet/long))
	b.room = max(b.room, b.leastRoom(), roomLeast*b.usual)
}

// pickOr sends the RPC's next pick or, if there is nowhere to send it, ends it.
func (b *Balancer) pickOr(r *RPC, now float64) {
	if (r.Coming || now < r.useful) && b.mayRepeat(r, now) {
		if s := b.choose(r, now); s != nil {
			b.send(r, s, now)
			return
		}
	}
	if r.out == 0 {
		b.giveUp(r)
	}
}

// mayRepeat guards the rule that no effect happens twice.
func (b *Balancer) mayRepeat(r *RPC, now float64) bool {
	if r.out > 0 && !b.copies || len(r.picks) >= r.rules.picks {
		return false
	}
	m := r.rules
	return r.ran == nil || m.Repeat == Idempotent || m.Repeat == Deduplicated && now < r.ran.sent+m.Window-margin
}

// within tells whether a server drops repeats of what first may have run.
func (m *rules) within(s, first *Server) bool {
	if m.Repeat == Idempotent || m.Scope == ScopeAll {
		return true
	}
	return s.zone == first.zone && (m.Scope == ScopeZone || s.cell == first.cell)
}

// choose is the Q-router: the lowest time-to-go at the present load, near-ties and exploration at random.
func (b *Balancer) choose(r *RPC, now float64) *Server {
	unit, typical := b.unit(now), b.typical(r.Method, now)
	few := paceDoubt * typical
	b.others = strange * max(1, (b.cost.read(now, othersHalf)+few)/(b.due.read(now, othersHalf)+few))
	best, due := math.Inf(1), 0.0
	look := func(s *Server, pass int) {
		if s.state != Ready || r.ran != nil && !r.rules.within(s, r.ran.Server) || !b.warm(s, unit, now) {
			return
		}
		// The second pass takes what is left when all sound servers have been tried: an ejected one is
		// better than none, and where all fail the fault lies elsewhere.
		ill := now < s.ejected || s.strikes >= strikeOut && len(s.pending) > 0
		if pass == 0 && (ill || r.met(s, false)) || r.met(s, true) {
			return
		}
		e, d := b.estimate(r, s, typical, now)
		if e < best {
			best, due = e, d
		}
		b.cands, b.ests = append(b.cands, s), append(b.ests, e)
	}
	b.cands, b.ests = b.cands[:0], b.ests[:0]
	exploring := b.rng.Float64() < explore
	for i := 0; i < len(b.near) && !exploring; i++ {
		look(b.near[i], 0)
	}
	spent := b.moved.read(now, extraHalf) + b.rng.Float64()
	open := exploring || len(b.near) < b.most(now) || spent < moving*b.sent.read(now, extraHalf)
	for i := 0; i < strangers && open && len(b.near) < len(b.servers); i++ {
		if s := b.servers[b.rng.Intn(len(b.servers))]; !s.near {
			look(s, 0)
		}
	}
	for pass := 0; pass < 2 && len(b.cands) == 0; pass++ {
		for _, s := range b.servers {
			look(s, pass)
		}
	}
	if len(b.cands) == 0 {
		return nil
	}
	// What would be late anyway only keeps others waiting.
	if !b.inner && !exploring && due > inTime*(r.useful-now)*r.early && b.rng.Float64() >= anyway {
		return nil
	}
	n := 0
	for i, s := range b.cands {
		if exploring || b.ests[i] <= max(best, best*nearTie) {
			b.cands[n] = s
			n++
		}
	}
	return b.cands[b.rng.Intn(n)]
}

// most is how many neighbours the node's picks need.
func (b *Balancer) most(now float64) int {
	return min(fewest+int(breadth*b.outs.read(now, doneHalf, 0, 0)), sight)
}

// join makes a server a neighbour. The paper's router knows its neighbours only: a node that sends to all
// servers by turns hears too seldom from each. As many are kept as picks need; the worst leaves for the new.
func (b *Balancer) join(r *RPC, s *Server, typical, now float64) {
	b.outs.add(float64(b.out+1), now, doneHalf)
	if s.near || r.out+len(r.picks) > 0 {
		return
	}
	if len(b.near) >= b.most(now) {
		b.moved.add(1, now, extraHalf)
	}
	for len(b.near) >= b.most(now) {
		worst, high := 0, -1.0
		for i, o := range b.near {
			e, _ := b.estimate(r, o, typical, now)
			if now < o.ejected {
				e = math.Inf(1)
			}
			if e > high {
				worst, high = i, e
			}
		}
		b.near[worst].near = false
		for i := range b.near[worst].entries {
			b.forget(b.near[worst], i)
		}
		b.near = slices.Delete(b.near, worst, worst+1)
	}
	s.near = true
	b.near = append(b.near, s)
}

// met tells whether a server has had a pick of the RPC, or has one out.
func (r *RPC) met(s *Server, out bool) bool {
	return slices.ContainsFunc(r.picks, func(p *Pick) bool { return p.Server == s && (p.out || !out) })
}

// estimate is the time-to-go of an RPC at a server.
func (b *Balancer) estimate(r *RPC, s *Server, typical, now float64) (est, due float64) {
	i := b.row(r, s, now)
	mean, own := b.mean(i, typical), b.paceAt(s, typical, now, 1)
	q, known := mean*b.pace(s, typical, now), mean*own
	// One sample counts for seven tenths of an entry, so an old one misleads: it fades towards the mean of
	// the row at the server's own pace, which is also where a new entry starts.
	if e := &s.entries[i]; e.at > 0 {
		if now-e.at > rowLife {
			b.forget(s, i)
		} else {
			weight := math.Exp2((e.at-now)/min(fade*typical, fadeMost)) * (1 - b.fresh(s, typical, now))
			q += (e.q - q) * weight
			if !e.failed {
				known += (e.q - known) * weight // one failure is no reason to turn the next RPC away
			}
		}
	}
	more := typical * (b.theirs(s, typical, now) + r.size*own)
	more = max(more, -0.8*min(q, known))
	q += more
	due = known + more
	q += 2 * typical * float64(len(s.pending)) * b.weight / s.weight
	if !s.linked {
		q += b.setup.read(now, othersHalf, 0, 1)
	}
	// A hung server looks sound until its time-outs land: a late pick counts before it ends.
	if len(s.pending) > 0 {
		if p := s.pending[0]; now-p.sent > p.late && !p.RPC.Coming {
			q += now - p.sent
		}
	}
	if s.zone != b.zone {
		q *= 1 + 4*b.cross
	}
	return q, due
}

// theirs is how many RPCs a server holds for others: as it reported, which soon says no more than the mean.
func (b *Balancer) theirs(s *Server, typical, now float64) float64 {
	mean := b.heldThere.read(now, doneHalf, 0, 0)
	return mean + (s.others-mean)*b.fresh(s, typical, now)
}

// fresh is what a server's last report still says.
func (b *Balancer) fresh(s *Server, typical, now float64) float64 {
	return math.Exp2((s.othersAt - now) / (freshFor * typical))
}

func (b *Balancer) row(r *RPC, s *Server, now float64) int {
	return b.blocks[r.Method][r.Tenant] + min(bits.Len(uint(len(s.pending)+1))-1, levels-1)
}

// mean is where a new entry starts: at the mean of the other servers' matching entries.
func (b *Balancer) mean(i int, typical float64) float64 {
	if w := &b.rows[i]; w.n > 0 { // a few slow answers are no verdict on all servers
		return min(w.sum/float64(w.n), (w.sum+paceDoubt*typical)/(float64(w.n)+paceDoubt))
	}
	return typical
}

func (b *Balancer) typical(method int, now float64) float64 {
	m := &b.methods[method]
	return m.took.read(now, doneHalf, 0.3*m.LatencyTarget, 1)
}

// pace is how long a server takes over what its rows lead to expect, whatever the method or tenant. One not
// known is taken for more than those tried lately, failures included: on a par, each node would try every
// jammed one once, and hundreds of nodes would keep it jammed.
func (b *Balancer) pace(s *Server, typical, now float64) float64 {
	unknown := b.others
	if b.cold(s, now) < 1 {
		unknown = 1 // it cannot have jammed yet, and a deploy leaves no others
	}
	return b.paceAt(s, typical, now, unknown)
}

func (b *Balancer) paceAt(s *Server, typical, now, unknown float64) float64 {
	doubt := paceDoubt * typical
	return (s.cost.read(now, paceHalf) + doubt*unknown) / (s.due.read(now, paceHalf) + doubt)
}

// cold is the part of its capacity that a server is sure to have.
func (b *Balancer) cold(s *Server, now float64) float64 {
	if s.cameUp <= 0 || now >= s.cameUp+b.coldFor || b.coldFor <= 0 {
		return 1
	}
	return b.coldFrom + (1-b.coldFrom)*max(0, now-s.cameUp)/b.coldFor
}

// unit is the rate of one warm server here at its best: by a jam's, cold ones could not take over from it.
func (b *Balancer) unit(now float64) float64 {
	rate := b.done.read(now, unitHalf) * math.Ln2 / unitHalf
	b.best = max(b.best*math.Exp2((b.bestAt-now)/baseHalf), rate)
	b.bestAt = now
	return max(b.best, b.floorRate)
}

// StartRate is the rate of a server in slow start, as far as this node knows: by what one warm server answers it. It changes nothing.
func (b *Balancer) StartRate(s *Server) (rate float64, starting bool) {
	now := b.host.Now()
	part := b.cold(s, now)
	if part >= 1 {
		return 0, false
	}
	best := b.best * math.Exp2((b.bestAt-now)/baseHalf)
	return max(best, b.done.read(now, unitHalf)*math.Ln2/unitHalf, b.floorRate) * part, true
}

// warm guards a cold server: it gets picks no faster than its part of what a warm one answers this node.
// Since every node keeps to its own part, all together keep under the multiple that pushes it over; half of
// the multiple is left for chance, and the other half lets a fleet grow out of being cold all together.
func (b *Balancer) warm(s *Server, unit, now float64) bool {
	part := b.cold(s, now)
	if part >= 1 {
		return true
	}
	rate := b.coldPush * unit * part
	s.tokens += rate * (now - s.tokensAt)
	s.tokensAt = now
	// A token not used lapses, else a fleet that was idle could spend one a node at once. One that waited half the
	// time in which a server falls is past: of nodes due less than one by then only so large a part holds one.
	s.tokens -= max(0, math.Ceil(s.tokens-1-max(rate/4, min(1, rate*b.fallFor/2))))
	return s.tokens >= 1
}

func (b *Balancer) send(r *RPC, s *Server, now float64) {
	i, typical := b.row(r, s, now), b.typical(r.Method, now)
	p := &Pick{RPC: r, Server: s, pick: pick{sent: now, row: i, out: true, due: b.mean(i, typical)}}
	seen := b.fresh(s, typical, now)
	p.blind = seen < 0.5
	b.blinds.add(1-seen, now, doneHalf)
	b.join(r, s, typical, now)
	p.extra = typical * r.size
	// Where answers take a hair's breadth, the node's own hiccups would else pass for hung servers.
	p.late = max(overdue*(p.due+max(p.extra, 0)), quiet*r.rules.LatencyTarget)
	if b.cold(s, now) < 1 {
		s.tokens--
	}
	if r.ran == nil {
		r.ran = p // until its result proves that it did not
	}
	r.picks = append(r.picks, p)
	r.out++
	b.out++
	b.sent.add(1, now, extraHalf)
	s.pending = append(s.pending, p)
	if p.idle = now - s.used; s.used == 0 || len(s.pending) > 1 {
		p.idle = 0
	} else if s.dead || b.idleMost > 0 && p.idle > b.idleMost*math.Exp2((now-b.idleAt)/idleHalf) {
		b.host.CloseIdle(s)
		p.idle, s.dead, s.linked = 0, false, false
	}
	p.opens = !s.linked
	s.used = now
	b.host.Send(p, 0)
	if wait := b.lateAfter(p, now); now+wait < r.useful && !r.Coming {
		b.host.After(wait, p)
	}
}

// lateAfter is when to look at a pick again: when it is late, or when another could just still be in time.
func (b *Balancer) lateAfter(p *Pick, now float64) float64 {
	return max(min(p.late, p.RPC.useful-now-patience*p.due), patience*p.due)
}

// Wake is a timer's ring.
func (b *Balancer) Wake(what any) {
	now := b.host.Now()
	switch w := what.(type) {
	case watchAgain:
		if w.turn == b.watchTurn {
			b.host.Watch()
		}
	case *RPC:
		if w.open && !w.started {
			b.ended(w, now)
			for _, p := range w.picks {
				// The wait is over before the pick is late by its own measure: for its server that is a
				// time-out. Cancelled without a word, a jammed server would be sent the next RPC as before.
				if p.out && !p.charged && now-p.sent > patience*p.due {
					p.charged = true
					b.silence(p, now)
				}
			}
			b.giveUp(w)
		}
	case *Pick:
		if w.out && w.RPC.open && !w.RPC.started {
			b.late(w, now)
		}
	}
}

// late is a pick that should have been answered by now. If the server has answered nothing since, it may
// hang, and its time-outs would come too late: that counts as a failure at once.
func (b *Balancer) late(p *Pick, now float64) {
	s, r := p.Server, p.RPC
	silent := s.heard < p.sent
	b.overtake(p, now)
	// A server that answers others will most likely answer this one, too.
	if !silent || !b.copies {
		return
	}
	// A part of a copy is sent by chance: one always allowed would be hundreds at once over hundreds of nodes.
	most := spare*b.sent.read(now, extraHalf) + min(1, atOnce*float64(b.ready)*b.part)
	if !b.mayRepeat(r, now) || b.extra.read(now, extraHalf)+b.rng.Float64() > most {
		return
	}
	if other := b.choose(r, now); other != nil {
		b.extra.add(1, now, extraHalf)
		b.send(r, other, now)
	}
}

// silence is a fault of a pick's server. Where idle connections are dropped unseen, no word since it was sent
// says nothing of the server: two servers mute after an idle time tell how long is too long.
func (b *Balancer) silence(p *Pick, now float64) {
	s := p.Server
	b.fault(p, now)
	if s.heard >= p.sent || p.idle <= b.idleOK.read(now, idleHalf) {
		return
	}
	s.dead, s.linked = true, false
	if b.mute != nil && b.mute != s && now < b.muteAt+othersHalf {
		b.idleMost = max(idleSafe*p.idle, b.idleOK.sum)
		b.idleAt = now
	}
	b.mute, b.muteAt = s, now
}

// overtake counts a late pick before its end, by its age, or as a failure if its server is silent since.
func (b *Balancer) overtake(p *Pick, now float64) {
	if p.charged || p.RPC.Coming || now-p.sent < p.late*0.99 {
		return
	}
	p.charged = true
	if p.Server.heard < p.sent {
		b.silence(p, now)
		return
	}
	b.pay(p, min(now-p.sent, paceCap*p.due), now)
	b.learn(p, now-p.sent, false, now)
}

// Started is a streamed answer that has begun: the client owns the pick.
func (b *Balancer) Started(p *Pick) {
	p.RPC.started = true
	for _, o := range p.RPC.picks {
		if o != p {
			b.cancel(o)
		}
	}
}

// Done is a pick's result. With last set the RPC has ended, by this or earlier.
func (b *Balancer) Done(p *Pick, res Result, last bool, took float64, load *Load) {
	now := b.host.Now()
	s, r := p.Server, p.RPC
	p.out = false
	r.out--
	b.out--
	s.pending = slices.DeleteFunc(s.pending, func(o *Pick) bool { return o == p })
	if load != nil && load.Held >= 0 {
		s.others, s.othersAt = max(0, load.Held-float64(len(s.pending))-1), now
		if p.blind {
			b.heldThere.add(s.others, now, doneHalf)
		}
	}
	if res.NeverRan() {
		b.unrun(r, p)
	}
	if p.opens && (res == OK || res == ConnectFailed) {
		b.setup.add(max(0, took-p.due), now, othersHalf)
	}
	s.linked = res != ConnectFailed && (s.linked || res == OK)
	switch res {
	case OK:
		b.ok(p, took, now)
	case Canceled:
		// A cancel teaches nothing, unless the pick was late by then: a server that swallows picks, each
		// cancelled when its copy wins, would keep its low entry and draw the next one.
		b.overtake(p, now)
	case Ignored:
	case TimedOut:
		if !p.charged && s.heard < p.sent {
			b.silence(p, now)
		}
	case Full:
		s.heard = now
		b.fault(p, now)
	default:
		b.fault(p, now)
	}
	if last {
		if r.open && res == OK {
			b.ended(r, now)
		}
		b.close(r)
	} else if r.open && r.out == 0 {
		b.pickOr(r, now)
	}
}

// unrun finds the first pick that may have run, now that p is known not to have.
func (b *Balancer) unrun(r *RPC, p *Pick) {
	p.unran, r.ran = true, nil
	if i := slices.IndexFunc(r.picks, func(o *Pick) bool { return !o.unran }); i >= 0 {
		r.ran = r.picks[i]
	}
}

func (b *Balancer) ok(p *Pick, took, now float64) {
	s, m := p.Server, &b.methods[p.RPC.Method]
	s.heard, s.strikes, s.backoff = now, 0, 0
	s.used = now
	b.idleOK.sum = max(b.idleOK.read(now, idleHalf), p.idle)
	took = max(took-p.extra, 0.2*took)
	m.took.add(took, now, doneHalf)
	// Each answer counts by the servers of then: servers just replaced would else seem to have given all of them.
	sum := 0.0
	for _, o := range b.near {
		sum += b.cold(o, now)
	}
	b.done.add(1/max(sum, 1), now, unitHalf)
	b.pay(p, min(took, paceCap*p.due), now)
	b.learn(p, took, false, now)
}

// fault counts a failure against its server and ejects one that only fails. The entries alone would send
// each method and tenant into the same fault once more.
func (b *Balancer) fault(p *Pick, now float64) {
	s := p.Server
	b.pay(p, paceCap*p.due, now)
	b.learn(p, p.RPC.rules.Deadline, true, now)
	if s.strikes++; s.strikes >= strikeOut && now >= s.ejected {
		s.backoff = min(max(ejectMin, 2*s.backoff), ejectMax)
		s.ejected = now + s.backoff
	}
}

func (b *Balancer) pay(p *Pick, cost, now float64) {
	p.Server.cost.add(cost, now, paceHalf)
	p.Server.due.add(p.due, now, paceHalf)
	b.cost.add(cost, now, othersHalf)
	b.due.add(p.due, now, othersHalf)
}

// learn is the Q-router's update of the entry that the pick used.
func (b *Balancer) learn(p *Pick, cost float64, failed bool, now float64) {
	s := p.Server
	e := &s.entries[p.row]
	q := p.due
	if e.at > 0 {
		q = e.q
	}
	b.forget(s, p.row)
	*e = entry{q: (1-alpha)*q + alpha*cost, at: max(now, 1e-9), failed: failed}
	if !failed {
		b.rows[p.row].sum += e.q
		b.rows[p.row].n++
	}
}

// forget takes an entry out of its row's mean.
func (b *Balancer) forget(s *Server, i int) {
	e := &s.entries[i]
	if w := &b.rows[i]; e.at > 0 && !e.failed {
		w.sum -= e.q
		if w.n--; w.n == 0 {
			w.sum = 0
		}
	}
	*e = entry{}
}

// Vanished is a client that has left.
func (b *Balancer) Vanished(r *RPC) { b.close(r) }

// harmless tells whether the RPC's client may ask again for as long as it waits, with no second effect: a deduplicated one that may have
// run only where all servers drop repeats until then.
func (r *RPC) harmless() bool {
	m := r.rules
	switch {
	case r.ran == nil || m.Repeat == Idempotent:
		return true
	case m.Repeat == Deduplicated && m.Scope == ScopeAll:
		return r.Deadline <= r.ran.sent+m.Window
	default:
		return false
	}
}

// giveUp ends an RPC at once: with a pushback where retrying is harmless, else with an abort.
func (b *Balancer) giveUp(r *RPC) {
	if r.harmless() {
		// Soon enough that the next try can still be in time; a later one would take room from RPCs that can.
		wait := comeBack * r.rules.LatencyTarget
		if b.host.Now()-r.came > wait {
			wait = b.maxWait
		}
		b.host.PushBack(r, min(wait, b.maxWait))
	} else {
		b.host.Abort(r)
	}
	b.close(r)
}

func (b *Balancer) close(r *RPC) {
	if r.open {
		r.open = false
		b.open--
	}
	for _, p := range r.picks {
		b.cancel(p)
	}
}

func (b *Balancer) cancel(p *Pick) {
	if p.out && b.cancels {
		b.host.Cancel(p)
	}
}
