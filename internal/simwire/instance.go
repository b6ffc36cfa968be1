package simwire

import (
	"fmt"
	"math"
	"strconv"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

type server struct {
	addr string
	obj  *decide.Server
}

// request keeps an RPC's wire id until its last pick has ended.
type request struct {
	id    string
	obj   *decide.RPC
	picks []*decide.Attempt
	out   int
	ended bool
}

// instance is one node: it owns a balancer and is its decide.Host.
type instance struct {
	told     bool // news of the list since its last failure
	hub      *Hub
	id       int
	conf     *settings.Instance
	balancer *decide.Balancer
	servers  map[string]*server
	names    map[*decide.Server]string
	rpcs     map[string]*request
	ids      map[*decide.RPC]*request
	picks    map[*decide.Attempt]int
	wakes    map[int]any
	lastWake int
}

var results = map[string]decide.Result{
	"Ok": decide.OK, "Failed": decide.Failed, "QueueFull": decide.Rejected, "TimedOut": decide.TimedOut,
	"ConnectError": decide.ConnectFailed, "ResetByPeer": decide.Reset, "Canceled": decide.Canceled,
	"Ignored": decide.NotSent}

func (in *instance) event(name string, f *fields) error {
	switch name {
	case "TARGETS":
		return in.targets(f)
	case "INCOMING":
		return in.incoming(f)
	case "RESPONSE":
		return in.response(f)
	case "VANISHED":
		id := f.text()
		if err := f.done(); err != nil {
			return err
		}
		if r := in.rpcs[id]; r != nil && !r.ended {
			in.end(r)
			in.balancer.ClientGone(r.obj)
		}
		return nil
	case "RING":
		token := f.integer()
		if err := f.done(); err != nil {
			return err
		}
		what, ok := in.wakes[token]
		if !ok {
			return fmt.Errorf("timer %d was never set", token)
		}
		delete(in.wakes, token)
		in.balancer.TimerFired(what)
		return nil
	case "ESTABLISHED":
		id := f.text()
		f.text()
		n := f.integer()
		f.ms()
		if err := f.done(); err != nil {
			return err
		}
		if r := in.rpcs[id]; r != nil && n >= 0 && n < len(r.picks) {
			in.balancer.ResponseStarted(r.picks[n])
		}
		return nil
	case "CHECK_RESULT":
		how := f.text()
		f.ms()
		s := in.servers[f.text()]
		in.load(f)
		_, known := results[how]
		if !known {
			f.fail("unknown result %q", how)
		}
		if s == nil {
			f.fail("probe result of a server never listed")
		}
		if err := f.done(); err != nil {
			return err
		}
		return nil // no decision asks for probes
	case "MESSAGE":
		f.integer()
		f.text()
		return f.done() // nodes do not talk to each other
	}
	return fmt.Errorf("unknown event %q", name)
}

func (in *instance) targets(f *fields) error {
	kind := f.text()
	f.integer()
	page := f.integer()
	if err := f.done(); err != nil {
		return err
	}
	if kind == "FAILED" {
		in.balancer.EndpointWatchFailed(in.told, 0, math.Inf(1)) // its rules name no time for that
		in.told = false
		return nil
	}
	in.told = true
	if kind != "FULL" && kind != "SAVED" && kind != "INCREMENTAL" {
		return fmt.Errorf("unknown list kind %q", kind)
	}
	rows, ok := in.hub.pages[page]
	if !ok {
		return fmt.Errorf("list %d was never set up", page)
	}
	list := make([]decide.EndpointUpdate, 0, len(rows))
	for _, r := range rows {
		s := in.servers[r.addr]
		if s == nil {
			s = &server{addr: r.addr, obj: &decide.Server{}}
			in.servers[r.addr] = s
			in.names[s.obj] = r.addr
		}
		list = append(list, decide.EndpointUpdate{Server: s.obj, State: r.state, Zone: r.zone, Cell: r.cell,
			Weight: r.weight, StartedAt: r.cameUp})
	}
	in.balancer.UpdateEndpoints(list, kind != "INCREMENTAL")
	return nil
}

func (in *instance) incoming(f *fields) error {
	id := f.text()
	r := &decide.RPC{Deadline: f.ms()}
	marks := f.integer()
	r.Retry = marks&2 != 0
	if hint := f.ms(); marks&1 != 0 {
		r.WorkHint = max(0, hint)
	}
	r.Method = f.integer()
	r.Tenant = f.integer()
	f.integer() // the key: nothing decides by it
	if r.Method < 0 || r.Method >= len(in.conf.Methods) {
		f.fail("class %d is not in the settings", r.Method)
	}
	if r.Tenant < 0 || r.Tenant >= max(1, len(in.conf.Tenants)) {
		f.fail("tenant %d is not in the settings", r.Tenant)
	}
	if in.rpcs[id] != nil {
		f.fail("request %s came twice", id)
	}
	if err := f.done(); err != nil {
		return err
	}
	q := &request{id: id, obj: r}
	in.rpcs[id], in.ids[r] = q, q
	in.balancer.Arrived(r)
	return nil
}

func (in *instance) response(f *fields) error {
	id := f.text()
	n := f.integer()
	how := f.text()
	f.text()
	last := f.integer() != 0
	took := f.ms()
	load := in.load(f)
	result, known := results[how]
	if !known {
		f.fail("unknown result %q", how)
	}
	if err := f.done(); err != nil {
		return err
	}
	r := in.rpcs[id]
	if r == nil {
		return nil
	}
	if n < 0 || n >= len(r.picks) {
		return fmt.Errorf("request %s has no attempt %d", id, n)
	}
	p := r.picks[n]
	if _, out := in.picks[p]; !out {
		return nil
	}
	delete(in.picks, p)
	r.out--
	if last {
		r.ended = true
	}
	in.balancer.AttemptDone(p, result, last, took, load)
	in.drop(r)
	return nil
}

func (in *instance) load(f *fields) *decide.LoadReport {
	s := f.text()
	if s == "-" || s == "" {
		return nil
	}
	l, err := in.conf.ParseLoadReport(s)
	if err != nil {
		f.fail("%w", err)
	}
	return l
}

func (in *instance) end(r *request) {
	r.ended = true
	in.drop(r)
}

// drop forgets an ended RPC once nothing more of it can arrive.
func (in *instance) drop(r *request) {
	if r.ended && r.out == 0 {
		delete(in.rpcs, r.id)
		delete(in.ids, r.obj)
	}
}

// fault stops the adapter: the balancer asked for what the wire would refuse.
func (in *instance) fault(format string, args ...any) {
	if in.hub.fault == nil {
		in.hub.fault = fmt.Errorf("instance %d: %s", in.id, fmt.Sprintf(format, args...))
	}
}

func (in *instance) put(parts ...string) {
	w := in.hub.out
	for i, p := range parts {
		if i == 1 {
			w.WriteByte(' ')
			w.WriteString(strconv.Itoa(in.id))
		}
		if i > 0 {
			w.WriteByte(' ')
		}
		w.WriteString(p)
	}
	if len(parts) == 1 {
		w.WriteByte(' ')
		w.WriteString(strconv.Itoa(in.id))
	}
	w.WriteByte('\n')
}

func ms(seconds float64) string { return strconv.FormatFloat(seconds*1000, 'f', 3, 64) }

// Now is the batch clock.
func (in *instance) Now() float64 { return in.hub.now }

// Send writes a ROUTE.
func (in *instance) Send(p *decide.Attempt, timeout float64) {
	r, addr := in.ids[p.RPC], in.names[p.Server]
	if r == nil || r.ended || addr == "" {
		in.fault("send for an RPC that has ended, or to a server never listed")
		return
	}
	in.picks[p] = len(r.picks)
	r.picks = append(r.picks, p)
	r.out++
	in.put("ROUTE", r.id, addr, ms(timeout))
}

// Cancel writes an UNDO_SEND.
func (in *instance) Cancel(p *decide.Attempt) {
	n, out := in.picks[p]
	if !out || !in.conf.MayCancel {
		in.fault("cancel of a pick that is not out, or where cancels are not allowed")
		return
	}
	in.put("UNDO_SEND", in.ids[p.RPC].id, strconv.Itoa(n))
}

// CloseIdleConnections writes a FREE_LINKS.
func (in *instance) CloseIdleConnections(s *decide.Server) {
	addr := in.names[s]
	if addr == "" {
		in.fault("closing connections to a server never listed")
		return
	}
	in.put("FREE_LINKS", addr)
}

// PushBack writes a DENY.
func (in *instance) PushBack(r *decide.RPC, wait float64) { in.answer("DENY", r, ms(wait)) }

// Abort writes a REPORT_FAILURE.
func (in *instance) Abort(r *decide.RPC) { in.answer("REPORT_FAILURE", r) }

func (in *instance) answer(name string, r *decide.RPC, more ...string) {
	q := in.ids[r]
	if q == nil || q.ended {
		in.fault("%s for an RPC that has ended", name)
		return
	}
	in.put(append([]string{name, q.id}, more...)...)
	in.end(q)
}

// StartTimer writes an AFTER.
func (in *instance) StartTimer(delay float64, what any) {
	in.lastWake++
	in.wakes[in.lastWake] = what
	in.put("AFTER", strconv.Itoa(in.lastWake), ms(max(delay, 0)))
}

// WatchEndpoints writes a WATCH.
func (in *instance) WatchEndpoints() { in.put("WATCH", "1") }
