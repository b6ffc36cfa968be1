package fcgi

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

const (
	// maxReusable is how many ended requests a connection reuses for later ones.
	maxReusable = 4
	// maxReusableParams is the largest buffer for params that is reused with one, in bytes.
	maxReusableParams = 4096
)

// Limits bounds what a connection's requests may take.
type Limits struct {
	MaxRequests        int // open at once on the connection
	MaxParams          int // of one request, in bytes
	AdvertisedRequests int // open at once on all connections, for a gateway that requests it; 0: not answered
}

// Application is the state of one connection at an application: requests are received, interleaved as their gateway
// likes. It is not safe for concurrent use.
type Application struct {
	Limits
	open     map[uint16]*request
	reusable []*request
	reply    []byte
}

// request is what was received of a request.
type request struct {
	keep           bool // the connection is used for more requests
	paramsComplete bool
	bodyComplete   bool
	rejected       bool
	params         []byte
}

// Open returns how many requests are open.
func (a *Application) Open() int { return len(a.open) }

// Done notes that a request has ended for its gateway, too. Its ID may be another's from now on; what comes with it
// before that is ignored.
func (a *Application) Done(id uint16) {
	ended := a.open[id]
	if ended == nil {
		return
	}
	delete(a.open, id)
	*ended = request{params: ended.params[:0]}
	if len(a.reusable) < maxReusable && cap(ended.params) <= maxReusableParams {
		a.reusable = append(a.reusable, ended)
	}
}

// Take processes a piece. After an error the connection can't be used; EventRejected concerns one request only.
func (a *Application) Take(piece Fragment) (Event, error) {
	if piece.ID == 0 {
		return a.takeManagement(piece)
	}
	open := a.open[piece.ID]
	if piece.Type == TypeBeginRequest {
		if open != nil {
			// What comes next with this ID could be of either request.
			return Event{}, fmt.Errorf("%w: request %d begins twice", ErrFraming, piece.ID)
		}
		return a.begin(piece), nil
	}
	if open == nil || open.rejected { // it has ended here while its gateway was still sending
		return Event{}, nil
	}
	event := open.take(piece, a.MaxParams)
	event.ID = piece.ID
	return event, nil
}

// take processes a piece of the request.
func (r *request) take(piece Fragment, maxParams int) Event {
	switch piece.Type {
	case TypeParams:
		return r.takeParams(piece, maxParams)
	case TypeStdin:
		return r.takeBody(piece)
	case TypeAbort:
		return Event{Kind: EventAborted}
	}
	return r.reject(fmt.Sprintf("a record of type %d", piece.Type))
}

func (r *request) takeParams(piece Fragment, maxParams int) Event {
	switch {
	case r.paramsComplete:
		return r.reject("params after their end")
	case piece.Ends && checkPairs(r.params) != nil:
		return r.reject("params that end in the middle of one")
	case piece.Ends:
		r.paramsComplete = true
		return Event{Kind: EventParams, Params: r.params, KeepConn: r.keep}
	case len(r.params)+len(piece.Content) > maxParams:
		return r.reject("more params than are accepted")
	}
	r.params = append(r.params, piece.Content...)
	return Event{}
}

func (r *request) takeBody(piece Fragment) Event {
	switch {
	case !r.paramsComplete:
		return r.reject("a body before the end of the params")
	case r.bodyComplete:
		return r.reject("a body after its end")
	case piece.Ends:
		r.bodyComplete = true
		return Event{Kind: EventBodyEnd}
	}
	return Event{Kind: EventBody, Data: piece.Content}
}

func (r *request) reject(reason string) Event {
	r.rejected = true
	return Event{Kind: EventRejected, Reason: reason, KeepConn: r.keep}
}

// begin opens a request, or replies that it is rejected.
func (a *Application) begin(piece Fragment) Event {
	role := binary.BigEndian.Uint16(piece.Content)
	isFull := len(a.open) >= a.MaxRequests
	switch {
	case role != roleResponder:
		return a.replyEnd(piece.ID, StatusUnknownRole)
	case isFull && a.MaxRequests == 1:
		return a.replyEnd(piece.ID, StatusCantMultiplex)
	case isFull:
		return a.replyEnd(piece.ID, StatusOverloaded)
	}
	opened := a.newRequest()
	opened.keep = piece.Content[2]&flagKeepConn != 0
	if a.open == nil {
		a.open = map[uint16]*request{}
	}
	a.open[piece.ID] = opened
	return Event{}
}

// newRequest returns an empty request, with the buffer of an earlier one if possible.
func (a *Application) newRequest() *request {
	last := len(a.reusable) - 1
	if last < 0 {
		return &request{}
	}
	reused := a.reusable[last]
	a.reusable = a.reusable[:last]
	return reused
}

func (a *Application) replyEnd(id uint16, status Status) Event {
	a.reply = AppendEnd(a.reply[:0], id, 0, status)
	return Event{Kind: EventReply, Data: a.reply}
}

// takeManagement processes a record that concerns no request. To a type that is not known it replies that, as the
// protocol demands.
func (a *Application) takeManagement(piece Fragment) (Event, error) {
	switch piece.Type {
	case TypeGetValues:
		pairs, err := a.variables(piece.Content)
		if err != nil {
			return Event{}, err
		}
		a.reply = appendRecord(a.reply[:0], TypeGetValuesResult, 0, pairs)
	case TypeBeginRequest, TypeAbort, TypeEndRequest, TypeParams, TypeStdin, TypeStdout, TypeStderr, TypeData:
		return Event{}, noRequestError(piece)
	case TypeGetValuesResult, TypeUnknown: // responses to no request
		return Event{}, nil
	default:
		body := [fixedBodySize]byte{byte(piece.Type)}
		a.reply = appendRecord(a.reply[:0], TypeUnknown, 0, body[:])
	}
	return Event{Kind: EventReply, Data: a.reply}, nil
}

// variables returns the values of the variables that a gateway requests. Unknown ones are left out.
func (a *Application) variables(names []byte) ([]byte, error) {
	var pairs []byte
	for len(names) > 0 {
		name, _, rest, err := Pair(names)
		if err != nil {
			return nil, err
		}
		names = rest
		if value := a.variable(string(name)); value != "" {
			pairs = AppendPair(pairs, string(name), value)
		}
		if len(pairs) > MaxManagement { // the same names were repeated
			return nil, fmt.Errorf("%w: too many values are requested", ErrFraming)
		}
	}
	return pairs, nil
}

// variable returns the value of a variable; empty: none.
func (a *Application) variable(name string) string {
	switch name {
	case variableMaxRequests, variableMaxConns:
		if a.AdvertisedRequests > 0 {
			return strconv.Itoa(a.AdvertisedRequests)
		}
	case variableMultiplexes:
		if a.MaxRequests > 1 {
			return "1"
		}
		return "0"
	}
	return ""
}
