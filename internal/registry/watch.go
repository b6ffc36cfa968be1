package registry

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/httpwire"
	"robincart/internal/limits"
	"robincart/internal/node"
)

// Core takes the news.
type Core interface {
	Listed(entries []node.Entry, full bool)
	// ListFailed tells that a watch has ended or never began. Anew says that this is no sign of a discovery that is overrun.
	ListFailed(anew bool)
}

// Watcher keeps one watch at discovery, whenever the module asks for it and as soon as discovery has moved.
type Watcher struct {
	zones  []string
	limits limits.Limits
	budget *limits.Budget
	log    *zap.Logger
	wake   chan struct{}
	secure func(addr string) *tls.Config // nil: discovery speaks plain TCP
	dial   Dial

	mu    sync.Mutex
	addr  string
	cut   context.CancelFunc // ends the watch that lasts
	asked bool               // by the module, since the last watch ended
	moved bool               // discovery has, and no watch of the new one has begun

	// Run's alone.
	core     Core
	at       string        // where the last watch went
	revision int64         // of the list held, in the numbers of that discovery
	named    int           // entries since the last whole list, that list's included: the servers held are no more
	told     bool          // the watch that lasts has brought news
	failing  bool          // the last watch brought nothing, and that has been told
	fresh    bool          // discovery has moved, and no watch of the new one has ended
	patience time.Duration // for a watch's first word
}

// New makes a Watcher; Run starts it.
func New(addr string, zones []string, l limits.Limits, budget *limits.Budget, log *zap.Logger) *Watcher {
	return &Watcher{addr: addr, at: addr, zones: zones, limits: l, budget: budget, log: log,
		patience: l.ListFirst, wake: make(chan struct{}, 1), cut: func() {}, dial: (&net.Dialer{KeepAlive: -1}).DialContext}
}

// Dial connects, as net.Dialer does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Through has discovery reached another way than by the machine's own network. It is told before Run.
func (w *Watcher) Through(d Dial) { w.dial = d }

// Secure has discovery reached over TLS, by a configuration for each connection. It is told before Run.
func (w *Watcher) Secure(by func(addr string) *tls.Config) { w.secure = by }

// Ask wants a watch; it never waits. While one lasts, that is enough.
func (w *Watcher) Ask() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = true
	w.ring()
}

// Move names another discovery. It is watched at once: the module's pauses spare a discovery that is overrun,
// and this one has had no call yet. The list held stays until the new one tells.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.moved = addr, true
	w.cut()
	w.ring()
}

func (w *Watcher) ring() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Start hands over the list that the node had before its start. It may be old.
func (w *Watcher) Start(core Core, known *List) {
	w.core = core
	w.take(known)
}

// Follow names the core where there is no list from before the start.
func (w *Watcher) Follow(core Core) { w.core = core }

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		watch, wanted := w.begin(ctx)
		if !wanted {
			continue
		}
		began := time.Now()
		w.told = false
		err := w.follow(watch)
		moves := w.ended()
		if ctx.Err() != nil {
			return
		}
		if !w.failing {
			w.log.Warn("no watch of the server list; the list stays", zap.Error(err),
				zap.String("discovery", w.at), zap.Int64("revision", w.revision))
		}
		w.failing = true
		if !moves {
			// What discovery says while nobody listens binds the node all the same, and the longer for each pause. Pauses spare a
			// discovery that is overrun: one that fell silent, has had no call yet, or had told news for a while does not say so. One
			// that ends each watch right behind its list would else be asked ever so often.
			lasted := w.told && time.Since(began) >= w.limits.ListSilence
			w.core.ListFailed(lasted || w.fresh || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errNoDescriptor))
			w.fresh = false
		}
	}
}

// begin prepares a watch, if the module or a move wants one.
func (w *Watcher) begin(ctx context.Context) (watch context.Context, wanted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.asked && !w.moved {
		return nil, false
	}
	w.moved = false
	if w.at != w.addr {
		// Another discovery may number otherwise: by the old one's numbers its news would look old.
		w.at, w.revision, w.failing, w.fresh, w.patience = w.addr, 0, false, true, w.limits.ListFirst
		w.log.Info("discovery has moved", zap.String("discovery", w.at))
	}
	watch, w.cut = context.WithCancel(ctx)
	return watch, true
}

// ended tells whether another watch begins by itself: a new discovery is watched at once. Else the module hears of the end
// and asks in its own time.
func (w *Watcher) ended() (moves bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut()
	if !w.moved {
		w.asked = false
	}
	return w.moved
}

var errNoDescriptor = errors.New("no descriptor left for discovery")

// follow is the life of one watch.
func (w *Watcher) follow(ctx context.Context) error {
	if !w.budget.Take() {
		return errNoDescriptor
	}
	defer w.budget.Give()
	reach, reached := context.WithTimeout(ctx, w.limits.ListConnect)
	c, err := w.dial(reach, "tcp", w.at)
	reached()
	if err != nil {
		return fmt.Errorf("reaching discovery: %w", err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()

	if w.secure != nil {
		t := tls.Client(c, w.secure(w.at))
		c.SetDeadline(time.Now().Add(w.limits.ListConnect))
		if err := t.HandshakeContext(ctx); err != nil {
			return fmt.Errorf("discovery's keys: %w", err)
		}
		c = t
	}
	c.SetDeadline(time.Now().Add(w.patience))
	status, stream, err := w.call(c)
	// A call that stands in discovery's queue for longer than that is given up, and the next one waits twice as long: in a queue
	// of such calls each would else lose its turn. One whose connection fell mute must not be waited for much longer.
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.patience = min(2*w.patience, w.limits.ListAnswer)
	} else {
		w.patience = w.limits.ListFirst
	}
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("discovery answered %d", status)
	}
	// A discovery that was cut off says nothing; one that lives sends an empty line every other second.
	messages := feed{from: stream, most: w.limits.ListBytes, chunk: make([]byte, w.limits.Wire.Buffer),
		alive: func() { c.SetReadDeadline(time.Now().Add(w.limits.ListSilence)) }}
	for {
		text, err := messages.next()
		if err != nil {
			return fmt.Errorf("watching discovery: %w", err)
		}
		list, err := Parse(text)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := w.room(list); err != nil {
			return err
		}
		w.take(list)
		if !w.told {
			w.told, w.failing, w.fresh = true, false, false
			w.log.Info("watching the server list", zap.String("discovery", w.at),
				zap.Bool("whole", list.Complete), zap.Int64("revision", w.revision))
		}
	}
}

// call asks for a watch and reads the head of the answer.
func (w *Watcher) call(c net.Conn) (status int, stream *httpwire.Stream, err error) {
	if _, err = fmt.Fprintf(c, "GET %s?%s=1&%s=%d HTTP/1.1\r\nHost: %s\r\n\r\n", httpwire.PathList,
		httpwire.QueryWatch, httpwire.QuerySince, w.revision, w.at); err != nil {
		return 0, nil, fmt.Errorf("asking discovery: %w", err)
	}
	if status, stream, err = httpwire.NewReader(c, w.limits.Wire).ReadStream(); err != nil {
		err = fmt.Errorf("reading discovery: %w", err)
	}
	return status, stream, err
}

// errCrowd is a service of which changes have named more servers than there may be, many of them perhaps gone since.
var errCrowd = fmt.Errorf("server list: changes named more than %d servers since the last whole list, which is asked for", MostMembers)

// room keeps the number of servers bounded that changes can bring, a few at a time: the whole list has to tell then how many
// there are.
func (w *Watcher) room(l *List) error {
	if l.Complete {
		w.named = 0
	}
	for _, m := range l.Members {
		if !bytes.Contains(m, []byte(`"gone"`)) {
			w.named++
		}
	}
	if w.named <= MostMembers || l.Complete {
		return nil
	}
	w.revision, w.named = 0, 0
	return errCrowd
}

// take passes news on. A change that is older than the list held would bring back what has left: of
// that the core hears only that discovery has answered.
func (w *Watcher) take(l *List) {
	if !l.Complete && l.Revision <= w.revision {
		w.core.Listed(nil, false)
		return
	}
	w.revision = l.Revision
	w.core.Listed(l.Entries(w.zones, w.log), l.Complete)
}
