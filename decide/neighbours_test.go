package decide

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// On portail-rimouski a node met 43 servers in 10 s with 90 picks: what it heard of each was old when it was used.
func TestAQuietNodeKeepsToAFewNeighbours(t *testing.T) {
	h, s := story(200, func(s *Settings) { s.Instances = 100 })
	got := h.warmUp(400, func(x *Server) float64 { return 0.05 + 0.1*h.b.rng.Float64() })
	few := 0
	for _, n := range got {
		if n >= 10 {
			few += n
		}
	}
	assert.Greater(t, few, 300, "most picks go to servers met often: %d met", len(got))
	assert.LessOrEqual(t, len(h.b.subset.members), 8)
	// An ejected one leaves first, however low its estimate. The tidied join had looked at estimates alone.
	ill, r := h.b.subset.members[0], &RPC{}
	ill.outlier.ejectedUntil, r.rules = h.now+5, h.b.methods[lookup].methodRules
	for range 6 {
		h.b.addToSubset(r, s[slices.IndexFunc(s, func(x *Server) bool { return !x.inSubset })], 0.1, h.now)
	}
	assert.False(t, ill.inSubset)
	// What drains makes room at once.
	first := h.b.subset.members[0]
	h.b.UpdateEndpoints([]EndpointUpdate{{Server: first, State: Draining, Weight: 1}}, false)
	assert.NotContains(t, h.b.subset.members, first)
	assert.Contains(t, s, h.b.subset.members[0])
}

func TestWhatAServerReportsOfOthersCountsWhileItIsFresh(t *testing.T) {
	const seeds = 40
	there := 0
	for seed := range int64(seeds) {
		h, servers := seeded(seed, 2, func(s *Settings) { s.Hedging = false })
		say := func(s *Server, held float64) {
			r := &RPC{Method: lookup, Deadline: h.now + 6}
			r.open, r.rules = true, h.b.methods[lookup].methodRules
			h.b.openRPCs++
			r.startClock(h.now)
			h.b.send(r, s, h.now)
			h.until(h.now + 0.1)
			h.b.AttemptDone(r.attempts[0], OK, true, 0.1, &LoadReport{InFlight: held})
		}
		h.warmUp(40, always(0.1))
		for range 3 {
			say(servers[0], 1)
			say(servers[1], 1)
		}
		busy := servers[1]
		say(busy, 6)
		typical := h.b.methods[lookup].typicalLatency(h.now)
		assert.InDelta(t, 5, h.b.loadReports.othersInFlight(&busy.load, typical, h.now), 0.01, "itself not counted")
		r := h.arrive(lookup)
		if h.last().Server == busy {
			there++
		}
		h.done(r.attempts[0], OK)
		h.until(h.now + 5)
		assert.InDelta(t, h.b.loadReports.othersInFlight(&h.last().Server.load, typical, h.now), h.b.loadReports.othersInFlight(&busy.load, typical, h.now), 0.01, "an old report says nothing")
	}
	assert.LessOrEqual(t, there, seeds/20, "one in a hundred picks explores")
}

// On big-1 of portail-rimouski servers that could not answer in time were sent all the same, and ran on for nobody.
func TestWhatWouldBeLateIsPushedBackAtOnce(t *testing.T) {
	h, s := story(2, func(s *Settings) { s.MayCancel = false })
	h.warmUp(60, always(0.5))
	for range 20 { // both jam: answers take four times the target
		for _, x := range s {
			p := &Attempt{RPC: &RPC{}, Server: x, attemptState: attemptState{sentAt: h.now - 10, expectedLatency: 10, row: h.b.qTable.firstRows[lookup][0]}}
			p.RPC.rules = h.b.methods[lookup].methodRules
			h.b.recordSuccess(p, 10, h.now)
		}
	}
	pushed := 0
	for range 50 {
		before := len(h.sent)
		r := h.arrive(lookup)
		if _, back := h.pushed[r]; back {
			assert.Len(t, h.sent, before, "nothing was sent")
			assert.InDelta(t, 0.25, h.pushed[r], 1e-9, "and the client is told when to come back")
			pushed++
		}
	}
	assert.Greater(t, pushed, 40)
	assert.Less(t, pushed, 51)
}

// One failure is an entry of a whole deadline: with a single server it had turned away all that came next.
func TestOneFailureTurnsNobodyAway(t *testing.T) {
	h, _ := story(1, nil)
	h.warmUp(20, always(0.1))
	h.arrive(charge)
	h.done(h.last(), Failed)
	r := h.arrive(charge)
	assert.NotContains(t, h.pushed, r)
}

// Nodes that each see little have rows of one or two samples. One slow answer there had told each of them that no server could answer
// in time: on a calm day 60 nodes turned away 80 to 140 of 7,100 RPCs, all for that.
func TestOneSlowAnswerInARowOfItsOwnTurnsNobodyAway(t *testing.T) {
	for seed := range int64(50) {
		h, s := seeded(seed, 4, func(s *Settings) { s.Tenants = []Tenant{{Quota: 1000}, {Quota: 1000}} })
		h.warmUp(200, always(0.1)) // of the first tenant
		p := &Attempt{RPC: &RPC{}, Server: s[0], attemptState: attemptState{sentAt: h.now - 5, expectedLatency: 0.1, row: h.b.qTable.firstRows[lookup][1]}}
		p.RPC.rules = h.b.methods[lookup].methodRules
		h.b.recordSuccess(p, 5, h.now)
		r := &RPC{Method: lookup, Tenant: 1, Deadline: h.now + 6}
		h.b.Arrived(r)
		assert.NotContains(t, h.pushed, r)
	}
}

// On parkvej-dk a connection idle for a second swallowed half of the picks while idle ones were dropped unseen.
func TestIdleConnectionsFoundMuteAreClosedBeforeTheyAreUsed(t *testing.T) {
	h, _ := story(4, func(s *Settings) { s.Hedging = false })
	h.warmUp(200, always(0.05)) // never idle for long
	assert.Empty(t, h.closed)
	mute := map[*Server]bool{}
	for range 8 { // what comes after a pause gets no answer, wherever it goes
		h.until(h.now + 3)
		h.arrive(lookup)
		p := h.last()
		if n := len(h.closed); n > 0 && h.closed[n-1] == p.Server {
			h.until(h.now + 0.05)
			h.done(p, OK) // on a new connection
			continue
		}
		mute[p.Server] = true
		h.until(h.now + 2.6)
		if p.inFlight {
			h.done(p, Canceled)
		}
	}
	assert.LessOrEqual(t, len(mute), 4, "two tell how long is too long; a server is asked after that on a new connection")
	assert.NotEmpty(t, h.closed)
	n := len(h.closed)
	h.warmUp(100, always(0.05))
	assert.LessOrEqual(t, len(h.closed)-n, 4, "connections in use are left alone")
}

// After a release on portail-rimouski successors had a tenth of what they could do: a node's part was taken of all servers,
// though each node sends to its neighbours only.
func TestAColdNeighboursPartIsOfWhatTheNeighboursAnswer(t *testing.T) {
	h, _ := story(200, func(s *Settings) { s.Instances = 100 })
	h.warmUp(400, always(0.1)) // ten a second
	assert.Greater(t, h.b.slowStart.warmServerRate(h.now), 10.0/float64(2*len(h.b.subset.members)))
	assert.Less(t, h.b.slowStart.warmServerRate(h.now), 10.0)
}

// A half-life stretched to a node's round of all servers outlived its use when a node began to send to a few of them.
func TestWhatWasLearntFadesAlikeBesideFewServersAndMany(t *testing.T) {
	for _, n := range []int{8, 200} {
		h, _ := story(n, func(s *Settings) { s.Instances = 100 })
		h.warmUp(100, always(0.1))
		s, r, typical := h.b.subset.members[0], &RPC{}, h.b.methods[lookup].typicalLatency(h.now)
		above := func() float64 {
			q, _ := h.b.estimate(r, s, typical, h.now)
			return q - h.b.qTable.mean(h.b.qTable.row(r.Method, r.Tenant, len(s.inFlight)), typical)*h.b.rankingPace(s, typical, h.now)
		}
		h.b.learn(&Attempt{RPC: r, Server: s, attemptState: attemptState{row: h.b.qTable.row(r.Method, r.Tenant, len(s.inFlight)), expectedLatency: 0.1}}, 1.5, false, h.now)
		first := above()
		h.until(h.now + entryHalfLife*typical)
		assert.InDelta(t, first/2, above(), first/50, "%d servers", n)
	}
}

func TestAHeavyRPCIsNoSignOfASlowServer(t *testing.T) {
	h, _ := story(2, nil)
	ask := func(work, took float64) {
		r := &RPC{WorkHint: work, Deadline: h.now + 6}
		h.b.Arrived(r)
		h.until(h.now + took)
		h.done(h.last(), OK)
	}
	for range 60 {
		ask(1, 0.1)
	}
	calm := h.b.methods[lookup].typicalLatency(h.now)
	for range 5 {
		ask(5, 0.4) // five times the work, about as much longer
	}
	assert.Less(t, h.b.methods[lookup].typicalLatency(h.now), 1.5*calm)
	r := &RPC{WorkHint: 1e9, Deadline: h.now + 6}
	h.b.Arrived(r)
	assert.False(t, r.extraWork > 5, "a hint is rough: no more than five times the mean is believed")
}
