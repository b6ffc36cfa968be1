// Package admission decides, when many connections wake at once, who is served now, who waits with its bytes still in the
// kernel, and who is pushed back. A place stands for a goroutine and a buffer, so the places bound the memory. It knows no
// connection and no clock, and is not safe for concurrent use.
package admission

import "time"

// Config bounds a Gate.
type Config struct {
	MaxServing    int           // served at once
	MaxRejecting  int           // beside them, told at once that the node is full
	MaxSlow       int           // of those served, whose requests come in pieces
	MinSlowTime   time.Duration // a slow one keeps its place for so long at least
	AdmitsPerStep int           // others than regulars let in a Step; 0: no bound
	Step          time.Duration
	MaxWait       time.Duration // who has waited longer is pushed back instead of served: its caller may have given up
}

// Member is one connection. It is embedded in it.
type Member struct {
	Owner any // what it belongs to

	state      state
	since      time.Duration
	next, prev *Member
}

type state uint8

const (
	away    state = iota
	waiting       // among the others
	waitingRegular
	served
	slow // served, and in the list of the slow
	refused
)

// Absent tells that the gate knows nothing of the member.
func (m *Member) Absent() bool { return m.state == away }

// Controller gives places out.
type Controller struct {
	c                       Config
	regulars, others, slows queue
	served, refused, turns  int
	tokens                  float64 // for others than regulars
	filled                  time.Duration
}

type queue struct {
	head Member // of a ring, the oldest first
	n    int
}

func (q *queue) init() { q.head.next, q.head.prev = &q.head, &q.head }

func (q *queue) push(m *Member) {
	m.prev, m.next = q.head.prev, &q.head
	m.prev.next, q.head.prev = m, m
	q.n++
}

func (q *queue) drop(m *Member) {
	m.prev.next, m.next.prev = m.next, m.prev
	m.next, m.prev = nil, nil
	q.n--
}

func (q *queue) first() *Member {
	if q.n == 0 {
		return nil
	}
	return q.head.next
}

// New makes a gate with all places free.
func New(c Config) *Controller {
	g := &Controller{c: c}
	g.regulars.init()
	g.others.init()
	g.slows.init()
	return g
}

// Verdict is what becomes of a member.
type Verdict uint8

const (
	Wait   Verdict = iota
	Serve          // now; Done gives its place back
	Reject         // now, with a pushback and nothing else; Done gives its place back
)

// Arrive asks for a place for a member whose connection has something to read. A regular has been served of late.
func (c *Controller) Arrive(m *Member, regular bool, now time.Duration) Verdict {
	m.since = now
	if c.served < c.c.MaxServing && (regular || c.others.n == 0 && c.may(now)) {
		c.take(m, regular, now)
		return Serve
	}
	if regular {
		m.state = waitingRegular
		c.regulars.push(m)
	} else {
		m.state = waiting
		c.others.push(m)
	}
	return Wait
}

// may tells whether another than a regular can be let in now. A wave that is let in all at once stands before the regulars
// in every queue there is, the scheduler's first.
func (c *Controller) may(now time.Duration) bool {
	if c.c.AdmitsPerStep == 0 {
		return true
	}
	most := float64(c.c.AdmitsPerStep)
	c.tokens = min(most, c.tokens+most*float64(now-c.filled)/float64(c.c.Step))
	c.filled = now
	return c.tokens >= 1
}

func (c *Controller) take(m *Member, regular bool, now time.Duration) {
	m.state, m.since = served, now
	c.served++
	if !regular {
		c.tokens--
	}
}

// Next hands out the next member that waits and can have a place now, with what becomes of it; nil if there is none. It is
// asked after each Done until it has none, and every few milliseconds while some wait.
func (c *Controller) Next(now time.Duration) (*Member, Verdict) {
	// Who has waited too long stands first in its queue. Places to be told are apart: with all others taken for seconds,
	// none would else learn of it.
	if c.refused < c.c.MaxRejecting {
		for _, q := range []*queue{&c.others, &c.regulars} {
			if m := q.first(); m != nil && now-m.since > c.c.MaxWait {
				q.drop(m)
				m.state, m.since = refused, now
				c.refused++
				return m, Reject
			}
		}
	}
	if c.served >= c.c.MaxServing {
		return nil, Wait
	}
	// Regulars go first, so that a wave does not stop those at work; but one turn in four is the others', who would else
	// wait for ever behind a steady flow.
	others := c.others.n > 0 && c.may(now)
	q := &c.regulars
	if q.n == 0 || others && c.turns%4 == 3 {
		if q = &c.others; !others {
			return nil, Wait
		}
	}
	m := q.first()
	if now-m.since > c.c.MaxWait { // until there is a place to tell it
		return nil, Wait
	}
	c.turns++
	q.drop(m)
	c.take(m, q == &c.regulars, now)
	return m, Serve
}

// WaitingCount is how many wait.
func (c *Controller) WaitingCount() int { return c.regulars.n + c.others.n }

// ServingCount is how many have a place.
func (c *Controller) ServingCount() int { return c.served }

// SlowCount is how many of those served are slow.
func (c *Controller) SlowCount() int { return c.slows.n }

// MarkSlow tells that a member's request comes in pieces. Where as many as may be are slow already, the one that has been for
// longest has to end, if it has had its time; else the newcomer has to. It returns who has to end, or nil.
func (c *Controller) MarkSlow(m *Member, now time.Duration) *Member {
	if m.state != served {
		return nil
	}
	var out *Member
	if c.slows.n >= c.c.MaxSlow {
		if out = c.slows.first(); out == nil || now-out.since < c.c.MinSlowTime {
			return m
		}
		c.slows.drop(out)
		out.state = served // until its Done
	}
	m.state, m.since = slow, now
	c.slows.push(m)
	return out
}

// MarkComplete tells that a member's request has come.
func (c *Controller) MarkComplete(m *Member) {
	if m.state == slow {
		c.slows.drop(m)
		m.state = served
	}
}

// Leave gives a member's place back, or takes it out of the queue.
func (c *Controller) Leave(m *Member) {
	switch m.state {
	case waiting:
		c.others.drop(m)
	case waitingRegular:
		c.regulars.drop(m)
	case slow:
		c.slows.drop(m)
		c.served--
	case served:
		c.served--
	case refused:
		c.refused--
	}
	m.state = away
}
