package endpoints

import (
	"errors"
	"os"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/resources/limits"
)

// maxQueueTime is how long a poll may wait at a discovery that works.
const maxQueueTime = 2 * time.Second

// maxPauseAfterRejection is the longest pause after a poll that discovery rejected, by the age of the current list and
// by how long polls have been rejected without a break.
//
// A discovery that a whole fleet polls at once rejects those that would have to wait. At first it rejects nearly all,
// and short pauses would only keep it busy with rejections; when few nodes are left, long pauses would let it idle
// while they wait. The number of waiting nodes falls as their lists grow old, and so do the pauses, down to a third of
// the longest interval between polls. A node whose list is older than those of the others gets ahead of them. A
// discovery that still rejects polls when all changes from before are overdue is down, or too slow for the fleet: it
// is spared again, until there is another one.
func maxPauseAfterRejection(l limits.Limits, age, rejected time.Duration) time.Duration {
	if rejected >= l.MaxUpdateDelay+maxQueueTime {
		return l.MaxPollInterval
	}
	// A working watch may be silent for WatchSilenceTimeout: until then a list is not old.
	aged := min(1, max(0, float64(age-l.WatchSilenceTimeout))/float64(l.MaxUpdateDelay))
	return l.MaxPollInterval - time.Duration(aged*float64(l.MaxPollInterval)*2/3)
}

// watchFailure describes the failure of a poll to the core, which decides when the next poll is due. The mutex is
// held.
//
// A change that discovery has while no watch lasts binds the node all the same, MaxUpdateDelay after discovery could
// be reached. That may have been right after the failed poll was lost, or since the last message of a watch that fell
// silent, which bounds the pause. Growing pauses spare an overloaded discovery.
func (w *Watcher) watchFailure(p *poll, cause error, lasted bool) node.WatchFailure {
	failure := node.WatchFailure{
		ResetBackoff: lasted || w.newAddress || !suggestsOverload(cause),
		MaxPause:     w.limits.MaxPollInterval - time.Since(p.lastMessage),
	}
	if p.delivered { // a watch may end instead of bringing a change
		failure.MaxPause = min(failure.MaxPause, w.limits.MaxReconnectDelay)
	}
	w.boundAfterRejection(cause, &failure)
	failure.MaxPause = max(0, failure.MaxPause)
	return failure
}

// suggestsOverload returns whether a failure can come from an overloaded discovery. One that is silent, or was never
// reached, shows no sign of it; one that ends each watch right behind its snapshot does.
func suggestsOverload(cause error) bool {
	var shortage *ShortageError
	switch {
	case errors.As(cause, &shortage):
		return false
	case errors.Is(cause, os.ErrDeadlineExceeded):
		return false
	case errors.Is(cause, errUnanswered), errors.Is(cause, errNoDescriptor):
		return false
	}
	return true
}

// boundAfterRejection sets the pause after a poll that discovery rejected. The mutex is held.
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
	longest := maxPauseAfterRejection(w.limits, now.Sub(w.lastMessage), now.Sub(w.rejectedSince))
	failure.MinPause = longest
	failure.MaxPause = min(failure.MaxPause, longest)
}
