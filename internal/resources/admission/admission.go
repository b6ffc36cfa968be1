// Package admission decides which readable connections are served now, which wait with their bytes still in the kernel,
// and which are rejected. Each connection that is served uses a goroutine and a buffer, so the limit of served
// connections bounds the memory.
//
// A Controller owns the queues and the counters. It has no connections and no clock: a connection embeds a Member, and
// the caller passes the time. It is not safe for concurrent use.
package admission

import "time"

// Config contains the limits of a Controller.
type Config struct {
	MaxServing int // maximum number of members that are served at the same time
	// MaxRejecting is the maximum number of members that are being rejected at the same time. MaxServing does not
	// include them.
	MaxRejecting  int
	MaxSlow       int           // maximum number of served members whose requests arrive in pieces
	MinSlowTime   time.Duration // a member may be evicted only after it has been slow for this time
	AdmitsPerStep int           // maximum number of members without priority that are admitted per Step; 0: no limit
	Step          time.Duration // time in which AdmitsPerStep members without priority may be admitted
	MaxWait       time.Duration // a member that has waited for longer is rejected, since its client may have given up
}

// normalTurnInterval is the interval, in turns, at which a member without priority is served while members with
// priority wait. All other turns go to members with priority, which are recently active connections. So a burst of new
// connections does not stop the active connections. Without this interval, the new connections could wait forever.
const normalTurnInterval = 4

// Verdict is the decision about a member.
type Verdict uint8

// The verdicts.
const (
	Wait   Verdict = iota // the member is in a queue until Next returns it
	Serve                 // capacity is allocated to the member until Leave, so that it can be served
	Reject                // capacity is allocated to the member until Leave, so that it can be rejected
)

// Controller allocates capacity to members.
type Controller struct {
	config    Config
	priority  queue // waiting members with priority
	normal    queue // waiting members without priority
	slow      queue // served members whose requests arrive in pieces
	serving   int
	rejecting int
	turns     int // number of members that were served after a wait

	// The token bucket for members without priority.
	tokens     float64
	refilledAt time.Duration
}

// New returns a controller with all capacity available.
func New(config Config) *Controller {
	c := &Controller{config: config}
	c.priority.init()
	c.normal.init()
	c.slow.init()
	return c
}

// Arrive requests capacity for a member whose connection is readable. It returns Serve if the member is served now, and
// Wait if the member was queued.
func (c *Controller) Arrive(m *Member, hasPriority bool, now time.Duration) Verdict {
	m.since = now
	if c.serving < c.config.MaxServing && (hasPriority || c.normal.count == 0 && c.hasToken(now)) {
		c.serve(m, hasPriority, now)
		return Serve
	}
	if hasPriority {
		m.state = stateWaitingPriority
		c.priority.push(m)
	} else {
		m.state = stateWaiting
		c.normal.push(m)
	}
	return Wait
}

// hasToken refills the token bucket, and reports whether a member without priority may be served now. The rate is
// limited because many members without priority that are admitted at the same time would be ahead of members with
// priority in every later queue, such as the queue of the goroutine scheduler.
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

func (c *Controller) serve(m *Member, hasPriority bool, now time.Duration) {
	m.state = stateServed
	m.since = now
	c.serving++
	if !hasPriority {
		c.tokens--
	}
}

// Next returns the next waiting member for which there is capacity, and the verdict on that member. It returns nil and
// Wait if there is no such member. After each Leave, and every few milliseconds while members wait, the caller calls
// Next repeatedly until Next returns nil.
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
	if c.waitedTooLong(m, now) { // m waits until there is capacity to reject m
		return nil, Wait
	}
	c.turns++
	waiting.remove(m)
	c.serve(m, waiting == &c.priority, now)
	return m, Serve
}

// nextRejected returns the next member that has waited for more than MaxWait, and removes it from its queue. It returns
// nil if there is no such member, or no capacity to reject a member. The capacity to reject is separate from the
// capacity to serve, so that clients are told of the overload even if all served members stay for seconds.
func (c *Controller) nextRejected(now time.Duration) *Member {
	if c.rejecting >= c.config.MaxRejecting {
		return nil
	}
	for _, waiting := range []*queue{&c.normal, &c.priority} {
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

// nextQueue returns the queue from which the next member is served, or nil if no member may be served now.
func (c *Controller) nextQueue(now time.Duration) *queue {
	normalMayBeServed := c.normal.count > 0 && c.hasToken(now)
	switch {
	case normalMayBeServed && (c.priority.count == 0 || c.turns%normalTurnInterval == normalTurnInterval-1):
		return &c.normal
	case c.priority.count > 0:
		return &c.priority
	}
	return nil
}

// WaitingCount returns the number of waiting members.
func (c *Controller) WaitingCount() int { return c.priority.count + c.normal.count }

// SlowCount returns the number of served members that are slow.
func (c *Controller) SlowCount() int { return c.slow.count }

// MarkSlow marks a served member as slow: its request arrives in pieces. If MaxSlow members are slow already, MarkSlow
// evicts the member that has been slow for longest, or m itself if no member has been slow for MinSlowTime. MarkSlow
// returns the evicted member, or nil.
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
		evicted.state = stateServed // an evicted member holds its capacity until Leave
	}
	m.state = stateSlow
	m.since = now
	c.slow.push(m)
	return evicted
}

// MarkComplete ends the slow state of a member after its request has arrived completely.
func (c *Controller) MarkComplete(m *Member) {
	if m.state == stateSlow {
		c.slow.remove(m)
		m.state = stateServed
	}
}

// Leave releases a member's capacity, or removes a waiting member from its queue.
func (c *Controller) Leave(m *Member) {
	switch m.state {
	case stateWaiting:
		c.normal.remove(m)
	case stateWaitingPriority:
		c.priority.remove(m)
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
