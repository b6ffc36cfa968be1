package decide

const (
	minWatchPause   = 0.25 // seconds; backoff after the first failure, doubled for each further one
	maxWatchPause   = 4.0  // seconds; upper bound of the backoff
	watchWaitFactor = 1.5  // times the backoff: the longest wait, see next

	firstWatchDelayPerNode = 0.1  // seconds per node of the tier: spreads the first calls of nodes that start together
	firstWatchDelayShare   = 0.25 // fraction of Settings.MaxPollInterval that the delay may be at most
)

// maxFirstWatchDelay returns the longest delay in seconds before a node first watches the endpoint list. All nodes of a
// fleet may start together, and discovery is a single slow service, so each node waits for a random part of the delay.
func maxFirstWatchDelay(settings *Settings) float64 {
	delay := min(settings.MaxPollInterval*firstWatchDelayShare, firstWatchDelayPerNode*float64(settings.Instances))
	if settings.MaxFirstPollDelay > 0 {
		delay = min(delay, settings.MaxFirstPollDelay) // changes before the start must take effect in time, too
	}
	return delay
}

// watchTimer is the payload of the timer after which the endpoint list is watched again.
type watchTimer struct{ id int }

// watchBackoff is the exponential backoff between calls to watch the endpoint list: the pause doubles with each
// failure.
type watchBackoff struct {
	pause   float64 // seconds; 0: no failure yet
	timerID int     // of the last timer; earlier timers are ignored
}

// reset restarts the backoff with the shortest pause.
func (w *watchBackoff) reset() { w.pause = 0 }

// next returns the wait in seconds before the next call, and the timer that ends it. The longest wait is
// watchWaitFactor * pause, but at least minWait and at most maxWait. random is drawn from [0, 1), so the wait is
// uniform between a third of the longest wait and all of it.
func (w *watchBackoff) next(minWait, maxWait, random float64) (float64, watchTimer) {
	w.pause = min(max(minWatchPause, w.pause*2), maxWatchPause)
	w.timerID++
	longest := min(max(watchWaitFactor*w.pause, minWait), maxWait)
	return longest * (1 + 2*random) / 3, watchTimer{w.timerID}
}

// isCurrent reports whether a timer is the last one that was set.
func (w *watchBackoff) isCurrent(t watchTimer) bool { return t.id == w.timerID }
