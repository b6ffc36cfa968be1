package endpoints

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/resources/limits"
)

// Receiver takes the news.
type Receiver interface {
	UpdateEndpoints(entries []node.Endpoint, full bool)
	// EndpointWatchFailed tells that a watch has ended, never began, or has not begun for so long that another call is wanted beside it.
	EndpointWatchFailed(node.WatchFailure)
}

// Watcher keeps one watch at discovery, whenever the module asks for it and as soon as discovery has moved. A call that is not
// answered may stand in discovery's queue, or be lost: it stays open beside the next one, and the first that brings something wins.
type Watcher struct {
	zones  []string
	limits limits.Limits
	budget *limits.Budget
	log    *zap.Logger
	wake   chan struct{}
	secure func(addr string) *tls.Config // nil: discovery speaks plain TCP
	dial   DialFunc
	core   Receiver

	mu          sync.Mutex
	addr        string
	asked       bool    // by the module, and not yet looked at
	moved       bool    // discovery has, and no call to the new one has begun
	calls       []*call // the oldest first
	watch       *call   // that has won; nil: none
	revision    int64   // of the list held, in the numbers of that discovery
	failing     bool    // the last call or watch has failed, and that has been told
	movedLately bool    // discovery has moved, and no call to the new one has failed

	refusedSince time.Time // the first of the calls refused in a row; zero: the last one was not
	heard        time.Time // when a watch last brought something, or the process began
	named        int       // entries since the last whole list, that list's included: the servers held are no more

	// Descriptors: what is held, one of them from watch to watch, and what calls use.
	held, used int

	at string // where the last call went; Run's alone
}

// maxCalls is how many calls stand at most. One that is not answered while a second one is, and until a third begins, has had as
// long as changes take to bind.
const maxCalls = 2

// New makes a Watcher; Run starts it.
func New(addr string, zones []string, l limits.Limits, budget *limits.Budget, log *zap.Logger) *Watcher {
	return &Watcher{addr: addr, at: addr, zones: zones, limits: l, budget: budget, log: log,
		heard: time.Now(), wake: make(chan struct{}, 1), dial: (&net.Dialer{KeepAlive: -1}).DialContext}
}

// DialFunc connects, as net.Dialer does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// SetDialer has discovery reached another way than by the machine's own network. It is told before Run.
func (w *Watcher) SetDialer(d DialFunc) { w.dial = d }

// SetTLS has discovery reached over TLS, by a configuration for each connection. It is told before Run.
func (w *Watcher) SetTLS(by func(addr string) *tls.Config) { w.secure = by }

// RequestWatch wants a watch; it never waits. While one lasts, or a call may still be answered in time, that is enough.
func (w *Watcher) RequestWatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = true
	w.ring()
}

// SetAddress names another discovery. It is watched at once: the module's pauses spare a discovery that is overrun,
// and this one has had no call yet. The list held stays until the new one tells.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.moved = addr, true
	for _, c := range w.calls {
		c.drop()
	}
	w.ring()
}

func (w *Watcher) ring() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// StartWith hands over the list that the node had before its start. It may be old.
func (w *Watcher) StartWith(core Receiver, known *List) {
	w.core = core
	w.take(known)
}

// SetReceiver names the core where there is no list from before the start.
func (w *Watcher) SetReceiver(core Receiver) { w.core = core }

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.acquire() {
		w.release()
	}
	defer func() {
		for range w.held {
			w.budget.Release()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			w.clear()
			return
		case <-w.wake:
		}
		for _, c := range w.failures() {
			w.tell(c)
		}
		w.begin(ctx)
	}
}

// failures are the calls that have failed and of which the module has to hear. Those that have ended leave.
func (w *Watcher) failures() (out []*call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		ended := false
		select {
		case <-c.done:
			ended = true
		default:
		}
		if c == w.watch && ended {
			w.watch = nil
		}
		if !c.dropped && !c.reported && (ended || c.unanswered) {
			c.reported = true
			out = append(out, c)
		}
		return ended
	})
	return out
}

// tell has the module ask again in its own time, but soon enough. What discovery says while nobody listens binds the node all the
// same, so long after it could be reached; and it may be reached right after the call that has failed was lost, or since the
// last word of a watch that fell silent. Pauses spare a discovery that is overrun: one that says nothing, has had no call yet, or
// had told news for a while does not say so. One that ends each watch right behind its list would else be asked ever so often.
func (w *Watcher) tell(c *call) {
	err, lasted := errUnanswered, false
	select {
	case <-c.done:
		err, lasted = c.err, c.delivered && time.Since(c.began) >= w.limits.WatchSilenceTimeout
	default:
	}
	w.mu.Lock()
	if w.watch != nil || c.dropped { // meanwhile; a watch tells its own end, and a move begins the next call
		w.mu.Unlock()
		return
	}
	var shortage *ShortageError
	anew := errors.As(err, &shortage) || lasted || w.movedLately || errors.Is(err, os.ErrDeadlineExceeded) || err == errUnanswered || err == errNoDescriptor
	first, revision := !w.failing, w.revision
	failure := node.WatchFailure{ResetBackoff: anew, MaxPause: w.limits.MaxCallInterval - time.Since(c.lastHeard)}
	if c.delivered { // a watch that ends may do so instead of telling
		failure.MaxPause = min(failure.MaxPause, w.limits.MaxReconnectDelay)
	}
	w.refused(err, &failure)
	w.failing, w.movedLately = true, false
	w.mu.Unlock()
	if first {
		w.log.Warn("no watch of the server list; the list stays", zap.Error(err),
			zap.String("discovery", c.at), zap.Int64("revision", revision))
	}
	failure.MaxPause = max(0, failure.MaxPause)
	w.core.EndpointWatchFailed(failure)
}

// refused sets the pause after a call that discovery refused. The lock is held.
func (w *Watcher) refused(err error, failure *node.WatchFailure) {
	var refusal *RejectedError
	if !errors.As(err, &refusal) {
		w.refusedSince = time.Time{}
		return
	}
	now := time.Now()
	if w.refusedSince.IsZero() {
		w.refusedSince = now
	}
	longest := longestPause(w.limits, now.Sub(w.heard), now.Sub(w.refusedSince))
	failure.MinPause, failure.MaxPause = longest, min(failure.MaxPause, longest)
}

// begin opens a call, if the module or a move wants one.
func (w *Watcher) begin(ctx context.Context) {
	w.mu.Lock()
	wanted, moved := w.asked, w.moved
	w.asked, w.moved = false, false
	for _, c := range w.calls {
		wanted = wanted && (c.dropped || c.unanswered && c != w.watch)
	}
	full := len(w.calls) >= maxCalls
	w.mu.Unlock()
	switch {
	case moved:
		w.clear()
	case !wanted:
		return
	case full:
		w.oldest()
	}
	free := w.acquire()
	if !free && w.oldest() {
		free = w.acquire()
	}
	within, cut := context.WithCancel(ctx)
	now := time.Now()
	c := &call{began: now, lastHeard: now, cut: cut, done: make(chan struct{})}
	w.mu.Lock()
	if w.at != w.addr {
		// Another discovery may number otherwise: by the old one's numbers its news would look old.
		w.at, w.revision, w.failing, w.movedLately, w.refusedSince = w.addr, 0, false, true, time.Time{}
		w.log.Info("discovery has moved", zap.String("discovery", w.at))
	}
	c.at, c.since = w.at, w.revision
	if w.moved { // meanwhile
		c.drop()
	}
	w.calls = append(w.calls, c)
	w.mu.Unlock()
	if !free {
		c.err = errNoDescriptor
		cut()
		close(c.done)
		w.ring()
		return
	}
	quiet := time.AfterFunc(w.limits.FirstUpdateTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		c.unanswered = c != w.watch
		w.ring()
	})
	go func() {
		c.err = w.follow(within, c)
		quiet.Stop()
		cut()
		w.release()
		close(c.done)
		w.ring()
	}()
}

// oldest drops the oldest call and waits until it has ended.
func (w *Watcher) oldest() bool {
	w.mu.Lock()
	if len(w.calls) == 0 {
		w.mu.Unlock()
		return false
	}
	c := w.calls[0]
	if w.calls = w.calls[1:]; c == w.watch {
		w.watch = nil
	}
	c.drop()
	w.mu.Unlock()
	<-c.done
	return true
}

// clear drops all calls, and the watch.
func (w *Watcher) clear() {
	for w.oldest() {
	}
}

// wins tells whether a call that has brought something is the one to listen to. The others are dropped.
func (w *Watcher) wins(c *call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.dropped {
		return false
	}
	c.lastHeard = time.Now()
	w.heard = c.lastHeard
	if w.watch == c {
		return true
	}
	w.watch, c.unanswered, c.reported = c, false, false
	for _, o := range w.calls {
		if o != c {
			o.drop()
		}
	}
	return true
}

// room keeps the number of servers bounded that changes can bring, a few at a time: the whole list has to tell then how many
// there are.
func (w *Watcher) room(l *List) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Complete {
		w.named = 0
	}
	for _, m := range l.Members {
		if m.err != nil || phases[m.Phase] != decide.Gone {
			w.named++
		}
	}
	if w.named <= MaxMembers || l.Complete {
		return nil
	}
	w.revision, w.named = 0, 0
	return &IncompleteTurnoverError{}
}

// take passes news on. A change that is older than the list held would bring back what has left: of
// that the core hears only that discovery has answered.
func (w *Watcher) take(l *List) {
	w.mu.Lock()
	old := !l.Complete && l.Revision <= w.revision
	if !old {
		w.revision = l.Revision
	}
	w.mu.Unlock()
	if old {
		w.core.UpdateEndpoints(nil, false)
		return
	}
	w.core.UpdateEndpoints(l.Entries(w.zones, w.log), l.Complete)
}
