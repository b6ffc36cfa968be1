// Package judge holds the ledger of a run, with every request of a client or at a server, and evaluates from that alone
// whether the nodes kept the rules and what the clients got. It is pure: it reads no clock, and times are handed in,
// counted from the run's start. Records are added by the load generator and the stand-ins; starting those and writing
// results is up to other packages.
package judge

import (
	"cmp"
	"slices"
	"time"
)

// Judge evaluates a ledger once all that write to it have ended.
func Judge(rules Rules, l *Ledger) *Verdict {
	records := l.snapshot()
	verdict := newVerdict(rules)
	e := &evaluation{
		rules:         rules,
		verdict:       verdict,
		records:       records,
		notifications: byLink(records.notifications),
		okLatencies:   make([][]time.Duration, len(verdict.Seconds)),
	}
	verdict.Attempts, verdict.ServerRequests = len(records.attempts), len(records.requests)
	eachCall(records.attempts, records.requests, e.checkCall)
	e.checkOverloads()
	e.checkStalledClients()
	e.secondPercentiles()
	verdict.Schedule = newSchedule(records.attempts)
	return verdict
}

// evaluation is the state of one call of Judge.
type evaluation struct {
	rules         Rules
	verdict       *Verdict
	records       records
	notifications map[link][]Notification
	okLatencies   [][]time.Duration // of the calls planned in each second that ended ok
}

// call is one call's records, both lists sorted.
type call struct {
	attempts []ClientAttempt // at least one
	requests []ServerRequest
}

// first is the first attempt, which has what all attempts share.
func (c call) first() *ClientAttempt { return &c.attempts[0] }

// attempt finds an attempt by its number.
func (c call) attempt(n uint8) *ClientAttempt {
	for i := range c.attempts {
		if c.attempts[i].N == n {
			return &c.attempts[i]
		}
	}
	return nil
}

// forwarded returns whether a node sent an attempt on to a server.
func (c call) forwarded(n uint8) bool {
	return slices.ContainsFunc(c.requests, func(r ServerRequest) bool { return r.N == n })
}

// eachCall calls f for each call. Requests of calls that no client of this run made are passed over.
func eachCall(attempts []ClientAttempt, requests []ServerRequest, f func(call)) {
	for len(attempts) > 0 {
		id := attempts[0].ID
		attemptCount := 1
		for attemptCount < len(attempts) && attempts[attemptCount].compareCall(id) == 0 {
			attemptCount++
		}
		for len(requests) > 0 && requests[0].compareCall(id) < 0 {
			requests = requests[1:]
		}
		requestCount := 0
		for requestCount < len(requests) && requests[requestCount].compareCall(id) == 0 {
			requestCount++
		}
		f(call{attempts[:attemptCount], requests[:requestCount]})
		attempts, requests = attempts[attemptCount:], requests[requestCount:]
	}
}

// compareAttempts orders attempts by call, number and time of sending.
func compareAttempts(a, b ClientAttempt) int {
	return cmp.Or(a.ID.compare(b.ID), cmp.Compare(a.Sent, b.Sent))
}

// compareRequests orders requests by call, attempt and time of arrival.
func compareRequests(a, b ServerRequest) int {
	return cmp.Or(a.ID.compare(b.ID), cmp.Compare(a.First, b.First))
}

// checkCall evaluates one call.
func (e *evaluation) checkCall(c call) {
	e.checkRequests(c)
	e.checkBans(c)
	for _, attempt := range c.attempts {
		e.checkAttempt(attempt, c.forwarded(attempt.N))
	}
	if !c.first().Inner {
		e.tally(c)
	}
}
