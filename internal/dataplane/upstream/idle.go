package upstream

import (
	"time"

	"robincart/internal/core/node"
)

// idleConns contains the idle connections of a pool in two kinds of linked lists. There is one list per server, most
// recently used connection first, and one list of all connections, in the order in which they became idle. The pool's
// mutex guards it.
type idleConns struct {
	byServer map[*node.Server]*conn // the head of each server's list
	// byAge is the sentinel of the circular list. Its field newer links to the oldest connection, its field older to
	// the newest one.
	byAge conn
}

func (i *idleConns) init() {
	i.byServer = map[*node.Server]*conn{}
	i.byAge.older = &i.byAge
	i.byAge.newer = &i.byAge
}

// oldest returns the connection that has been idle longest, or nil.
func (i *idleConns) oldest() *conn {
	if i.byAge.newer == &i.byAge {
		return nil
	}
	return i.byAge.newer
}

// latest returns the most recently used connection to a server, or nil.
func (i *idleConns) latest(server *node.Server) *conn { return i.byServer[server] }

func (i *idleConns) add(server *node.Server, c *conn, now time.Time) {
	c.state = connIdle
	c.server = server
	c.idleSince = now
	c.nextToServer = i.byServer[server]
	if c.nextToServer != nil {
		c.nextToServer.prevToServer = c
	}
	i.byServer[server] = c
	c.older = i.byAge.older
	c.newer = &i.byAge
	c.older.newer = c
	i.byAge.older = c
}

func (i *idleConns) remove(c *conn) {
	switch {
	case c.prevToServer != nil:
		c.prevToServer.nextToServer = c.nextToServer
	case c.nextToServer != nil:
		i.byServer[c.server] = c.nextToServer
	default:
		delete(i.byServer, c.server)
	}
	if c.nextToServer != nil {
		c.nextToServer.prevToServer = c.prevToServer
	}
	c.older.newer = c.newer
	c.newer.older = c.older
	c.state = connInUse
	c.server = nil
	c.nextToServer, c.prevToServer = nil, nil
	c.older, c.newer = nil, nil
}
