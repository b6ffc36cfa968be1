package node

import (
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

const (
	timerResolution = time.Millisecond
	timerSlots      = 1024 // number of slots of the timing wheel; one turn of the wheel takes about a second
	// maxTimersPerFire is the largest number of timers that one call of fireTimers handles. The core's mutex is held
	// during that call.
	maxTimersPerFire = 256
)

// StartTimer calls the Balancer's TimerFired with the payload after delay, which is in seconds. The core removes the
// timer of an RPC or an attempt when the RPC or the attempt ends. Otherwise the timers of the RPCs of the last two
// seconds would take up most of the node's memory. StartTimer is part of decide.Host.
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

// fireTimers handles the timers that have expired. at is the time for which arm has scheduled this call. The call does
// nothing if arm has scheduled a call for another time since.
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
