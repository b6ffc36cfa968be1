// Package fanout tells lists of servers to nodes, by the discovery protocol that they speak: the whole list, or a watch with
// revisions and an empty line every two seconds. A change is encoded once for all who watch; who watches is a place in the
// list's history, and who falls behind it gets the whole list instead of a backlog.
package fanout

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Member is one line of the list, as the protocol has it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type message struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Config bounds a List.
type Config struct {
	History           int                        // changes kept for those who come back
	HeartbeatInterval time.Duration              // between empty lines
	WriteTimeout      time.Duration              // for what is written to one watcher
	MaxWatchers       int                        // at most
	BatchDelay        time.Duration              // changes that are no drains wait so long for others
	EpochOf           func(revision int64) int64 // nil: there are none
}

// DefaultConfig keep a node's view within its grace.
func DefaultConfig() Config {
	return Config{History: 4096, HeartbeatInterval: 2 * time.Second, WriteTimeout: 2 * time.Second, MaxWatchers: 10_000, BatchDelay: 20 * time.Millisecond}
}

// entry is one step of the history: encoded once.
type entry struct {
	from, to int64 // revisions: it is for who stands at from
	text     []byte
}

// List is one service's.
type List struct {
	c   Config
	log *zap.Logger

	mu       sync.Mutex
	revision int64
	members  map[string]Member
	order    []string
	history  []entry
	whole    []byte // encoded, at revision; nil: not yet
	wake     chan struct{}
	waiting  []Member // gathered
	timer    *time.Timer
	at       time.Time // of the last word from above

	watchers atomic.Int64
	refused  atomic.Int64
	wholes   atomic.Int64 // whole lists sent
}

// New starts with nothing told: until Replace is called first, who asks gets 503 and keeps what it has.
func New(c Config, log *zap.Logger) *List {
	return &List{c: c, log: log, wake: make(chan struct{})}
}

// PublishSnapshot puts a whole list in force, at a revision beyond all that nodes have seen.
func (l *List) PublishSnapshot(revision int64, members []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members, l.order, l.history, l.waiting = map[string]Member{}, nil, nil, nil
	for _, m := range members {
		l.put(m)
	}
	l.revision, l.whole, l.at = max(revision, l.revision+1), nil, time.Now()
	l.stir()
}

// PublishDelta puts changes in force. Drains and what is told with them go out at once; the rest is gathered for a moment, so that
// the start of thousands is some messages and not thousands.
func (l *List) PublishDelta(changes []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil || len(changes) == 0 {
		return
	}
	l.waiting = append(l.waiting, changes...)
	l.at = time.Now()
	urgent := false
	for _, m := range changes {
		urgent = urgent || m.Phase != "ready"
	}
	switch {
	case urgent || l.c.BatchDelay <= 0:
		l.flush()
	case l.timer == nil:
		l.timer = time.AfterFunc(l.c.BatchDelay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.flush()
		})
	}
}

// NoteSourceAlive notes that the word from above is still to be had, so that the list's age can be told.
func (l *List) NoteSourceAlive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = time.Now()
}

// flush encodes what has gathered, every word of it in its order: a drain that was taken back is told, too.
func (l *List) flush() {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	if len(l.waiting) == 0 {
		return
	}
	for _, m := range l.waiting {
		l.put(m)
	}
	text, err := json.Marshal(message{l.revision + 1, false, l.waiting})
	l.waiting = nil
	if err != nil {
		l.log.Error("a change can't be encoded", zap.Error(err))
		return
	}
	l.history = append(l.history, entry{l.revision, l.revision + 1, chunk(text)})
	if len(l.history) > l.c.History {
		l.history = append([]entry(nil), l.history[len(l.history)-l.c.History/2:]...)
	}
	l.revision++
	l.whole = nil
	l.stir()
}

func (l *List) put(m Member) {
	_, known := l.members[m.ID]
	switch {
	case m.Phase == "gone":
		delete(l.members, m.ID)
	case !known:
		l.order = append(l.order, m.ID)
		fallthrough
	default:
		l.members[m.ID] = m
	}
	if len(l.order) > 2*len(l.members)+16 { // names that have gone
		kept := l.order[:0:0]
		seen := make(map[string]bool, len(l.members))
		for _, id := range l.order {
			if _, in := l.members[id]; in && !seen[id] {
				seen[id] = true
				kept = append(kept, id)
			}
		}
		l.order = kept
	}
}

func (l *List) stir() {
	close(l.wake)
	l.wake = make(chan struct{})
}

// chunk frames a line for a chunked stream.
func chunk(line []byte) []byte {
	out := strconv.AppendInt(nil, int64(len(line)+1), 16)
	out = append(out, "\r\n"...)
	out = append(out, line...)
	return append(out, "\n\r\n"...)
}

var empty = chunk(nil)

// next is what one who stands at a revision is to be sent, and where it stands then; nothing if it has all.
func (l *List) next(since int64, first bool) (text []byte, at int64, wake chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// One that stands in a later epoch has heard a newer leader than this replica has: it must not be taken back.
	if l.members == nil || since == l.revision && !first || l.c.EpochOf != nil && l.c.EpochOf(since) > l.c.EpochOf(l.revision) {
		return nil, since, l.wake
	}
	if since == l.revision {
		return chunk(fmt.Appendf(nil, `{"revision":%d,"complete":false,"members":[]}`, since)), since, l.wake
	}
	if n := len(l.history); n > 0 && since > 0 && since >= l.history[0].from && since < l.revision {
		for i := n - 1; i >= 0; i-- {
			if l.history[i].from == since {
				if n-i > 64 { // one who is far behind is better off with all of it
					break
				}
				return l.history[i].text, l.history[i].to, l.wake
			}
		}
	}
	if l.whole == nil {
		m := message{Revision: l.revision, Complete: true, Members: make([]Member, 0, len(l.members))}
		seen := make(map[string]bool, len(l.members))
		for _, id := range l.order {
			if x, in := l.members[id]; in && !seen[id] {
				seen[id] = true
				m.Members = append(m.Members, x)
			}
		}
		text, err := json.Marshal(m)
		if err != nil {
			l.log.Error("the list can't be encoded", zap.Error(err))
			return nil, since, l.wake
		}
		l.whole = chunk(text)
	}
	l.wholes.Add(1)
	return l.whole, l.revision, l.wake
}

// Status is how a list stands.
type Status struct {
	Revision           int64   `json:"revision"`
	Servers            int     `json:"servers"`
	Watchers           int64   `json:"watchers"`
	Rejected           int64   `json:"refused"`
	Snapshots          int64   `json:"whole_lists_sent"`
	SecondsSinceSource float64 `json:"heard_seconds_ago"`
}

// Status tells it.
func (l *List) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Revision: l.revision, Servers: len(l.members), Watchers: l.watchers.Load(), Rejected: l.refused.Load(), Snapshots: l.wholes.Load(), SecondsSinceSource: -1}
	if !l.at.IsZero() {
		s.SecondsSinceSource = time.Since(l.at).Seconds()
	}
	return s
}

// Serve answers nodes on a listener until the context ends, and waits for its goroutines.
func (l *List) Serve(ctx context.Context, ln net.Listener) error {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.log.Warn("taking a connection failed", zap.Error(err))
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if l.watchers.Add(1) > int64(l.c.MaxWatchers) {
			l.watchers.Add(-1)
			l.refused.Add(1)
			if _, plain := c.(*net.TCPConn); plain { // else it would first have to be spoken to, while others wait
				c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
				fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\nRetry-After: 1\r\n\r\n")
			}
			c.Close()
			continue
		}
		all.Go(func() {
			defer l.watchers.Add(-1)
			defer c.Close()
			l.answer(ctx, c)
		})
	}
}

// answer is the life of one connection: one request, and its watch if it asks for one.
func (l *List) answer(ctx context.Context, c net.Conn) {
	c.SetDeadline(time.Now().Add(5 * time.Second)) // over TLS its first read writes, too
	q, err := http.ReadRequest(bufio.NewReaderSize(&limited{c, 8 << 10}, 1024))
	if err != nil {
		return
	}
	say := func(status string, headers string, body []byte) {
		c.SetWriteDeadline(time.Now().Add(l.c.WriteTimeout))
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, headers, len(body), body)
	}
	since, err := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64)
	switch {
	case q.URL.Path != "/registry/instances":
		say("404 Not Found", "", nil)
		return
	case q.Method != "GET":
		say("405 Method Not Allowed", "Allow: GET\r\n", nil)
		return
	case q.URL.Query().Get("since") != "" && (err != nil || since < 0):
		say("400 Bad Request", "", nil)
		return
	}
	text, at, wake := l.next(since, true)
	if text == nil { // nothing is known yet: who asks keeps what it has
		say("503 Service Unavailable", "Retry-After: 1\r\n", nil)
		return
	}
	if q.URL.Query().Get("follow") != "1" {
		if since > 0 {
			text, _, _ = l.next(-1, true)
		}
		line := text[:len(text)-2]
		for i, b := range line {
			if b == '\n' {
				line = line[i+1:]
				break
			}
		}
		say("200 OK", "Content-Type: application/json\r\n", line)
		return
	}
	c.SetReadDeadline(time.Time{})
	left := make(chan struct{})
	go func() { // a node's farewell ends its watch at once
		defer close(left)
		c.Read(make([]byte, 1))
	}()
	defer func() { c.Close(); <-left }()
	c.SetWriteDeadline(time.Now().Add(l.c.WriteTimeout))
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	tick := time.NewTicker(l.c.HeartbeatInterval)
	defer tick.Stop()
	for {
		for text != nil {
			c.SetWriteDeadline(time.Now().Add(l.c.WriteTimeout))
			if _, err := c.Write(text); err != nil {
				return // too slow, or gone: it asks again by its revision
			}
			text, at, wake = l.next(at, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-left:
			return
		case <-wake:
			text, at, wake = l.next(at, false)
		case <-tick.C:
			c.SetWriteDeadline(time.Now().Add(l.c.WriteTimeout))
			if _, err := c.Write(empty); err != nil {
				return
			}
		}
	}
}

// limited ends a request that is too long.
type limited struct {
	c    net.Conn
	left int
}

func (l *limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("the request is too long")
	}
	n, err := l.c.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
