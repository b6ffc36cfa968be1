package services

import (
	"fmt"
	"net/http"
	"strings"

	"robincart/internal/core/routes"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/protocol/httpwire"
)

// findFunc returns the service of a request. If it finds no service, it returns the response that rejects the request.
type findFunc = func(*httpwire.Request) (*frontend.Service, *httpwire.ClientResponse)

// finder returns the function that looks requests up in a table of routes. The responses to rejected requests have no
// Retry-After, since a retry would be rejected, too.
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

// RouteRequest returns the properties of a request by which routes match it. It returns an error if the host or the
// path is ambiguous, since a server could interpret it as the host or path of another route. The error wraps
// routes.ErrInvalidHost or routes.ErrInvalidPath.
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

// requestHost returns the host of a request. The host is in the request's target or in its Host header.
func requestHost(request *httpwire.Request) (string, error) {
	headers := request.Header["Host"]
	switch {
	case len(headers) > 1:
		return "", fmt.Errorf("%w: expected one Host header, found %d", routes.ErrInvalidHost, len(headers))
	case request.Authority == "":
		return request.Host, nil
	case len(headers) == 1 && !strings.EqualFold(headers[0], request.Authority):
		return "", fmt.Errorf("%w: expected the same host in target and Host header, found %q and %q",
			routes.ErrInvalidHost, request.Authority, headers[0])
	}
	return request.Authority, nil
}
