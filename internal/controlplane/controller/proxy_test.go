package controller

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// proxy forwards connections from a replica to the API, and can interrupt them.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	isCut       bool
	connections map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: listener, target: target, connections: map[net.Conn]bool{}}
	t.Cleanup(func() {
		listener.Close()
		p.setCut(true)
	})
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(connection)
	}
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setCut closes all connections if cut is true. New connections are then closed, too, until setCut is called with
// false.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	if !cut {
		return
	}
	for connection := range p.connections {
		connection.Close()
	}
}

func (p *proxy) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	isCut := p.isCut
	p.connections[client], p.connections[server] = true, true
	p.mu.Unlock()
	if isCut {
		return
	}
	go func() {
		io.Copy(server, client)
		server.Close()
	}()
	io.Copy(client, server)
}
