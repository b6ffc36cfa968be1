package services

import (
	"fmt"
	"net/http"
	"strings"

	"robincart/internal/core/routes"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/protocol/httpwire"
)

// findFunc finds the service of a request, or returns the response to one that has none.
type findFunc = func(*httpwire.Request) (*frontend.Service, *httpwire.ClientResponse)

// finder returns the lookup of a table of routes. What it rejects is at fault itself, so no response promises that a
// retry helps.
func finder(table *routes.Table, services []*frontend.Service) findFunc {
	return func(request *httpwire.Request) (*frontend.Service, *httpwire.ClientResponse) {
		routed, err := RouteRequest(request)
		if err != nil {
			return nil, &httpwire.ClientResponse{Status: http.StatusBadRequest}
		}
		_, service, found := table.Find(&routed)
		if !found {
			return nil, &httpwire.ClientResponse{Status: http.StatusNotFound}
		}
		return services[service], nil
	}
}

// RouteRequest returns what the routes see of a request. It fails where the host or the path is ambiguous: a server
// could then read another route's. The error wraps routes.ErrHost or routes.ErrPath.
func RouteRequest(request *httpwire.Request) (routes.Request, error) {
	host, err := requestHost(request)
	if err != nil {
		return routes.Request{}, err
	}
	routed := routes.Request{
		Class:          request.Method,
		TraceID:        request.TraceID,
		Tenant:         request.Tenant,
		IdempotencyKey: request.IdempotencyKey,
		Client:         request.Header.Get("X-Forwarded-For"),
		Header:         request.Header,
	}
	if routed.Host, err = routes.Host(host); err != nil {
		return routed, err
	}
	routed.Path, err = routes.Path(request.Path)
	return routed, err
}

// requestHost returns the host that a request names, in its target or its Host header.
func requestHost(request *httpwire.Request) (string, error) {
	headers := request.Header["Host"]
	switch {
	case len(headers) > 1:
		return "", fmt.Errorf("%w: the Host header is repeated", routes.ErrInvalidHost)
	case request.Authority == "":
		return request.Host, nil
	case len(headers) == 1 && !strings.EqualFold(headers[0], request.Authority):
		return "", fmt.Errorf("%w: target and Host header differ", routes.ErrInvalidHost)
	}
	return request.Authority, nil
}
