package node

import (
	"time"

	"robincart/decide"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

const (
	timerResolution = time.Millisecond
	timerSlots      = 1024 // of the timing wheel: a second of timers
	// maxTimersPerFire is how many timers end in one go while the mutex is held.
	maxTimersPerFire = 256
)

// StartTimer has the Balancer's TimerFired called with what, after a delay in seconds. The timer of an RPC or an
// attempt is removed when that is over: if it were kept, the timers of two seconds' RPCs would be most of what the
// node holds. It is part of decide.Host.
func (c *Core) StartTimer(delay float64, what any) {
	var t *timingwheel.Timer
	switch decided := what.(type) {
	case *decide.RPC:
		t = &decided.HostData.(*RPC).timer
	case *decide.Attempt:
		t = &decided.HostData.(*Attempt).timer
	}
	if t == nil || t.Set() {
		t = &timingwheel.Timer{}
	}
	t.Payload = what
	c.timers.Add(t, c.clock.Now()+duration(delay))
}

// arm has the clock call fireTimers when the next timer may end.
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

// fireTimers ends the timers whose time has come. A call that was armed for another time than the latest one does
// nothing.
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

// fireTimer ends one timer: an attempt's deadline, or a timer of the Balancer.
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
