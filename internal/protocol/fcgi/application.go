package fcgi

import (
	"encoding/binary"
	"fmt"
)

// EventKind is what an event tells.
type EventKind uint8

// An application hears Head to Refused, a gateway Out to Able; Reply is for both.
const (
	EventNone         EventKind = iota
	EventParams                 // a request's params are here: Params, Keep
	EventBody                   // a part of its body: Data
	EventBodyEnd                // its body has ended
	EventAborted                // its gateway has given it up
	EventRejected               // it can't be served: Why. What still comes of it is passed over
	EventStdout                 // a part of an answer: Data
	EventStderr                 // beside it: Data
	EventEnd                    // an answer has ended: App, Status
	EventCapabilities           // what an application is able to do: Params
	EventReply                  // to be written, and concerns no request: Data
)

// Event is what a piece amounts to.
type Event struct {
	Kind      EventKind
	ID        uint16
	Keep      bool   // the connection is used on after the request
	Params    []byte // a list of names and values, checked
	Data      []byte // holds until the next piece is read
	AppStatus uint32
	Status    Status
	Reason    string
}

// Limits bound what a connection's requests may hold.
type Limits struct {
	MaxRequests        int // open at once
	MaxParams          int // bytes of one's params
	AdvertisedRequests int // open on all connections, as who asks is told; 0: nothing
}

// Application is the application's side of one connection: requests come in, interleaved as their gateway likes. It is not safe for
// concurrent use.
type Application struct {
	Limits
	open map[uint16]*request
	free []*request // their buffers serve on
	told []byte
}

type request struct {
	keep   bool
	headed bool // its params are whole
	whole  bool // its body is
	bad    bool
	params []byte
}

// mostKept is the largest buffer that a connection keeps between requests.
const mostKept = 4096

// Open is how many requests are open.
func (a *Application) Open() int { return len(a.open) }

// Done tells that a request has been ended towards its gateway. From now on its id may be another's, and what still comes under it
// before that is nobody's.
func (a *Application) Done(id uint16) {
	if q := a.open[id]; q != nil {
		delete(a.open, id)
		*q = request{params: q.params[:0]}
		if len(a.free) < 4 && cap(q.params) <= mostKept {
			a.free = append(a.free, q)
		}
	}
}

// Take takes a piece. An error tells that the connection can't be followed any more; an event of kind Bad, that one request can't.
func (a *Application) Take(p Piece) (Event, error) {
	if p.ID == 0 {
		return a.manage(p)
	}
	q := a.open[p.ID]
	if p.Type == TypeBegin {
		return a.begin(p, q)
	}
	if q == nil || q.bad { // ended here while its gateway was still sending
		return Event{}, nil
	}
	e := Event{ID: p.ID}
	switch p.Type {
	case TypeParams:
		switch {
		case q.headed:
			return a.refuse(q, e, "params after their end")
		case p.Ends:
			if check(q.params) != nil {
				return a.refuse(q, e, "params that end in the middle of one")
			}
			q.headed = true
			e.Kind, e.Params, e.Keep = EventParams, q.params, q.keep
		case len(q.params)+len(p.Content) > a.Limits.MaxParams:
			return a.refuse(q, e, "more params than are taken")
		default:
			q.params = append(q.params, p.Content...)
		}
	case TypeStdin:
		switch {
		case !q.headed:
			return a.refuse(q, e, "a body ahead of the params' end")
		case q.whole:
			return a.refuse(q, e, "a body after its end")
		case p.Ends:
			q.whole = true
			e.Kind = EventBodyEnd
		default:
			e.Kind, e.Data = EventBody, p.Content
		}
	case TypeAbort:
		e.Kind = EventAborted
	default:
		return a.refuse(q, e, fmt.Sprintf("a record of type %d", p.Type))
	}
	return e, nil
}

func (a *Application) refuse(q *request, e Event, why string) (Event, error) {
	q.bad = true
	e.Kind, e.Reason, e.Keep = EventRejected, why, q.keep
	return e, nil
}

func (a *Application) begin(p Piece, q *request) (Event, error) {
	if q != nil { // what comes next under this id could be either's
		return Event{}, fmt.Errorf("%w: request %d begins twice", ErrFraming, p.ID)
	}
	refuse := func(s Status) (Event, error) {
		a.told = AppendEnd(a.told[:0], p.ID, 0, s)
		return Event{Kind: EventReply, Data: a.told}, nil
	}
	switch {
	case binary.BigEndian.Uint16(p.Content) != Responder:
		return refuse(StatusUnknownRole)
	case len(a.open) >= a.MaxRequests && a.MaxRequests == 1:
		return refuse(StatusCantMultiplex)
	case len(a.open) >= a.MaxRequests:
		return refuse(StatusOverloaded)
	}
	if n := len(a.free); n > 0 {
		q, a.free = a.free[n-1], a.free[:n-1]
	} else {
		q = &request{}
	}
	q.keep = p.Content[2]&keepConn != 0
	if a.open == nil {
		a.open = map[uint16]*request{}
	}
	a.open[p.ID] = q
	return Event{}, nil
}

// manage answers what concerns no request. What it does not know it says so of, as the protocol has it.
func (a *Application) manage(p Piece) (Event, error) {
	switch p.Type {
	case TypeGetValues:
		var pairs []byte
		for list := p.Content; len(list) > 0; {
			name, _, rest, err := Pair(list)
			if err != nil {
				return Event{}, err
			}
			list = rest
			switch string(name) {
			case MaxReqs, MaxConns:
				if a.AdvertisedRequests > 0 {
					pairs = AppendPair(pairs, string(name), fmt.Sprint(a.AdvertisedRequests))
				}
			case MpxConns:
				pairs = AppendPair(pairs, MpxConns, map[bool]string{true: "1", false: "0"}[a.MaxRequests > 1])
			}
			if len(pairs) > MaxManagement { // asked for the same again and again
				return Event{}, fmt.Errorf("%w: too much is asked at once", ErrFraming)
			}
		}
		a.told = appendRecord(a.told[:0], TypeValues, 0, pairs)
	case TypeBegin, TypeAbort, TypeEnd, TypeParams, TypeStdin, TypeStdout, TypeStderr, TypeData:
		return Event{}, fmt.Errorf("%w: a record of type %d without a request", ErrFraming, p.Type)
	case TypeValues, TypeUnknown: // answers to what was not asked
		return Event{}, nil
	default:
		body := [fixed]byte{byte(p.Type)}
		a.told = appendRecord(a.told[:0], TypeUnknown, 0, body[:])
	}
	return Event{Kind: EventReply, Data: a.told}, nil
}
