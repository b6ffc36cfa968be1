package cost

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/standin"
)

// MaxDepth bounds a chain.
const MaxDepth = 32

// mostAttempts bounds what reaches the servers of a chain in one case: tries of tries can grow by a power of the depth.
const mostAttempts = 3_000_000

// Fails says where requests fail in a chain, by a share of them, with a 500.
type Fails string

// Where. A server that fails before its work has not called the tier behind; one that fails after it has.
const (
	Nowhere Fails = "none"
	Last    Fails = "the last tier"
	Before  Fails = "each tier, before its work"
	After   Fails = "each tier, after its work"
)

// Chain is nodes and servers in a row: each server calls the tier behind it through that tier's node, a real process.
// The servers of a tier share one node here, so that a chain of 20 needs 20 processes; on the platform each has its own,
// which knows less of the tier behind.
type Chain struct {
	Shape  // of each tier
	Depths []int
	Tell   func(format string, args ...any)
}

// tier is one node and the servers that it sends to.
type tier struct {
	chain  *links
	n      int // from the front
	in     *servers
	disc   *standin.Discovery
	node   *standin.Node
	behind *tier // nil: the last
	way    callerPool
	mu     sync.Mutex
	draw   *rand.Rand
	got    atomic.Int64 // requests that reached its servers
}

// links is a chain that stands.
type links struct {
	tiers  []*tier
	dir    string
	fails  Fails
	share  float64
	number atomic.Uint64
	all    atomic.Int64
	over   atomic.Bool // more has come than a chain takes
}

// path of calls that go past the nodes.
const straightPath = "straight"

// newLinks starts a chain. Nodes start from the last tier on, side by side.
func newLinks(ctx context.Context, s Shape, depth int, fails Fails, share float64, seed int64) (k *links, err error) {
	k = &links{fails: fails, share: share}
	defer func() {
		if err != nil {
			k.close()
		}
	}()
	if k.dir, err = os.MkdirTemp("", "chain"); err != nil {
		return k, err
	}
	var behind *tier
	for n := depth - 1; n >= 0; n-- {
		t := &tier{chain: k, n: n, behind: behind, draw: rand.New(rand.NewSource(seed*64 + int64(n)))}
		k.tiers = append([]*tier{t}, k.tiers...)
		behind = t
		if t.in, err = newServers(t.answer); err != nil {
			return k, err
		}
		t.disc = standin.NewDiscovery(&judge.Ledger{}, time.Now())
		var members []standin.Member
		for i := range s.Servers {
			members = append(members, standin.Member{ID: fmt.Sprintf("s%d-%d", n, i), Addr: t.in.addr(i), Zone: "z1", Phase: "ready", Size: 1})
		}
		t.disc.Update(members...)
		door, err := t.disc.Listen(0, "127.0.0.1:0")
		if err != nil {
			return k, err
		}
		addr, err := standin.FreeAddress("127.0.0.1")
		if err != nil {
			return k, err
		}
		revision, members := t.disc.List()
		t.node = &standin.Node{Name: fmt.Sprintf("n%d", n), Addr: addr, Program: s.Program, Dir: k.dir, Env: s.Env,
			Config: platform(s, n, door.Addr(), revision, members)}
	}
	errs := make(chan error, depth)
	for _, t := range k.tiers {
		go func() { errs <- t.node.Start(ctx) }()
	}
	for range k.tiers {
		err = errors.Join(err, <-errs)
	}
	return k, err
}

func (l *links) close() {
	var all sync.WaitGroup
	for _, t := range l.tiers {
		all.Go(func() {
			t.way.close()
			if t.node != nil {
				t.node.End(10 * time.Second)
			}
			if t.disc != nil {
				t.disc.Stop()
			}
			if t.in != nil {
				t.in.close()
			}
		})
	}
	all.Wait()
	os.RemoveAll(l.dir)
}

// crashed tells of a node that ended by itself.
func (l *links) crashed() (err error) {
	for _, t := range l.tiers {
		err = errors.Join(err, t.node.Crashed())
	}
	return err
}

var failed = []byte("HTTP/1.1 500 Lab\r\nContent-Length: 0\r\n\r\n")

// answer is what a server of the tier says to a request.
func (t *tier) answer(head []byte) []byte {
	k := t.chain
	t.got.Add(1)
	if k.all.Add(1) > mostAttempts {
		k.over.Store(true)
		return failed
	}
	fails := false
	if k.fails == Before || k.fails == After || k.fails == Last && t.behind == nil {
		t.mu.Lock()
		fails = t.draw.Float64() < k.share
		t.mu.Unlock()
	}
	if fails && k.fails != After {
		return failed
	}
	if t.behind != nil {
		left, err := strconv.Atoi(header(head, "X-Expires-In-Ms: "))
		if err != nil || left < 1 {
			return failed
		}
		straight := bytes.HasPrefix(head, []byte("GET /"+straightPath))
		if status, err := t.behind.call(straight, time.Duration(left)*time.Millisecond); err != nil || status != 200 {
			return failed
		}
	}
	if fails {
		return failed
	}
	return answer
}

// header finds a value by its name as the lab's callers and the node write it.
func header(head []byte, name string) string {
	_, rest, found := bytes.Cut(head, []byte("\r\n"+name))
	if !found {
		return ""
	}
	value, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(value)
}

// call makes a call to the tier through its node, or straight to one of its servers.
func (t *tier) call(straight bool, left time.Duration) (status int, err error) {
	addr, path := t.node.Addr, method
	if straight {
		addr, path = t.in.addr(0), straightPath
	}
	for range 2 {
		c, fresh, err := t.way.take(addr)
		if err != nil {
			return 0, err
		}
		c.id = 1<<60 | t.chain.number.Add(1)
		c.SetDeadline(time.Now().Add(left + 100*time.Millisecond))
		status, err = c.askFor(path, left)
		if err == nil {
			t.way.keep(addr, c)
			return status, nil
		}
		c.Close()
		if fresh || errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		} // else it was closed while it was idle: the call is made once more, on another
	}
	return 0, errors.New("closed twice")
}

// callerPool keeps idle connections, by where they go.
type callerPool struct {
	mu     sync.Mutex
	idle   map[string][]*caller
	closed bool
}

func (p *callerPool) take(addr string) (c *caller, fresh bool, err error) {
	p.mu.Lock()
	if list := p.idle[addr]; len(list) > 0 {
		c = list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		return c, false, nil
	}
	p.mu.Unlock()
	c, err = dial(addr, "", 0)
	return c, true, err
}

func (p *callerPool) keep(addr string, c *caller) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*caller{}
	}
	p.idle[addr] = append(p.idle[addr], c)
}

func (p *callerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = nil
}

// Attempts is how many requests reached the servers of a chain for the calls at its first node.
type Attempts struct {
	Depth               int
	Fails               Fails
	Share               float64
	Calls               int
	OK, PushedBack      int
	Aborted, Unanswered int
	Tiers               []int64 // requests that reached each, from the front
}

// First is how many requests a call reached the first tier.
func (a Attempts) First() float64 { return float64(a.Tiers[0]) / float64(a.Calls) }

// LastTier is how many requests a call reached the last tier.
func (a Attempts) LastTier() float64 { return float64(a.Tiers[len(a.Tiers)-1]) / float64(a.Calls) }

// Count makes calls at the first node of a fresh chain, from so many callers that ask one call after another, and counts.
// No figure of it hangs on a clock where the deadline is long enough; second copies, which go by the time that answers
// take, are the shape's to allow.
func (c *Chain) Count(ctx context.Context, depth int, fails Fails, share float64, calls, callers int, seed int64) (Attempts, error) {
	a := Attempts{Depth: depth, Fails: fails, Share: share, Calls: calls}
	k, err := newLinks(ctx, c.Shape, depth, fails, share, seed)
	if err != nil {
		return a, err
	}
	defer k.close()
	var taken atomic.Int64
	var mu sync.Mutex
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for taken.Add(1) <= int64(calls) && ctx.Err() == nil && !k.over.Load() {
				status, err := k.tiers[0].call(false, c.Deadline)
				mu.Lock()
				switch {
				case err != nil:
					a.Unanswered++
				case status == 200:
					a.OK++
				case status == 503:
					a.PushedBack++
				default:
					a.Aborted++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if err := errors.Join(ctx.Err(), k.crashed()); err != nil {
		return a, err
	}
	if k.over.Load() {
		return a, fmt.Errorf("%d deep, %s failing %v: more than %d requests reached the servers for %d calls", depth, fails, share, mostAttempts, calls)
	}
	for _, t := range k.tiers {
		a.Tiers = append(a.Tiers, t.got.Load())
	}
	return a, nil
}

// Latency measures open-loop calls by depth, through nodes and past them, in turns on one chain: what is fewer deep goes in
// nearer its end.
func (c *Chain) Latency(ctx context.Context, rate, rounds int, lasts time.Duration, seed uint64) ([]Sample, []string, error) {
	deepest := 0
	for _, d := range c.Depths {
		deepest = max(deepest, d)
	}
	k, err := newLinks(ctx, c.Shape, deepest, Nowhere, 0, int64(seed))
	if err != nil {
		return nil, nil, err
	}
	defer k.close()
	r := &Rate{For: lasts, Seed: seed}
	var number series
	for round := range rounds {
		arrivals, err := r.plan(rate, round)
		if err != nil {
			return nil, nil, err
		}
		for i := range c.Depths {
			depth := c.Depths[(i+round)%len(c.Depths)]
			t := k.tiers[deepest-depth]
			ways := []*way{{name: Straight, method: straightPath, dests: []load.Destination{{Node: -1, Addr: t.in.addr(0)}}},
				{name: "node", dests: []load.Destination{{Node: 0, Addr: t.node.Addr}}}}
			for w := range ways {
				w := ways[(w+round)%2]
				s := Sample{Way: w.name, Rate: depth, Round: round}
				if err := s.open(ctx, w, r, append([]plan.Arrival(nil), arrivals...), &number); err != nil {
					return nil, nil, fmt.Errorf("%d deep, %s: %w", depth, w.name, err)
				}
				if err := errors.Join(ctx.Err(), k.crashed()); err != nil {
					return nil, nil, err
				}
				r.Samples = append(r.Samples, s)
				if c.Tell != nil {
					c.Tell("round %d, %d deep, %s: %d of %d ok, p50 %v, p99 %v", round+1, depth, w.name, s.OK, s.Calls, s.P50, s.P99)
				}
			}
		}
	}
	return r.Samples, r.Invalid, nil
}
