package decide

const (
	minWatchPause   = 0.25 // seconds; backoff after the first failure; it doubles with each further failure
	maxWatchPause   = 4.0  // seconds; upper bound of the backoff
	watchWaitFactor = 1.5  // longest wait, as a multiple of the backoff; see watchBackoff.next

	firstWatchDelayPerNode = 0.1  // seconds per node of the tier: spreads the first calls of nodes that start together
	firstWatchDelayShare   = 0.25 // upper bound of the delay, as a fraction of Settings.MaxPollInterval
)

// maxFirstWatchDelay returns the longest delay in seconds before a node first watches the endpoint list. All nodes of a
// fleet may start together, and discovery is a single slow service, so each node waits for a random part of this delay.
func maxFirstWatchDelay(settings *Settings) float64 {
	delay := min(settings.MaxPollInterval*firstWatchDelayShare, firstWatchDelayPerNode*float64(settings.Instances))
	if settings.MaxFirstPollDelay > 0 {
		// Changes made before the node started must also take effect in time.
		delay = min(delay, settings.MaxFirstPollDelay)
	}
	return delay
}

// watchTimer is the payload of a timer. When the timer fires, the endpoint list is watched again.
type watchTimer struct{ id int }

// watchBackoff is the exponential backoff between calls to watch the endpoint list: the pause doubles with each
// failure.
type watchBackoff struct {
	pause   float64 // seconds; 0: no failure yet
	timerID int     // id of the last timer; earlier timers are ignored
}

// reset restarts the backoff with the shortest pause.
func (w *watchBackoff) reset() { w.pause = 0 }

// next returns the wait in seconds before the next call, and the timer that ends it. The longest possible wait is
// watchWaitFactor * pause, but at least minWait and at most maxWait. random is drawn from [0, 1), so that the wait is
// uniformly distributed between a third of the longest possible wait and the longest possible wait.
func (w *watchBackoff) next(minWait, maxWait, random float64) (float64, watchTimer) {
	w.pause = min(max(minWatchPause, w.pause*2), maxWatchPause)
	w.timerID++
	longest := min(max(watchWaitFactor*w.pause, minWait), maxWait)
	return longest * (1 + 2*random) / 3, watchTimer{w.timerID}
}

// isCurrent reports whether a timer is the last one that was set.
func (w *watchBackoff) isCurrent(t watchTimer) bool { return t.id == w.timerID }
