package decide

import "sort"

// fakeHost carries nothing: it notes what the balancer does and rings its timers when told to.
type fakeHost struct {
	b       *Balancer
	now     float64
	sent    []*Attempt
	pushed  map[*RPC]float64
	aborted map[*RPC]bool
	cancels []*Attempt
	watches int
	closed  []*Server
	timers  []timer
}

type timer struct {
	at   float64
	what any
}

func (f *fakeHost) Now() float64                     { return f.now }
func (f *fakeHost) Send(p *Attempt, timeout float64) { f.sent = append(f.sent, p) }
func (f *fakeHost) Cancel(p *Attempt)                { f.cancels = append(f.cancels, p) }
func (f *fakeHost) CloseIdleConnections(s *Server)   { f.closed = append(f.closed, s) }
func (f *fakeHost) PushBack(r *RPC, wait float64)    { f.pushed[r] = wait }
func (f *fakeHost) Abort(r *RPC)                     { f.aborted[r] = true }
func (f *fakeHost) WatchEndpoints()                  { f.watches++ }
func (f *fakeHost) StartTimer(delay float64, what any) {
	f.timers = append(f.timers, timer{f.now + delay, what})
}

// until moves the clock, ringing what comes due.
func (f *fakeHost) until(t float64) {
	for {
		sort.SliceStable(f.timers, func(i, j int) bool { return f.timers[i].at < f.timers[j].at })
		if len(f.timers) == 0 || f.timers[0].at > t {
			break
		}
		next := f.timers[0]
		f.timers = f.timers[1:]
		f.now = max(f.now, next.at)
		f.b.TimerFired(next.what)
	}
	f.now = t
}

func (f *fakeHost) arrive(method int) *RPC {
	r := &RPC{Method: method, Deadline: f.now + 6}
	f.b.Arrived(r)
	return r
}

func (f *fakeHost) last() *Attempt { return f.sent[len(f.sent)-1] }

// done ends a pick; an ok or an earlier end closes its RPC, as on the wire.
func (f *fakeHost) done(p *Attempt, res Result) {
	f.b.AttemptDone(p, res, res == OK || !p.RPC.open, f.now-p.sentAt, nil)
}

func ready(s *Server, zone int) EndpointUpdate {
	return EndpointUpdate{Server: s, Weight: 1, Zone: zone}
}

const (
	lookup = iota // idempotent
	book          // deduplicated by all
	commit        // deduplicated inside a zone
	charge        // non-idempotent
)

// story starts a balancer over n servers, which alternate between two zones.
func story(n int, edit func(*Settings)) (*fakeHost, []*Server) { return seeded(1, n, edit) }

func seeded(seed int64, n int, edit func(*Settings)) (*fakeHost, []*Server) {
	s := Settings{Instances: 1, MaxAttempts: 5, MayCancel: true, Hedging: true, MaxRetryAfter: 2,
		SlowStartFraction: 0.2, SlowStartDuration: 20, OverloadMultiple: 3, OverloadWindow: 3, Methods: []Method{
			{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10},
			{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10, Idempotency: Deduplicated, DedupWindow: 10},
			{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10, Idempotency: Deduplicated, DedupScope: ScopeZone, DedupWindow: 1},
			{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10, Idempotency: NonIdempotent}}}
	if edit != nil {
		edit(&s)
	}
	h := &fakeHost{now: 100, pushed: map[*RPC]float64{}, aborted: map[*RPC]bool{}}
	h.b = New(h, s, seed)
	var servers []*Server
	var list []EndpointUpdate
	for i := range n {
		servers = append(servers, &Server{})
		list = append(list, ready(servers[i], i%2))
	}
	h.b.UpdateEndpoints(list, true)
	return h, servers
}

// warmUp answers RPCs one after another in the time that each server takes.
func (f *fakeHost) warmUp(n int, took func(*Server) float64) map[*Server]int {
	got := map[*Server]int{}
	for range n {
		f.arrive(lookup)
		p := f.last()
		got[p.Server]++
		f.until(f.now + took(p.Server))
		if p.inFlight {
			f.done(p, OK)
		}
		for _, c := range f.cancels { // a copy of it
			if c.inFlight {
				f.done(c, Canceled)
			}
		}
		f.cancels = nil
	}
	return got
}

func always(t float64) func(*Server) float64 { return func(*Server) float64 { return t } }
