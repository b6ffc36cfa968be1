package endpoints

import (
	"errors"
	"os"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/resources/limits"
)

// maxQueueTime is the longest time that a poll may wait in the queue of a working discovery.
const maxQueueTime = 2 * time.Second

// maxPauseAfterRejection returns the longest pause after a poll that discovery rejected. age is the time since
// discovery's last message, which is the age of the current list; rejected is the time since the first of the
// consecutive rejections.
//
// When a whole fleet polls at once, discovery rejects the polls that would have to wait. At first it rejects nearly all
// of them, and short pauses would only keep it busy with rejections. When few nodes are left, long pauses would leave
// it idle while those nodes wait. The number of waiting nodes falls as their lists age, so the pause falls with the age
// of the list, from MaxPollInterval to a third of it. A node with an older list than the others therefore pauses for a
// shorter time and is served before them.
//
// After rejections for MaxUpdateDelay + maxQueueTime, all changes from before the first rejection are overdue:
// discovery is down, or too slow for the fleet. The pause is then MaxPollInterval again, to reduce discovery's load,
// until the rejections end or the address changes.
func maxPauseAfterRejection(l limits.Limits, age, rejected time.Duration) time.Duration {
	if rejected >= l.MaxUpdateDelay+maxQueueTime {
		return l.MaxPollInterval
	}
	// A working watch may be silent for WatchSilenceTimeout, so a list ages only after that time.
	agedFraction := min(1, max(0, float64(age-l.WatchSilenceTimeout))/float64(l.MaxUpdateDelay))
	return l.MaxPollInterval - time.Duration(agedFraction*float64(l.MaxPollInterval)*2/3)
}

// watchFailure describes the failure of a poll to the core, which decides when the next poll is due. lasted tells that
// the poll became a watch that stayed open for at least WatchSilenceTimeout. The mutex is held.
//
// A change that discovery receives while no watch is open must still be in force MaxUpdateDelay after discovery can be
// reached. Discovery may have been reachable since the failed poll started, or since the last message of a watch that
// fell silent, so the longest pause counts from there. Within that bound the core's pauses grow from failure to
// failure, to reduce the load of an overloaded discovery.
func (w *Watcher) watchFailure(p *poll, cause error, lasted bool) node.WatchFailure {
	failure := node.WatchFailure{
		ResetBackoff: lasted || w.newAddress || !suggestsOverload(cause),
		MaxPause:     w.limits.MaxPollInterval - time.Since(p.lastMessage),
	}
	if p.delivered { // a watch may end before it has sent a change that discovery already has
		failure.MaxPause = min(failure.MaxPause, w.limits.MaxReconnectDelay)
	}
	w.boundAfterRejection(cause, &failure)
	failure.MaxPause = max(0, failure.MaxPause)
	return failure
}

// suggestsOverload reports whether an overloaded discovery can have caused a failure. A timeout does not suggest it,
// and neither does a poll that failed for lack of a resource on this machine. A watch that ends right after its
// snapshot does.
func suggestsOverload(cause error) bool {
	var localFailure *LocalResourceError
	switch {
	case errors.As(cause, &localFailure):
		return false
	case errors.Is(cause, os.ErrDeadlineExceeded):
		return false
	case errors.Is(cause, errUnanswered), errors.Is(cause, errNoDescriptor):
		return false
	}
	return true
}

// boundAfterRejection sets the bounds of the pause if discovery rejected the poll. The mutex is held.
func (w *Watcher) boundAfterRejection(cause error, failure *node.WatchFailure) {
	var rejection *RejectedError
	if !errors.As(cause, &rejection) {
		w.rejectedSince = time.Time{}
		return
	}
	now := time.Now()
	if w.rejectedSince.IsZero() {
		w.rejectedSince = now
	}
	maxPause := maxPauseAfterRejection(w.limits, now.Sub(w.lastMessage), now.Sub(w.rejectedSince))
	failure.MinPause = maxPause
	failure.MaxPause = min(failure.MaxPause, maxPause)
}
