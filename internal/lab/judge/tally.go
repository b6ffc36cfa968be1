package judge

import (
	"slices"
	"time"
)

// callResult is what a call was worth to its client. The first OK counts, from the moment that the call was planned.
type callResult struct {
	ok             bool
	inTime         bool
	latency        time.Duration // if it ended ok
	end            time.Duration // when its last attempt ended
	offeredUtility float64
	earnedUtility  float64
}

// newCallResult evaluates a call of a method.
func newCallResult(method Method, c call) callResult {
	result := callResult{offeredUtility: method.Utility}
	planned := c.first().Planned
	for _, attempt := range c.attempts {
		result.end = max(result.end, attempt.Answered)
		if attempt.Outcome != OK || attempt.Foreign {
			continue
		}
		latency := attempt.Answered - planned
		if !result.ok || latency < result.latency {
			result.ok, result.latency = true, latency
		}
	}
	switch {
	case !result.ok:
	case result.latency <= method.Target:
		result.inTime = true
		result.earnedUtility = method.Utility
	case result.latency <= method.Deadline:
		result.earnedUtility = method.Utility * method.LateUtility
	}
	return result
}

// tally counts what a call was worth, in all sums to which it belongs.
func (e *evaluation) tally(c call) {
	first, v := c.first(), e.verdict
	result := newCallResult(e.rules.Methods[first.Method], c)
	if result.ok {
		record(v.Latency, result.latency)
		record(v.ByMethod[first.Method], result.latency)
	}
	v.All.add(result)
	v.Methods[first.Method].add(result)
	if int(first.Tenant) < len(v.Tenants) {
		v.Tenants[first.Tenant].add(result)
	}
	second := int(first.Planned / time.Second)
	if second >= len(v.Seconds) {
		return
	}
	v.Seconds[second].add(result)
	if result.ok {
		e.okLatencies[second] = append(e.okLatencies[second], result.latency)
	}
	for s := second; s < len(v.Seconds) && result.end > time.Duration(s+1)*time.Second; s++ {
		v.Seconds[s].Open++
	}
}

// secondPercentiles sets the percentiles of each second.
func (e *evaluation) secondPercentiles() {
	for second, latencies := range e.okLatencies {
		n := len(latencies)
		if n == 0 {
			continue
		}
		slices.Sort(latencies)
		e.verdict.Seconds[second].P50 = latencies[n/2]
		e.verdict.Seconds[second].P99 = latencies[min(n-1, n*99/100)]
	}
}
