package frontend

import (
	"net/http"
	"time"

	"robincart/internal/protocol/httpwire"
)

// Table is one version of the services that the node serves.
type Table struct {
	// Only is used if Find is nil. It is then the service of all requests, for any host and path.
	Only *Service
	// Find returns the service of a request, or the response to a request that belongs to no service.
	Find func(*httpwire.Request) (*Service, *httpwire.ClientResponse)
	// Starting makes readiness probes fail.
	Starting bool
}

// StartingTable returns the table of a process that is not ready to serve, but whose listener has connections already.
// Each request waits until the channel ready is closed, but no longer than maxWait, nor than half of the time that the
// client waits. Then it is rejected and may be retried after retryAfter, since nothing was forwarded. SetTable has
// to be called before the channel is closed.
func StartingTable(ready <-chan struct{}, maxWait, retryAfter time.Duration) *Table {
	replaced := &Service{closed: true} // makes findService look in the new table
	find := func(request *httpwire.Request) (*Service, *httpwire.ClientResponse) {
		wait := maxWait
		if request.HasTimeLeft {
			wait = min(wait, request.TimeLeft/2)
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ready:
			return replaced, nil
		case <-timer.C:
			return nil, &httpwire.ClientResponse{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
		}
	}
	return &Table{Find: find, Starting: true}
}

// service returns the service of a request, or the response to a request that belongs to no service.
func (t *Table) service(request *httpwire.Request) (*Service, *httpwire.ClientResponse) {
	if t.Find == nil {
		return t.Only, nil
	}
	return t.Find(request)
}

// findService returns the service of a request and counts the request as active there. If the service was closed in the
// meantime, findService looks in the new table.
func (s *Server) findService(request *httpwire.Request) (*Service, *httpwire.ClientResponse) {
	for {
		service, response := s.table.Load().service(request)
		if response != nil {
			return nil, response
		}
		if service.acquire() {
			return service, nil
		}
	}
}

// readiness returns the response to a readiness probe of the node itself.
func (s *Server) readiness(request *httpwire.Request) *httpwire.ClientResponse {
	switch {
	case request.Verb != "GET" && request.Verb != "HEAD":
		return &httpwire.ClientResponse{Status: 405, Allow: "GET"}
	case s.closesConns(), s.table.Load().Starting:
		return &httpwire.ClientResponse{Status: 503}
	}
	return &httpwire.ClientResponse{Status: 200}
}
