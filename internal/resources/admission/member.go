package admission

import "time"

// Member is a connection as the controller knows it. It is embedded in the connection.
type Member struct {
	Owner any // the connection

	state      state
	since      time.Duration // in the state
	next, prev *Member       // in a queue
}

// state is where a member is. Only the controller sets it.
type state uint8

const (
	stateAbsent state = iota // no capacity, and not waiting for any
	stateWaiting
	stateWaitingRegular
	stateServed
	stateSlow // served, and in the queue of the slow
	stateRejected
)

// queue is a ring of members, the oldest first.
type queue struct {
	head  Member
	count int
}

func (q *queue) init() {
	q.head.next = &q.head
	q.head.prev = &q.head
}

func (q *queue) push(m *Member) {
	last := q.head.prev
	m.prev = last
	m.next = &q.head
	last.next = m
	q.head.prev = m
	q.count++
}

func (q *queue) remove(m *Member) {
	m.prev.next = m.next
	m.next.prev = m.prev
	m.next = nil
	m.prev = nil
	q.count--
}

// first returns the oldest member, or nil.
func (q *queue) first() *Member {
	if q.count == 0 {
		return nil
	}
	return q.head.next
}
