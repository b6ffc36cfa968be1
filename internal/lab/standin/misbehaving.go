package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/wire"
)

// MisbehavingClients misbehave at one node: they stop in the middle of a request and stay, connect and send nothing,
// send a flood of bytes, leave early, pipeline requests, and send requests with hardly any time left. Their requests
// are in the ledger like those of any other client.
type MisbehavingClients struct {
	Begin   time.Time
	Dest    load.Destination
	Log     *judge.Ledger
	Method  uint16 // an idempotent one
	Name    string // the method's
	Host    string
	Tenant  string
	Calls   *atomic.Uint32 // counts the calls of all misbehaving clients in the run
	Excused func(since time.Duration) bool
	Slack   time.Duration // how long past its deadline a response is waited for
}

const (
	// firstMisbehavingCall is below the numbers of these clients' calls.
	firstMisbehavingCall = 0xc0000000
	// minArrivalGap and twice that bound the time between two clients of one kind.
	minArrivalGap = 120 * time.Millisecond
	// maxStay is how long a client that sends nothing stays.
	maxStay = 5 * time.Second
	// stallWriteTimeout bounds the write of a part of a request.
	stallWriteTimeout = time.Second
	// floodSize and floodWriteTimeout bound a flood.
	floodSize         = 256 << 10
	floodWriteTimeout = 50 * time.Millisecond
	// maxLeaveDelay bounds the time after which a client leaves early.
	maxLeaveDelay = 40 * time.Millisecond
)

// stalledBodySizes are the sizes of the bodies in which a client stalls; with 0 it stalls in the head.
var stalledBodySizes = []int{0, 1 << 10, 60 << 10, 512 << 10}

// Run plays clients of each kind until the context ends, and waits for the responses that are due.
func (m *MisbehavingClients) Run(ctx context.Context) {
	kinds := []func(context.Context){m.Stall, m.sendNothing, m.flood, m.leave, m.pipeline, m.hurry}
	var running sync.WaitGroup
	for _, play := range kinds {
		running.Go(func() { playRepeatedly(ctx, play) })
	}
	running.Wait()
}

// playRepeatedly plays clients of one kind, one after another or at the same time.
func playRepeatedly(ctx context.Context, play func(context.Context)) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		running.Go(func() { play(ctx) })
		select {
		case <-ctx.Done():
		case <-time.After(minArrivalGap + rand.N(minArrivalGap)):
		}
	}
}

// dial connects to the node. It returns nil if that fails: then there is nothing to misbehave at.
func (m *MisbehavingClients) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", m.Dest.Addr, dialTimeout)
	if err != nil {
		return nil
	}
	return conn
}

func (m *MisbehavingClients) now() time.Duration { return time.Since(m.Begin) }

// newRequest returns a request, and its entry for the ledger.
func (m *MisbehavingClients) newRequest(timeLeft, work time.Duration) (string, judge.ClientAttempt) {
	id := judge.ID{Call: firstMisbehavingCall + m.Calls.Add(1)}
	now := m.now()
	attempt := judge.ClientAttempt{
		ID:       id,
		Method:   m.Method,
		Node:     m.Dest.Node,
		Planned:  now,
		HandedAt: now,
		Sent:     now,
		Deadline: now + timeLeft,
	}
	var b strings.Builder
	workMS := float64(work) / float64(time.Millisecond)
	fmt.Fprintf(&b, "GET /%s/rude?w=%.1f HTTP/1.1\r\nHost: %s\r\n", m.Name, workMS, m.Host)
	fmt.Fprintf(&b, "%s: %s\r\n", wire.HeaderTraceID, wire.ID{Call: id.Call})
	fmt.Fprintf(&b, "%s: %s\r\n", wire.HeaderMethod, m.Name)
	fmt.Fprintf(&b, "%s: %s\r\n", wire.HeaderTenant, m.Tenant)
	fmt.Fprintf(&b, "%s: %d\r\n\r\n", wire.HeaderTimeLeft, timeLeft.Milliseconds())
	return b.String(), attempt
}

// Stall sends a part of a request and stays. It stops in the head, or in a body of up to half a megabyte.
func (m *MisbehavingClients) Stall(ctx context.Context) {
	conn := m.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	request, _ := m.newRequest(time.Second, 0)
	size := stalledBodySizes[rand.IntN(len(stalledBodySizes))]
	part := request[:len(request)/2]
	if size > 0 {
		head := strings.TrimSuffix(request, "\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
		part = head + strings.Repeat("x", size*3/4)
	}
	conn.SetWriteDeadline(time.Now().Add(stallWriteTimeout))
	conn.Write([]byte(part))
	stoppedAt := m.now()
	stay(ctx, conn)
	if ctx.Err() == nil {
		m.Log.AddStalledClient(judge.StalledClient{Node: m.Dest.Node, Stopped: stoppedAt, Ended: m.now()})
	}
}

// sendNothing connects and stays.
func (m *MisbehavingClients) sendNothing(ctx context.Context) {
	conn := m.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	stay(ctx, conn)
}

// stay waits until something is received or the connection ends, for a while.
func stay(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetReadDeadline(time.Now().Add(maxStay))
	conn.Read(make([]byte, 512))
}

// flood sends many bytes that are no request, and resets the connection.
func (m *MisbehavingClients) flood(context.Context) {
	conn := m.dial()
	if conn == nil {
		return
	}
	conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
	conn.Write(make([]byte, floodSize))
	reset(conn)
}

// leave sends a request and leaves soon, by closing or resetting the connection.
func (m *MisbehavingClients) leave(context.Context) {
	conn := m.dial()
	if conn == nil {
		return
	}
	request, attempt := m.newRequest(2*time.Second, 20*time.Millisecond)
	conn.Write([]byte(request))
	time.Sleep(rand.N(maxLeaveDelay))
	if rand.IntN(2) == 0 {
		reset(conn)
	} else {
		conn.Close()
	}
	attempt.Outcome, attempt.Answered = judge.ClientLeft, m.now()
	m.Log.AddAttempt(attempt)
}
