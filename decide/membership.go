package decide

// The list of servers: what it tells of starts and ends, and when it is asked for again.

import (
	"math"
	"slices"
)

type watchAgain struct{ turn int }

// UpdateEndpoints takes news of the servers; a full list also tells which have left.
func (b *Balancer) UpdateEndpoints(list []EndpointUpdate, full bool) {
	now := b.host.Now()
	b.list++
	for _, l := range list {
		s := l.Server
		if s.entries == nil {
			s.entries = make([]entry, len(b.rows))
			b.servers = append(b.servers, s)
			b.restart(s, now)
		} else if l.StartedAt > s.cameUp {
			b.restart(s, now)
		}
		s.state, s.zone, s.cell, s.weight, s.cameUp = l.State, l.Zone, l.Cell, max(l.Weight, 0.01), l.StartedAt
		s.seen = b.list
	}
	b.near = slices.DeleteFunc(b.near, func(s *Server) bool {
		s.near = s.state == Ready && (!full || s.seen == b.list)
		return !s.near
	})
	b.ready, b.weight = 0, 0
	b.servers = slices.DeleteFunc(b.servers, func(s *Server) bool {
		if full && s.seen != b.list {
			s.state = Gone
		}
		if s.state == Ready {
			b.ready++
			b.weight += s.weight
		}
		// What has left and has nothing out is forgotten, else a day of deploys would fill the memory.
		left := s.state == Gone && len(s.pending) == 0
		if left {
			b.restart(s, now)
			s.entries = nil
		}
		return left
	})
	b.weight /= float64(max(1, b.ready))
	if b.room == 0 {
		b.room, b.base, b.baseAt = 5*b.roomFloor(), goal, b.host.Now()
		b.usual = b.room / maxRoom
	}
}

// restart forgets what was learnt of the process that ran before.
func (b *Balancer) restart(s *Server, now float64) {
	for i := range s.entries {
		b.forget(s, i)
	}
	s.cost, s.due, s.strikes, s.ejected, s.backoff, s.othersAt = decaying{}, decaying{}, 0, 0, 0, math.Inf(-1)
	// All nodes hear of the start at once: a random part of a token keeps their first picks apart.
	s.tokens, s.tokensAt = b.rng.Float64(), now
}

// EndpointWatchFailed asks again, later each time while failures say that the list is overrun. Anew says that this
// one does not: there had been news for a while, or discovery had no call that it could fail. What discovery
// had meanwhile binds in time: no pause is over most. Least keeps a fleet from asking a busy one too soon.
func (b *Balancer) EndpointWatchFailed(anew bool, least, most float64) {
	if anew {
		b.watchBackoff = 0
	}
	b.watchBackoff = min(max(0.25, b.watchBackoff*2), 4)
	b.watchTurn++
	b.host.StartTimer(min(max(1.5*b.watchBackoff, least), most)*(1+2*b.rng.Float64())/3, watchAgain{b.watchTurn})
}
