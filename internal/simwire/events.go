package simwire

import (
	"fmt"
	"math"

	"robincart/decide"
)

// Bits of an arrival's flags.
const (
	flagWorkHint = 1 << iota
	flagRetry
)

// results are the results by the names that the wire has for them.
var results = map[string]decide.Result{
	"Ok":           decide.OK,
	"Failed":       decide.Failed,
	"QueueFull":    decide.Rejected,
	"TimedOut":     decide.TimedOut,
	"ConnectError": decide.ConnectFailed,
	"ResetByPeer":  decide.Reset,
	"Canceled":     decide.Canceled,
	"Ignored":      decide.NotSent,
}

// handleEvent handles an event of the instance. The fields are those that follow its id.
func (i *instance) handleEvent(name string, fields *fieldReader) error {
	switch name {
	case "TARGETS":
		return i.handleWatchEvent(fields)
	case "INCOMING":
		return i.handleArrival(fields)
	case "RESPONSE":
		return i.handleResult(fields)
	case "VANISHED":
		return i.handleClientGone(fields)
	case "RING":
		return i.handleTimer(fields)
	case "ESTABLISHED":
		return i.handleResponseStarted(fields)
	case "CHECK_RESULT":
		return i.handleProbeResult(fields)
	case "MESSAGE":
		fields.integer()
		fields.skip()
		return fields.end() // nodes do not talk to each other
	}
	return fmt.Errorf("unknown event %q", name)
}

// handleWatchEvent handles a server list, or the failure to get one.
func (i *instance) handleWatchEvent(fields *fieldReader) error {
	kind := fields.text()
	fields.integer()
	number := fields.integer()
	if err := fields.end(); err != nil {
		return err
	}
	switch kind {
	case "FAILED":
		i.balancer.EndpointWatchFailed(i.hadWatchEvent, 0, math.Inf(1)) // the simulator's rules bound no wait
		i.hadWatchEvent = false
		return nil
	case "FULL", "SAVED", "INCREMENTAL":
		i.hadWatchEvent = true
		return i.updateEndpoints(number, kind != "INCREMENTAL")
	}
	return fmt.Errorf("unknown list kind %q", kind)
}

// updateEndpoints hands the balancer a numbered server list.
func (i *instance) updateEndpoints(number int, full bool) error {
	list, ok := i.hub.lists[number]
	if !ok {
		return fmt.Errorf("list %d was never set up", number)
	}
	updates := make([]decide.EndpointUpdate, 0, len(list))
	for _, entry := range list {
		updates = append(updates, decide.EndpointUpdate{
			Server:    i.server(entry.addr),
			State:     entry.state,
			Zone:      entry.zone,
			Cell:      entry.cell,
			Weight:    entry.weight,
			StartedAt: entry.startedAt,
		})
	}
	i.balancer.UpdateEndpoints(updates, full)
	return nil
}

// handleArrival handles a new request.
func (i *instance) handleArrival(fields *fieldReader) error {
	id := fields.text()
	rpc := &decide.RPC{Deadline: fields.seconds()}
	flags := fields.integer()
	rpc.Retry = flags&flagRetry != 0
	if hint := fields.seconds(); flags&flagWorkHint != 0 {
		rpc.WorkHint = max(0, hint)
	}
	rpc.Method = fields.integer()
	rpc.Tenant = fields.integer()
	fields.integer() // the key: nothing decides by it
	if rpc.Method < 0 || rpc.Method >= len(i.settings.Methods) {
		fields.fail("class %d is not in the settings", rpc.Method)
	}
	if rpc.Tenant < 0 || rpc.Tenant >= max(1, len(i.settings.Tenants)) {
		fields.fail("tenant %d is not in the settings", rpc.Tenant)
	}
	if i.requests[id] != nil {
		fields.fail("request %s arrived twice", id)
	}
	if err := fields.end(); err != nil {
		return err
	}
	r := &request{id: id, rpc: rpc}
	i.requests[id], i.requestsByRPC[rpc] = r, r
	i.balancer.Arrived(rpc)
	return nil
}

// handleResult handles the result of an attempt. One of a request that is no longer known is passed over.
func (i *instance) handleResult(fields *fieldReader) error {
	id := fields.text()
	number := fields.integer()
	result := i.readResult(fields)
	fields.skip() // the server's address
	rpcEnded := fields.integer() != 0
	took := fields.seconds()
	load := i.readLoadReport(fields)
	if err := fields.end(); err != nil {
		return err
	}
	r := i.requests[id]
	if r == nil {
		return nil
	}
	if number < 0 || number >= len(r.attempts) {
		return fmt.Errorf("request %s has no attempt %d", id, number)
	}
	attempt := r.attempts[number]
	if _, inFlight := i.attemptNumbers[attempt]; !inFlight {
		return nil
	}
	delete(i.attemptNumbers, attempt)
	r.inFlight--
	if rpcEnded {
		r.ended = true
	}
	i.balancer.AttemptDone(attempt, result, rpcEnded, took, load)
	i.drop(r)
	return nil
}

// handleClientGone handles the departure of a request's client.
func (i *instance) handleClientGone(fields *fieldReader) error {
	id := fields.text()
	if err := fields.end(); err != nil {
		return err
	}
	r := i.requests[id]
	if r == nil || r.ended {
		return nil
	}
	i.end(r)
	i.balancer.ClientGone(r.rpc)
	return nil
}

// handleTimer handles the end of a timer.
func (i *instance) handleTimer(fields *fieldReader) error {
	number := fields.integer()
	if err := fields.end(); err != nil {
		return err
	}
	payload, ok := i.timers[number]
	if !ok {
		return fmt.Errorf("timer %d was never set", number)
	}
	delete(i.timers, number)
	i.balancer.TimerFired(payload)
	return nil
}

// handleResponseStarted handles the begin of a streamed answer.
func (i *instance) handleResponseStarted(fields *fieldReader) error {
	id := fields.text()
	fields.skip() // the server's address
	number := fields.integer()
	fields.seconds() // what it took
	if err := fields.end(); err != nil {
		return err
	}
	r := i.requests[id]
	if r != nil && number >= 0 && number < len(r.attempts) {
		i.balancer.ResponseStarted(r.attempts[number])
	}
	return nil
}

// handleProbeResult checks the result of a probe, which no decision asks for.
func (i *instance) handleProbeResult(fields *fieldReader) error {
	i.readResult(fields)
	fields.seconds() // what it took
	addr := fields.text()
	i.readLoadReport(fields)
	if i.servers[addr] == nil {
		fields.fail("probe result of a server never listed")
	}
	return fields.end()
}

// readResult reads a result.
func (i *instance) readResult(fields *fieldReader) decide.Result {
	name := fields.text()
	result, known := results[name]
	if !known {
		fields.fail("unknown result %q", name)
	}
	return result
}

// readLoadReport reads a load report; nil stands for none.
func (i *instance) readLoadReport(fields *fieldReader) *decide.LoadReport {
	s := fields.text()
	if s == absent || s == "" {
		return nil
	}
	load, err := i.settings.ParseLoadReport(s)
	if err != nil {
		fields.fail("%w", err)
	}
	return load
}
