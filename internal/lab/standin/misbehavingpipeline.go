package standin

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

const (
	// pipelinedRequests is how many requests are sent at once on one connection.
	pipelinedRequests = 4
	// The time left of the first pipelined request, and how much more each further one has.
	firstPipelinedTime = 500 * time.Millisecond
	morePipelinedTime  = 400 * time.Millisecond
	pipelinedWork      = 200 * time.Millisecond
	// The time left of a request in a hurry.
	minHurriedTime = time.Millisecond
	maxHurriedTime = 40 * time.Millisecond
	hurriedWork    = 5 * time.Millisecond
	// maxListenerCloseTime is the longest time between a connect and its reset that can be the listener's close.
	maxListenerCloseTime = 100 * time.Millisecond
)

// pipeline sends several requests at once, each with little time left, and reads the responses.
func (m *MisbehavingClients) pipeline(context.Context) {
	conn := m.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	var text string
	var attempts []judge.ClientAttempt
	for i := range pipelinedRequests {
		request, attempt := m.newRequest(firstPipelinedTime+time.Duration(i)*morePipelinedTime, pipelinedWork)
		text += request
		attempts = append(attempts, attempt)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return // it is not known how much of it was received
	}
	sentAt := time.Now()
	reader := bufio.NewReader(conn)
	ended := false
	for i := range attempts {
		attempt := &attempts[i]
		// The node may close the connection after a response. The judge counts a request behind it as lost if it was
		// forwarded nonetheless.
		attempt.Outcome = judge.Crossed
		if !ended {
			conn.SetReadDeadline(m.Begin.Add(attempt.Deadline + m.Slack))
			response, err := wire.ReadResponse(reader)
			ended = err != nil || response.Close
			switch {
			case err == nil:
				attempt.Outcome = responseOutcome(response.Status)
			case i == 0 && !m.listenerClosed(err, sentAt):
				attempt.Outcome = judge.Lost
			}
		}
		attempt.Answered = m.now()
		if attempt.Outcome >= judge.Lost && m.Excused(attempt.Sent) {
			attempt.Outcome = judge.Excused
		}
		m.Log.AddAttempt(*attempt)
	}
}

// hurry sends a request with hardly any time left.
func (m *MisbehavingClients) hurry(context.Context) {
	conn := m.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	dialedAt := time.Now()
	request, attempt := m.newRequest(minHurriedTime+rand.N(maxHurriedTime), hurriedWork)
	conn.SetDeadline(m.Begin.Add(attempt.Deadline + m.Slack))
	if _, err := conn.Write([]byte(request)); err != nil {
		return
	}
	response, err := wire.ReadResponse(bufio.NewReader(conn))
	attempt.Answered = m.now()
	switch {
	case err == nil:
		attempt.Outcome = responseOutcome(response.Status)
	case m.Excused(attempt.Sent):
		attempt.Outcome = judge.Excused
	case m.listenerClosed(err, dialedAt):
		attempt.Outcome = judge.Crossed
	default:
		attempt.Outcome = judge.Lost
	}
	m.Log.AddAttempt(attempt)
}

// listenerClosed returns whether a connection was reset because its node closed the listener while the connection was
// in the listener's queue. A node accepts what is queued before it closes, but no system call does both at once: what
// the kernel queues in between is reset unread, and a request that was never read is not lost by the operators' terms.
// The judge still counts it as lost if a server received it.
func (m *MisbehavingClients) listenerClosed(err error, dialedAt time.Time) bool {
	if !errors.Is(err, syscall.ECONNRESET) || time.Since(dialedAt) > maxListenerCloseTime {
		return false
	}
	conn, err := net.DialTimeout("tcp", m.Dest.Addr, dialTimeout)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
