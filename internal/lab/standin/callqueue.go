package standin

import "time"

// callQueue models discovery's work with calls, which it answers one after another.
type callQueue struct {
	work     time.Duration // for one call; 0: none
	maxWait  time.Duration // a call whose answer would take longer is rejected at once
	idleAt   time.Time     // when all calls that were admitted are answered
	rejected int
}

// rejectionCost is how many rejections cost as much as one answer.
const rejectionCost = 16

// admit returns how long a call that was received now waits for its answer. It returns false if the call is rejected.
func (c *callQueue) admit(now time.Time) (time.Duration, bool) {
	if c.work == 0 {
		return 0, true
	}
	if c.idleAt.Before(now) {
		c.idleAt = now
	}
	wait := c.idleAt.Sub(now) + c.work
	if wait > c.maxWait {
		c.idleAt = c.idleAt.Add(c.work / rejectionCost)
		c.rejected++
		return 0, false
	}
	c.idleAt = c.idleAt.Add(c.work)
	return wait, true
}
