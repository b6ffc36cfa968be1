package chaos

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxBroken bounds the list of what was found broken.
	maxBroken = 20
	// drainGrace is how long after it knows of a drain a node may still send to the server.
	drainGrace = 400 * time.Millisecond

	// maxRequestHead is the longest request that the servers read, and maxResponse the longest response that is read.
	maxRequestHead = 4096
	maxResponse    = 4096
	// The timeouts of a client.
	clientDialTimeout     = time.Second
	clientResponseTimeout = 8 * time.Second
)

// serveAll serves all servers of a run by one listener, until that is closed. It calls a function for each request,
// with the address that it was sent to and its head.
func serveAll(listener net.Listener, received func(addr, head string)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(conn, received)
	}
}

// serveConn responds 200 to each request of a connection, until its client closes it.
func serveConn(conn net.Conn, received func(addr, head string)) {
	defer conn.Close()
	addr := conn.LocalAddr().String()
	endOfHead := []byte("\r\n\r\n")
	buffer, used := make([]byte, maxRequestHead), 0
	for {
		n, err := conn.Read(buffer[used:])
		if err != nil {
			return
		}
		used += n
		end := bytes.Index(buffer[:used], endOfHead)
		if end < 0 {
			continue
		}
		received(addr, string(buffer[:end]))
		used = copy(buffer, buffer[end+len(endOfHead):used])
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// sendRequest sends one request on a connection of its own and returns all that is received. It returns false if nobody
// listens.
func sendRequest(addr, target string, node, id int) ([]byte, bool) {
	conn, err := net.DialTimeout("tcp", addr, clientDialTimeout)
	if err != nil {
		return nil, false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(clientResponseTimeout))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"+
		"X-Trace-Id: %x.%x\r\nX-Qos: find\r\nX-Expires-In-Ms: 2000\r\n\r\n", target, node, id)
	text, _ := io.ReadAll(io.LimitReader(conn, maxResponse))
	return text, true
}

// callSteadily calls a function at a rate a second, each call in a goroutine of its own, until the context ends; then
// it waits for all of them.
func callSteadily(ctx context.Context, rate int, f func(id int)) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for id := 0; ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		calls.Go(func() { f(id) })
	}
}
