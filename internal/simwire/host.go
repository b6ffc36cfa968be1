package simwire

import (
	"strconv"

	"robincart/decide"
)

// Now returns the time of the batch, in seconds.
func (i *instance) Now() float64 { return i.hub.now }

// Send writes a ROUTE command.
func (i *instance) Send(attempt *decide.Attempt, timeout float64) {
	r, addr := i.requestsByRPC[attempt.RPC], i.addresses[attempt.Server]
	if r == nil || r.ended || addr == "" {
		i.reportViolation("balancer sent an attempt for an RPC that has ended, or to a server that was never listed")
		return
	}
	i.attemptNumbers[attempt] = len(r.attempts)
	r.attempts = append(r.attempts, attempt)
	r.inFlight++
	i.writeCommand("ROUTE", r.id, addr, milliseconds(timeout))
}

// Cancel writes an UNDO_SEND command.
func (i *instance) Cancel(attempt *decide.Attempt) {
	number, inFlight := i.attemptNumbers[attempt]
	if !inFlight || !i.settings.MayCancel {
		i.reportViolation("balancer canceled an attempt that is not in flight, or without MayCancel in the settings")
		return
	}
	i.writeCommand("UNDO_SEND", i.requestsByRPC[attempt.RPC].id, strconv.Itoa(number))
}

// CloseIdleConnections writes a FREE_LINKS command.
func (i *instance) CloseIdleConnections(s *decide.Server) {
	addr := i.addresses[s]
	if addr == "" {
		i.reportViolation("balancer closed connections to a server that was never listed")
		return
	}
	i.writeCommand("FREE_LINKS", addr)
}

// PushBack writes a DENY command.
func (i *instance) PushBack(rpc *decide.RPC, retryAfter float64) {
	if r := i.endAnswered("DENY", rpc); r != nil {
		i.writeCommand("DENY", r.id, milliseconds(retryAfter))
	}
}

// Abort writes a REPORT_FAILURE command.
func (i *instance) Abort(rpc *decide.RPC) {
	if r := i.endAnswered("REPORT_FAILURE", rpc); r != nil {
		i.writeCommand("REPORT_FAILURE", r.id)
	}
}

// endAnswered ends the request of the RPC that the command answers, and returns that request. If the request has
// already ended, it reports a violation and returns nil.
func (i *instance) endAnswered(command string, rpc *decide.RPC) *request {
	r := i.requestsByRPC[rpc]
	if r == nil || r.ended {
		i.reportViolation("%s for an RPC that has ended", command)
		return nil
	}
	i.endRequest(r)
	return r
}

// StartTimer writes an AFTER command.
func (i *instance) StartTimer(delay float64, payload any) {
	i.lastTimer++
	i.timers[i.lastTimer] = payload
	i.writeCommand("AFTER", strconv.Itoa(i.lastTimer), milliseconds(max(delay, 0)))
}

// WatchEndpoints writes a WATCH command.
func (i *instance) WatchEndpoints() { i.writeCommand("WATCH", "1") }

// writeCommand writes a line with the command's name, the instance's id and the values.
func (i *instance) writeCommand(name string, values ...string) {
	w := i.hub.out
	w.WriteString(name)
	w.WriteByte(' ')
	w.WriteString(strconv.Itoa(i.id))
	for _, value := range values {
		w.WriteByte(' ')
		w.WriteString(value)
	}
	w.WriteByte('\n')
}
