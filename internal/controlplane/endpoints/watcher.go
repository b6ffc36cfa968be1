// Package endpoints follows the endpoint list of one service at discovery: the servers, with their addresses, states
// and weights.
//
// A Watcher polls discovery over HTTP; an answered poll becomes a watch, a response without end that brings snapshots
// and deltas as JSON objects. The package owns the connections to discovery, the decoding and validation of messages,
// and the revision that was reached. When to poll again after a failure is decided by the receiver, package node's
// core, which calls RequestWatch; the package only bounds the pause (see backoff.go). It keeps no list itself: the
// receiver does. Discovery's side of the protocol is package fanout.
package endpoints

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/resources/limits"
)

// maxPolls is how many polls run at once. A poll that is still unanswered when a third one starts has had as long as
// changes may take to take effect.
const maxPolls = 2

// Receiver takes what a Watcher finds; package node's Core is one.
type Receiver interface {
	// UpdateEndpoints puts a snapshot (full) or a delta in force.
	UpdateEndpoints(entries []node.Endpoint, full bool)
	// EndpointWatchFailed reports that a watch has ended, could not be established, or was not established in time,
	// so that another poll is needed. The Receiver calls RequestWatch when that is due.
	EndpointWatchFailed(node.WatchFailure)
}

// DialFunc connects, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Watcher keeps one watch at discovery: it polls when it is requested to, and as soon as discovery's address changes.
// A poll that is not answered may wait in discovery's queue, or be lost: it goes on beside the next one, and the first
// that receives something becomes the watch.
type Watcher struct {
	zones       []string
	limits      limits.Limits
	log         *zap.Logger
	descriptors descriptorReserve
	wake        chan struct{}                       // of Run
	tlsConfig   func(serverAddr string) *tls.Config // nil: discovery speaks plain TCP
	dial        DialFunc
	receiver    Receiver

	mu             sync.Mutex
	addr           string
	pollRequested  bool    // and not yet looked at by Run
	addressChanged bool    // and not yet looked at by Run
	polls          []*poll // the oldest first
	watch          *poll   // of polls, the one that won; nil: none
	polledAddr     string  // of the latest poll
	revision       int64   // of the current list, as the discovery at polledAddr counts them
	failing        bool    // the latest poll failed, which was logged
	newAddress     bool    // no poll of polledAddr has failed yet, and another address was polled before

	rejectedSince        time.Time // the first of the polls rejected in a row; zero: the latest one was not rejected
	lastMessage          time.Time // of any watch; the start before the first one
	entriesSinceSnapshot int       // and in it: the service has no more servers than this
}

// New creates a Watcher; Run starts it.
func New(addr string, zones []string, l limits.Limits, budget *limits.Budget, log *zap.Logger) *Watcher {
	return &Watcher{
		addr:        addr,
		polledAddr:  addr,
		zones:       zones,
		limits:      l,
		descriptors: descriptorReserve{budget: budget},
		log:         log,
		lastMessage: time.Now(),
		wake:        make(chan struct{}, 1),
		dial:        (&net.Dialer{KeepAlive: -1}).DialContext,
	}
}

// SetDialer has discovery reached by another way than the machine's network. It is called before Run.
func (w *Watcher) SetDialer(d DialFunc) { w.dial = d }

// SetTLS has discovery reached over TLS, with a configuration for each connection. It is called before Run.
func (w *Watcher) SetTLS(config func(serverAddr string) *tls.Config) { w.tlsConfig = config }

// SetReceiver sets the receiver where no list from before the start is known. It is called before Run.
func (w *Watcher) SetReceiver(r Receiver) { w.receiver = r }

// SetInitialList sets the receiver and hands it the list that the node had before its start, which may be old. It is
// called before Run.
func (w *Watcher) SetInitialList(r Receiver, known *List) {
	w.receiver = r
	w.deliver(known)
}

// RequestWatch requests a watch. It never blocks. Where a watch lasts, or a poll may still be answered in time, it has
// no effect.
func (w *Watcher) RequestWatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pollRequested = true
	w.signal()
}

// SetAddress changes discovery's address. The new one is polled at once: the pauses between polls spare an overloaded
// discovery, and this one has had no poll yet. The current list stays in force until the new discovery answers.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.addressChanged = addr, true
	for _, p := range w.polls {
		p.drop()
	}
	w.signal()
}

// signal wakes Run. It never blocks.
func (w *Watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run watches until the context ends. It returns after all polls have ended and their descriptors were returned.
func (w *Watcher) Run(ctx context.Context) {
	w.descriptors.reserve()
	defer w.descriptors.close()
	for {
		select {
		case <-ctx.Done():
			w.dropAll()
			return
		case <-w.wake:
		}
		for _, p := range w.failedPolls() {
			w.reportFailure(p)
		}
		w.startPoll(ctx)
	}
}

// checkTurnover bounds the number of servers that deltas can bring, a few at a time: past it, a snapshot has to show
// how many there are.
func (w *Watcher) checkTurnover(l *List) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Complete {
		w.entriesSinceSnapshot = 0
	}
	for _, m := range l.Members {
		if m.err != nil || phases[m.Phase] != decide.Gone {
			w.entriesSinceSnapshot++
		}
	}
	if w.entriesSinceSnapshot <= MaxMembers || l.Complete {
		return nil
	}
	w.revision, w.entriesSinceSnapshot = 0, 0
	return &IncompleteTurnoverError{}
}

// deliver hands a message to the receiver. A delta that is older than the current list would bring back servers that
// are gone: of that, the receiver only learns that discovery has answered.
func (w *Watcher) deliver(l *List) {
	w.mu.Lock()
	outdated := !l.Complete && l.Revision <= w.revision
	if !outdated {
		w.revision = l.Revision
	}
	w.mu.Unlock()
	if outdated {
		w.receiver.UpdateEndpoints(nil, false)
		return
	}
	w.receiver.UpdateEndpoints(l.Endpoints(w.zones, w.log), l.Complete)
}
