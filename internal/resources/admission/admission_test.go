package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// modelMember is a member, and what the test knows of it.
type modelMember struct {
	Member
	regular   bool
	present   bool
	arrivedAt time.Duration
	verdict   Verdict
	slow      bool
	slowSince time.Duration
}

// model is a controller, and what the test knows of its members.
type model struct {
	config     Config
	controller *Controller
	members    []*modelMember
	now        time.Duration
	admitted   []time.Duration // when members that are not regular were served
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
		member := &modelMember{regular: i%2 == 0}
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
	m.note(member, m.controller.Arrive(&member.Member, member.regular, m.now))
}

func (m *model) note(member *modelMember, verdict Verdict) {
	member.verdict = verdict
	if verdict == Serve && !member.regular {
		m.admitted = append(m.admitted, m.now)
	}
}

func (m *model) leave(t *rapid.T, member *modelMember) {
	m.controller.Leave(&member.Member)
	member.present, member.slow = false, false
	assert.Equal(t, stateAbsent, member.state)
}

// toggleSlow marks a served member as slow, or one that is slow as complete.
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

// admitAll has all served or rejected that can be.
func (m *model) admitAll(t *rapid.T) {
	for {
		regular, other := m.firstWaiting(true), m.firstWaiting(false)
		next, verdict := m.controller.Next(m.now)
		if next == nil {
			return
		}
		member := next.Owner.(*modelMember)
		assert.True(t, member == regular || member == other, "the first of its queue")
		assert.Equal(t, verdict == Reject, m.now-member.arrivedAt > m.config.MaxWait)
		m.note(member, verdict)
	}
}

func (m *model) firstWaiting(regular bool) *modelMember {
	waits := func(x *modelMember) bool { return x.is(Wait) && x.regular == regular }
	return m.first(waits, func(x *modelMember) time.Duration { return x.arrivedAt })
}

// is reports whether the member is there with a verdict.
func (m *modelMember) is(verdict Verdict) bool { return m.present && m.verdict == verdict }

// first returns the member with the lowest time of those for which a condition holds, or nil.
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

// check checks what has to hold at any time.
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
		} else if member.regular || m.config.AdmitsPerStep == 0 {
			// Behind one that has waited too long, and can't be rejected yet, none is served.
			full := serving == m.config.MaxServing || rejecting == m.config.MaxRejecting
			assert.True(t, full, "none waits beside free capacity")
		}
	}
	if m.config.AdmitsPerStep > 0 {
		recent := 0
		for _, at := range m.admitted {
			if at > m.now-m.config.Step {
				recent++
			}
		}
		assert.LessOrEqual(t, recent, 2*m.config.AdmitsPerStep, "within a step and at its edges")
	}
}

// Whatever comes in whatever order: the limits hold, none waits while there is capacity, a member that is served has
// not waited too long, one that is rejected has, and the first of a queue goes first.
func TestController_Model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.now++ // no two come at once
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

// A wave of new connections must not stop those at work: regular members get three turns of four while both wait.
func TestController_RegularsBeforeOthers(t *testing.T) {
	c := New(Config{MaxServing: 1, MaxWait: time.Hour})
	members := make([]Member, 80)
	for i := range members {
		regular := i%2 == 1
		members[i].Owner = regular
		c.Arrive(&members[i], regular, 0)
	}
	c.Leave(&members[0])
	regulars := 0
	for range 40 {
		m, verdict := c.Next(1)
		assert.Equal(t, Serve, verdict)
		if m.Owner.(bool) {
			regulars++
		}
		c.Leave(m)
	}
	assert.Equal(t, 30, regulars)
}
