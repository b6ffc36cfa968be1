package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// modelMember is a member and its expected state.
type modelMember struct {
	Member
	hasPriority bool
	present     bool // the member has arrived and has not left
	arrivedAt   time.Duration
	verdict     Verdict
	slow        bool
	slowSince   time.Duration
}

// model is a controller and its members' expected states.
type model struct {
	config     Config
	controller *Controller
	members    []*modelMember
	now        time.Duration
	admitted   []time.Duration // times at which members without priority were admitted
}

func newModel(t *rapid.T) *model {
	const count = 14
	config := Config{
		MaxServing:    rapid.IntRange(1, 4).Draw(t, "max serving"),
		MaxRejecting:  rapid.IntRange(1, 3).Draw(t, "max rejecting"),
		MaxSlow:       rapid.IntRange(0, 3).Draw(t, "max slow"),
		MinSlowTime:   100,
		MaxWait:       500,
		AdmitsPerStep: rapid.IntRange(0, 2).Draw(t, "admits per step"),
		Step:          50,
	}
	m := &model{config: config, controller: New(config)}
	for i := range count {
		member := &modelMember{hasPriority: i%2 == 0}
		member.Owner = member
		m.members = append(m.members, member)
	}
	return m
}

func (m *model) arrive(member *modelMember) {
	if member.present {
		return
	}
	member.present = true
	member.arrivedAt = m.now
	m.recordVerdict(member, m.controller.Arrive(&member.Member, member.hasPriority, m.now))
}

func (m *model) recordVerdict(member *modelMember, verdict Verdict) {
	member.verdict = verdict
	if verdict == Serve && !member.hasPriority {
		m.admitted = append(m.admitted, m.now)
	}
}

func (m *model) leave(t *rapid.T, member *modelMember) {
	m.controller.Leave(&member.Member)
	member.present, member.slow = false, false
	assert.Equal(t, stateAbsent, member.state)
}

// toggleSlow marks a served member as slow, or a slow member as complete.
func (m *model) toggleSlow(t *rapid.T, member *modelMember) {
	if member.slow {
		m.controller.MarkComplete(&member.Member)
		member.slow = false
		return
	}
	if !member.present || member.verdict != Serve {
		return
	}
	slow := m.count(func(x *modelMember) bool { return x.slow })
	longest := m.first(func(x *modelMember) bool { return x.slow }, func(x *modelMember) time.Duration { return x.slowSince })
	evicted := m.controller.MarkSlow(&member.Member, m.now)
	switch {
	case slow < m.config.MaxSlow:
		assert.Nil(t, evicted)
	case longest == nil || m.now-longest.slowSince < m.config.MinSlowTime:
		assert.Same(t, &member.Member, evicted)
		return
	default:
		assert.Same(t, &longest.Member, evicted)
		longest.slow = false
	}
	member.slow, member.slowSince = true, m.now
}

// admitAll calls Next until it returns no member, and checks each returned member.
func (m *model) admitAll(t *rapid.T) {
	for {
		firstPriority, firstNormal := m.firstWaiting(true), m.firstWaiting(false)
		next, verdict := m.controller.Next(m.now)
		if next == nil {
			return
		}
		member := next.Owner.(*modelMember)
		assert.True(t, member == firstPriority || member == firstNormal, "the first of its queue")
		assert.Equal(t, verdict == Reject, m.now-member.arrivedAt > m.config.MaxWait)
		m.recordVerdict(member, verdict)
	}
}

func (m *model) firstWaiting(hasPriority bool) *modelMember {
	waits := func(x *modelMember) bool { return x.is(Wait) && x.hasPriority == hasPriority }
	return m.first(waits, func(x *modelMember) time.Duration { return x.arrivedAt })
}

// is reports whether the member is present and has the verdict.
func (m *modelMember) is(verdict Verdict) bool { return m.present && m.verdict == verdict }

// first returns the member with the earliest time among the members that meet the condition, or nil.
func (m *model) first(condition func(*modelMember) bool, at func(*modelMember) time.Duration) *modelMember {
	var first *modelMember
	for _, member := range m.members {
		if condition(member) && (first == nil || at(member) < at(first)) {
			first = member
		}
	}
	return first
}

func (m *model) count(condition func(*modelMember) bool) (count int) {
	for _, member := range m.members {
		if condition(member) {
			count++
		}
	}
	return count
}

// check checks the conditions that hold after each step.
func (m *model) check(t *rapid.T) {
	serving := m.count(func(x *modelMember) bool { return x.is(Serve) })
	rejecting := m.count(func(x *modelMember) bool { return x.is(Reject) })
	waiting := m.count(func(x *modelMember) bool { return x.is(Wait) })
	assert.Equal(t, m.controller.serving, serving)
	assert.Equal(t, m.controller.WaitingCount(), waiting)
	assert.LessOrEqual(t, serving, m.config.MaxServing)
	assert.LessOrEqual(t, m.count(func(x *modelMember) bool { return x.slow }), m.config.MaxSlow)
	for _, member := range m.members {
		if !member.is(Wait) {
			continue
		}
		if m.now-member.arrivedAt > m.config.MaxWait {
			assert.GreaterOrEqual(t, rejecting, m.config.MaxRejecting, "rejected as soon as there is capacity for that")
		} else if member.hasPriority || m.config.AdmitsPerStep == 0 {
			// If the first member of the queue whose turn it is must be rejected, and there is no capacity to reject
			// it, no member is served.
			full := serving == m.config.MaxServing || rejecting == m.config.MaxRejecting
			assert.True(t, full, "no member waits while capacity is available")
		}
	}
	if m.config.AdmitsPerStep > 0 {
		recent := 0
		for _, at := range m.admitted {
			if at > m.now-m.config.Step {
				recent++
			}
		}
		assert.LessOrEqual(t, recent, 2*m.config.AdmitsPerStep, "a full bucket and its refill within one step")
	}
}

// After any sequence of operations: the limits hold, and no member waits while capacity is available. Members leave
// each queue in the order of arrival; members that have waited for more than MaxWait are rejected, and all other
// members are served.
func TestController_Model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.now++ // each step has its own time, so the order of arrival is unambiguous
			member := m.members[rapid.IntRange(0, len(m.members)-1).Draw(t, "member")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				m.arrive(member)
			case 2:
				m.leave(t, member)
			case 3:
				m.toggleSlow(t, member)
			case 4:
				m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "time"))
			}
			m.admitAll(t)
			m.check(t)
		}
	})
}

// Many new connections at once must not stop the active connections: while members with and without priority wait, the
// members with priority get three of four turns.
func TestController_PriorityTurns(t *testing.T) {
	c := New(Config{MaxServing: 1, MaxWait: time.Hour})
	members := make([]Member, 80)
	for i := range members {
		hasPriority := i%2 == 1
		members[i].Owner = hasPriority
		c.Arrive(&members[i], hasPriority, 0)
	}
	c.Leave(&members[0])
	priorityTurns := 0
	for range 40 {
		m, verdict := c.Next(1)
		assert.Equal(t, Serve, verdict)
		if m.Owner.(bool) {
			priorityTurns++
		}
		c.Leave(m)
	}
	assert.Equal(t, 30, priorityTurns)
}
