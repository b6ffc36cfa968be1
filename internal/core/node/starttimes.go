package node

import (
	"time"

	"robincart/decide"
)

// Servers' start times are by the clock of whoever fills the endpoint list. This machine's wall clock may be wrong by
// seconds or by an hour, and may be stepped while the process runs. Which start is later, and how old a server is, is
// known all the same: no start lies ahead of the list's own time, and a start that was seen to happen is as old as its
// update took to arrive.

const (
	// promptUpdate is how old a start may be when the first update with it arrives, without this machine's clock being
	// taken to be ahead: a server needs some time from its start until it is listed, and a working watch brings
	// something every two seconds.
	promptUpdate = 2500 * time.Millisecond

	// initialUpdates is how many updates show starts long past: the list from before the process, and the first one of
	// its own.
	initialUpdates = 2

	// minStartTime, by the Balancer's clock, is for starts before that clock began: 0 would mean long ago.
	minStartTime = 1e-6
)

// listClock estimates by how much the wall clock of this process is ahead of the clock that the list's times are by.
type listClock struct {
	ahead       time.Duration // the estimate; below 0: it is behind
	latestStart time.Time     // that was ever listed
	updates     int
	sawStart    bool          // a start happened, and was listed, while this process looked
	minAge      time.Duration // of these starts, when they were first listed
}

// observe takes the start times of an update. wall is the present time by this process's wall clock.
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
		l.ahead = min(l.ahead, age) // no start lies ahead
		if startsAreNew && (!l.sawStart || age < l.minAge) {
			l.minAge, l.sawStart = age, true
		}
	}
	switch {
	case !l.sawStart:
	case l.minAge > promptUpdate:
		l.ahead = l.minAge
	case l.ahead > 0: // updates are prompt after all
		l.ahead = 0
	}
}

// adopt takes over what another process on this machine knew: the present time by the list's clock.
func (l *listClock) adopt(list, wall time.Time) {
	ahead := wall.Sub(list)
	if ahead > promptUpdate || ahead < -promptUpdate {
		l.ahead = ahead
		l.minAge, l.sawStart = ahead, ahead > 0
	}
}

// ListClock is the present time by the list's clock, as far as it is known, for a process that follows this one.
func (c *Core) ListClock() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallNow().Add(-c.listClock.ahead)
}

// AdoptListClock takes over the present time by the list's clock, as another process knew it.
func (c *Core) AdoptListClock(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.IsZero() {
		c.listClock.adopt(now, c.wallNow())
	}
}

// startTime is when a server started, by the Balancer's clock; 0 is long ago.
func (c *Core) startTime(s *Server) float64 {
	if s.listed.StartedAt.IsZero() {
		return max(0, s.attachedAt)
	}
	c.convertStart(s)
	return max(s.startedAt, s.attachedAt)
}

// convertStart converts a server's listed start. It does so once for each start: a better estimate of the list's clock
// must not look like a restart.
func (c *Core) convertStart(s *Server) {
	if s.convertedStart.Equal(s.listed.StartedAt) {
		return
	}
	age := c.wallNow().Sub(s.listed.StartedAt) - c.listClock.ahead
	s.convertedStart = s.listed.StartedAt
	s.startedAt = max(minStartTime, c.Now()-seconds(max(age, 0)))
}
