package decide

// The life of a request: it arrives, its attempts are sent and end, it ends.

import (
	"math"
	"slices"
)

const (
	margin = 0.01 // seconds before the deadline by which an answer must be on its way
)

// Arrived takes a new RPC.
func (b *Balancer) Arrived(r *RPC) {
	now := b.host.Now()
	m := &b.methods[r.Method]
	b.open++
	r.open, r.rules = true, m.rules
	b.begin(r, now)
	value := m.value
	if r.WorkHint > 0 {
		m.work.add(r.WorkHint, now, othersHalf)
		r.size = min(max(r.WorkHint/m.work.read(now, othersHalf, r.WorkHint, 1), 0.2), 5) - 1
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
	r.early = roomForFree + (1-roomForFree)*math.Cbrt(value)
	if !b.admit(r, now) {
		b.giveUp(r)
		return
	}
	if !r.BodyPending {
		b.host.StartTimer(r.useful-now, r)
	}
	b.pickOr(r, now)
}

// begin starts an RPC's time.
func (b *Balancer) begin(r *RPC, now float64) {
	r.came, r.useful = now, now+r.rules.LatencyObjective
	if r.rules.LateWeight > 0 {
		r.useful = r.Deadline
	}
	r.useful = min(r.useful, r.Deadline-margin)
}

// BodyReceived is the end of a body that came while its pick was out: only now can its server begin.
func (b *Balancer) BodyReceived(r *RPC) {
	now := b.host.Now()
	r.BodyPending = false
	b.begin(r, now)
	b.host.StartTimer(r.useful-now, r)
	for _, p := range r.picks {
		if p.out {
			p.sent = now
			b.host.StartTimer(b.lateAfter(p, now), p)
		}
	}
}

// TimerFired is a timer's ring.
func (b *Balancer) TimerFired(what any) {
	now := b.host.Now()
	switch w := what.(type) {
	case watchAgain:
		if w.turn == b.watchTurn {
			b.host.WatchEndpoints()
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
	case *Attempt:
		if w.out && w.RPC.open && !w.RPC.started {
			b.late(w, now)
		}
	}
}

// Started is a streamed answer that has begun: the client owns the pick.
func (b *Balancer) Started(p *Attempt) {
	p.RPC.started = true
	for _, o := range p.RPC.picks {
		if o != p {
			b.cancel(o)
		}
	}
}

// AttemptDone is a pick's result. With last set the RPC has ended, by this or earlier.
func (b *Balancer) AttemptDone(p *Attempt, res Result, last bool, took float64, load *LoadReport) {
	now := b.host.Now()
	s, r := p.Server, p.RPC
	p.out = false
	r.out--
	b.out--
	s.pending = slices.DeleteFunc(s.pending, func(o *Attempt) bool { return o == p })
	if load != nil && load.InFlight >= 0 {
		s.others, s.othersAt = max(0, load.InFlight-float64(len(s.pending))-1), now
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
	case NotSent:
	case TimedOut:
		if !p.charged && s.heard < p.sent {
			b.silence(p, now)
		}
	case Rejected:
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

func (b *Balancer) ok(p *Attempt, took, now float64) {
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

// ClientGone is a client that has left.
func (b *Balancer) ClientGone(r *RPC) { b.close(r) }

func (b *Balancer) close(r *RPC) {
	if r.open {
		r.open = false
		b.open--
	}
	for _, p := range r.picks {
		b.cancel(p)
	}
}

func (b *Balancer) cancel(p *Attempt) {
	if p.out && b.cancels {
		b.host.Cancel(p)
	}
}

func (b *Balancer) send(r *RPC, s *Server, now float64) {
	i, typical := b.row(r, s, now), b.typical(r.Method, now)
	p := &Attempt{RPC: r, Server: s, pick: pick{sent: now, row: i, out: true, due: b.mean(i, typical)}}
	seen := b.fresh(s, typical, now)
	p.blind = seen < 0.5
	b.blinds.add(1-seen, now, doneHalf)
	b.join(r, s, typical, now)
	p.extra = typical * r.size
	// Where answers take a hair's breadth, the node's own hiccups would else pass for hung servers.
	p.late = max(lateFactor*(p.due+max(p.extra, 0)), negligibleWait*r.rules.LatencyObjective)
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
		b.host.CloseIdleConnections(s)
		p.idle, s.dead, s.linked = 0, false, false
	}
	p.opens = !s.linked
	s.used = now
	b.host.Send(p, 0)
	if wait := b.lateAfter(p, now); now+wait < r.useful && !r.BodyPending {
		b.host.StartTimer(wait, p)
	}
}
