package frontend

import "robincart/internal/protocol/httpwire"

// Table is one version of the services that the node serves.
type Table struct {
	// Only is used if Find is nil. It is then the service of all requests, for any host and path.
	Only *Service
	// Find returns the service of a request, or the response to a request that belongs to no service.
	Find func(*httpwire.Request) (*Service, *httpwire.ClientResponse)
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
	case s.closesConns():
		return &httpwire.ClientResponse{Status: 503}
	}
	return &httpwire.ClientResponse{Status: 200}
}
