package decide

import "sort"

// The methods of a test Balancer. Each method has a latency objective of 2.5 s and a deadline of 6 s.
const (
	lookup = iota // idempotent
	book          // deduplicated by all servers for 10 s
	commit        // deduplicated inside a zone for 1 s
	charge        // non-idempotent
)

// testDeadline is the time from an RPC's arrival to its deadline, in seconds.
const testDeadline = 6

// fakeHost records the Balancer's calls and sends nothing. advanceTo moves its clock and fires its timers.
type fakeHost struct {
	balancer   *Balancer
	now        float64
	sent       []*Attempt
	pushedBack map[*RPC]float64
	aborted    map[*RPC]bool
	canceled   []*Attempt
	watches    int
	closedIdle []*Server
	timers     []fakeTimer
}

// fakeTimer is a timer that has not fired.
type fakeTimer struct {
	at      float64
	payload any
}

func (f *fakeHost) Now() float64 { return f.now }

func (f *fakeHost) Send(a *Attempt, _ float64) { f.sent = append(f.sent, a) }

func (f *fakeHost) Cancel(a *Attempt) { f.canceled = append(f.canceled, a) }

func (f *fakeHost) CloseIdleConnections(s *Server) { f.closedIdle = append(f.closedIdle, s) }

func (f *fakeHost) PushBack(r *RPC, retryAfter float64) { f.pushedBack[r] = retryAfter }

func (f *fakeHost) Abort(r *RPC) { f.aborted[r] = true }

func (f *fakeHost) WatchEndpoints() { f.watches++ }

func (f *fakeHost) StartTimer(delay float64, payload any) {
	f.timers = append(f.timers, fakeTimer{f.now + delay, payload})
}

// advanceTo moves the clock and fires the timers that are due.
func (f *fakeHost) advanceTo(t float64) {
	for {
		sort.SliceStable(f.timers, func(i, j int) bool { return f.timers[i].at < f.timers[j].at })
		if len(f.timers) == 0 || f.timers[0].at > t {
			break
		}
		next := f.timers[0]
		f.timers = f.timers[1:]
		f.now = max(f.now, next.at)
		f.balancer.TimerFired(next.payload)
	}
	f.now = t
}

// arrive passes a new RPC of a method to the Balancer.
func (f *fakeHost) arrive(method int) *RPC {
	r := &RPC{Method: method, Deadline: f.now + testDeadline}
	f.balancer.Arrived(r)
	return r
}

// lastSent returns the attempt that was sent last.
func (f *fakeHost) lastSent() *Attempt { return f.sent[len(f.sent)-1] }

// isPushedBack reports whether an RPC was pushed back.
func (f *fakeHost) isPushedBack(r *RPC) bool {
	_, is := f.pushedBack[r]
	return is
}

// finish ends an attempt with a result. An answer also ends the RPC, as in the real hosts.
func (f *fakeHost) finish(a *Attempt, result Result) {
	f.balancer.AttemptDone(a, result, result == OK || !a.RPC.open, f.now-a.sentAt, nil)
}

// finishCanceled ends the attempts that the Balancer has canceled.
func (f *fakeHost) finishCanceled() {
	for _, a := range f.canceled {
		if a.inFlight {
			f.finish(a, Canceled)
		}
	}
	f.canceled = nil
}

// answerAfter answers each attempt in flight whose age is at least the latency of its server. latency returns a
// server's latency in seconds, or a negative value for a server that never answers.
func (f *fakeHost) answerAfter(latency func(*Server) float64) {
	for _, a := range f.sent {
		if d := latency(a.Server); a.inFlight && d >= 0 && f.now-a.sentAt >= d {
			f.finish(a, OK)
		}
	}
}

// answerOneByOne passes n RPCs to the Balancer, one after another. Each RPC is answered after the latency of its
// server, in seconds. answerOneByOne returns the number of RPCs that each server got.
func (f *fakeHost) answerOneByOne(n int, latency func(*Server) float64) map[*Server]int {
	answered := map[*Server]int{}
	for range n {
		f.arrive(lookup)
		a := f.lastSent()
		answered[a.Server]++
		f.advanceTo(f.now + latency(a.Server))
		if a.inFlight {
			f.finish(a, OK)
		}
		f.finishCanceled() // if a hedged request was sent
	}
	return answered
}

// offerLoad passes an RPC to the Balancer every interval seconds, for the given number of seconds, even while earlier
// RPCs are unanswered. It returns how many RPCs were admitted and how many were pushed back.
func (f *fakeHost) offerLoad(seconds, interval float64, latency func(*Server) float64) (admitted, pushedBack int) {
	end := f.now + seconds
	for f.now < end {
		f.answerAfter(latency)
		if f.isPushedBack(f.arrive(lookup)) {
			pushedBack++
		} else {
			admitted++
		}
		f.advanceTo(f.now + interval)
		f.finishCanceled()
	}
	return admitted, pushedBack
}

// recordAnswer records a server's answer to a lookup RPC of a tenant. expected is the expected latency and took the
// actual latency, both in seconds.
func (f *fakeHost) recordAnswer(s *Server, tenant int, expected, took float64) {
	b := f.balancer
	r := &RPC{}
	r.rules = b.methods[lookup].methodRules
	state := attemptState{sentAt: f.now - took, expectedLatency: expected, row: b.qTable.row(lookup, tenant, 0)}
	b.recordSuccess(&Attempt{RPC: r, Server: s, attemptState: state}, took, f.now)
}

// constantLatency returns a latency function with the same value for all servers.
func constantLatency(seconds float64) func(*Server) float64 {
	return func(*Server) float64 { return seconds }
}

// readyUpdate returns the entry of a ready server in a watch event.
func readyUpdate(s *Server, zone int) EndpointUpdate {
	return EndpointUpdate{Server: s, Weight: 1, Zone: zone}
}

// newTestBalancer creates a Balancer with n servers, which are assigned alternately to two zones. edit may change the
// settings; nil: no changes.
func newTestBalancer(n int, edit func(*Settings)) (*fakeHost, []*Server) {
	return newSeededBalancer(1, n, edit)
}

// newSeededBalancer does the same as newTestBalancer, with the given seed.
func newSeededBalancer(seed int64, n int, edit func(*Settings)) (*fakeHost, []*Server) {
	settings := testSettings()
	if edit != nil {
		edit(&settings)
	}
	h := &fakeHost{now: 100, pushedBack: map[*RPC]float64{}, aborted: map[*RPC]bool{}}
	h.balancer = New(h, settings, seed)
	var servers []*Server
	var list []EndpointUpdate
	for i := range n {
		servers = append(servers, &Server{})
		list = append(list, readyUpdate(servers[i], i%2))
	}
	h.balancer.UpdateEndpoints(list, true)
	return h, servers
}

// testSettings returns the settings of a test Balancer.
func testSettings() Settings {
	method := Method{LatencyObjective: 2.5, Deadline: testDeadline, PriorityWeight: 10}
	methods := []Method{lookup: method, book: method, commit: method, charge: method}
	methods[book].Idempotency, methods[book].DedupWindow = Deduplicated, 10
	methods[commit].Idempotency, methods[commit].DedupWindow = Deduplicated, 1
	methods[commit].DedupScope = ScopeZone
	methods[charge].Idempotency = NonIdempotent
	return Settings{
		Methods: methods, Instances: 1, MaxAttempts: 5, MayCancel: true, Hedging: true, MaxRetryAfter: 2,
		SlowStartFraction: 0.2, SlowStartDuration: 20, OverloadMultiple: 3, OverloadWindow: 3,
	}
}
