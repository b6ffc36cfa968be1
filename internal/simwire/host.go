package simwire

import (
	"strconv"

	"robincart/decide"
)

// Now is the batch's time.
func (i *instance) Now() float64 { return i.hub.now }

// Send writes a ROUTE.
func (i *instance) Send(attempt *decide.Attempt, timeout float64) {
	r, addr := i.requestsByRPC[attempt.RPC], i.addresses[attempt.Server]
	if r == nil || r.ended || addr == "" {
		i.violate("send for an RPC that has ended, or to a server never listed")
		return
	}
	i.attemptNumbers[attempt] = len(r.attempts)
	r.attempts = append(r.attempts, attempt)
	r.inFlight++
	i.writeOrder("ROUTE", r.id, addr, milliseconds(timeout))
}

// Cancel writes an UNDO_SEND.
func (i *instance) Cancel(attempt *decide.Attempt) {
	number, inFlight := i.attemptNumbers[attempt]
	if !inFlight || !i.settings.MayCancel {
		i.violate("cancel of an attempt that is not in flight, or where cancels are not allowed")
		return
	}
	i.writeOrder("UNDO_SEND", i.requestsByRPC[attempt.RPC].id, strconv.Itoa(number))
}

// CloseIdleConnections writes a FREE_LINKS.
func (i *instance) CloseIdleConnections(s *decide.Server) {
	addr := i.addresses[s]
	if addr == "" {
		i.violate("closing connections to a server never listed")
		return
	}
	i.writeOrder("FREE_LINKS", addr)
}

// PushBack writes a DENY.
func (i *instance) PushBack(rpc *decide.RPC, retryAfter float64) {
	if r := i.endAnswered("DENY", rpc); r != nil {
		i.writeOrder("DENY", r.id, milliseconds(retryAfter))
	}
}

// Abort writes a REPORT_FAILURE.
func (i *instance) Abort(rpc *decide.RPC) {
	if r := i.endAnswered("REPORT_FAILURE", rpc); r != nil {
		i.writeOrder("REPORT_FAILURE", r.id)
	}
}

// endAnswered ends the request of an RPC that an order answers. It is nil if the request has ended before.
func (i *instance) endAnswered(order string, rpc *decide.RPC) *request {
	r := i.requestsByRPC[rpc]
	if r == nil || r.ended {
		i.violate("%s for an RPC that has ended", order)
		return nil
	}
	i.end(r)
	return r
}

// StartTimer writes an AFTER.
func (i *instance) StartTimer(delay float64, payload any) {
	i.lastTimer++
	i.timers[i.lastTimer] = payload
	i.writeOrder("AFTER", strconv.Itoa(i.lastTimer), milliseconds(max(delay, 0)))
}

// WatchEndpoints writes a WATCH.
func (i *instance) WatchEndpoints() { i.writeOrder("WATCH", "1") }

// writeOrder writes a line with the order's name, the instance's id and the values.
func (i *instance) writeOrder(name string, values ...string) {
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
