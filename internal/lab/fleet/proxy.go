package fleet

import (
	"context"
	"net"
	"sync"
)

// copyBufferBytes is read at once by a Proxy.
const copyBufferBytes = 32 << 10

// Proxy carries connections of real processes over the links of a Network, and counts their traffic.
type Proxy struct {
	Traffic
	network  *Network
	listener net.Listener
	from     Place
	targets  func() []target
	running  sync.WaitGroup
	cancel   context.CancelFunc // of the connections
}

// startProxy listens at a loopback address for a process at a place. Each connection goes to the first of the targets
// that is reached, which are looked up anew each time.
func startProxy(network *Network, from Place, address string, targets func() []target) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{network: network, listener: listener, from: from, targets: targets, cancel: cancel}
	p.running.Go(func() { p.accept(ctx) })
	return p, nil
}

// Addr returns the address that it listens at.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends it, with its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.cancel()
	p.running.Wait()
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.carry(ctx, conn) })
	}
}

// carry copies both ways until both ends have closed.
func (p *Proxy) carry(ctx context.Context, client net.Conn) {
	defer client.Close()
	defer context.AfterFunc(ctx, func() { client.Close() })()
	server, err := p.network.dialAny(ctx, p.from, p.targets(), &p.Traffic)
	if err != nil {
		return
	}
	defer server.Close()
	defer context.AfterFunc(ctx, func() { server.Close() })()
	var toServer sync.WaitGroup
	toServer.Go(func() {
		copyBytes(server, client)
		server.Close()
	})
	copyBytes(client, server)
	client.Close()
	toServer.Wait()
}

// copyBytes copies one way until either end closes. It uses none of the kernel's short cuts, which would bypass the
// link.
func copyBytes(to, from net.Conn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil && (n == 0 || !isTimeout(err)) {
			return
		}
	}
}
