package node

import (
	"time"

	"robincart/decide"
)

// Servers' start times are told by the list's clock, and this machine's wall clock may be wrong by seconds or by an hour, and may be stepped
// while the process runs. What is older than what, and how old a server is, is known all the same: no start lies ahead of the list's own
// time, and a start that was seen to happen is as old as the way of its news.

// promptNews is how old a start may be when the first news of it comes, without this machine's clock being taken to be ahead: a server needs
// some time from its start until it is listed, and a watch that stands says something every two seconds.
const promptNews = 2500 * time.Millisecond

// oldLists is how many messages tell of starts long past: the list of the time before the process, and the first one of its own.
const oldLists = 2

// listClock estimates by how much the wall clock that a process began with is ahead of the clock that the list's times are of.
type listClock struct {
	lead   time.Duration // the estimate; below 0: it is behind
	newest time.Time     // the latest start that was ever listed
	lists  int           // messages seen
	// The least age at which a start was first told that this process saw happen; only with seen.
	youngest time.Duration
	seen     bool
}

// observe takes a message's start times. Wall is the time now, by the clock that the process began with.
func (l *listClock) observe(entries []Endpoint, wall time.Time) {
	sees, newest := l.lists >= oldLists, l.newest
	l.lists++
	for _, e := range entries {
		if e.StartedAt.IsZero() || !e.StartedAt.After(newest) || e.State == decide.Gone {
			continue
		}
		age := wall.Sub(e.StartedAt)
		if e.StartedAt.After(l.newest) {
			l.newest = e.StartedAt
		}
		if l.lead > age { // no start lies ahead
			l.lead = age
		}
		if sees && (!l.seen || age < l.youngest) {
			l.youngest, l.seen = age, true
		}
	}
	switch {
	case !l.seen:
	case l.youngest > promptNews:
		l.lead = l.youngest
	case l.lead > 0: // news are prompt after all
		l.lead = 0
	}
}

// follow goes on with what another process on this machine knew: what the list's clock shows now, by this process's own.
func (l *listClock) follow(list, wall time.Time) {
	if lead := wall.Sub(list); lead > promptNews || lead < -promptNews {
		l.lead = lead
		l.youngest, l.seen = lead, lead > 0
	}
}

// ListClock is what the list's clock shows now, as far as it is known, for a process that follows this one.
func (c *Core) ListClock() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wall().Add(-c.listClock.lead)
}

// AdoptListClock takes over what another process knew of the list's clock just now.
func (c *Core) AdoptListClock(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.IsZero() {
		c.listClock.follow(now, c.wall())
	}
}

// cameUp is when a server started, by the module's clock; 0 is long ago. It is found once for each start: a better estimate of the list's
// clock must not look like another start.
func (c *Core) cameUp(s *Server) float64 {
	up := 0.0
	if started := s.last.StartedAt; !started.IsZero() {
		if !s.startSeen.Equal(started) {
			ago := c.wall().Sub(started) - c.listClock.lead
			// The module reads 0 as long ago, so what started before its clock is kept just above.
			s.startSeen, s.cameUp = started, max(1e-6, c.Now()-seconds(max(ago, 0)))
		}
		up = s.cameUp
	}
	return max(up, s.back)
}
