package cost

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"sync"

	"robincart/internal/lab/loopback"
	"robincart/internal/lab/standin"
)

// serverBlock is the loopback block of the servers' addresses.
const serverBlock = 1

// maxRequestHead bounds a request's head, in bytes. A server closes the connection of a longer one.
const maxRequestHead = 1024

var (
	headEnd     = []byte("\r\n\r\n")
	responseOK  = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok")
	responseErr = []byte("HTTP/1.1 500 Lab\r\nContent-Length: 0\r\n\r\n")
)

// answerFunc returns the response to a request, by its head. It may take its time.
type answerFunc func(head []byte) []byte

// answerOK answers any request at once.
func answerOK([]byte) []byte { return responseOK }

// servers stands in for any number of servers: one listener at all loopback addresses.
type servers struct {
	listener net.Listener
	port     string
	answer   answerFunc
	running  sync.WaitGroup // accept, and serve of each connection

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// startServers starts them. close ends them.
func startServers(answer answerFunc) (*servers, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0") // accept takes loopback peers only
	if err != nil {
		return nil, err
	}
	s := &servers{
		listener: listener,
		port:     strconv.Itoa(listener.Addr().(*net.TCPAddr).Port),
		answer:   answer,
		conns:    map[net.Conn]struct{}{},
	}
	s.running.Go(s.accept)
	return s, nil
}

func (s *servers) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if peer, ok := conn.RemoteAddr().(*net.TCPAddr); !ok || !peer.IP.IsLoopback() {
			conn.Close()
			continue
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.running.Go(func() { s.serve(conn) })
	}
}

// serve answers the requests of a connection until it is closed. Requests have no bodies.
func (s *servers) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	buffer := make([]byte, maxRequestHead)
	filled := 0
	for filled < len(buffer) {
		n, err := conn.Read(buffer[filled:])
		if err != nil {
			return
		}
		filled += n
		for {
			end := bytes.Index(buffer[:filled], headEnd)
			if end < 0 {
				break
			}
			end += len(headEnd)
			if _, err := conn.Write(s.answer(buffer[:end])); err != nil {
				return
			}
			filled = copy(buffer, buffer[end:filled])
		}
	}
}

// address returns the address of the i-th server.
func (s *servers) address(i int) string {
	return net.JoinHostPort(loopback.Address(serverBlock, i), s.port)
}

// members returns the first servers as discovery lists them.
func (s *servers) members(idPrefix string, count int) []standin.Member {
	var members []standin.Member
	for i := range count {
		members = append(members, standin.Member{
			ID:    fmt.Sprintf("%s%d", idPrefix, i),
			Addr:  s.address(i),
			Zone:  zone,
			Phase: "ready",
			Size:  1,
		})
	}
	return members
}

func (s *servers) close() {
	s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}
