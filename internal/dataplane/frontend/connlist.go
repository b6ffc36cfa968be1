package frontend

// connList is a linked list of connections in the order in which they were pushed. The links are fields of the
// connections, so a connection can be in one list at a time. The server's mutex guards the list.
type connList struct{ head conn }

func (l *connList) init() {
	l.head.managed.older = &l.head
	l.head.managed.newer = &l.head
}

// push adds a connection as the newest one of the list.
func (l *connList) push(c *conn) {
	newest := l.head.managed.older
	c.managed.list = l
	c.managed.older = newest
	c.managed.newer = &l.head
	newest.managed.newer = c
	l.head.managed.older = c
}

func (l *connList) remove(c *conn) {
	older, newer := c.managed.older, c.managed.newer
	older.managed.newer = newer
	newer.managed.older = older
	c.managed.list = nil
	c.managed.older = nil
	c.managed.newer = nil
}

// first returns the oldest connection, or nil.
func (l *connList) first() *conn {
	oldest := l.head.managed.newer
	if oldest == &l.head {
		return nil
	}
	return oldest
}

// takeWhile removes the oldest connections from the list and appends them to taken. It stops after limit connections,
// or at the first connection for which the condition does not hold.
func (l *connList) takeWhile(limit int, taken []*conn, condition func(*conn) bool) []*conn {
	for ; limit > 0; limit-- {
		c := l.first()
		if c == nil || !condition(c) {
			break
		}
		l.remove(c)
		taken = append(taken, c)
	}
	return taken
}
