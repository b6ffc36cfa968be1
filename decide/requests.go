package decide

// The life of a request: it arrives, its attempts are sent and end, it ends.

import (
	"slices"
)

const (
	deadlineMargin = 0.01 // seconds before the deadline by which an answer must be on its way
)

// Arrived takes a new RPC.
func (b *Balancer) Arrived(r *RPC) {
	now := b.host.Now()
	m := &b.methods[r.Method]
	b.openRPCs++
	r.open, r.rules = true, m.methodRules
	b.startClock(r, now)
	value := m.relativeWeight
	r.extraWork = m.extraWork(r.WorkHint, now)
	if r.Tenant < len(b.tenants) && !b.innerTier {
		if b.tenants[r.Tenant].arrive(now) {
			value *= b.overQuotaWeight
		}
	}
	r.admissionShare = admissionShare(value)
	if !b.admit(r, now) {
		b.giveUp(r)
		return
	}
	if !r.BodyPending {
		b.host.StartTimer(r.usefulUntil-now, r)
	}
	b.sendOrGiveUp(r, now)
}

// startClock starts an RPC's time.
func (b *Balancer) startClock(r *RPC, now float64) {
	r.clockStart, r.usefulUntil = now, now+r.rules.LatencyObjective
	if r.rules.LateWeight > 0 {
		r.usefulUntil = r.Deadline
	}
	r.usefulUntil = min(r.usefulUntil, r.Deadline-deadlineMargin)
}

// BodyReceived is the end of a body that came while its pick was out: only now can its server begin.
func (b *Balancer) BodyReceived(r *RPC) {
	now := b.host.Now()
	r.BodyPending = false
	b.startClock(r, now)
	b.host.StartTimer(r.usefulUntil-now, r)
	for _, p := range r.attempts {
		if p.inFlight {
			p.sentAt = now
			b.host.StartTimer(b.recheckDelay(p, now), p)
		}
	}
}

// TimerFired is a timer's ring.
func (b *Balancer) TimerFired(what any) {
	now := b.host.Now()
	switch w := what.(type) {
	case watchTimer:
		if b.watch.isCurrent(w) {
			b.host.WatchEndpoints()
		}
	case *RPC:
		if w.open && !w.streaming {
			b.recordWait(w, now)
			for _, p := range w.attempts {
				// The wait is over before the pick is late by its own measure: for its server that is a
				// time-out. Cancelled without a word, a jammed server would be sent the next RPC as before.
				if p.inFlight && !p.countedLate && now-p.sentAt > fairChance*p.expectedLatency {
					p.countedLate = true
					b.recordSilence(p, now)
				}
			}
			b.giveUp(w)
		}
	case *Attempt:
		if w.inFlight && w.RPC.open && !w.RPC.streaming {
			b.attemptLate(w, now)
		}
	}
}

// ResponseStarted is a streamed answer that has begun: the client owns the pick.
func (b *Balancer) ResponseStarted(p *Attempt) {
	p.RPC.streaming = true
	for _, o := range p.RPC.attempts {
		if o != p {
			b.cancel(o)
		}
	}
}

// AttemptDone is a pick's result. With last set the RPC has ended, by this or earlier.
func (b *Balancer) AttemptDone(p *Attempt, res Result, last bool, took float64, load *LoadReport) {
	now := b.host.Now()
	s, r := p.Server, p.RPC
	p.inFlight = false
	r.inFlight--
	b.attemptsInFlight--
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *Attempt) bool { return o == p })
	if load != nil && load.InFlight >= 0 {
		s.load.update(load.InFlight, len(s.inFlight), now)
		if p.withoutReport {
			b.loadReports.received(&s.load, now)
		}
	}
	if res.NeverRan() {
		b.markNeverRan(r, p)
	}
	if p.opensConnection && (res == OK || res == ConnectFailed) {
		b.idleConnections.opened(took-p.expectedLatency, now)
	}
	s.connections.open = res != ConnectFailed && (s.connections.open || res == OK)
	switch res {
	case OK:
		b.recordSuccess(p, took, now)
	case Canceled:
		// A cancel teaches nothing, unless the pick was late by then: a server that swallows picks, each
		// cancelled when its copy wins, would keep its low entry and draw the next one.
		b.recordLateness(p, now)
	case NotSent:
	case TimedOut:
		if !p.countedLate && s.lastAnswerAt < p.sentAt {
			b.recordSilence(p, now)
		}
	case Rejected:
		s.lastAnswerAt = now
		b.recordFailure(p, now)
	default:
		b.recordFailure(p, now)
	}
	if last {
		if r.open && res == OK {
			b.recordWait(r, now)
		}
		b.close(r)
	} else if r.open && r.inFlight == 0 {
		b.sendOrGiveUp(r, now)
	}
}

// ClientGone is a client that has left.
func (b *Balancer) ClientGone(r *RPC) { b.close(r) }

func (b *Balancer) close(r *RPC) {
	if r.open {
		r.open = false
		b.openRPCs--
	}
	for _, p := range r.attempts {
		b.cancel(p)
	}
}

func (b *Balancer) cancel(p *Attempt) {
	if p.inFlight && b.mayCancel {
		b.host.Cancel(p)
	}
}

func (b *Balancer) send(r *RPC, s *Server, now float64) {
	i, typical := b.qTable.row(r.Method, r.Tenant, len(s.inFlight)), b.methods[r.Method].typicalLatency(now)
	p := &Attempt{RPC: r, Server: s, attemptState: attemptState{sentAt: now, row: i, inFlight: true, expectedLatency: b.qTable.mean(i, typical)}}
	p.withoutReport = b.loadReports.sent(s.load.freshness(typical, now), now)
	b.addToSubset(r, s, typical, now)
	p.extraLatency = typical * r.extraWork
	// Where answers take a hair's breadth, the node's own hiccups would else pass for hung servers.
	p.lateAfter = max(lateLatencyFactor*(p.expectedLatency+max(p.extraLatency, 0)), negligibleWait*r.rules.LatencyObjective)
	b.slowStart.sent(&s.slowStart, s.startedAt, now)
	if r.firstMayHaveRun == nil {
		r.firstMayHaveRun = p // until its result proves that it did not
	}
	r.attempts = append(r.attempts, p)
	r.inFlight++
	b.attemptsInFlight++
	b.attemptsSent.add(1, now, attemptRateHalfLife)
	s.inFlight = append(s.inFlight, p)
	b.prepareConnection(p, now)
	b.host.Send(p, 0)
	if wait := b.recheckDelay(p, now); now+wait < r.usefulUntil && !r.BodyPending {
		b.host.StartTimer(wait, p)
	}
}
