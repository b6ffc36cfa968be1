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
func (q *callQueue) take(now time.Time) (wait time.Duration, taken bool) {
	if q.work == 0 {
		return 0, true
	}
	if q.free.Before(now) {
		q.free = now
	}
	if wait = q.free.Sub(now) + q.work; wait > q.most {
		q.free = q.free.Add(q.work / refusalShare)
		q.refused++
		return 0, false
	}
	q.free = q.free.Add(q.work)
	return wait, true
}
