package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
)

// endpointStarted is an entry of a server that started so long before now, by a list's clock that is off by that much.
func (s *testCore) endpointStarted(id string, ago, off time.Duration) Endpoint {
	return Endpoint{ID: id, Addr: id + ":80", State: decide.Ready, Weight: 1, StartedAt: s.wallNow().Add(off - ago)}
}

func (s *testCore) age(id string) float64 { return s.Now() - s.endpointUpdate(s.servers[id]).StartedAt }

// However wrong the wall clock is at a process's start, a server that starts now is young, and one that started long before it is not.
func TestAServersAgeDoesNotHangOnTheWallClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		s := newTestCore(t, nil)
		for range initialUpdates { // of before the process, and of its own first call
			s.UpdateEndpoints([]Endpoint{s.endpointStarted("old", 40*time.Minute, off), s.endpointStarted("later", 10*time.Minute, off)}, true)
		}
		s.clock.now += time.Minute
		s.UpdateEndpoints([]Endpoint{s.endpointStarted("new", 200*time.Millisecond, off)}, false)
		assert.InDelta(t, 0.1, s.age("new"), 0.11, "the list's clock is %v ahead", off)
		s.clock.now += 3 * time.Second
		s.UpdateEndpoints([]Endpoint{s.endpointStarted("later", 0, off)}, false) // it starts anew
		assert.InDelta(t, 0, s.age("later"), 0.21, "the list's clock is %v ahead", off)
		assert.InDelta(t, 3.1, s.age("new"), 0.11, "it grows old by the monotonic clock")
		if off <= 0 {
			assert.Greater(t, s.age("old"), 2400.0, "the list's clock is %v ahead", off)
		} else {
			assert.Greater(t, s.age("old"), 1800.0, "the first list told that its clock is ahead, so its newest start was taken for now")
		}
	}
}

// A better estimate of the list's clock is no other start: what was learnt of a server would be forgotten.
func TestAStartIsFoundOnce(t *testing.T) {
	s := newTestCore(t, nil)
	s.UpdateEndpoints([]Endpoint{s.endpointStarted("a", time.Hour, 0)}, true)
	s.UpdateEndpoints([]Endpoint{s.endpointStarted("z", time.Minute, 0)}, false)
	assert.InDelta(t, 60, s.age("z"), 0.01, "a process's first message tells of what was before it, too")
	s.clock.now += 10 * time.Second
	late := s.endpointStarted("b", 8*time.Second, 0)
	s.UpdateEndpoints([]Endpoint{late}, false)
	assert.InDelta(t, 0, s.age("b"), 0.01, "the first start that is seen comes late: it is taken for young")
	was := s.endpointUpdate(s.servers["b"]).StartedAt
	s.clock.now += time.Second
	s.UpdateEndpoints([]Endpoint{s.endpointStarted("c", 2*time.Second, 0), late}, false)
	assert.InDelta(t, 2, s.age("c"), 0.01, "what it needs from its start until it is listed is no sign of a wrong clock")
	assert.Equal(t, was, s.endpointUpdate(s.servers["b"]).StartedAt)
	s.UpdateEndpoints([]Endpoint{s.endpointStarted("d", 30*time.Minute, 0)}, false)
	assert.InDelta(t, 1800, s.age("d"), 0.1, "one that is not the newest has only come into sight")
}

// A process that follows another knows what that one had seen of the list's clock, though the wall clock was stepped between.
func TestAProcessThatFollowsKnowsTheListsClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		before, after := newTestCore(t, nil), newTestCore(t, nil)
		after.wallOrigin = after.wallOrigin.Add(step)
		before.UpdateEndpoints([]Endpoint{before.endpointStarted("a", 2*time.Second, 0)}, true)
		after.AdoptListClock(before.ListClock())
		after.UpdateEndpoints(before.Endpoints(), true)
		assert.InDelta(t, 2, after.age("a"), 0.1, "stepped by %v", step)
	}
}

// Whether the list has told of a restart since an operator's word is known by the start that it tells, not by the clocks.
func TestARestartBehindABanIsKnownWhateverTheClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, 0, time.Hour} {
		s := newTestCore(t, nil)
		s.UpdateEndpoints([]Endpoint{s.endpointStarted("a", 30*time.Minute, off)}, true)
		assert.True(t, s.Detach("a"))
		s.clock.now += time.Minute
		assert.True(t, s.Attach("a"))
		assert.InDelta(t, 0, s.age("a"), 0.01, "the list has not told of its restart")
	}
}

// The same where a process was told and another one hears of the restart: the start that was listed then goes over with the ban, since the
// wall clock may have been stepped between, or while the ban lasted.
func TestARestartBehindABanOfAnotherProcessIsKnownWhateverTheClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, 0, time.Hour} {
		s := newTestCore(t, nil)
		a := s.endpointStarted("a", 30*time.Minute, 0)
		s.UpdateEndpoints([]Endpoint{a}, true)
		started, listed := s.StartTime("a")
		require.True(t, listed)
		s.Inherit(map[string]Ban{"a": {Since: s.wallNow().Add(off), Started: started, StartKnown: true}}, nil)
		s.clock.now += time.Minute
		assert.True(t, s.Attach("a"))
		assert.InDelta(t, 0, s.age("a"), 0.01, "the list has not told of its restart: %v", off)
	}
}
