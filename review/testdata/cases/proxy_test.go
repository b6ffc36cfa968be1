package cases_test

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes bytes on between its clients and one server. It can stall as a peer that hangs does: connections stay
// open, new ones come up, and nothing passes.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	stalled bool          // nothing passes, on new connections either
	resumed chan struct{} // closed when it passes again
	links   map[*link]struct{}
}

// link is one connection through the proxy.
type link struct {
	proxy          *proxy
	client, server net.Conn
	watch          bool // a watch of the API was asked for; guarded by the proxy's mutex
	silenced       bool // what arrives is dropped, and the connection stays open; guarded by the proxy's mutex
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	failIf(err, "listen for a proxy")
	x := &proxy{listener: listener, target: target, resumed: make(chan struct{}), links: map[*link]struct{}{}}
	go x.accept()
	return x
}

func (x *proxy) addr() string { return x.listener.Addr().String() }

func (x *proxy) accept() {
	for {
		client, err := x.listener.Accept()
		if err != nil {
			return
		}
		go x.serve(client)
	}
}

func (x *proxy) serve(client net.Conn) {
	x.awaitPassing()
	server, err := net.DialTimeout("tcp", x.target, 2*time.Second)
	if err != nil {
		client.Close()
		return
	}
	l := &link{proxy: x, client: client, server: server}
	x.mu.Lock()
	x.links[l] = struct{}{}
	x.mu.Unlock()
	go l.copy(server, client)
	l.copy(client, server)
}

// copy passes bytes on until one side ends. The end passes on, too, unless the link is silenced.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.proxy.awaitPassing()
		l.proxy.mu.Lock()
		silenced := l.silenced
		l.watch = l.watch || from == l.client && bytes.Contains(buffer[:n], []byte("watch="))
		l.proxy.mu.Unlock()
		if !silenced && n > 0 {
			_, writeErr := to.Write(buffer[:n])
			if err == nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !silenced {
			to.Close()
			from.Close()
		} else if err != io.EOF {
			from.Close()
		}
		return
	}
}

// stall holds back everything from now on, or passes on what was held back and everything after it.
func (x *proxy) stall(on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if on && !x.stalled {
		x.resumed = make(chan struct{})
	}
	if !on && x.stalled {
		close(x.resumed)
	}
	x.stalled = on
}

func (x *proxy) awaitPassing() {
	x.mu.Lock()
	stalled, resumed := x.stalled, x.resumed
	x.mu.Unlock()
	if stalled {
		<-resumed
	}
}

// silenceWatches makes the open watches of the API silent for good: their connections stay open, and nothing passes on
// them any more. All other connections are as before. It returns how many there were.
func (x *proxy) silenceWatches() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	silenced := 0
	for l := range x.links {
		if l.watch && !l.silenced {
			l.silenced = true
			silenced++
		}
	}
	return silenced
}
