package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy carries connections from nodes to one server, byte by byte, and makes the network between them fail.
type Proxy struct {
	server func() string // where the server listens now

	ln      net.Listener
	mu      sync.Mutex
	pairs   map[*pair]struct{}
	closed  bool
	muted   atomic.Bool
	trickle atomic.Int64 // nanoseconds between pieces; 0: bytes go on as they come
}

// pair is a connection and what carries it on.
type pair struct{ node, server net.Conn }

// trickled is how many bytes go on in one piece while a proxy trickles.
const trickled = 16

// NewProxy listens on a loopback address.
func NewProxy(addr string, server func() string) (*Proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{server: server, ln: ln, pairs: map[*pair]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr is where it listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Mute carries nothing on, as a network that is cut; connections stay open and silent. At its end they are reset, so that nothing that was
// sent before arrives late.
func (p *Proxy) Mute(on bool) {
	if !on {
		p.Cut()
	}
	p.muted.Store(on)
}

// Trickle carries bytes on in small pieces, with a pause after each; 0 ends that.
func (p *Proxy) Trickle(pause time.Duration) { p.trickle.Store(int64(pause)) }

// Cut resets all connections, under requests or not.
func (p *Proxy) Cut() {
	p.mu.Lock()
	pairs := p.pairs
	p.pairs = map[*pair]struct{}{}
	p.mu.Unlock()
	for c := range pairs {
		reset(c.node)
		reset(c.server)
	}
}

// Close ends it.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ln.Close()
	p.Cut()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		go p.carry(c)
	}
}

// carry is the life of one connection.
func (p *Proxy) carry(c net.Conn) {
	s, err := net.DialTimeout("tcp", p.server(), time.Second)
	if err != nil {
		reset(c)
		return
	}
	both := &pair{c, s}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		reset(c)
		reset(s)
		return
	}
	p.pairs[both] = struct{}{}
	p.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { p.copy(s, c) })
	ways.Go(func() { p.copy(c, s) })
	ways.Wait()
	c.Close()
	s.Close()
	p.mu.Lock()
	delete(p.pairs, both)
	p.mu.Unlock()
}

// copy carries one direction on until an end of it; a reset is passed on as one.
func (p *Proxy) copy(to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for p.muted.Load() {
			time.Sleep(5 * time.Millisecond) // until it is reset
		}
		for rest := b[:n]; len(rest) > 0; {
			piece := rest
			if pause := time.Duration(p.trickle.Load()); pause > 0 {
				piece = rest[:min(trickled, len(rest))]
				time.Sleep(pause)
			}
			if _, err := to.Write(piece); err != nil {
				reset(from)
				return
			}
			rest = rest[len(piece):]
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				half.CloseWrite()
			} else {
				reset(to)
			}
			return
		}
	}
}
