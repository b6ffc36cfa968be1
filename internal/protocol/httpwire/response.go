package httpwire

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// maxInformational is how many informational responses may precede a response: they must not keep an attempt
	// pending up to its deadline.
	maxInformational = 16

	minStatus    = 100
	maxStatus    = 999
	statusDigits = 3
)

// ServerResponse is a server's response.
type ServerResponse struct {
	Status        int
	NeverRan      bool   // the server promises that the request had no effect
	LoadReport    string // as received
	Close         bool   // the connection can't be used again
	ContentType   string
	Body          []byte
	BodyStream    *BodyStream // what follows Body; nil: Body is complete
	ReservedBytes int         // of the Reader's memory, which the response's owner has to release
}

// ReadResponse reads one response. A body that only the end of the connection ends is rejected unless the response
// announces that end: a server that died within it would look like one that had finished.
func (r *Reader) ReadResponse() (*ServerResponse, error) {
	response, err := r.readResponse()
	if reserved := r.takeReservation(err); reserved > 0 {
		response.ReservedBytes = reserved
	}
	return response, err
}

func (r *Reader) readResponse() (*ServerResponse, error) {
	head, status, err := r.readFinalHead()
	if err != nil {
		return nil, err
	}
	response := &ServerResponse{
		Status: status,
		Close:  head.closes || strings.HasPrefix(head.startLine, http10),
	}
	if err := r.readResponseBody(response, &head); err != nil {
		return nil, err
	}
	if response.BodyStream == nil {
		r.recycle()
	}
	if response.ContentType, err = head.single(fieldContentType); err != nil {
		return nil, err
	}
	neverRan, err := head.single(fieldNeverRan)
	if err != nil {
		return nil, err
	}
	response.NeverRan = neverRan == flagSet
	response.LoadReport = head.value[fieldLoadReport]
	return response, nil
}

// readFinalHead reads a response's head, and the informational responses ahead of it.
func (r *Reader) readFinalHead() (messageHead, int, error) {
	r.held = heldBody{}
	for informational := 0; ; informational++ {
		r.received = r.buffered
		if err := r.AwaitFirstByte(); err != nil {
			return messageHead{}, 0, err
		}
		head, status, err := r.readStatus()
		if err != nil || !isInformational(status) {
			return head, status, err
		}
		if informational == maxInformational {
			return head, 0, fmt.Errorf("%w: no response after %d informational ones", ErrMalformed, informational)
		}
		r.recycle()
		if r.OnProgress != nil {
			r.OnProgress.Progress(false)
		}
	}
}

// isInformational reports whether another response follows. After 101 there is another protocol, which is not spoken
// here.
func isInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// readStatus reads a head and the status in its start line (RFC 9112, section 4).
func (r *Reader) readStatus() (messageHead, int, error) {
	head, err := r.readHead()
	if err != nil {
		return head, 0, err
	}
	version, rest, found := strings.Cut(head.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	if found && isVersion(version) && len(code) == statusDigits {
		status, err := parseNumber(code, 10, maxStatus)
		if err == nil && status >= minStatus {
			return head, status, nil
		}
	}
	return head, 0, fmt.Errorf("%w: status line %.80q", ErrMalformed, head.startLine)
}

// readResponseBody reads the body, or the begin of one that is streamed.
func (r *Reader) readResponseBody(response *ServerResponse, head *messageHead) error {
	if response.Status == http.StatusNoContent || response.Status == http.StatusNotModified {
		return nil
	}
	announced, err := head.framing()
	if err != nil {
		return err
	}
	switch {
	case announced.kind != framingNone:
		response.Body, response.BodyStream, err = r.readBody(head, announced)
	case response.Close:
		response.Body, response.BodyStream, err = r.readToClose()
	default:
		err = fmt.Errorf("%w: a response without a length", ErrMalformed)
	}
	if err != nil || response.BodyStream == nil {
		return err
	}
	return r.readPrefix(response)
}

// readPrefix reads a streamed body until StreamPrefix bytes are received. Once a response was passed on to the client
// the request can't be retried: so one that breaks off at its begin is found out before.
func (r *Reader) readPrefix(s *ServerResponse) error {
	size := r.sizes.StreamPrefix
	for len(s.Body) < size && !s.BodyStream.Complete() {
		r.held.joined, r.held.inPart = len(s.Body), false
		more := make([]byte, size-len(s.Body))
		n, err := s.BodyStream.Read(more)
		if r.passesOn(err) {
			break
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		s.Body = append(s.Body, more[:n]...)
	}
	if s.BodyStream.Complete() {
		s.BodyStream = nil
	}
	return nil
}
