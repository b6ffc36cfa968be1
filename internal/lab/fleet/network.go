package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Place is where something stands. Numbers count over the whole fleet, not within what is round them.
type Place struct{ Region, Zone, Rack, Machine int }

// Scope is a part of the fleet: a kind of place and its number. The zero Scope is all of it.
type Scope struct {
	Kind string // region, zone, rack, machine; empty: everything
	N    int
}

// ParseScope reads "zone:3"; an empty text is all of the fleet.
func ParseScope(text string) (s Scope, err error) {
	if text == "" {
		return s, nil
	}
	kind, number, _ := strings.Cut(text, ":")
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || kind != "region" && kind != "zone" && kind != "rack" && kind != "machine" {
		return s, fmt.Errorf("%q is no place such as region:0, zone:3, rack:5 or machine:17", text)
	}
	return Scope{kind, n}, nil
}

// Has tells whether a place lies in it.
func (s Scope) Has(p Place) bool {
	switch s.Kind {
	case "region":
		return p.Region == s.N
	case "zone":
		return p.Zone == s.N
	case "rack":
		return p.Rack == s.N
	case "machine":
		return p.Machine == s.N
	}
	return true
}

// Cut keeps what goes from one part of the fleet to another from arriving. Without To it is to everything outside of From.
type Cut struct {
	From, To Scope
	OneWay   bool // only that way; else back as well
}

func (c Cut) blocks(from, to Place) bool {
	one := func(a, b Place) bool {
		if c.To.Kind == "" {
			return c.From.Has(a) && !c.From.Has(b)
		}
		return c.From.Has(a) && c.To.Has(b)
	}
	return one(from, to) || !c.OneWay && one(to, from)
}

// Latency is what a byte takes one way.
type Latency struct{ Region, Zone, Rack time.Duration }

func (l Latency) of(a, b Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return l.Region
	case a.Zone != b.Zone:
		return l.Zone
	case a.Machine != b.Machine:
		return l.Rack
	}
	return 0
}

// Network is the links between places, as dialers: each connection knows its two ends, is late by the way between them, and
// carries nothing while that way is cut. What is written meanwhile goes on when the cut ends, as what TCP sends again does, and
// the other side hears of an end only then.
type Network struct {
	// Connect, if set before the first Dial, reaches an address in the place of TCP.
	Connect func(ctx context.Context, addr string) (net.Conn, error)

	latency Latency

	mu      sync.Mutex
	cuts    []Cut
	changed chan struct{} // closed at each change
}

// NewNetwork starts without cuts.
func NewNetwork(l Latency) *Network { return &Network{latency: l, changed: make(chan struct{})} }

// Set puts cuts in the place of those before.
func (n *Network) Set(cuts []Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = cuts
	close(n.changed)
	n.changed = make(chan struct{})
}

// Blocked tells whether the way is cut now, and what is closed at the next change.
func (n *Network) Blocked(from, to Place) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.cuts {
		if c.blocks(from, to) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// open waits until the way is not cut; false if one of the others comes first.
func (n *Network) open(from, to Place, end <-chan struct{}, late <-chan time.Time) bool {
	for {
		blocked, changed := n.Blocked(from, to)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-end:
			return false
		case <-late:
			return false
		}
	}
}

// Traffic counts what one end sends and gets. A read or a write counts as one segment; each is acknowledged by another, without
// data.
type Traffic struct {
	Out, In       atomic.Int64 // payload bytes
	Writes, Reads atomic.Int64
	Dials, Failed atomic.Int64
	Open          atomic.Int64
}

// Volume is Traffic as a number of its own.
type Volume struct{ Out, In, Writes, Reads, Dials, Failed, Open int64 }

// Volume is what has been counted.
func (t *Traffic) Volume() Volume {
	return Volume{t.Out.Load(), t.In.Load(), t.Writes.Load(), t.Reads.Load(), t.Dials.Load(), t.Failed.Load(), t.Open.Load()}
}

// Plus adds; Minus is what came since.
func (v Volume) Plus(o Volume) Volume {
	return Volume{v.Out + o.Out, v.In + o.In, v.Writes + o.Writes, v.Reads + o.Reads, v.Dials + o.Dials, v.Failed + o.Failed, v.Open + o.Open}
}

// Minus is what came since then; what is open is as it is now.
func (v Volume) Minus(o Volume) Volume {
	return Volume{v.Out - o.Out, v.In - o.In, v.Writes - o.Writes, v.Reads - o.Reads, v.Dials - o.Dials, v.Failed - o.Failed, v.Open}
}

// Headers of IPv4 and of TCP with time stamps: on each segment and on each acknowledgement.
const headerBytes = 52

// Payload is the bytes of both ways.
func (v Volume) Payload() int64 { return v.Out + v.In }

// Messages are reads and writes.
func (v Volume) Messages() int64 { return v.Writes + v.Reads }

// Wire is the bytes of both ways with headers estimated: those of each segment and of its acknowledgement, and seven segments
// for each connection's beginning and end.
func (v Volume) Wire() int64 {
	return v.Payload() + headerBytes*(2*v.Messages()+7*v.Dials)
}

// Dial connects two places. The time-out of a connection that is not answered is the context's.
func (n *Network) Dial(ctx context.Context, from, to Place, addr string, t *Traffic) (net.Conn, error) {
	t.Dials.Add(1)
	if !n.open(from, to, ctx.Done(), nil) || !n.open(to, from, ctx.Done(), nil) {
		t.Failed.Add(1)
		return nil, fmt.Errorf("dial %s: %w", addr, os.ErrDeadlineExceeded)
	}
	if !pause(ctx, 2*n.latency.of(from, to)) {
		t.Failed.Add(1)
		return nil, ctx.Err()
	}
	connect := n.Connect
	if connect == nil {
		connect = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		}
	}
	c, err := connect(ctx, addr)
	if err != nil {
		t.Failed.Add(1)
		return nil, err
	}
	t.Open.Add(1)
	return &link{Conn: c, n: n, from: from, to: to, t: t, closed: make(chan struct{}), late: n.latency.of(from, to)}, nil
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// link is one connection.
type link struct {
	net.Conn
	n        *Network
	from, to Place
	t        *Traffic
	late     time.Duration
	closed   chan struct{}
	once     sync.Once

	mu      sync.Mutex
	until   time.Time // for reads
	waits   []byte    // came while the way was cut, or does not fit
	failed  error     // behind it
	held    []byte    // written while the way was cut
	sending bool
}

// SyscallConn is not to be had: what looks past the connection would see through a cut.
func (l *link) SyscallConn() (syscall.RawConn, error) { return nil, syscall.ENOTSUP }

func (l *link) Read(p []byte) (int, error) {
	l.mu.Lock()
	fresh := len(l.waits) == 0 && l.failed == nil
	l.mu.Unlock()
	if fresh {
		n, err := l.Conn.Read(p)
		if n == 0 && err != nil && isTimeout(err) {
			return 0, err
		}
		if n > 0 {
			l.t.Reads.Add(1)
			l.t.In.Add(int64(n))
		}
		time.Sleep(l.late)
		if blocked, _ := l.n.Blocked(l.to, l.from); !blocked {
			return n, err
		}
		l.mu.Lock()
		l.waits, l.failed = append(l.waits, p[:n]...), err
		l.mu.Unlock()
	}
	l.mu.Lock()
	until := l.until
	l.mu.Unlock()
	var late <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(max(0, time.Until(until)))
		defer t.Stop()
		late = t.C
	}
	if !l.n.open(l.to, l.from, l.closed, late) {
		select {
		case <-l.closed:
			return 0, net.ErrClosed
		default:
			return 0, os.ErrDeadlineExceeded
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := copy(p, l.waits)
	if l.waits = l.waits[n:]; n > 0 {
		return n, nil
	}
	err := l.failed
	l.failed = nil
	return 0, err
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}

func (l *link) Write(p []byte) (int, error) {
	time.Sleep(l.late)
	l.mu.Lock()
	if blocked, _ := l.n.Blocked(l.from, l.to); blocked || l.sending {
		l.held = append(l.held, p...)
		if !l.sending {
			l.sending = true
			go l.later()
		}
		l.mu.Unlock()
		return len(p), nil
	}
	l.mu.Unlock()
	l.t.Writes.Add(1)
	l.t.Out.Add(int64(len(p)))
	return l.Conn.Write(p)
}

// later sends what was held back, once the way is open.
func (l *link) later() {
	l.n.open(l.from, l.to, nil, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.t.Writes.Add(1)
	l.t.Out.Add(int64(len(l.held)))
	l.Conn.Write(l.held)
	l.held, l.sending = nil, false
}

func (l *link) SetReadDeadline(t time.Time) error {
	l.mu.Lock()
	l.until = t
	l.mu.Unlock()
	return l.Conn.SetReadDeadline(t)
}

func (l *link) SetDeadline(t time.Time) error {
	l.mu.Lock()
	l.until = t
	l.mu.Unlock()
	return l.Conn.SetDeadline(t)
}

// Close ends it here at once; the other side hears of it when the way is open.
func (l *link) Close() error {
	l.once.Do(func() {
		l.t.Open.Add(-1)
		close(l.closed)
		if blocked, _ := l.n.Blocked(l.from, l.to); !blocked {
			l.Conn.Close()
			return
		}
		l.Conn.SetReadDeadline(time.Unix(1, 0)) // who reads here hears of it
		go func() {
			l.n.open(l.from, l.to, nil, nil)
			l.Conn.Close()
		}()
	})
	return nil
}

// Relay carries connections of real processes over a link.
type Relay struct {
	Traffic
	n    *Network
	ln   net.Listener
	from Place
	to   func() []target
	all  sync.WaitGroup
	end  context.CancelFunc
	life context.Context
}

type target struct {
	place Place
	addr  string
}

// NewRelay listens on loopback for who stands at a place; each connection goes to the first target that is reached.
func NewRelay(n *Network, from Place, addr string, to func() []target) (*Relay, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{n: n, ln: ln, from: from, to: to}
	r.life, r.end = context.WithCancel(context.Background())
	r.all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.all.Go(func() { r.carry(c) })
		}
	})
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Close ends it.
func (r *Relay) Close() {
	r.ln.Close()
	r.end()
	r.all.Wait()
}

func (r *Relay) carry(c net.Conn) {
	defer c.Close()
	defer context.AfterFunc(r.life, func() { c.Close() })()
	out, err := dialFirst(r.life, r.n, r.from, r.to(), &r.Traffic)
	if err != nil {
		return
	}
	defer out.Close()
	defer context.AfterFunc(r.life, func() { out.Close() })()
	done := make(chan struct{})
	go func() {
		defer close(done)
		pipe(out, c)
		out.Close()
	}()
	pipe(c, out)
	c.Close()
	<-done
}

// pipe copies without the kernel's short cuts, which would go round the link.
func pipe(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil && (n == 0 || !isTimeout(err)) {
			return
		}
	}
}

// tryFor is how long one of several targets is waited for.
const tryFor = 300 * time.Millisecond

// dialFirst connects to the first target that answers, as behind an address that spreads connections over what lives.
func dialFirst(ctx context.Context, n *Network, from Place, to []target, t *Traffic) (c net.Conn, err error) {
	for i, x := range to {
		try, end := ctx, context.CancelFunc(func() {})
		if i < len(to)-1 {
			try, end = context.WithTimeout(ctx, tryFor+2*n.latency.of(from, x.place))
		}
		c, err = n.Dial(try, from, x.place, x.addr, t)
		end()
		if err == nil || ctx.Err() != nil {
			return c, err
		}
	}
	if err == nil {
		err = os.ErrNotExist
	}
	return nil, err
}
