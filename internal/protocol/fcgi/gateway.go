package fcgi

import (
	"encoding/binary"
	"fmt"
)

// Gateway is the gateway's side of one connection: requests go out, and their answers come back interleaved. It is not safe for
// concurrent use.
type Gateway struct {
	open map[uint16]*answer
	next uint16
}

type answer struct {
	out, said bool // the stream has ended
}

// Begin gives a request an id that no other has, also none whose end is still to come. It is false where none is left.
func (g *Gateway) Begin() (id uint16, ok bool) {
	if g.open == nil {
		g.open = map[uint16]*answer{}
	}
	if len(g.open) >= MaxContent {
		return 0, false
	}
	for {
		if g.next++; g.next != 0 && g.open[g.next] == nil {
			g.open[g.next] = &answer{}
			return g.next, true
		}
	}
}

// Open is how many requests have no end yet.
func (g *Gateway) Open() int { return len(g.open) }

// Take takes a piece. After an error nothing that comes can be believed to be the request's whose id it has.
func (g *Gateway) Take(p Piece) (Event, error) {
	if p.ID == 0 {
		switch p.Type {
		case TypeValues:
			return Event{Kind: EventCapabilities, Params: p.Content}, check(p.Content)
		case TypeUnknown:
			return Event{}, nil
		}
		return Event{}, fmt.Errorf("%w: a record of type %d without a request", ErrFraming, p.Type)
	}
	a := g.open[p.ID]
	if a == nil {
		return Event{}, fmt.Errorf("%w: request %d is not open", ErrFraming, p.ID)
	}
	e := Event{ID: p.ID, Data: p.Content}
	switch p.Type {
	case TypeStdout:
		if a.out {
			return Event{}, fmt.Errorf("%w: an answer after its end", ErrFraming)
		}
		if e.Kind = EventStdout; p.Ends { // not the answer's end yet: only its application's word is
			a.out, e.Kind = true, EventNone
		}
	case TypeStderr:
		if a.said {
			return Event{}, fmt.Errorf("%w: a message after its end", ErrFraming)
		}
		if e.Kind = EventStderr; p.Ends {
			a.said, e.Kind = true, EventNone
		}
	case TypeEnd:
		delete(g.open, p.ID)
		e.Kind, e.AppStatus, e.Status = EventEnd, binary.BigEndian.Uint32(p.Content), Status(p.Content[4])
		if e.Status > StatusUnknownRole {
			return Event{}, fmt.Errorf("%w: a request ended with status %d", ErrFraming, e.Status)
		}
	default:
		return Event{}, fmt.Errorf("%w: a record of type %d from an application", ErrFraming, p.Type)
	}
	return e, nil
}
