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

func (h *fakeHost) Now() float64                     { return h.now }
func (h *fakeHost) Send(p *Attempt, timeout float64) { h.sent = append(h.sent, p) }
func (h *fakeHost) Cancel(p *Attempt)                { h.cancels = append(h.cancels, p) }
func (h *fakeHost) CloseIdleConnections(s *Server)   { h.closed = append(h.closed, s) }
func (h *fakeHost) PushBack(r *RPC, wait float64)    { h.pushed[r] = wait }
func (h *fakeHost) Abort(r *RPC)                     { h.aborted[r] = true }
func (h *fakeHost) WatchEndpoints()                  { h.watches++ }
func (h *fakeHost) StartTimer(delay float64, what any) {
	h.timers = append(h.timers, timer{h.now + delay, what})
}

// until moves the clock, ringing what comes due.
func (h *fakeHost) until(t float64) {
	for {
		sort.SliceStable(h.timers, func(i, j int) bool { return h.timers[i].at < h.timers[j].at })
		if len(h.timers) == 0 || h.timers[0].at > t {
			break
		}
		next := h.timers[0]
		h.timers = h.timers[1:]
		h.now = max(h.now, next.at)
		h.b.TimerFired(next.what)
	}
	h.now = t
}

func (h *fakeHost) arrive(method int) *RPC {
	r := &RPC{Method: method, Deadline: h.now + 6}
	h.b.Arrived(r)
	return r
}

func (h *fakeHost) last() *Attempt { return h.sent[len(h.sent)-1] }

// done ends a pick; an ok or an earlier end closes its RPC, as on the wire.
func (h *fakeHost) done(p *Attempt, res Result) {
	h.b.AttemptDone(p, res, res == OK || !p.RPC.open, h.now-p.sent, nil)
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
func (h *fakeHost) warmUp(n int, took func(*Server) float64) map[*Server]int {
	got := map[*Server]int{}
	for range n {
		h.arrive(lookup)
		p := h.last()
		got[p.Server]++
		h.until(h.now + took(p.Server))
		if p.out {
			h.done(p, OK)
		}
		for _, c := range h.cancels { // a copy of it
			if c.out {
				h.done(c, Canceled)
			}
		}
		h.cancels = nil
	}
	return got
}

func always(t float64) func(*Server) float64 { return func(*Server) float64 { return t } }
