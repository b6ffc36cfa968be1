package simwire

import (
	"fmt"
	"math"

	"robincart/decide"
)

// Bits of the flags of an INCOMING event.
const (
	flagWorkHint = 1 << iota
	flagRetry
)

// results maps the protocol's names to results.
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

// handleEvent handles an event of the instance. The fields are those after the instance's id.
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
		return fields.end() // ignored: the balancers of nodes do not exchange messages
	}
	return fmt.Errorf("unknown event %q", name)
}

// handleWatchEvent handles an update of the server list, or the failure of the watch.
func (i *instance) handleWatchEvent(fields *fieldReader) error {
	kind := fields.text()
	fields.integer()
	number := fields.integer()
	if err := fields.end(); err != nil {
		return err
	}
	switch kind {
	case "FAILED":
		i.balancer.EndpointWatchFailed(i.hadWatchEvent, 0, math.Inf(1)) // the simulator sets no bounds for the wait
		i.hadWatchEvent = false
		return nil
	case "FULL", "SAVED", "INCREMENTAL":
		i.hadWatchEvent = true
		return i.updateEndpoints(number, kind != "INCREMENTAL")
	}
	return fmt.Errorf("unknown list kind %q, expected FAILED, FULL, SAVED or INCREMENTAL", kind)
}

// updateEndpoints passes server list number `number` to the balancer.
func (i *instance) updateEndpoints(number int, full bool) error {
	list, ok := i.hub.lists[number]
	if !ok {
		return fmt.Errorf("server list %d is unknown: no SNAPSHOT_ROWS has that number", number)
	}
	updates := make([]decide.EndpointUpdate, 0, len(list))
	for _, entry := range list {
		updates = append(updates, decide.EndpointUpdate{
			Server:    i.serverAt(entry.addr),
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
	fields.integer() // the request's key, which the balancer does not use
	if rpc.Method < 0 || rpc.Method >= len(i.settings.Methods) {
		fields.fail("class %d is not in the settings, which have %d classes", rpc.Method, len(i.settings.Methods))
	}
	if rpc.Tenant < 0 || rpc.Tenant >= max(1, len(i.settings.Tenants)) {
		fields.fail("tenant %d is not in the settings, which have %d tenants", rpc.Tenant, len(i.settings.Tenants))
	}
	if i.requests[id] != nil {
		fields.fail("request %s arrived twice: an earlier one with this id is still in progress", id)
	}
	if err := fields.end(); err != nil {
		return err
	}
	r := &request{id: id, rpc: rpc}
	i.requests[id], i.requestsByRPC[rpc] = r, r
	i.balancer.Arrived(rpc)
	return nil
}

// handleResult handles the result of an attempt. It ignores results of unknown requests, and all results of an attempt
// after the first.
func (i *instance) handleResult(fields *fieldReader) error {
	id := fields.text()
	number := fields.integer()
	result := i.readResult(fields)
	fields.skip() // the server's address
	rpcEnded := fields.integer() != 0
	elapsed := fields.seconds()
	load := i.readLoadReport(fields)
	if err := fields.end(); err != nil {
		return err
	}
	r := i.requests[id]
	if r == nil {
		return nil
	}
	if number < 0 || number >= len(r.attempts) {
		return fmt.Errorf("request %s has no attempt %d: it has %d attempts", id, number, len(r.attempts))
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
	i.balancer.AttemptDone(attempt, result, rpcEnded, elapsed, load)
	i.removeIfDone(r)
	return nil
}

// handleClientGone handles the disconnect of a request's client.
func (i *instance) handleClientGone(fields *fieldReader) error {
	id := fields.text()
	if err := fields.end(); err != nil {
		return err
	}
	r := i.requests[id]
	if r == nil || r.ended {
		return nil
	}
	i.endRequest(r)
	i.balancer.ClientGone(r.rpc)
	return nil
}

// handleTimer handles the expiry of a timer.
func (i *instance) handleTimer(fields *fieldReader) error {
	number := fields.integer()
	if err := fields.end(); err != nil {
		return err
	}
	payload, ok := i.timers[number]
	if !ok {
		return fmt.Errorf("timer %d is not running", number)
	}
	delete(i.timers, number)
	i.balancer.TimerFired(payload)
	return nil
}

// handleResponseStarted handles the start of a streamed response.
func (i *instance) handleResponseStarted(fields *fieldReader) error {
	id := fields.text()
	fields.skip() // the server's address
	number := fields.integer()
	fields.seconds() // elapsed time
	if err := fields.end(); err != nil {
		return err
	}
	r := i.requests[id]
	if r != nil && number >= 0 && number < len(r.attempts) {
		i.balancer.ResponseStarted(r.attempts[number])
	}
	return nil
}

// handleProbeResult checks the form of a probe's result. The balancer sends no probes, so the result is not used.
func (i *instance) handleProbeResult(fields *fieldReader) error {
	i.readResult(fields)
	fields.seconds() // elapsed time
	addr := fields.text()
	i.readLoadReport(fields)
	if i.servers[addr] == nil {
		fields.fail("probe result of server %q, which was never listed", addr)
	}
	return fields.end()
}

// readResult reads the name of a result.
func (i *instance) readResult(fields *fieldReader) decide.Result {
	name := fields.text()
	result, known := results[name]
	if !known {
		fields.fail("unknown result %q", name)
	}
	return result
}

// readLoadReport reads a load report. It returns nil if there is none.
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
