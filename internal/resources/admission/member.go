package admission

import "time"

// Member is the controller's record of a connection. The connection embeds it.
type Member struct {
	Owner any // the connection

	state      state
	since      time.Duration // time at which the state began
	next, prev *Member       // neighbors in a queue
}

// state is the state of a member. Only the controller sets it.
type state uint8

const (
	stateAbsent          state = iota // no capacity is allocated to the member, and the member is in no queue
	stateWaiting                      // in the queue of members without priority
	stateWaitingPriority              // in the queue of members with priority
	stateServed                       // capacity is allocated to the member so that it can be served
	// Capacity is allocated to the member so that it can be served; the member is in the queue of slow members.
	stateSlow
	stateRejected // capacity is allocated to the member so that it can be rejected
)

// queue is a doubly linked ring of members in the order in which they were pushed.
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

// first returns the member that has been in the queue for longest, or nil if the queue is empty.
func (q *queue) first() *Member {
	if q.count == 0 {
		return nil
	}
	return q.head.next
}
