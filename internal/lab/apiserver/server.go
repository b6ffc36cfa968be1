// Package apiserver stands in for the Kubernetes API server: it serves the published HTTP API, in JSON, for the
// resources that the controller uses and for no others, and fails by order in the ways in which such servers do.
//
// A Server owns the objects, their history and the watches. Cluster is a scripted cluster manager on top of it, which
// writes pods, nodes and endpoint slices as the parts of a real one would. There is no authorization beyond one token,
// no validation and no admission, and of PATCH only the merge patch.
package apiserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstRevision is the resource version of an empty server.
	firstRevision = 1000
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
)

// Server is the stand-in.
type Server struct {
	Token string // the bearer token that clients have to send; empty: none

	listener net.Listener
	http     *http.Server
	serving  sync.WaitGroup

	mu       sync.Mutex
	revision int64
	stores   map[string]*store // by resource
	changed  chan struct{}     // closed at each change
	watches  map[*watch]struct{}
	resumed  chan struct{} // closed when it answers again; nil: it does not hang
	limited  int           // requests that are still to be answered with 429
	failing  int           // requests that are still to be answered with 500
	backup   *backup
}

// Start listens and serves; with a configuration it speaks TLS.
func Start(addr string, tlsConfig *tls.Config) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		revision: firstRevision,
		stores:   map[string]*store{},
		changed:  make(chan struct{}),
		watches:  map[*watch]struct{}{},
	}
	for _, r := range resources {
		s.stores[r.name] = &store{objects: map[string]Object{}, compactedTo: firstRevision}
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), TLSConfig: tlsConfig, ReadHeaderTimeout: headerTimeout}
	s.serving.Go(func() {
		if tlsConfig != nil {
			s.http.ServeTLS(listener, "", "")
		} else {
			s.http.Serve(listener)
		}
	})
	return s, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.Hang(false)
	s.http.Close()
	s.serving.Wait()
}

// awaitResumed waits while the server hangs. It returns false if the context ends first.
func (s *Server) awaitResumed(ctx context.Context) bool {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}
