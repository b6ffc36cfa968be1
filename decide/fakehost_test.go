package decide

import (
	"sort"
)

// offerLoad keeps arrivals coming every gap seconds; each server answers after what took says, or never if negative.
func (f *fakeHost) offerLoad(seconds, gap float64, took func(*Server) float64) (taken, pushed int) {
	end := f.now + seconds
	for f.now < end {
		for _, p := range f.sent {
			if d := took(p.Server); p.inFlight && d >= 0 && f.now-p.sentAt >= d {
				f.finish(p, OK)
			}
		}
		if _, back := f.pushedBack[f.arrive(lookup)]; back {
			pushed++
		} else {
			taken++
		}
		f.advanceTo(f.now + gap)
		for _, p := range f.canceled {
			if p.inFlight {
				f.finish(p, Canceled)
			}
		}
		f.canceled = nil
	}
	return taken, pushed
}

// fakeHost carries nothing: it notes what the balancer does and rings its timers when told to.
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

type fakeTimer struct {
	at      float64
	payload any
}

func (f *fakeHost) Now() float64 { return f.now }

func (f *fakeHost) Send(p *Attempt, timeout float64) { f.sent = append(f.sent, p) }

func (f *fakeHost) Cancel(p *Attempt) { f.canceled = append(f.canceled, p) }

func (f *fakeHost) CloseIdleConnections(s *Server) { f.closedIdle = append(f.closedIdle, s) }

func (f *fakeHost) PushBack(r *RPC, wait float64) { f.pushedBack[r] = wait }

func (f *fakeHost) Abort(r *RPC) { f.aborted[r] = true }

func (f *fakeHost) WatchEndpoints() { f.watches++ }

func (f *fakeHost) StartTimer(delay float64, what any) {
	f.timers = append(f.timers, fakeTimer{f.now + delay, what})
}

// advanceTo moves the clock, ringing what comes due.
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

func (f *fakeHost) arrive(method int) *RPC {
	r := &RPC{Method: method, Deadline: f.now + 6}
	f.balancer.Arrived(r)
	return r
}

func (f *fakeHost) lastSent() *Attempt { return f.sent[len(f.sent)-1] }

// finish ends a pick; an ok or an earlier end closes its RPC, as on the wire.
func (f *fakeHost) finish(p *Attempt, res Result) {
	f.balancer.AttemptDone(p, res, res == OK || !p.RPC.open, f.now-p.sentAt, nil)
}

func readyUpdate(s *Server, zone int) EndpointUpdate {
	return EndpointUpdate{Server: s, Weight: 1, Zone: zone}
}

const (
	lookup = iota // idempotent
	book          // deduplicated by all
	commit        // deduplicated inside a zone
	charge        // non-idempotent
)

// newTestBalancer starts a balancer over n servers, which alternate between two zones.
func newTestBalancer(n int, edit func(*Settings)) (*fakeHost, []*Server) {
	return newSeededBalancer(1, n, edit)
}

func newSeededBalancer(seed int64, n int, edit func(*Settings)) (*fakeHost, []*Server) {
	s := Settings{Instances: 1, MaxAttempts: 5, MayCancel: true, Hedging: true, MaxRetryAfter: 2,
		SlowStartFraction: 0.2, SlowStartDuration: 20, OverloadMultiple: 3, OverloadWindow: 3, Methods: []Method{
			{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10},
			{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10, Idempotency: Deduplicated, DedupWindow: 10},
			{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10, Idempotency: Deduplicated, DedupScope: ScopeZone, DedupWindow: 1},
			{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10, Idempotency: NonIdempotent}}}
	if edit != nil {
		edit(&s)
	}
	h := &fakeHost{now: 100, pushedBack: map[*RPC]float64{}, aborted: map[*RPC]bool{}}
	h.balancer = New(h, s, seed)
	var servers []*Server
	var list []EndpointUpdate
	for i := range n {
		servers = append(servers, &Server{})
		list = append(list, readyUpdate(servers[i], i%2))
	}
	h.balancer.UpdateEndpoints(list, true)
	return h, servers
}

// answerOneByOne answers RPCs one after another in the time that each server takes.
func (f *fakeHost) answerOneByOne(n int, took func(*Server) float64) map[*Server]int {
	got := map[*Server]int{}
	for range n {
		f.arrive(lookup)
		p := f.lastSent()
		got[p.Server]++
		f.advanceTo(f.now + took(p.Server))
		if p.inFlight {
			f.finish(p, OK)
		}
		for _, c := range f.canceled { // a copy of it
			if c.inFlight {
				f.finish(c, Canceled)
			}
		}
		f.canceled = nil
	}
	return got
}

func constantLatency(t float64) func(*Server) float64 { return func(*Server) float64 { return t } }
