// Package endpoints receives the endpoint list of one service from discovery: the servers, with their addresses, states
// and weights.
//
// A Watcher polls discovery over HTTP. A poll that is answered becomes a watch: an open-ended response that carries
// snapshots and deltas as JSON objects. The package manages the connections to discovery, decodes and validates the
// messages, and stores the revision of the current list. The list itself is stored by the receiver, the core of package
// node. After a failure, the receiver decides when to poll again and calls RequestWatch; this package only bounds the
// pause (see backoff.go). Package fanout is discovery's side of the protocol.
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

// maxPolls is the largest number of polls that run at once. A poll that is still unanswered when a third one starts has
// waited for as long as a change may take to come into force; it is dropped.
const maxPolls = 2

// Receiver receives a Watcher's endpoint lists and failures. Package node's Core implements it.
type Receiver interface {
	// UpdateEndpoints puts a snapshot (full) or a delta in force.
	UpdateEndpoints(entries []node.Endpoint, full bool)
	// EndpointWatchFailed reports that a watch has ended, could not be established, or was not established in time,
	// so that another poll is needed. The Receiver calls RequestWatch when that poll is due.
	EndpointWatchFailed(node.WatchFailure)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Watcher maintains one watch of discovery. It polls on request, and as soon as discovery's address changes. A poll
// that is not answered in time may be lost or may still wait in discovery's queue. It is therefore kept open while the
// next one runs, and the first of them that receives a message becomes the watch.
type Watcher struct {
	zones       []string
	limits      limits.Limits
	log         *zap.Logger
	descriptors descriptorReserve
	wake        chan struct{}                       // wakes Run
	tlsConfig   func(serverAddr string) *tls.Config // nil: discovery speaks plain TCP
	dial        DialFunc
	receiver    Receiver

	mu             sync.Mutex
	addr           string
	pollRequested  bool    // RequestWatch was called, and Run has not handled it yet
	addressChanged bool    // addr has changed, and Run has not handled it yet
	polls          []*poll // the oldest first
	watch          *poll   // the one of polls that has become the watch; nil: none
	polledAddr     string  // address of the latest poll
	revision       int64   // of the current list, from the discovery at polledAddr: each discovery counts its own
	failing        bool    // the latest poll has failed; the first of consecutive failures was logged
	newAddress     bool    // another address was polled before, and no poll of polledAddr has failed or become a watch

	rejectedSince time.Time // time of the first of consecutive rejections; zero: the latest poll was not rejected
	lastMessage   time.Time // time of the last message of any watch; before the first message, the Watcher's creation
	// entriesSinceSnapshot counts the entries of the last snapshot and of the deltas after it, except those in phase
	// gone. The service has at most as many servers.
	entriesSinceSnapshot int
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

// SetDialer replaces the function that opens connections to discovery. It is called before Run.
func (w *Watcher) SetDialer(d DialFunc) { w.dial = d }

// SetTLS makes the Watcher connect to discovery over TLS. config returns the configuration for each connection. SetTLS
// is called before Run.
func (w *Watcher) SetTLS(config func(serverAddr string) *tls.Config) { w.tlsConfig = config }

// SetReceiver sets the receiver if the node has no list from before its start. It is called before Run.
func (w *Watcher) SetReceiver(r Receiver) { w.receiver = r }

// SetInitialList sets the receiver and delivers to it the list that the node had before its start, which may be
// outdated. It is called before Run.
func (w *Watcher) SetInitialList(r Receiver, known *List) {
	w.receiver = r
	w.deliver(known)
}

// RequestWatch requests a watch. It never blocks. It has no effect while a watch is open or a poll may still be
// answered in time.
func (w *Watcher) RequestWatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pollRequested = true
	w.signal()
}

// SetAddress changes discovery's address. The new address is polled without a pause: pauses reduce the load of an
// overloaded discovery, and this one has not been polled yet. The current list stays in force until the new discovery
// answers.
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

// Run maintains the watch until the context ends. It returns after all polls have ended and their descriptors have been
// returned to the budget.
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

// checkTurnover bounds the number of servers that a series of deltas can add. Beyond MaxMembers entries it returns an
// error, and the next poll requests a snapshot, which tells the actual number of servers.
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
	return &TurnoverLimitError{}
}

// deliver passes a message to the receiver. A delta that is not newer than the current list is passed without its
// entries, which could bring back servers that are gone; it only shows the receiver that discovery has answered.
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
