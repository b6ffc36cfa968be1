package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"go.uber.org/zap"

	"robincart/internal/protocol/httpwire"
)

// handle executes a call and returns its response.
func (s *Server) handle(request *httpwire.Request) *httpwire.ClientResponse {
	method := http.MethodPost
	switch request.Path {
	case PathReady:
		method = http.MethodGet
	case PathDetach, PathAttach, PathLameDuckOn, PathLameDuckOff:
	default:
		return respond(http.StatusNotFound, "no such call")
	}
	headOfGet := method == http.MethodGet && request.Verb == http.MethodHead
	if request.Verb != method && !headOfGet {
		response := respond(http.StatusMethodNotAllowed, "this call is a "+method)
		response.Allow = method
		return response
	}
	switch request.Path {
	case PathReady:
		return s.ready()
	case PathLameDuckOn, PathLameDuckOff:
		return s.setLameDuck(request.Path == PathLameDuckOn)
	default:
		return s.detachOrAttach(request)
	}
}

func (s *Server) ready() *httpwire.ClientResponse {
	if !s.node.Ready() {
		return respond(http.StatusServiceUnavailable, "not ready")
	}
	return respond(http.StatusOK, "ready")
}

func (s *Server) setLameDuck(on bool) *httpwire.ClientResponse {
	err := s.node.SetLameDuck(on)
	s.log.Info("lame duck set", zap.Bool("on", on), zap.Error(err))
	switch {
	case err != nil:
		return respondError(err)
	case on:
		return respond(http.StatusOK, "emptying")
	default:
		return respond(http.StatusOK, "at work")
	}
}

func (s *Server) detachOrAttach(request *httpwire.Request) *httpwire.ClientResponse {
	server, problem := parseServer(request.Body)
	if problem != "" {
		return respond(http.StatusBadRequest, problem)
	}
	if request.Path == PathDetach {
		if err := s.node.Detach(server); err != nil {
			return s.rejectCommand(request.Path, server, err)
		}
		s.log.Info("server detached", zap.String("server", server))
		return respond(http.StatusOK, "out")
	}
	if err := s.node.Attach(server); err != nil {
		return s.rejectCommand(request.Path, server, err)
	}
	s.log.Info("server attached", zap.String("server", server))
	// Attach ends only the operator's ban: the endpoint list or the record may exclude the server, too.
	if reason := s.node.ExclusionReason(server); reason != "" {
		return respond(http.StatusOK, "back; "+reason)
	}
	return respond(http.StatusOK, "back")
}

func (s *Server) rejectCommand(path, server string, err error) *httpwire.ClientResponse {
	s.log.Info("operator command rejected", zap.String("path", path), zap.String("server", server), zap.Error(err))
	return respondError(err)
}

// serverBody is the body of a call that detaches or attaches a server.
type serverBody struct {
	Host *string `json:"host"`
}

// parseServer returns the ID of the server that a body names, or else the text that describes the mistake in the body.
func parseServer(body []byte) (server, problem string) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var parsed serverBody
	if err := decoder.Decode(&parsed); err != nil || parsed.Host == nil || *parsed.Host == "" {
		return "", `the body has to be {"host":"ID"}`
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return "", "something follows the body's object"
	}
	return *parsed.Host, ""
}

// responseBody is the body of every response.
type responseBody struct {
	Text string `json:"said"`
}

func respond(status int, text string) *httpwire.ClientResponse {
	body, err := json.Marshal(responseBody{Text: text})
	if err == nil {
		body = append(body, '\n')
	}
	return &httpwire.ClientResponse{Status: status, Body: body}
}

// respondError returns the response to a failed call.
func respondError(err error) *httpwire.ClientResponse {
	if errors.Is(err, ErrNeverListed) {
		return respond(http.StatusNotFound, err.Error())
	}
	return respond(http.StatusServiceUnavailable, err.Error())
}
