package decide

const (
	firstWatchPause  = 0.25 // seconds, after the first failure; doubles with each further one
	maxWatchPause    = 4.0  // seconds
	longestWatchWait = 1.5  // times the pause: waits are drawn at random from a third to the whole of it

	firstWatchDelayPerNode = 0.1  // seconds; nodes that start together spread their first calls over their number
	firstWatchDelayShare   = 0.25 // of the longest time between two calls, at most
)

// maxFirstWatchDelay is how long a node may wait at most, in seconds, before it first watches the endpoint list. All
// nodes of a fleet may start together, and discovery is one slow service: each waits a random part of that time.
func maxFirstWatchDelay(settings *Settings) float64 {
	delay := min(settings.MaxPollInterval*firstWatchDelayShare, firstWatchDelayPerNode*float64(settings.Instances))
	if settings.MaxFirstPollDelay > 0 {
		delay = min(delay, settings.MaxFirstPollDelay) // what discovery had before the start binds in time, too
	}
	return delay
}

// watchTimer is the payload of the timer after which the endpoint list is watched again.
type watchTimer struct{ id int }

// watchBackoff spaces the attempts to watch the endpoint list: the pause doubles while they fail.
type watchBackoff struct {
	pause   float64 // seconds; 0: nothing has failed yet
	timerID int     // of the timers set, only the last one counts
}

// reset begins anew with the shortest pause.
func (w *watchBackoff) reset() { w.pause = 0 }

// next is the wait before the next attempt, for a random number in [0, 1), and the timer that ends it. The longest wait
// that it may draw is at least minWait and at most maxWait.
func (w *watchBackoff) next(minWait, maxWait, random float64) (float64, watchTimer) {
	w.pause = min(max(firstWatchPause, w.pause*2), maxWatchPause)
	w.timerID++
	longest := min(max(longestWatchWait*w.pause, minWait), maxWait)
	return longest * (1 + 2*random) / 3, watchTimer{w.timerID}
}

// isCurrent reports whether a timer is the last one that was set.
func (w *watchBackoff) isCurrent(t watchTimer) bool { return t.id == w.timerID }
