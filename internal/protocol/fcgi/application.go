package fcgi

import (
	"encoding/binary"
	"fmt"
)

// Kind is what an event tells.
type Kind uint8

// An application hears Head to Refused, a gateway Out to Able; Reply is for both.
const (
	Nothing Kind = iota
	Headed       // a request's params are here: Params, Keep
	Body         // a part of its body: Data
	Whole        // its body has ended
	Aborted      // its gateway has given it up
	Bad          // it can't be served: Why. What still comes of it is passed over
	Out          // a part of an answer: Data
	Said         // beside it: Data
	Over         // an answer has ended: App, Status
	Able         // what an application is able to do: Params
	Reply        // to be written, and concerns no request: Data
)

// Event is what a piece amounts to.
type Event struct {
	Kind   Kind
	ID     uint16
	Keep   bool   // the connection is used on after the request
	Params []byte // a list of names and values, checked
	Data   []byte // holds until the next piece is read
	App    uint32
	Status Status
	Why    string
}

// Limits bound what a connection's requests may hold.
type Limits struct {
	Requests int // open at once
	Params   int // bytes of one's params
	Total    int // open on all connections, as who asks is told; 0: nothing
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
	if p.Type == Begin {
		return a.begin(p, q)
	}
	if q == nil || q.bad { // ended here while its gateway was still sending
		return Event{}, nil
	}
	e := Event{ID: p.ID}
	switch p.Type {
	case Params:
		switch {
		case q.headed:
			return a.refuse(q, e, "params after their end")
		case p.Ends:
			if check(q.params) != nil {
				return a.refuse(q, e, "params that end in the middle of one")
			}
			q.headed = true
			e.Kind, e.Params, e.Keep = Headed, q.params, q.keep
		case len(q.params)+len(p.Content) > a.Limits.Params:
			return a.refuse(q, e, "more params than are taken")
		default:
			q.params = append(q.params, p.Content...)
		}
	case Stdin:
		switch {
		case !q.headed:
			return a.refuse(q, e, "a body ahead of the params' end")
		case q.whole:
			return a.refuse(q, e, "a body after its end")
		case p.Ends:
			q.whole = true
			e.Kind = Whole
		default:
			e.Kind, e.Data = Body, p.Content
		}
	case Abort:
		e.Kind = Aborted
	default:
		return a.refuse(q, e, fmt.Sprintf("a record of type %d", p.Type))
	}
	return e, nil
}

func (a *Application) refuse(q *request, e Event, why string) (Event, error) {
	q.bad = true
	e.Kind, e.Why, e.Keep = Bad, why, q.keep
	return e, nil
}

func (a *Application) begin(p Piece, q *request) (Event, error) {
	if q != nil { // what comes next under this id could be either's
		return Event{}, fmt.Errorf("%w: request %d begins twice", ErrFraming, p.ID)
	}
	refuse := func(s Status) (Event, error) {
		a.told = AppendEnd(a.told[:0], p.ID, 0, s)
		return Event{Kind: Reply, Data: a.told}, nil
	}
	switch {
	case binary.BigEndian.Uint16(p.Content) != Responder:
		return refuse(UnknownRole)
	case len(a.open) >= a.Requests && a.Requests == 1:
		return refuse(CantMpx)
	case len(a.open) >= a.Requests:
		return refuse(Overloaded)
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
	case GetValues:
		var pairs []byte
		for list := p.Content; len(list) > 0; {
			name, _, rest, err := Pair(list)
			if err != nil {
				return Event{}, err
			}
			list = rest
			switch string(name) {
			case MaxReqs, MaxConns:
				if a.Total > 0 {
					pairs = AppendPair(pairs, string(name), fmt.Sprint(a.Total))
				}
			case MpxConns:
				pairs = AppendPair(pairs, MpxConns, map[bool]string{true: "1", false: "0"}[a.Requests > 1])
			}
			if len(pairs) > MostManagement { // asked for the same again and again
				return Event{}, fmt.Errorf("%w: too much is asked at once", ErrFraming)
			}
		}
		a.told = appendRecord(a.told[:0], Values, 0, pairs)
	case Begin, Abort, End, Params, Stdin, Stdout, Stderr, Data:
		return Event{}, fmt.Errorf("%w: a record of type %d without a request", ErrFraming, p.Type)
	case Values, Unknown: // answers to what was not asked
		return Event{}, nil
	default:
		body := [fixed]byte{byte(p.Type)}
		a.told = appendRecord(a.told[:0], Unknown, 0, body[:])
	}
	return Event{Kind: Reply, Data: a.told}, nil
}
