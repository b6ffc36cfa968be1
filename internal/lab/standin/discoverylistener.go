package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

// The calls that discovery answers.
const (
	pathMembers = "/registry/instances"
	queryWatch  = "follow"
	querySince  = "since"

	// maxCallReadTime is how long a call may take to be read.
	maxCallReadTime = 5 * time.Second
)

// connState is what a connection to discovery is used for.
type connState int

const (
	connCalling  connState = iota // a call that was not answered yet, or for the list only
	connWatching                  // a watch
	connMuted                     // a watch that stays open and sends nothing
)

// DiscoveryListener is the address at which one node reaches discovery.
type DiscoveryListener struct {
	discovery *Discovery
	node      int32
	addr      string
	listener  net.Listener

	// Under discovery's mutex.
	conns        map[net.Conn]*connState
	watchesBegun int
	closed       bool // discovery has moved
}

// Listen opens a listener for a node.
func (d *Discovery) Listen(node int32, addr string) (*DiscoveryListener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &DiscoveryListener{
		discovery: d,
		node:      node,
		addr:      listener.Addr().String(),
		listener:  listener,
		conns:     map[net.Conn]*connState{},
	}
	d.mu.Lock()
	d.listeners = append(d.listeners, l)
	d.mu.Unlock()
	go l.accept()
	return l, nil
}

// Addr is the address that it listens on.
func (d *DiscoveryListener) Addr() string { return d.addr }

// Watches returns how many watches were begun here, and how many of them last.
func (d *DiscoveryListener) Watches() (begun, lasting int) {
	d.discovery.mu.Lock()
	defer d.discovery.mu.Unlock()
	for _, state := range d.conns {
		if *state == connWatching {
			lasting++
		}
	}
	return d.watchesBegun, lasting
}

// Close accepts no new connection from now on, and resets the open ones after a while: discovery has moved.
func (d *DiscoveryListener) Close(after time.Duration) {
	d.listener.Close()
	d.discovery.mu.Lock()
	d.closed = true
	d.discovery.mu.Unlock()
	time.AfterFunc(after, func() {
		d.discovery.mu.Lock()
		defer d.discovery.mu.Unlock()
		for conn := range d.conns {
			reset(conn)
		}
	})
}

// accept accepts connections until the listener is closed.
func (d *DiscoveryListener) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		if !d.addConn(conn) {
			reset(conn)
			continue
		}
		go d.serve(conn)
	}
}

// addConn adds a connection. It returns false while discovery is down.
func (d *DiscoveryListener) addConn(conn net.Conn) bool {
	d.discovery.mu.Lock()
	defer d.discovery.mu.Unlock()
	if d.discovery.down {
		return false
	}
	d.conns[conn] = new(connState)
	return true
}

func (d *DiscoveryListener) removeConn(conn net.Conn) {
	conn.Close()
	d.discovery.mu.Lock()
	defer d.discovery.mu.Unlock()
	delete(d.conns, conn)
}

// serve answers the one call of a connection.
func (d *DiscoveryListener) serve(conn net.Conn) {
	defer d.removeConn(conn)
	call := d.readCall(conn)
	if call == nil || !d.admit(conn) {
		return
	}
	if call.Query(queryWatch) != "1" {
		d.sendList(conn)
		return
	}
	since, _ := strconv.ParseInt(call.Query(querySince), 10, 64)
	d.watch(conn, since)
}

// readCall reads a call. It is nil if the call ends here.
func (d *DiscoveryListener) readCall(conn net.Conn) *wire.Request {
	conn.SetReadDeadline(time.Now().Add(maxCallReadTime))
	call, err := wire.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil
	}
	conn.SetReadDeadline(time.Time{})
	if call.Path != pathMembers || call.Verb != "GET" {
		conn.Write(wire.AppendResponse(nil, 404, "Connection: close\r\n", nil))
		return nil
	}
	return call
}

// admit waits until it is a call's turn to be answered. It returns false if the call was rejected.
func (d *DiscoveryListener) admit(conn net.Conn) bool {
	d.discovery.mu.Lock()
	delay := d.discovery.delay
	wait, admitted := d.discovery.queue.admit(time.Now())
	d.discovery.mu.Unlock()
	if !admitted {
		conn.Write(wire.AppendResponse(nil, 503, "Connection: close\r\n", nil))
		return false
	}
	time.Sleep(delay + wait)
	return true
}

// sendList answers a call with a snapshot.
func (d *DiscoveryListener) sendList(conn net.Conn) {
	d.discovery.mu.Lock()
	revision, members := d.discovery.revision, d.discovery.snapshot()
	d.record(members, true)
	d.discovery.mu.Unlock()
	text := encodeList(revision, true, members)
	conn.Write(wire.AppendResponse(nil, 200, "Connection: close\r\nContent-Type: application/json\r\n", text))
}

// record notes in the ledger what the node is notified of. A server that a snapshot does not list is gone. The mutex is
// held.
func (d *DiscoveryListener) record(members []Member, complete bool) {
	if d.discovery.Log == nil {
		return
	}
	at := time.Since(d.discovery.Begin)
	add := func(m Member, state judge.State) {
		d.discovery.Log.AddNotification(judge.Notification{Node: d.node, Server: m.Index, State: state, At: at})
	}
	for _, m := range members {
		add(m, ledgerStates[m.Phase])
	}
	if !complete {
		return
	}
	for _, old := range d.discovery.deltas {
		if _, listed := d.discovery.members[old.member.ID]; !listed {
			add(old.member, judge.Gone)
		}
	}
}

// RecordKnown notes in the ledger what a node's new process knows from before its start. What the process before was
// notified of may have changed since.
func (d *Discovery) RecordKnown(node int32, members []Member) {
	if d.Log == nil {
		return
	}
	at := time.Since(d.Begin)
	for _, m := range members {
		d.Log.AddNotification(judge.Notification{Node: node, Server: m.Index, State: ledgerStates[m.Phase], At: at})
	}
}

// encodeList is one line: a snapshot of the list, or a delta.
func encodeList(revision int64, complete bool, members []Member) []byte {
	if members == nil {
		members = []Member{}
	}
	text, _ := json.Marshal(listMessage{Complete: complete, Members: members, Revision: revision})
	return append(text, '\n')
}

// writeChunk writes one chunk of a chunked response.
func writeChunk(conn net.Conn, text []byte) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	return err
}
