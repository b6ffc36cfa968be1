package store

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"robincart/internal/record/record"
)

// The way to the record through the controller's replicas, each of which follows the store for many nodes: the same calls over TCP, and one that lasts, by
// which a replica tells where the record stands. The replica that tells is the one that is called.

const (
	mostReply   = 64 << 20 // of a replica
	mostLine    = 4 << 10  // of one that lasts
	dialFor     = 1500 * time.Millisecond
	silence     = 5 * time.Second // a replica that lives says something every two
	firstPause  = 50 * time.Millisecond
	longPause   = 2 * time.Second
	stale       = 4 * time.Second // a replica whose own word of the store is older is left for one that has a newer
	probeFor    = 1500 * time.Millisecond
	mostAddress = 8
)

// controllersScheme begins the address of such a store.
const controllersScheme = "controllers:"

// ParseControllers are the addresses of replicas in a store's address, nearest first. Is tells whether it has that form at all.
func ParseControllers(address string) (addrs []string, is bool, err error) {
	text, is := strings.CutPrefix(address, controllersScheme)
	if !is {
		return nil, false, nil
	}
	addrs = strings.Split(text, ",")
	if len(addrs) > mostAddress {
		return nil, true, fmt.Errorf("%d controllers are more than %d", len(addrs), mostAddress)
	}
	for i, a := range addrs {
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return nil, true, fmt.Errorf("%q is no address with a port", a)
		}
		if slices.Contains(addrs[:i], a) {
			return nil, true, fmt.Errorf("%s stands twice", a)
		}
	}
	return addrs, true, nil
}

type through struct {
	addrs  []string
	reach  func(ctx context.Context, addr string) (net.Conn, error)
	secure func(addr string) *tls.Config
	most   int64 // bytes of an answer
	end    context.CancelFunc
	all    sync.WaitGroup
	news   chan struct{}

	mu      sync.Mutex
	at      string // the replica that tells; empty: none does
	stand   record.Meta
	heard   time.Time     // when the store itself said so
	known   record.Meta   // where the caller stands
	why     error         // none tells
	turn    int           // counts connections that told
	back    bool          // one said that the record went back
	changed chan struct{} // closed when any of that changes
}

// DialControllers is the record as the first of the controller's replicas has it that can be reached and is not behind. Secure, if set, makes the keys for a connection.
func DialControllers(addrs []string, secure func(addr string) *tls.Config) Store {
	d := net.Dialer{KeepAlive: -1}
	return DialControllersWith(func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }, addrs, secure)
}

// DialControllersWith is Through over connections that are made elsewhere.
func DialControllersWith(reach func(ctx context.Context, addr string) (net.Conn, error), addrs []string, secure func(addr string) *tls.Config) Store {
	ctx, end := context.WithCancel(context.Background())
	s := &through{addrs: addrs, reach: reach, secure: secure, most: mostReply, end: end, news: make(chan struct{}, 1), changed: make(chan struct{}), why: errors.New("not reached yet")}
	s.all.Go(func() { s.run(ctx) })
	return s
}

func (s *through) run(ctx context.Context) {
	pause := firstPause
	for i := 0; ctx.Err() == nil; i++ {
		begun := time.Now()
		err := s.follow(ctx, s.addrs[i%len(s.addrs)])
		if better := (*fresher)(nil); errors.As(err, &better) {
			i = slices.Index(s.addrs, better.addr) - 1
			continue
		}
		s.mu.Lock()
		s.at, s.why = "", err
		s.back = s.back || errors.Is(err, record.ErrRolledBack)
		s.stir()
		s.mu.Unlock()
		if time.Since(begun) > silence {
			pause = firstPause
		}
		// Those who lost one replica do not meet the next in one moment.
		t := time.NewTimer(pause/2 + time.Duration(rand.Int63n(int64(pause))))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		if i%len(s.addrs) == len(s.addrs)-1 {
			pause = min(2*pause, longPause)
		}
	}
}

// stir wakes who waits for a change. The mutex is held.
func (s *through) stir() {
	close(s.changed)
	s.changed = make(chan struct{})
	select {
	case s.news <- struct{}{}:
	default:
	}
}

func (s *through) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialFor)
	defer cancel()
	c, err := s.reach(ctx, addr)
	if err != nil || s.secure == nil {
		return c, err
	}
	t := tls.Client(c, s.secure(addr))
	if err := t.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, fmt.Errorf("keys: %w", err)
	}
	return t, nil
}

// follow is the life of one connection over which a replica tells.
func (s *through) follow(ctx context.Context, addr string) error {
	bad := func(err error) error { return fmt.Errorf("the controller at %s: %w", addr, err) }
	c, err := s.dial(ctx, addr)
	if err != nil {
		return bad(err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	s.mu.Lock()
	known := s.known
	s.mu.Unlock()
	c.SetDeadline(time.Now().Add(silence))
	if err := json.NewEncoder(c).Encode(call{Op: "follow", At: &known, Left: silence}); err != nil {
		return bad(err)
	}
	in := bufio.NewReaderSize(c, mostLine)
	next := slices.Index(s.addrs, addr)
	for first := true; ; {
		c.SetReadDeadline(time.Now().Add(silence))
		is, err := line(in)
		if err != nil {
			return bad(err)
		}
		if is != nil && is.age() > stale && len(s.addrs) > 1 { // another may not be cut off from the store
			if next = (next + 1) % len(s.addrs); s.addrs[next] != addr && s.probe(ctx, s.addrs[next], known) < is.age()/2 {
				return &fresher{s.addrs[next]}
			}
		}
		s.mu.Lock()
		now := time.Now()
		switch {
		case is != nil:
			s.heard = now.Add(-is.age())
			// What was read meanwhile may be newer than a line that was on its way.
			if first || is.Meta.Epoch != s.stand.Epoch || is.Meta.Revision > s.stand.Revision {
				if s.stand = is.Meta; first {
					s.turn++
				}
				s.at, first = addr, false
				s.stir()
			}
		case !first:
			s.heard = now
		}
		s.mu.Unlock()
	}
}

// fresher ends a connection for a better one.
type fresher struct{ addr string }

func (f *fresher) Error() string {
	return "the controller at " + f.addr + " has a newer word of the store"
}

// probe is how old another replica's word of the store is.
func (s *through) probe(ctx context.Context, addr string, known record.Meta) time.Duration {
	const none = 1 << 62
	ctx, cancel := context.WithTimeout(ctx, probeFor)
	defer cancel()
	c, err := s.dial(ctx, addr)
	if err != nil {
		return none
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(probeFor))
	if json.NewEncoder(c).Encode(call{Op: "follow", At: &known, Left: probeFor}) != nil {
		return none
	}
	is, err := line(bufio.NewReaderSize(c, mostLine))
	if err != nil || is == nil {
		return none
	}
	return is.age()
}

func (p *Position) age() time.Duration { return time.Duration(min(p.Age, 1<<40)) * time.Millisecond }

// line reads what a replica says; nil is a sign of life.
func line(in *bufio.Reader) (*Position, error) {
	text, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = errors.New("a line without end")
	}
	if err != nil || len(text) == 1 {
		return nil, err
	}
	var is struct {
		Position
		Fault string `json:"fault"`
		Name  string `json:"name"`
	}
	if err := json.Unmarshal(text, &is); err != nil {
		return nil, fmt.Errorf("no proper line: %w", err)
	}
	r := reply{Fault: is.Fault, Name: is.Name}
	if err := r.err(); err != nil {
		return nil, err
	}
	if is.Meta.Epoch == "" || is.Meta.Revision < 0 || is.Age < 0 {
		return nil, errors.New("no proper line: it does not say where the record stands")
	}
	return &is.Position, nil
}

// SetPosition implements ReplicaClient.
func (s *through) SetPosition(m record.Meta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = m
}

// TakeRollback implements ReplicaClient.
func (s *through) TakeRollback() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	back := s.back
	s.back = false
	return back
}

// Age implements ReplicaClient.
func (s *through) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heard)
}

// tells waits for a replica that does.
func (s *through) tells(ctx context.Context) (addr string, m, known record.Meta, err error) {
	for {
		s.mu.Lock()
		addr, m, known, err = s.at, s.stand, s.known, s.why
		changed := s.changed
		s.mu.Unlock()
		if addr != "" {
			return addr, m, known, nil
		}
		select {
		case <-ctx.Done():
			return "", m, known, fmt.Errorf("no controller tells the record: %w", err)
		case <-changed:
		}
	}
}

func (s *through) call(ctx context.Context, c call) (r reply, err error) {
	addr, _, known, err := s.tells(ctx)
	if err != nil {
		return r, err
	}
	s.mu.Lock()
	turn := s.turn
	s.mu.Unlock()
	conn, err := s.dial(ctx, addr)
	if err != nil {
		return r, fmt.Errorf("the controller at %s: %w", addr, err)
	}
	c.At = &known
	if r, err = ask(ctx, conn, c, s.most, "the controller at "+addr); err == nil {
		s.hears(turn, r.Meta)
		s.hears(turn, r.Page.Meta)
	}
	return r, err
}

func (s *through) Meta(ctx context.Context) (record.Meta, error) {
	_, m, _, err := s.tells(ctx)
	return m, err
}

func (s *through) Since(ctx context.Context, after int64, most int) (record.Page, error) {
	r, err := s.call(ctx, call{Op: "since", After: after, Most: most})
	return r.Page, err
}

// hears takes where the replica stood when it answered a call, if it is the one that still tells: that may be further than its last line.
func (s *through) hears(turn int, m record.Meta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if turn == s.turn && m.Epoch == s.stand.Epoch && m.Revision > s.stand.Revision {
		s.stand = m
	}
}

func (s *through) Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	r, err := s.call(ctx, call{Op: "write", Epoch: epoch, Changes: changes})
	if err == nil && len(r.Facts) != len(changes) {
		err = fmt.Errorf("the controller answered %d of %d changes", len(r.Facts), len(changes))
	}
	return r.Facts, r.Meta, err
}

func (s *through) Wait(ctx context.Context, most time.Duration) error {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	case <-s.news:
	}
	return nil
}

func (s *through) Close() error {
	s.end()
	s.all.Wait()
	return nil
}
