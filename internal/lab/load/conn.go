package load

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

// conn is one connection: a pacer writes requests to it, one at a time, and its own goroutine reads the answers.
type conn struct {
	net.Conn
	lane *lane
	dest Destination
	key

	mu   sync.Mutex
	cur  *flight
	prev *judge.ClientAttempt // ended here last; noted once nothing more can come for it
	dead bool

	writing sync.Mutex // an answer can be here before the write that asked for it has returned
	out, in []byte
}

// send writes a try's request.
func (c *conn) send(f *flight) {
	e := c.lane.e
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		go c.lane.dispatch(f) // closed while it was idle: nothing was written
		return
	}
	c.note()
	c.cur = f
	c.out = c.request(c.out[:0], f)
	f.Sent = e.now()
	c.mu.Unlock()
	e.sent.Add(1)
	e.inFlight.Add(1)
	c.SetReadDeadline(e.start.Add(f.Until + e.Slack))
	c.SetWriteDeadline(e.start.Add(f.Until + e.Slack))
	if _, err := c.Write(c.out); err != nil {
		c.Close() // the reader tells how it ended
	}
}

// note hands the last try to the ledger, under the connection's lock.
func (c *conn) note() {
	if c.prev != nil {
		c.lane.e.log.AddAttempt(*c.prev)
		c.prev = nil
	}
}

var zeros [64 << 10]byte

func (c *conn) request(to []byte, f *flight) []byte {
	e, a := c.lane.e, f.a
	m := &e.Methods[a.Method]
	if m.Repeat == judge.Idempotent {
		to = append(to, "GET /"...)
	} else {
		to = append(to, "POST /"...)
	}
	to = append(to, m.Name...)
	to = append(to, "/t?k="...)
	to = strconv.AppendUint(to, uint64(a.Key), 10)
	if a.Work > 0 {
		to = append(to, "&w="...)
		to = strconv.AppendFloat(to, float64(a.Work), 'f', 3, 32)
	}
	if a.Wait > 0 {
		to = append(to, "&i="...)
		to = strconv.AppendFloat(to, float64(a.Wait), 'f', 3, 32)
	}
	to = append(to, " HTTP/1.1\r\nHost: "...)
	to = append(to, m.Host...)
	to = append(to, "\r\n"+wire.Trace+": "...)
	to = wire.ID{Call: f.Call, Try: f.N}.Append(to)
	to = append(to, "\r\n"+wire.Method+": "...)
	to = append(to, m.Name...)
	if len(e.Tenants) > 0 {
		to = append(to, "\r\n"+wire.Tenant+": "...)
		to = append(to, e.Tenants[a.Tenant]...)
	}
	to = append(to, "\r\n"+wire.Left+": "...)
	to = strconv.AppendInt(to, max(1, (f.Until-e.now()).Milliseconds()), 10)
	if f.N > 0 && e.Clients.Marks {
		to = append(to, "\r\n"+wire.SecondTry+": 1"...)
	}
	if m.Repeat == judge.Deduplicated {
		to = append(to, "\r\n"+wire.Key+": "...)
		to = wire.ID{Call: f.Call}.Append(to)
	}
	if m.Repeat != judge.Idempotent {
		to = append(to, "\r\nContent-Length: "...)
		to = strconv.AppendUint(to, uint64(a.Body), 10)
	}
	to = append(to, "\r\n\r\n"...)
	if m.Repeat != judge.Idempotent {
		to = append(to, zeros[:a.Body]...)
	}
	return to
}

// read takes answers until the connection ends.
func (c *conn) read() {
	c.in = make([]byte, 1024)
	n := 0
	for {
		k, err := c.Read(c.in[n:])
		if n += k; k == 0 {
			c.broke(err, n > 0)
			return
		}
		used, ok := c.answers(c.in[:n])
		if !ok {
			c.broke(errSpoilt, true)
			return
		}
		n = copy(c.in, c.in[used:n])
		if n == len(c.in) {
			if n > 80<<10 {
				c.broke(errSpoilt, true)
				return
			}
			c.in = append(c.in, make([]byte, n)...)
		}
	}
}

var errSpoilt = errors.New("what came is no answer")

// answers takes each whole answer out of what has come.
func (c *conn) answers(b []byte) (used int, ok bool) {
	for {
		a, n, ok := parse(b[used:])
		if !ok || n == 0 {
			return used, ok
		}
		used += n
		if !c.answered(a, used < len(b)) {
			return used, true
		}
	}
}

// answer is what matters of one.
type answer struct {
	status int
	closes bool
	wait   time.Duration
	body   []byte
}

// parse reads one answer; n is 0 while it is not whole.
func parse(b []byte) (a answer, n int, ok bool) {
	if len(b) > 0 && b[0] != 'H' {
		return a, 0, false
	}
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return a, 0, len(b) < 16<<10
	}
	if end < 12 || string(b[:7]) != "HTTP/1." {
		return a, 0, false
	}
	status, err := strconv.Atoi(string(b[9:12]))
	if err != nil || status < 100 {
		return a, 0, false
	}
	a.status = status
	length := 0
	for line := range bytes.SplitSeq(b[:end], []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 || length > 64<<10 {
				return a, 0, false
			}
		case len(name) == len("Connection") && bytes.EqualFold(name, []byte("Connection")):
			a.closes = bytes.EqualFold(value, []byte("close"))
		case len(name) == len(wire.RetryAfter) && bytes.EqualFold(name, []byte(wire.RetryAfter)):
			a.wait = wire.Seconds(string(value))
		}
	}
	if len(b) < end+4+length {
		return a, 0, true
	}
	a.body = b[end+4 : end+4+length]
	return a, end + 4 + length, true
}

// answered ends the try that an answer belongs to, and tells whether the connection goes on.
func (c *conn) answered(a answer, more bool) bool {
	e := c.lane.e
	now := e.now()
	c.mu.Lock()
	f := c.cur
	if f == nil {
		if c.prev != nil && c.prev.Extra < 255 {
			c.prev.Extra++
		}
		c.mu.Unlock()
		return true
	}
	c.cur = nil
	f.Answered, f.wait = now, a.wait
	end := judge.Aborted
	switch a.status {
	case 200:
		end = judge.OK
		f.Foreign = !bytes.Contains(a.body, []byte(wire.ID{Call: f.Call, Try: f.N}.String()))
	case 429, 503:
		end = judge.PushedBack
	}
	f.Outcome = end
	t := f.ClientAttempt
	c.prev = &t
	if more {
		c.prev.Extra++ // nothing else was asked on this connection
	}
	dead := c.dead || a.closes
	if dead {
		c.dead = true
	}
	c.mu.Unlock()
	e.inFlight.Add(-1)
	c.SetReadDeadline(time.Time{})
	if !dead {
		c.lane.keep(c)
	}
	f.finish(end)
	if dead {
		c.Close() // read() comes back with an error and clears up
	}
	return true
}

// broke ends a connection: by its end, an error, or the time of the request on it.
func (c *conn) broke(err error, some bool) {
	e := c.lane.e
	c.Close()
	c.mu.Lock()
	f := c.cur
	c.cur, c.dead = nil, true
	if some && f == nil && c.prev != nil && errors.Is(err, errSpoilt) {
		c.prev.Extra++ // bytes that nobody asked for
	}
	c.note()
	c.mu.Unlock()
	c.lane.forget(c)
	if f == nil {
		return
	}
	e.inFlight.Add(-1)
	f.Answered = e.now()
	end := judge.Lost
	switch {
	case e.closed.Load():
		end = judge.ClientLeft
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.Answered = f.Until
		if e.target.Excused(f.dest, f.Sent) {
			end = judge.Excused
		}
	case e.target.Excused(f.dest, f.Sent):
		end = judge.Excused
	case !some:
		// Closed with nothing said: the node may close a connection between requests, and that can cross one. The
		// ledger tells whether it had sent this one on.
		end = judge.Crossed
	}
	f.Outcome = end
	e.log.AddAttempt(f.ClientAttempt)
	f.finish(end)
}

// kill closes a connection that has no request on it.
func (c *conn) kill() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	c.Close()
}

// forget gives a connection's place back.
func (l *lane) forget(c *conn) {
	l.mu.Lock()
	delete(l.all, c)
	list := l.idle[c.key]
	for i, x := range list {
		if x == c {
			l.idle[c.key] = append(list[:i], list[i+1:]...)
			break
		}
	}
	l.mu.Unlock()
	l.e.open.Add(-1)
	l.next()
}
