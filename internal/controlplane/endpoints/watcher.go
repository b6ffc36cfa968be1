// Package endpoints receives the endpoint list of one service from discovery: the servers, with their addresses, states
// and weights.
//
// A Watcher polls discovery over HTTP. A poll that is answered becomes a watch: an open-ended response that carries
// snapshots and deltas as JSON objects. The package manages the connections to discovery, decodes and validates the
// messages, and stores the revision of the current list. The list itself is stored by the receiver, the core of package
// node. After a failure, the receiver decides when to poll again and calls RequestWatch; this package only sets limits
// for the pause before that poll (see backoff.go). Package fanout is discovery's side of the protocol.
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
	"robincart/internal/system/telemetry"
)

const (
	// maxPolls is the largest number of polls of the current address that run at once. Before a third poll starts, the
	// oldest poll is dropped: it has waited without an answer for as long as a node may take to apply a change.
	maxPolls = 2
	// maxPollsOfAllAddresses includes the polls of former addresses.
	maxPollsOfAllAddresses = 3
	// formerPollTimeout is the time after a change of the address in which a poll of the former address is of use: a
	// discovery server that moves closes its connections then.
	formerPollTimeout = 1500 * time.Millisecond
)

// Receiver receives a Watcher's endpoint lists and failures. Package node's Core implements it.
type Receiver interface {
	// UpdateEndpoints applies a snapshot (full is true) or a delta (full is false).
	UpdateEndpoints(entries []node.Endpoint, full bool)
	// EndpointWatchFailed reports that a watch has ended, could not be established, or was not established in time.
	// Another poll is then needed: the Receiver calls RequestWatch when that poll is due.
	EndpointWatchFailed(node.WatchFailure)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Watcher maintains one watch of discovery. It polls when RequestWatch is called, and immediately when discovery's
// address changes. A poll that is not answered in time may be lost or may still wait in discovery's queue. Such a poll
// is therefore kept open while the next poll runs. The first of the two polls that receives a message becomes the
// watch.
type Watcher struct {
	zones       []string
	limits      limits.Limits
	log         *zap.Logger
	descriptors descriptorReserve
	wake        chan struct{}                       // wakes Run
	tlsConfig   func(serverAddr string) *tls.Config // nil: discovery speaks plain TCP
	dial        DialFunc
	receiver    Receiver
	recorder    *telemetry.Recorder

	delivery sync.Mutex // held while a message is passed to the receiver; locked before mu

	mu             sync.Mutex
	addr           string
	pollRequested  bool    // RequestWatch was called, and Run has not handled it yet
	addressChanged bool    // addr has changed, and Run has not handled it yet
	polls          []*poll // the oldest first
	watch          *poll   // the element of polls that has become the watch; nil: no watch is open
	polledAddr     string  // address of the latest poll
	revision       int64   // revision of the current list at polledAddr; each discovery counts its own revisions
	failures       int     // failed polls since the last message of a watch, or since the address changed
	pollsStarted   int64
	newAddress     bool // the address has changed, and no poll of polledAddr has failed or become a watch yet
	tierNodes      int  // nodes of the tier: they poll the same discovery

	relocation    relocation
	rejectedSince time.Time // when the current series of rejected polls began; zero: the latest poll was not rejected
	lastMessage   time.Time // time of the last message; until the first message, the time of the Watcher's creation
	// entriesSinceSnapshot counts the entries of the last snapshot and of the deltas after it, except entries in phase
	// gone. It is an upper bound of the number of servers of the service.
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
		tierNodes:   1,
		wake:        make(chan struct{}, 1),
		dial:        (&net.Dialer{KeepAlive: -1}).DialContext,
	}
}

// SetDialer replaces the function that opens connections to discovery. It is called before Run.
func (w *Watcher) SetDialer(d DialFunc) { w.dial = d }

// SetTLS makes the Watcher connect to discovery over TLS. config returns the configuration for each connection. SetTLS
// is called before Run.
func (w *Watcher) SetTLS(config func(serverAddr string) *tls.Config) { w.tlsConfig = config }

// SetRecorder makes the Watcher count the polls that end, by reason. SetRecorder is called before Run.
func (w *Watcher) SetRecorder(r *telemetry.Recorder) { w.recorder = r }

// SetTierNodes sets the number of nodes of the tier. They share discovery, so the pauses between polls depend on it.
func (w *Watcher) SetTierNodes(nodes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tierNodes = max(1, nodes)
}

// SetReceiver sets the receiver if there is no initial list; otherwise, SetInitialList sets it. SetReceiver is called
// before Run.
func (w *Watcher) SetReceiver(r Receiver) { w.receiver = r }

// SetInitialList sets the receiver and passes an initial list to it. The list dates from before the start of the node,
// so it may be outdated. SetInitialList is called before Run.
func (w *Watcher) SetInitialList(r Receiver, known *List) {
	w.receiver = r
	w.deliver(&poll{}, known)
}

// RequestWatch requests a watch. It never blocks. It has no effect while a watch is open or a poll can still be
// answered in time.
func (w *Watcher) RequestWatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pollRequested = true
	w.signal()
}

// SetAddress changes discovery's address. The new address is polled immediately. No backoff is applied: backoff
// protects a discovery server whose polls fail, and no poll has failed since the change. The node keeps the current
// list until the discovery server at the new address answers.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.addressChanged = addr, true
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

// checkTurnover limits the number of servers that a series of deltas can add. If a delta raises entriesSinceSnapshot
// above MaxMembers, checkTurnover returns an error and resets the revision, so that the next poll requests a snapshot.
// The snapshot shows the actual number of servers.
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

// deliver passes a message of a poll to the receiver. If a delta is not newer than the current list, deliver passes no
// entries, since old entries could bring back servers that are gone. The call then only shows the receiver that
// discovery has answered. If a part of such a delta was applied before its revision arrived, deliver returns an error,
// so that the next poll requests a snapshot.
//
// A message of the current address ends the polls of former addresses, whose changes must not be added to its list.
func (w *Watcher) deliver(p *poll, l *List) error {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	w.mu.Lock()
	if p.state == pollDropped {
		w.mu.Unlock()
		return errDropped
	}
	if !p.former {
		w.dropFormer()
	}
	revision := w.revisionOf(p)
	outdated := !l.Complete && l.Revision <= *revision
	if !outdated {
		*revision = l.Revision
		p.unconfirmedPart = false
	}
	partApplied := p.unconfirmedPart
	w.mu.Unlock()
	if outdated {
		w.receiver.UpdateEndpoints(nil, false)
		if partApplied {
			return &WatchLostError{Cause: errOutdatedPart}
		}
		return nil
	}
	w.receiver.UpdateEndpoints(l.Endpoints(w.zones, w.log), l.Complete)
	return nil
}

// revisionOf returns the revision of the current list at a poll's address. The mutex is held.
func (w *Watcher) revisionOf(p *poll) *int64 {
	if p.former {
		return &p.revision
	}
	return &w.revision
}
