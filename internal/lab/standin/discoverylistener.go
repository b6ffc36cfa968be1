package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

// DiscoveryListener is where one node asks.
type DiscoveryListener struct {
	d       *Discovery
	node    int32
	addr    string
	ln      net.Listener
	conns   map[net.Conn]connState
	watches int
}

// connState is how far a connection has come.
type connState int

const (
	calling  connState = iota
	watching           // a watch that tells
	silent             // a watch that tells nothing any more and stays open
)

// Listen opens one for a node.
func (d *Discovery) Listen(node int32, addr string) (*DiscoveryListener, error) {
	door := &DiscoveryListener{d: d, node: node, addr: addr, conns: map[net.Conn]connState{}}
	if err := door.open(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.doors = append(d.doors, door)
	d.mu.Unlock()
	return door, nil
}

// Addr is where the door is.
func (o *DiscoveryListener) Addr() string { return o.addr }

// Watches counts the watches that were begun here, and those that last.
func (o *DiscoveryListener) Watches() (begun, last int) {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	for _, state := range o.conns {
		if state == watching {
			last++
		}
	}
	return o.watches, last
}

// Close takes no new call from now on, and ends those that are open after a while: discovery has moved.
func (o *DiscoveryListener) Close(after time.Duration) {
	o.d.mu.Lock()
	o.ln.Close()
	o.d.mu.Unlock()
	time.AfterFunc(after, func() {
		o.d.mu.Lock()
		defer o.d.mu.Unlock()
		for c := range o.conns {
			reset(c)
		}
	})
}

func (o *DiscoveryListener) open() error {
	ln, err := net.Listen("tcp", o.addr)
	if err != nil {
		return err
	}
	o.d.mu.Lock()
	o.ln, o.addr = ln, ln.Addr().String()
	o.d.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			o.d.mu.Lock()
			gone := o.d.gone
			if !gone {
				o.conns[c] = calling
			}
			o.d.mu.Unlock()
			if gone {
				reset(c)
				continue
			}
			go o.serve(c)
		}
	}()
	return nil
}

func message(revision int64, complete bool, members []Member) []byte {
	if members == nil {
		members = []Member{}
	}
	text, _ := json.Marshal(map[string]any{"revision": revision, "complete": complete, "members": members})
	return append(text, '\n')
}

func chunk(c net.Conn, text []byte) error {
	_, err := c.Write(append(append(strconv.AppendInt(nil, int64(len(text)), 16), "\r\n"...), append(text, "\r\n"...)...))
	return err
}

func (o *DiscoveryListener) serve(c net.Conn) {
	d := o.d
	defer func() {
		c.Close()
		d.mu.Lock()
		delete(o.conns, c)
		d.mu.Unlock()
	}()
	q := o.admitted(c)
	switch {
	case q == nil:
	case q.Query("follow") != "1":
		o.answerList(c)
	default:
		since, _ := strconv.ParseInt(q.Query("since"), 10, 64)
		o.watch(c, since)
	}
}

// admitted reads a call and has it wait for its turn. It is nil where the call ends here.
func (o *DiscoveryListener) admitted(c net.Conn) *wire.Request {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	q, err := wire.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return nil
	}
	c.SetReadDeadline(time.Time{})
	if q.Path != "/registry/instances" || q.Verb != "GET" {
		c.Write(wire.Answer(nil, 404, "Connection: close\r\n", nil))
		return nil
	}
	o.d.mu.Lock()
	delay := o.d.delay
	wait, taken := o.d.queue.take(time.Now())
	o.d.mu.Unlock()
	if !taken {
		c.Write(wire.Answer(nil, 503, "Connection: close\r\n", nil))
		return nil
	}
	time.Sleep(delay + wait)
	return q
}

func (o *DiscoveryListener) answerList(c net.Conn) {
	o.d.mu.Lock()
	revision, members := o.d.list()
	o.told(members, true)
	o.d.mu.Unlock()
	c.Write(wire.Answer(nil, 200, "Connection: close\r\nContent-Type: application/json\r\n", message(revision, true, members)))
}

// watch tells of the list and its changes until the connection ends, or for as long as this discovery's watches last.
func (o *DiscoveryListener) watch(c net.Conn, since int64) {
	d := o.d
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	left := make(chan struct{})
	go func() { // the watcher's farewell ends the watch at once
		c.Read(make([]byte, 1))
		c.Close()
		close(left)
	}()
	defer func() { c.Close(); <-left }()
	d.mu.Lock()
	o.conns[c] = watching
	o.watches++
	d.mu.Unlock()
	ends := time.Now().Add(d.Wait)
	for first := true; ; first = false {
		d.mu.Lock()
		state, wake, delay := o.conns[c], d.wake, d.delay
		changed := d.revision > since
		d.mu.Unlock()
		if state == silent {
			<-left
			return
		}
		if changed || first {
			time.Sleep(delay)
			revision, err := o.tell(c, since)
			if err == errSilent {
				continue
			}
			if err != nil || d.Watch == WatchEndsWithList || d.Watch == WatchWaits && !first {
				return
			}
			since = revision
			continue
		}
		quiet := d.Every
		if d.Watch == WatchWaits {
			if time.Now().After(ends) {
				return
			}
			quiet = min(quiet, time.Until(ends)+time.Millisecond)
		}
		select {
		case <-wake:
		case <-left:
			return
		case <-time.After(quiet):
			c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if chunk(c, []byte("\n")) != nil {
				return
			}
		}
	}
}

var errSilent = errors.New("the watch has fallen silent")

// tell writes what has changed since a revision, or the whole list where that is not known any more, and returns the revision told.
// It writes under the lock, so that the ledger's order is that of the socket.
func (o *DiscoveryListener) tell(c net.Conn, since int64) (int64, error) {
	d := o.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.conns[c] == silent {
		return 0, errSilent
	}
	revision, members := d.list()
	complete := since == 0 || since > revision || len(d.changes) == 0 || d.changes[0].revision > since+1
	if !complete {
		members = nil
		for _, ch := range d.changes {
			if ch.revision > since {
				members = append(members, ch.member)
			}
		}
	}
	o.told(members, complete)
	c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	return revision, chunk(c, message(revision, complete, members))
}

// told notes in the ledger what a node has been told, under the lock. A server that a whole list lacks is gone.
func (o *DiscoveryListener) told(members []Member, whole bool) {
	d := o.d
	if d.Log == nil {
		return
	}
	at := time.Since(d.Begin)
	for _, m := range members {
		d.Log.AddNotification(judge.Notification{Node: o.node, Server: m.Index, State: states[m.Phase], At: at})
	}
	if !whole {
		return
	}
	for _, ch := range d.changes {
		if _, listed := d.members[ch.member.ID]; !listed {
			d.Log.AddNotification(judge.Notification{Node: o.node, Server: ch.member.Index, State: judge.Gone, At: at})
		}
	}
}
