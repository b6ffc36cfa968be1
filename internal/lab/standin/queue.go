package standin

import "time"

// callQueue is the work that discovery has with calls, one after another.
type callQueue struct {
	work    time.Duration // for one call; 0: none
	most    time.Duration // a call whose answer would take longer is refused at once
	free    time.Time     // when all calls that were taken are answered
	refused int
}

// refusalShare is what refusing a call costs, as a share of answering one.
const refusalShare = 16

// take tells how long a call that comes now has to wait for its answer, or that it is refused.
func (c *callQueue) take(now time.Time) (wait time.Duration, taken bool) {
	if c.work == 0 {
		return 0, true
	}
	if c.free.Before(now) {
		c.free = now
	}
	if wait = c.free.Sub(now) + c.work; wait > c.most {
		c.free = c.free.Add(c.work / refusalShare)
		c.refused++
		return 0, false
	}
	c.free = c.free.Add(c.work)
	return wait, true
}
