package frontend

import "robincart/internal/protocol/httpwire"

// Table is one version of the services that are served.
type Table struct {
	// Only is the service of all requests, whatever host and path they name, where Find is nil.
	Only *Service
	// Find returns the service of a request, or the response to one that belongs to none.
	Find func(*httpwire.Request) (*Service, *httpwire.ClientResponse)
}

// service returns the service of a request, or the response to one that belongs to none.
func (t *Table) service(request *httpwire.Request) (*Service, *httpwire.ClientResponse) {
	if t.Find == nil {
		return t.Only, nil
	}
	return t.Find(request)
}

// findService finds the service of a request, and counts the request as active there.
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
	case s.closesConns():
		return &httpwire.ClientResponse{Status: 503}
	}
	return &httpwire.ClientResponse{Status: 200}
}
