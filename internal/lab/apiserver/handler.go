package apiserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// statusError is an error of the API: the reason by which clients distinguish it, and a message.
type statusError struct {
	code    int
	reason  string
	message string
}

func (s *statusError) Error() string { return fmt.Sprintf("%d %s: %s", s.code, s.reason, s.message) }

// The errors that do not depend on the request.
var (
	errUnauthorized   = &statusError{401, "Unauthorized", "Unauthorized"}
	errLimited        = &statusError{429, "TooManyRequests", "too many requests, please try again later"}
	errFailing        = &statusError{500, "InternalError", "as ordered"}
	errNoResource     = &statusError{404, "NotFound", "the server could not find the requested resource"}
	errFutureRevision = &statusError{504, "Timeout", "Too large resource version"}
	errInitialEvents  = &statusError{422, "Invalid", "sendInitialEvents is not known here"}
)

// statusObject is an error as clients receive it.
func statusObject(err *statusError) Object {
	return Object{
		"kind":       "Status",
		"apiVersion": "v1",
		"status":     "Failure",
		"reason":     err.reason,
		"message":    err.message,
		"code":       err.code,
	}
}

func writeError(w http.ResponseWriter, err *statusError) { writeObject(w, err.code, statusObject(err)) }

func writeObject(w http.ResponseWriter, code int, o Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(o)
}

// resourcePath is a request's path.
type resourcePath struct {
	resource    resource
	namespace   string // empty: all
	name        string // empty: the list
	subresource string
}

// parsePath parses /api/v1/... or /apis/GROUP/VERSION/..., with a namespace or without. It returns false for a path
// that is not served.
func parsePath(path string) (resourcePath, bool) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	var group, version string
	switch {
	case len(parts) > 2 && parts[0] == "api":
		version, parts = parts[1], parts[2:]
	case len(parts) > 3 && parts[0] == "apis":
		group, version, parts = parts[1], parts[2], parts[3:]
	default:
		return resourcePath{}, false
	}
	var p resourcePath
	if len(parts) > 2 && parts[0] == "namespaces" {
		p.namespace, parts = parts[1], parts[2:]
	}
	i := slices.IndexFunc(resources, func(r resource) bool {
		return r.group == group && r.version == version && r.name == parts[0]
	})
	if i < 0 || len(parts) > 3 {
		return resourcePath{}, false
	}
	p.resource = resources[i]
	if len(parts) > 1 {
		p.name = parts[1]
	}
	if len(parts) > 2 {
		p.subresource = parts[2]
	}
	return p, true
}

// orderedFailure is the error that a request is answered with by order; nil: none.
func (s *Server) orderedFailure() *statusError {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.limited > 0:
		s.limited--
		return errLimited
	case s.failing > 0:
		s.failing--
		return errFailing
	}
	return nil
}

// handle handles one request.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	failure := s.orderedFailure()
	if !s.awaitResumed(r.Context()) {
		return
	}
	if s.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.Token {
		writeError(w, errUnauthorized)
		return
	}
	if failure != nil {
		if failure == errLimited {
			w.Header().Set("Retry-After", "1")
		}
		writeError(w, failure)
		return
	}
	path, served := parsePath(r.URL.Path)
	query := r.URL.Query()
	watches := query.Get("watch") == "true" || query.Get("watch") == "1"
	switch {
	case !served:
		writeError(w, errNoResource)
	case watches && query.Get("sendInitialEvents") == "true":
		writeError(w, errInitialEvents)
	case watches:
		s.serveWatch(w, r, path)
	case r.Method == http.MethodGet && path.name == "":
		s.serveList(w, r, path)
	default:
		s.serveObject(w, r, path)
	}
}
