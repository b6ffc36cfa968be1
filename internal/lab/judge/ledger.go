package judge

import (
	"slices"
	"sync"
	"time"
)

// shardCount is the number of parts of a ledger that are locked on their own.
const shardCount = 32

// Ledger holds the records of a run. Its methods may be called concurrently.
type Ledger struct {
	shards [shardCount]shard

	mu             sync.Mutex
	notifications  []Notification
	overloads      []Overload
	stalledClients []StalledClient
	bans           []Ban
}

// shard holds the requests of a part of the calls.
type shard struct {
	mu       sync.Mutex
	attempts []ClientAttempt
	requests []ServerRequest
	_        [64]byte // keeps the locks of neighbors on cache lines of their own
}

// AddAttempt records a client's attempt that has ended.
func (l *Ledger) AddAttempt(attempt ClientAttempt) {
	s := &l.shards[attempt.Call%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, attempt)
}

// AddServerRequest records a request that a server has finished with.
func (l *Ledger) AddServerRequest(request ServerRequest) {
	s := &l.shards[request.Call%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
}

// AddNotification records a server's state that was written to a node.
func (l *Ledger) AddNotification(notification Notification) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifications = append(l.notifications, notification)
}

// AddBan records a ban that is over.
func (l *Ledger) AddBan(ban Ban) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bans = append(l.bans, ban)
}

// AddStalledClient records a client that had stopped in the middle of a request.
func (l *Ledger) AddStalledClient(client StalledClient) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalledClients = append(l.stalledClients, client)
}

// AddOverload records a server in slow start that was overloaded.
func (l *Ledger) AddOverload(overload Overload) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overloads = append(l.overloads, overload)
}

// Shift moves the origin of all times, so that the load begins at 0.
func (l *Ledger) Shift(by time.Duration) {
	l.eachShard(func(s *shard) {
		for i := range s.attempts {
			s.attempts[i].shift(by)
		}
		for i := range s.requests {
			s.requests[i].shift(by)
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.notifications {
		l.notifications[i].At -= by
	}
	for i := range l.overloads {
		l.overloads[i].At -= by
		l.overloads[i].Up -= by
	}
	for i := range l.stalledClients {
		l.stalledClients[i].Stopped -= by
		l.stalledClients[i].Ended -= by
	}
	for i := range l.bans {
		l.bans[i].From -= by
		l.bans[i].To -= by
	}
}

// EachAttempt calls f with each client's attempt, in no particular order. f must not call the ledger.
func (l *Ledger) EachAttempt(f func(ClientAttempt)) {
	l.eachShard(func(s *shard) {
		for _, attempt := range s.attempts {
			f(attempt)
		}
	})
}

// EachServerRequest calls f with each server's request, in no particular order. f must not call the ledger.
func (l *Ledger) EachServerRequest(f func(ServerRequest)) {
	l.eachShard(func(s *shard) {
		for _, request := range s.requests {
			f(request)
		}
	})
}

// eachShard calls f with each shard, under that shard's lock.
func (l *Ledger) eachShard(f func(*shard)) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		f(s)
		s.mu.Unlock()
	}
}

// Notifications returns the notifications recorded so far.
func (l *Ledger) Notifications() []Notification {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.notifications)
}

// records is a copy of what a ledger holds.
type records struct {
	attempts       []ClientAttempt // by call, attempt and time of sending
	requests       []ServerRequest // by call, attempt and time of arrival
	notifications  []Notification
	overloads      []Overload
	stalledClients []StalledClient
	bans           []Ban
}

// snapshot copies and sorts the records. A stand-in that is slow to stop may still be adding some.
func (l *Ledger) snapshot() records {
	var r records
	l.eachShard(func(s *shard) {
		r.attempts = append(r.attempts, s.attempts...)
		r.requests = append(r.requests, s.requests...)
	})
	slices.SortFunc(r.attempts, compareAttempts)
	slices.SortFunc(r.requests, compareRequests)
	l.mu.Lock()
	defer l.mu.Unlock()
	r.notifications = slices.Clone(l.notifications)
	r.overloads = slices.Clone(l.overloads)
	r.stalledClients = slices.Clone(l.stalledClients)
	r.bans = slices.Clone(l.bans)
	return r
}
