package httpwire

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Errors of messages that are not accepted. Any other error of a Reader is that of its connection.
var (
	ErrMalformed    = errors.New("malformed message")
	ErrHeadTooLarge = errors.New("headers too large")
	ErrBodyTooLarge = errors.New("body too large")
)

var errBareLineFeed = fmt.Errorf("%w: a line does not end with CR LF", ErrMalformed)

// IsMalformed reports whether an error means that a message was not accepted, and not that its connection failed.
func IsMalformed(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrBodyTooLarge)
}

// ErrorResponse returns the response to a request that was not accepted. It returns false if the connection failed, so
// that no client is left to respond to.
func ErrorResponse(err error) (ClientResponse, bool) {
	response := ClientResponse{Status: http.StatusBadRequest, Close: true}
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		response.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		response.Status = http.StatusRequestEntityTooLarge
	case !errors.Is(err, ErrMalformed):
		return response, false
	}
	return response, true
}

// unexpectedEOF replaces the end of a connection by the error for an end within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
