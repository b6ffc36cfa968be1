package endpoints

import (
	"time"

	"robincart/internal/resources/limits"
)

// queueTime is how long a call may wait at a discovery that works.
const queueTime = 2 * time.Second

// longestPause is the longest pause after a call that was refused, by how old the list is and how long all calls have been refused.
//
// A discovery that is asked by a whole fleet at once refuses whoever would have to wait. At first nearly all nodes are refused, and
// short pauses would only keep it busy with refusals; when few are left, long ones would let it stand idle while these wait. Their
// number falls as their lists grow old, so the pauses do, down to a third of what is allowed between calls; and a node whose list is
// older than those of the others gets ahead of them. A discovery that still refuses when all changes from before are overdue is down,
// or can't answer the fleet in time: it is spared again, until there is another one.
func longestPause(l limits.Limits, age, refused time.Duration) time.Duration {
	if refused >= l.MaxUpdateDelay+queueTime {
		return l.MaxCallInterval
	}
	// A watch that stands is quiet for as long as ListSilence: until then a list is not old.
	aged := min(1, max(0, float64(age-l.WatchSilenceTimeout))/float64(l.MaxUpdateDelay))
	return l.MaxCallInterval - time.Duration(aged*float64(l.MaxCallInterval)*2/3)
}
