package node

import "robincart/internal/system/telemetry"

// ResponseBegun reports that a long response to an attempt has begun and is not complete.
func (c *Core) ResponseBegun(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stillNeeded(a) {
		c.balancer.ResponseBegun(a.decideAttempt)
	}
}

// ResponseStalled reports that the response to an attempt has begun and does not go on. The exchange reads on.
func (c *Core) ResponseStalled(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stillNeeded(a) {
		return
	}
	c.recorder.Record(telemetry.Event{
		Kind:     telemetry.ResponseStalled,
		Request:  a.rpc.requestID,
		Server:   a.Server.id,
		Duration: c.clock.Now() - a.orderedAt,
	})
	c.balancer.ResponseStalled(a.decideAttempt)
	c.arm()
}
