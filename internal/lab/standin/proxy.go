package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy is the network between the nodes and one server: it copies the bytes of their connections, and fails by order.
type Proxy struct {
	serverAddr func() string // where the server listens now
	listener   net.Listener
	muted      atomic.Bool
	trickle    atomic.Int64 // nanoseconds before each piece; 0: bytes are copied as they come

	mu     sync.Mutex
	conns  map[*proxiedConn]struct{}
	closed bool
}

// proxiedConn is a node's connection, and the one to the server that carries it on.
type proxiedConn struct{ node, server net.Conn }

const (
	// trickledBytes is the size of a piece while a proxy trickles.
	trickledBytes = 16
	// proxyBufferSize is the most that is copied at once.
	proxyBufferSize = 16 << 10
	// proxyPause is the pause after a failed accept, and between two looks whether a proxy is still muted.
	proxyPause = 5 * time.Millisecond
)

// NewProxy returns a proxy that listens at an address, before a server whose address may change.
func NewProxy(addr string, serverAddr func() string) (*Proxy, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{serverAddr: serverAddr, listener: listener, conns: map[*proxiedConn]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr is the address that it listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Mute copies no bytes, as a network that is cut; the connections stay open. At its end they are reset, so that nothing
// that was sent before arrives late.
func (p *Proxy) Mute(on bool) {
	if !on {
		p.Cut()
	}
	p.muted.Store(on)
}

// Trickle copies bytes in small pieces, with a pause before each; 0 ends that.
func (p *Proxy) Trickle(pause time.Duration) { p.trickle.Store(int64(pause)) }

// Cut resets all connections, in use or not.
func (p *Proxy) Cut() {
	p.mu.Lock()
	conns := p.conns
	p.conns = map[*proxiedConn]struct{}{}
	p.mu.Unlock()
	for conn := range conns {
		conn.reset()
	}
}

// Close closes its listener and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Cut()
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(proxyPause)
			continue
		}
		go p.carry(conn)
	}
}

// carry is the life of one connection.
func (p *Proxy) carry(node net.Conn) {
	server, err := net.DialTimeout("tcp", p.serverAddr(), dialTimeout)
	if err != nil {
		reset(node)
		return
	}
	conn := &proxiedConn{node: node, server: server}
	if !p.addConn(conn) {
		conn.reset()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, node) })
	directions.Go(func() { p.copy(node, server) })
	directions.Wait()
	node.Close()
	server.Close()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// addConn adds a connection. It returns false if the proxy is closed.
func (p *Proxy) addConn(conn *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *proxiedConn) reset() {
	reset(p.node)
	reset(p.server)
}

// copy copies one direction until its end. An end is passed on as an end, anything else as a reset.
func (p *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, proxyBufferSize)
	for {
		n, readErr := from.Read(buffer)
		for p.muted.Load() {
			time.Sleep(proxyPause) // until the connection is reset
		}
		if err := p.write(to, buffer[:n]); err != nil {
			reset(from)
			return
		}
		if readErr != nil {
			endWrites(to, readErr)
			return
		}
	}
}

// write writes bytes, in small pieces while the proxy trickles.
func (p *Proxy) write(to net.Conn, bytes []byte) error {
	for len(bytes) > 0 {
		piece := bytes
		if pause := time.Duration(p.trickle.Load()); pause > 0 {
			piece = bytes[:min(trickledBytes, len(bytes))]
			time.Sleep(pause)
		}
		if _, err := to.Write(piece); err != nil {
			return err
		}
		bytes = bytes[len(piece):]
	}
	return nil
}

// endWrites ends one direction of a connection by what ended the other connection's reads.
func endWrites(to net.Conn, readErr error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
		tcp.CloseWrite()
		return
	}
	reset(to)
}
