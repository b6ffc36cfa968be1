package node

import (
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

const (
	timerResolution = time.Millisecond
	timerSlots      = 1024 // of the timing wheel: one turn takes about a second
	// maxTimersPerFire limits how many timers expire in one call, during which the mutex is held.
	maxTimersPerFire = 256
)

// StartTimer calls the Balancer's TimerFired with the payload after a delay in seconds. The timer of an RPC or an
// attempt is removed when the RPC or attempt ends. Otherwise the timers of the RPCs of the last two seconds would be
// most of what the node keeps in memory. It is part of decide.Host.
func (c *Core) StartTimer(delay float64, payload any) {
	var t *timingwheel.Timer
	switch decided := payload.(type) {
	case *decide.RPC:
		t = &decided.HostData.(*RPC).timer
	case *decide.Attempt:
		t = &decided.HostData.(*Attempt).timer
	}
	if t == nil || t.Set() {
		t = &timingwheel.Timer{}
	}
	t.Payload = payload
	c.timers.Add(t, c.clock.Now()+duration(delay))
}

// arm schedules a call of fireTimers for the time at which the next timer may expire.
func (c *Core) arm() {
	at, found := c.timers.Next()
	if !found || c.closed {
		return
	}
	if c.armedFor != 0 && c.armedFor <= at {
		return
	}
	c.armedFor = at
	c.clock.AfterFunc(max(0, at-c.clock.Now()), func() { c.fireTimers(at) })
}

// fireTimers fires the timers that have expired. It does nothing if arm has scheduled a call for another time since.
func (c *Core) fireTimers(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.armedFor != at {
		return
	}
	c.armedFor = 0
	c.timers.Advance(c.clock.Now(), maxTimersPerFire, c.fireTimer)
	c.arm()
}

// fireTimer handles the expiry of one timer: an attempt's deadline, or a timer of the Balancer.
func (c *Core) fireTimer(t *timingwheel.Timer) {
	if a, isDeadline := t.Payload.(*Attempt); isDeadline {
		if a.state == attemptOrdered {
			a.state = attemptExpired
		}
		a.cancelExchange()
		return
	}
	c.answerReason = telemetry.DeadlineExceeded
	c.balancer.TimerFired(t.Payload)
	if decided, ofRPC := t.Payload.(*decide.RPC); ofRPC {
		c.releaseSlots(decided.HostData.(*RPC))
	}
}
