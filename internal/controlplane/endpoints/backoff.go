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
// polls, and short pauses would only keep discovery busy with rejections. Later, when only a few nodes still wait for
// an answer, long pauses would leave discovery idle. The older the list, the fewer nodes still wait, so the pause gets
// shorter as the list gets older, from MaxPollInterval down to a third of MaxPollInterval. A node whose list is older
// than the lists of the other nodes therefore has a shorter pause and is served before the other nodes.
//
// When polls have been rejected for MaxUpdateDelay + maxQueueTime, every change made before the first rejection is
// overdue, so discovery is down or too slow for the fleet. To reduce discovery's load, the pause is then
// MaxPollInterval again, until a poll is not rejected or discovery's address changes.
func maxPauseAfterRejection(l limits.Limits, age, rejected time.Duration) time.Duration {
	if rejected >= l.MaxUpdateDelay+maxQueueTime {
		return l.MaxPollInterval
	}
	// A working watch may be silent for up to WatchSilenceTimeout, so only the age beyond that time shortens the pause.
	agedFraction := min(1, max(0, float64(age-l.WatchSilenceTimeout))/float64(l.MaxUpdateDelay))
	return l.MaxPollInterval - time.Duration(agedFraction*float64(l.MaxPollInterval)*2/3)
}

// watchFailure returns the description of a failed poll for the core, which decides when the next poll is due. lasted
// is true if the poll became a watch that stayed open for at least WatchSilenceTimeout. The caller holds the mutex.
//
// The node must apply a change within MaxUpdateDelay after discovery has the change and can be reached, even if no
// watch was open when the change was made. Let t be the start of the failed poll or, if the poll became a watch, the
// time of the watch's last message. Discovery may have been reachable since t. So the next poll is due at most
// MaxPollInterval after t, or immediately if that time has passed. Within this limit, the core increases the upper
// bound of the random pause before the next poll with each failure, to reduce the load of an overloaded discovery. If
// ResetBackoff is set, the bound starts again at the shortest pause.
func (w *Watcher) watchFailure(p *poll, cause error, lasted bool) node.WatchFailure {
	failure := node.WatchFailure{
		ResetBackoff: lasted || w.newAddress || !suggestsOverload(cause),
		MaxPause:     w.limits.MaxPollInterval - time.Since(p.lastMessage),
	}
	if p.ended() && p.answered { // a response may end before it has sent a change that discovery already has
		failure.MaxPause = min(failure.MaxPause, w.limits.MaxReconnectDelay)
	}
	w.boundAfterRejection(p, cause, &failure)
	failure.MaxPause = max(0, failure.MaxPause)
	return failure
}

// suggestsOverload reports whether an overloaded discovery can have caused a failure. A watch that ends right after the
// snapshot suggests overload. A timeout does not, and neither does a poll that failed for lack of a resource on this
// machine.
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

// boundAfterRejection sets MinPause and limits MaxPause if discovery rejected the poll. The caller holds the mutex.
func (w *Watcher) boundAfterRejection(p *poll, cause error, failure *node.WatchFailure) {
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
	maxPause = w.relocation.boundPause(w.tierNodes, now, now.Sub(p.startedAt), maxPause)
	failure.MinPause = maxPause
	failure.MaxPause = min(failure.MaxPause, maxPause)
}
