// Package admission decides, when many connections have something to read at once, which are served now, which wait
// with their bytes still in the kernel, and which are rejected. Whatever is served takes a goroutine and a buffer, so
// the limit of those bounds the memory.
//
// A Controller owns the queues and the counts. It knows neither connections nor a clock: a connection embeds a Member,
// and times are passed in. It is not safe for concurrent use.
package admission

import "time"

// Config bounds a Controller.
type Config struct {
	MaxServing    int           // served at once
	MaxRejecting  int           // beside these, those that are being rejected
	MaxSlow       int           // of those served, whose requests arrive in pieces
	MinSlowTime   time.Duration // for which a slow one is not evicted
	AdmitsPerStep int           // of members that are not regular, in a Step; 0: no limit
	Step          time.Duration
	MaxWait       time.Duration // after which a member is rejected instead of served: its client may have given up
}

// A regular member has been served lately. Regular members go before others, so that a wave of new connections does
// not stop those at work; but one in othersTurn turns goes to the others, which would else wait for ever behind a
// steady flow.
const othersTurn = 4

// Verdict is what becomes of a member.
type Verdict uint8

// The verdicts.
const (
	Wait   Verdict = iota
	Serve          // now; Leave gives its capacity back
	Reject         // now, and nothing else; Leave gives its capacity back
)

// Controller gives out capacity.
type Controller struct {
	config    Config
	regulars  queue // waiting
	others    queue // waiting
	slow      queue // served
	serving   int
	rejecting int
	turns     int // in which a waiting member was served

	// The token bucket of members that are not regular.
	tokens     float64
	refilledAt time.Duration
}

// New returns a controller with all of its capacity free.
func New(config Config) *Controller {
	c := &Controller{config: config}
	c.regulars.init()
	c.others.init()
	c.slow.init()
	return c
}

// Arrive asks for capacity for a member whose connection has something to read.
func (c *Controller) Arrive(m *Member, regular bool, now time.Duration) Verdict {
	m.since = now
	if c.serving < c.config.MaxServing && (regular || c.others.count == 0 && c.hasToken(now)) {
		c.serve(m, regular, now)
		return Serve
	}
	if regular {
		m.state = stateWaitingRegular
		c.regulars.push(m)
	} else {
		m.state = stateWaiting
		c.others.push(m)
	}
	return Wait
}

// hasToken reports whether a member that is not regular may be served now. A wave that is admitted all at once would
// be before the regular members in every queue there is, the scheduler's first.
func (c *Controller) hasToken(now time.Duration) bool {
	if c.config.AdmitsPerStep == 0 {
		return true
	}
	limit := float64(c.config.AdmitsPerStep)
	steps := float64(now-c.refilledAt) / float64(c.config.Step)
	c.tokens = min(limit, c.tokens+limit*steps)
	c.refilledAt = now
	return c.tokens >= 1
}

func (c *Controller) serve(m *Member, regular bool, now time.Duration) {
	m.state = stateServed
	m.since = now
	c.serving++
	if !regular {
		c.tokens--
	}
}

// Next returns the next waiting member for which there is capacity now, and its verdict; nil if there is none. It is
// called after each Leave until there is none, and every few milliseconds while some wait.
func (c *Controller) Next(now time.Duration) (*Member, Verdict) {
	if m := c.nextRejected(now); m != nil {
		return m, Reject
	}
	if c.serving >= c.config.MaxServing {
		return nil, Wait
	}
	waiting := c.nextQueue(now)
	if waiting == nil {
		return nil, Wait
	}
	m := waiting.first()
	if c.waitedTooLong(m, now) { // until there is capacity to reject it
		return nil, Wait
	}
	c.turns++
	waiting.remove(m)
	c.serve(m, waiting == &c.regulars, now)
	return m, Serve
}

// nextRejected takes the next member that has waited too long, which is the first of its queue. The capacity to reject
// is separate: with all other capacity in use for seconds nobody would else learn of it.
func (c *Controller) nextRejected(now time.Duration) *Member {
	if c.rejecting >= c.config.MaxRejecting {
		return nil
	}
	for _, waiting := range []*queue{&c.others, &c.regulars} {
		m := waiting.first()
		if m == nil || !c.waitedTooLong(m, now) {
			continue
		}
		waiting.remove(m)
		m.state = stateRejected
		m.since = now
		c.rejecting++
		return m
	}
	return nil
}

func (c *Controller) waitedTooLong(m *Member, now time.Duration) bool {
	return now-m.since > c.config.MaxWait
}

// nextQueue returns the queue whose turn it is, or nil.
func (c *Controller) nextQueue(now time.Duration) *queue {
	othersMayGo := c.others.count > 0 && c.hasToken(now)
	switch {
	case othersMayGo && (c.regulars.count == 0 || c.turns%othersTurn == othersTurn-1):
		return &c.others
	case c.regulars.count > 0:
		return &c.regulars
	}
	return nil
}

// WaitingCount returns the number of members that wait.
func (c *Controller) WaitingCount() int { return c.regulars.count + c.others.count }

// SlowCount returns the number of members, of those served, that are slow.
func (c *Controller) SlowCount() int { return c.slow.count }

// MarkSlow notes that the request of a served member arrives in pieces. Where as many as may be are slow already, the
// one that has been slow for longest is evicted, if it has had its time; else this one is. It returns the evicted one,
// or nil.
func (c *Controller) MarkSlow(m *Member, now time.Duration) *Member {
	if m.state != stateServed {
		return nil
	}
	var evicted *Member
	if c.slow.count >= c.config.MaxSlow {
		evicted = c.slow.first()
		if evicted == nil || now-evicted.since < c.config.MinSlowTime {
			return m
		}
		c.slow.remove(evicted)
		evicted.state = stateServed // until it leaves
	}
	m.state = stateSlow
	m.since = now
	c.slow.push(m)
	return evicted
}

// MarkComplete notes that a member's request is complete.
func (c *Controller) MarkComplete(m *Member) {
	if m.state == stateSlow {
		c.slow.remove(m)
		m.state = stateServed
	}
}

// Leave gives a member's capacity back, or takes it out of its queue.
func (c *Controller) Leave(m *Member) {
	switch m.state {
	case stateWaiting:
		c.others.remove(m)
	case stateWaitingRegular:
		c.regulars.remove(m)
	case stateSlow:
		c.slow.remove(m)
		c.serving--
	case stateServed:
		c.serving--
	case stateRejected:
		c.rejecting--
	}
	m.state = stateAbsent
}
