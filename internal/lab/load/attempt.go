package load

import (
	"math/rand"
	"slices"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
)

const (
	// maxAttempts bounds a call's attempts whatever the configuration allows: their number has to fit its type.
	maxAttempts = 200
	// maxBackoffDoublings is how often a backoff is doubled.
	maxBackoffDoublings = 10
)

// noDestination is the destination of an attempt for which the target had none.
var noDestination = Destination{ID: -1, Node: -1}

// attempt is one attempt of a call, from its dispatch to its outcome. One goroutine at a time owns it.
type attempt struct {
	judge.ClientAttempt
	arrival     *plan.Arrival
	lane        *lane
	destination Destination
	tried       []int32       // destinations of the call's earlier attempts
	crossed     bool          // an attempt of the call has been repeated after a crossing close
	retryAfter  time.Duration // that the response advised; 0: none
}

// newAttempt returns a call's first attempt.
func newAttempt(l *lane, call uint32, arrival *plan.Arrival) *attempt {
	return &attempt{
		ClientAttempt: judge.ClientAttempt{
			ID:       judge.ID{Call: call},
			Method:   arrival.Method,
			Tenant:   arrival.Tenant,
			Planned:  arrival.At,
			Deadline: arrival.At + l.engine.Methods[arrival.Method].Deadline,
		},
		arrival: arrival,
		lane:    l,
	}
}

// next returns the attempt after this one.
func (a *attempt) next() *attempt {
	return &attempt{
		ClientAttempt: judge.ClientAttempt{
			ID:       judge.ID{Call: a.Call, N: a.N + 1},
			Method:   a.Method,
			Tenant:   a.Tenant,
			Planned:  a.Planned,
			Deadline: a.Deadline,
		},
		arrival: a.arrival,
		lane:    a.lane,
		tried:   append(slices.Clip(a.tried), a.destination.ID),
		crossed: a.crossed,
	}
}

// method is the attempt's method.
func (a *attempt) method() *Method { return &a.lane.engine.Methods[a.Method] }

// host is the host that the attempt's requests name.
func (a *attempt) host() string { return a.method().Host }

// setDestination sets where the attempt is sent.
func (a *attempt) setDestination(d Destination) { a.destination, a.Node = d, d.Node }

// finish notes how an attempt ended, and schedules the next one if its client retries.
func (a *attempt) finish(outcome judge.Outcome) {
	e := a.lane.engine
	a.Outcome = outcome
	if a.Answered == 0 {
		a.Answered = max(e.now(), a.Planned)
	}
	if outcome == judge.NotSent || outcome == judge.NotConnected {
		e.ledger.AddAttempt(a.ClientAttempt) // others are recorded by their connections
	}
	switch outcome {
	case judge.OK:
		e.ok.Add(1)
	case judge.PushedBack:
		e.pushedBack.Add(1)
	default:
		e.failed.Add(1)
	}
	if a.destination.ID >= 0 {
		e.target.Done(a.destination, outcome)
	}
	pause, retry := a.retryPause(outcome)
	if !retry {
		e.calls.Done()
		return
	}
	next := a.next()
	time.AfterFunc(pause, func() {
		next.HandedAt = e.now()
		next.lane.dispatch(next)
	})
}

// retryPause returns whether the client retries after an outcome, and how long it waits before that.
func (a *attempt) retryPause(outcome judge.Outcome) (pause time.Duration, retry bool) {
	e := a.lane.engine
	if e.closed.Load() || a.N > maxAttempts || outcome == judge.NotSent || outcome == judge.OK {
		return 0, false
	}
	if outcome == judge.Crossed && !a.crossed {
		a.crossed = true // HTTP lets a client repeat such a request, whatever its method
		return 0, true
	}
	neverRan := outcome == judge.PushedBack || outcome == judge.NotConnected
	if a.method().Idempotency == judge.NonIdempotent && !neverRan {
		return 0, false
	}
	now, deadline := e.now(), a.retryDeadline(neverRan)
	if int(a.N) < e.Clients.ImmediateRetries && now < deadline {
		return 0, true
	}
	pause, retry = a.backoff()
	return pause, retry && now+pause < deadline
}

// retryDeadline is when the client may retry no more. A deduplicated request that may have run is not repeated when
// servers may have forgotten its idempotency key.
func (a *attempt) retryDeadline(neverRan bool) time.Duration {
	method := a.method()
	if method.Idempotency == judge.Deduplicated && !neverRan {
		return min(a.Deadline, a.Planned+method.Window)
	}
	return a.Deadline
}

// backoff returns whether the client is one that retries once more, and its pause: what the response advised or an
// exponential backoff with jitter.
func (a *attempt) backoff() (pause time.Duration, retry bool) {
	e, clients := a.lane.engine, &a.lane.engine.Clients
	if !a.clientRetries() || int(a.N) >= clients.MaxRetries+clients.ImmediateRetries {
		return 0, false
	}
	random := rand.New(rand.NewSource(int64(e.Seed) ^ int64(a.Call)<<20 ^ int64(a.N)))
	followsAdvice := random.Float64() < clients.RetryAfterShare
	jitter := 0.5 + random.Float64()
	if followsAdvice && a.retryAfter > 0 {
		return a.retryAfter, true
	}
	doublings := min(a.N, maxBackoffDoublings)
	return time.Duration(float64(clients.Backoff) * float64(uint(1)<<doublings) * jitter), true
}

// clientRetries returns whether the call is one of those whose clients retry: its number's hash draws it, so that it
// is the same for all attempts of the call.
func (a *attempt) clientRetries() bool {
	const multiplier = 2654435761 // Knuth's multiplicative hash
	hash := a.Call * multiplier >> 8 & 0xffff
	return float64(hash)/(1<<16) < a.lane.engine.Clients.RetryShare
}
