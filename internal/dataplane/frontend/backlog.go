package frontend

import (
	"time"

	"robincart/internal/dataplane/inputclock"
	"robincart/internal/system/socket"
)

// backlog estimates when the client wrote the last byte of a request that has lain unread with a full receive buffer.
// The rest of such a request arrives as soon as the node reads, but the client may have written it long before.
type backlog struct {
	clock      inputclock.Clock
	observedAt time.Time
	drained    bool // the last read has taken all bytes, so the next read may wait for the client
}

// findBacklog is called before the first read of a request. If the request's bytes may have waited on this machine, in
// the listener's queue, for capacity or for the core, findBacklog sets arrivedAt to the time at which the last of them
// arrived. It returns the backlog, or nil if the receive buffer has space.
func (c *conn) findBacklog() *backlog {
	status := &c.serving
	now := status.turnStart
	waited := status.arrivedAt != 0 && now-status.arrivedAt >= inputclock.ArrivalTolerance
	if !status.firstRequest && !waited {
		return nil
	}
	sinceArrival := socket.SinceLastData(c.raw)
	if arrivedAt := now - sinceArrival; status.arrivedAt == 0 || arrivedAt < status.arrivedAt {
		status.arrivedAt = arrivedAt
	}
	if sinceArrival < inputclock.ArrivalTolerance || !socket.ReceiveBufferFull(c.raw) {
		return nil
	}
	return &backlog{clock: inputclock.New(time.Now().Add(-sinceArrival))}
}

// backlog returns the backlog of the request that is being read, or nil.
func (c *conn) backlog() *backlog {
	if c.serving.reader == nil {
		return nil
	}
	return c.serving.reader.backlog
}

// beforeRead looks at the client's input, at most once in ObserveInterval unless the read may wait for the client.
func (b *backlog) beforeRead(c *conn) {
	if b.drained || time.Since(b.observedAt) >= inputclock.ObserveInterval {
		b.observe(c)
	}
}

// afterRead tells the client's machine of the space that a read has made: it would otherwise hold bytes back that are
// then taken for new ones.
func (b *backlog) afterRead(c *conn, drained bool) {
	b.drained = drained
	c.AnnounceSpace()
}

func (b *backlog) observe(c *conn) {
	now := time.Now()
	b.observedAt = now
	full, sinceArrival := c.InputState()
	b.clock.Observe(now, inputclock.State{Full: full, ArrivedAt: now.Add(-sinceArrival)})
}

// age returns how long ago the client may have written the last byte.
func (b *backlog) age(c *conn) time.Duration {
	b.observe(c)
	return time.Since(b.clock.DoneSince())
}
