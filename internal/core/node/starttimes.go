package node

import (
	"slices"
	"time"

	"robincart/decide"
)

// The start times of servers are on the list's clock: the clock of the machine that fills the endpoint list. This
// machine's wall clock may differ from the list's clock by seconds or by an hour, and may be stepped while the process
// runs.
//
// The core estimates the offset between the two clocks from two facts. A start time is never later than the current
// time on the list's clock. If a server starts while this process watches the list, the server's age when the process
// first sees it is only the delay of the update that lists it.

const (
	// maxListingDelay is the longest normal time from a server's start to the arrival of the first update that lists
	// the server. A server needs some time from its start until it is listed, and a working watch delivers a message
	// every two seconds. If, by this machine's wall clock, all observed servers are older than maxListingDelay when
	// they are first listed, the wall clock is assumed to be ahead of the list's clock.
	maxListingDelay = 2500 * time.Millisecond

	// initialUpdates is the number of updates, counted from the start of the process, that may contain servers that
	// started long ago: the list that the process starts with, and the first list that the process receives itself.
	initialUpdates = 2

	// minStartTime replaces start times before 0 on the Balancer's clock, because a start time of 0 would mean long
	// ago. It is in seconds.
	minStartTime = 1e-6
)

// listClock estimates the offset between this process's wall clock and the list's clock.
type listClock struct {
	wallOffset    time.Duration // estimated wall-clock time minus list-clock time; negative: the wall clock is behind
	latestStart   time.Time     // latest start time in all updates so far
	updates       int           // number of updates observed
	startObserved bool          // a server started and was first listed while this process watched the list
	// minAge is a lower bound, from the wall clock, of the age at first listing of the servers that started and were
	// first listed while this process watched the list.
	minAge time.Duration
}

// observe corrects the estimated offset with the start times in an update. wall is the current wall-clock time.
func (l *listClock) observe(entries []Endpoint, wall time.Time) {
	if len(entries) > 0 && !containsReady(entries) {
		return // a part of a list, or a change, that names only servers that leave
	}
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
		// The start time is not later than the current time on the list's clock, so the offset is at most age.
		l.wallOffset = min(l.wallOffset, age)
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

func containsReady(entries []Endpoint) bool {
	return slices.ContainsFunc(entries, func(e Endpoint) bool { return e.State == decide.Ready })
}

// adopt takes over the estimate of the list's clock from another process on this machine. list is the current time on
// the list's clock according to that process, and wall is the current wall-clock time. If list and wall differ by at
// most maxListingDelay, adopt changes nothing.
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

// AdoptListClock takes over another process's estimate of the current time on the list's clock. If now is the zero
// time, there is no estimate, and AdoptListClock does nothing.
func (c *Core) AdoptListClock(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.IsZero() {
		c.listClock.adopt(now, c.wallNow())
	}
}

// startTime returns a server's start time in seconds on the Balancer's clock. 0 means long ago.
func (c *Core) startTime(s *Server) float64 {
	if s.listed.StartedAt.IsZero() {
		return max(0, s.attachedAt)
	}
	c.convertStart(s)
	return max(s.startedAt, s.attachedAt)
}

// convertStart converts a server's listed start time to the Balancer's clock. It converts each start time only once,
// because a later correction of the estimated offset must not look like a restart.
func (c *Core) convertStart(s *Server) {
	if s.convertedStart.Equal(s.listed.StartedAt) {
		return
	}
	age := c.wallNow().Sub(s.listed.StartedAt) - c.listClock.wallOffset
	s.convertedStart = s.listed.StartedAt
	s.startedAt = max(minStartTime, c.Now()-seconds(max(age, 0)))
}
