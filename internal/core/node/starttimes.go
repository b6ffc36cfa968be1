package node

import (
	"time"

	"robincart/decide"
)

// The start times of servers are on the list's clock: the clock of the machine that fills the endpoint list. This
// machine's wall clock may differ from it by seconds or by an hour, and may be stepped while the process runs. Two
// facts still give the order of starts and the age of a server: no start time is in the future of the list's clock, and
// the age of a start that happened while this process was watching is the time that its update took to arrive.

const (
	// maxListingDelay is the longest normal time from a server's start to the first update that lists it: a server
	// needs some time from its start until it is listed, and a working watch delivers a message every two seconds. If
	// all observed starts seem older when they are first listed, this machine's wall clock is assumed to be ahead of
	// the list's clock.
	maxListingDelay = 2500 * time.Millisecond

	// initialUpdates is how many updates at the beginning may contain starts from long ago: the list that the process
	// starts with, and the first one that it receives itself.
	initialUpdates = 2

	// minStartTime, in seconds on the Balancer's clock, replaces start times before 0 on that clock: 0 would mean long
	// ago.
	minStartTime = 1e-6
)

// listClock estimates the offset between this process's wall clock and the list's clock.
type listClock struct {
	wallOffset    time.Duration // estimate of the wall clock minus the list's clock; negative: the wall clock is behind
	latestStart   time.Time     // latest start time that was ever listed
	updates       int           // number of updates observed
	startObserved bool          // a server has started, and was listed, while this process was watching
	minAge        time.Duration // lowest age of such a start by the wall clock, when it was first listed
}

// observe updates the estimate with the start times of an update. wall is the current wall-clock time.
func (l *listClock) observe(entries []Endpoint, wall time.Time) {
	startsAreNew := l.updates >= initialUpdates
	latestBefore := l.latestStart
	l.updates++
	for _, e := range entries {
		if e.StartedAt.IsZero() || !e.StartedAt.After(latestBefore) || e.State == decide.Gone {
			continue
		}
		age := wall.Sub(e.StartedAt)
		if e.StartedAt.After(l.latestStart) {
			l.latestStart = e.StartedAt
		}
		l.wallOffset = min(l.wallOffset, age) // no start time is in the future of the list's clock
		if startsAreNew && (!l.startObserved || age < l.minAge) {
			l.minAge, l.startObserved = age, true
		}
	}
	switch {
	case !l.startObserved:
	case l.minAge > maxListingDelay:
		l.wallOffset = l.minAge
	case l.wallOffset > 0: // updates arrive in time, so the wall clock is not ahead
		l.wallOffset = 0
	}
}

// adopt sets the estimate from that of another process on this machine. list is the current time on the list's clock by
// that process's estimate, wall the current wall-clock time. A difference of at most maxListingDelay is ignored.
func (l *listClock) adopt(list, wall time.Time) {
	offset := wall.Sub(list)
	if offset > maxListingDelay || offset < -maxListingDelay {
		l.wallOffset = offset
		l.minAge, l.startObserved = offset, offset > 0
	}
}

// ListClock returns the estimated current time on the list's clock. A process passes it to its successor.
func (c *Core) ListClock() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallNow().Add(-c.listClock.wallOffset)
}

// AdoptListClock sets the current time on the list's clock to another process's estimate. The zero time means that
// there is none.
func (c *Core) AdoptListClock(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.IsZero() {
		c.listClock.adopt(now, c.wallNow())
	}
}

// startTime returns when a server started, in seconds on the Balancer's clock. 0 means long ago.
func (c *Core) startTime(s *Server) float64 {
	if s.listed.StartedAt.IsZero() {
		return max(0, s.attachedAt)
	}
	c.convertStart(s)
	return max(s.startedAt, s.attachedAt)
}

// convertStart converts a server's listed start time to the Balancer's clock. It converts each start time only once: a
// later correction of the list's clock must not look like a restart.
func (c *Core) convertStart(s *Server) {
	if s.convertedStart.Equal(s.listed.StartedAt) {
		return
	}
	age := c.wallNow().Sub(s.listed.StartedAt) - c.listClock.wallOffset
	s.convertedStart = s.listed.StartedAt
	s.startedAt = max(minStartTime, c.Now()-seconds(max(age, 0)))
}
