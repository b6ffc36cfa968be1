// Package judge holds the ledger of a run, every request, pick and effect in it, and counts from that alone whether the
// rules were kept and what the callers got. It is pure: times are handed in, from the run's start on.
package judge

import (
	"slices"
	"sync"
	"time"
)

// Outcome is how a try ended for its caller.
type Outcome uint8

// The ends of tries.
const (
	OK           Outcome = iota
	PushedBack           // 429 or 503: trying again is harmless
	Aborted              // any other whole answer
	Lost                 // no whole answer, on a connection that had taken the request
	Excused              // no whole answer, and its node was killed by the run's own order
	Crossed              // the node closed the connection between requests as this one was on its way; sent once more
	NotConnected         // no connection to be had
	ClientLeft           // the caller gave up on purpose
	NotSent              // planned, and never written: the generator's cap was reached or its time was up
)

var endNames = [...]string{"ok", "pushed back", "aborted", "lost", "excused", "crossed", "unreached", "left", "unsent"}

func (e Outcome) String() string { return endNames[e] }

// ID names a try: which call, which of its tries, and whether a server made it on behalf of another.
type ID struct {
	Call  uint32
	Inner bool
	N     uint8
}

// ClientAttempt is one request as its caller saw it.
type ClientAttempt struct {
	ID
	Method, Tenant uint16
	Node           int32         // -1: straight to a server
	Planned        time.Duration // when the call was due; all its tries count from there
	Handed         time.Duration // when the generator dealt with it
	Sent           time.Duration // when it was written
	Until          time.Duration // when the caller gives up
	Answered       time.Duration // last byte of the answer, or when the try ended otherwise
	Outcome        Outcome
	Extra          uint8 // answers beyond the first
	Foreign        bool  // an ok that no server made for it
}

// ServerRequest is one request as a server saw it.
type ServerRequest struct {
	ID
	Server     int32
	First      time.Duration // its first byte
	Start, End time.Duration // of the work done for it; equal if none was
	Ran        bool          // it may have had its effect as far as anyone can tell from outside
	Effect     bool          // it had
	Until      time.Duration // when its caller gives up, by what it was told; 0: not told
}

// State is what discovery says of a server.
type State uint8

// The states that discovery knows.
const (
	Ready State = iota
	Draining
	Gone
)

// Notification is news of a server, written to a node.
type Notification struct {
	Node, Server int32
	State        State
	At           time.Duration
}

// Overload is a cold server that was pushed over by what reached it in the window before.
type Overload struct {
	Server         int32
	Up, At, Window time.Duration
}

// shard is a part of the ledger with a lock of its own.
type shard struct {
	mu    sync.Mutex
	tries []ClientAttempt
	picks []ServerRequest
	_     [64]byte
}

// StalledClient is a client that stopped in the middle of a request and stayed until it had an error or its connection was closed.
type StalledClient struct {
	Node           int32
	Stopped, Ended time.Duration
}

// Ledger is the ledger. Many may write at once.
type Ledger struct {
	shards [32]shard
	mu     sync.Mutex
	words  []Notification
	falls  []Overload
	stalls []StalledClient
	bans   []Ban
}

// AddAttempt notes a try that has ended.
func (l *Ledger) AddAttempt(t ClientAttempt) {
	s := &l.shards[t.Call%32]
	s.mu.Lock()
	s.tries = append(s.tries, t)
	s.mu.Unlock()
}

// AddServerRequest notes a pick that a server has dealt with.
func (l *Ledger) AddServerRequest(p ServerRequest) {
	s := &l.shards[p.Call%32]
	s.mu.Lock()
	s.picks = append(s.picks, p)
	s.mu.Unlock()
}

// AddNotification notes news written to a node.
func (l *Ledger) AddNotification(w Notification) {
	l.mu.Lock()
	l.words = append(l.words, w)
	l.mu.Unlock()
}

// Ban is a server that an operator has taken out at one node, from its yes to the call back.
type Ban struct {
	Node, Server int32
	From, To     time.Duration
}

// AddBan notes one.
func (l *Ledger) AddBan(b Ban) {
	l.mu.Lock()
	l.bans = append(l.bans, b)
	l.mu.Unlock()
}

// AddStalledClient notes a client that had stopped in the middle of a request.
func (l *Ledger) AddStalledClient(s StalledClient) {
	l.mu.Lock()
	l.stalls = append(l.stalls, s)
	l.mu.Unlock()
}

// AddOverload notes a server pushed over.
func (l *Ledger) AddOverload(f Overload) {
	l.mu.Lock()
	l.falls = append(l.falls, f)
	l.mu.Unlock()
}

// Shift moves the ledger's start, so that the load begins at 0.
func (l *Ledger) Shift(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for k := range s.tries {
			t := &s.tries[k]
			t.Planned, t.Sent, t.Until, t.Answered = t.Planned-by, t.Sent-by, t.Until-by, t.Answered-by
			if t.Handed > 0 {
				t.Handed -= by
			}
		}
		for k := range s.picks {
			p := &s.picks[k]
			p.First, p.Start, p.End = p.First-by, p.Start-by, p.End-by
			if p.Until > 0 {
				p.Until -= by
			}
		}
		s.mu.Unlock()
	}
	for i := range l.words {
		l.words[i].At -= by
	}
	for i := range l.falls {
		l.falls[i].At, l.falls[i].Up = l.falls[i].At-by, l.falls[i].Up-by
	}
	for i := range l.stalls {
		l.stalls[i].Stopped, l.stalls[i].Ended = l.stalls[i].Stopped-by, l.stalls[i].Ended-by
	}
	for i := range l.bans {
		l.bans[i].From, l.bans[i].To = l.bans[i].From-by, l.bans[i].To-by
	}
}

// EachAttempt goes through all tries.
func (l *Ledger) EachAttempt(f func(ClientAttempt)) {
	l.eachShard(func(s *shard) {
		for _, t := range s.tries {
			f(t)
		}
	})
}

// eachShard goes through the shards, each under its lock.
func (l *Ledger) eachShard(f func(*shard)) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		f(s)
		s.mu.Unlock()
	}
}

// EachServerRequest hands over all picks, in no order.
func (l *Ledger) EachServerRequest(f func(ServerRequest)) {
	l.eachShard(func(s *shard) {
		for _, p := range s.picks {
			f(p)
		}
	})
}

// Notifications are the news noted so far.
func (l *Ledger) Notifications() []Notification {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.words)
}
