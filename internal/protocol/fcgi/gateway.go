package fcgi

import (
	"encoding/binary"
	"fmt"
)

// Gateway is the state of one connection at a gateway: requests are sent, and responses are received interleaved. It is
// not safe for concurrent use.
type Gateway struct {
	open   map[uint16]*response
	lastID uint16
}

// response is which streams of a response have ended.
type response struct {
	stdoutEnded bool
	stderrEnded bool
}

// Begin returns the ID of a new request, which no other has whose end is still to come. It returns false if none is
// left.
func (g *Gateway) Begin() (id uint16, ok bool) {
	if g.open == nil {
		g.open = map[uint16]*response{}
	}
	if len(g.open) >= MaxContent {
		return 0, false
	}
	for {
		g.lastID++
		if g.lastID != 0 && g.open[g.lastID] == nil {
			g.open[g.lastID] = &response{}
			return g.lastID, true
		}
	}
}

// Open returns how many requests have not ended.
func (g *Gateway) Open() int { return len(g.open) }

// Take processes a piece. After an error the connection can't be used: what comes with an ID may not belong to the
// request that has it.
func (g *Gateway) Take(piece Fragment) (Event, error) {
	if piece.ID == 0 {
		return takeManagement(piece)
	}
	open := g.open[piece.ID]
	if open == nil {
		return Event{}, fmt.Errorf("%w: request %d is not open", ErrFraming, piece.ID)
	}
	switch piece.Type {
	case TypeStdout:
		return streamEvent(piece, EventStdout, &open.stdoutEnded)
	case TypeStderr:
		return streamEvent(piece, EventStderr, &open.stderrEnded)
	case TypeEndRequest:
		return g.end(piece)
	}
	return Event{}, fmt.Errorf("%w: a record of type %d from an application", ErrFraming, piece.Type)
}

// takeManagement processes a record that concerns no request.
func takeManagement(piece Fragment) (Event, error) {
	switch piece.Type {
	case TypeGetValuesResult:
		return Event{Kind: EventCapabilities, Params: piece.Content}, checkPairs(piece.Content)
	case TypeUnknown:
		return Event{}, nil
	}
	return Event{}, noRequestError(piece)
}

func noRequestError(piece Fragment) error {
	return fmt.Errorf("%w: a record of type %d without a request", ErrFraming, piece.Type)
}

// streamEvent returns the event for a piece of a stream. The end of a stream is none: only TypeEnd ends the response.
func streamEvent(piece Fragment, kind EventKind, ended *bool) (Event, error) {
	if *ended {
		return Event{}, fmt.Errorf("%w: a record of type %d after its stream's end", ErrFraming, piece.Type)
	}
	if piece.Ends {
		*ended = true
		kind = EventNone
	}
	return Event{Kind: kind, ID: piece.ID, Data: piece.Content}, nil
}

// end ends a request.
func (g *Gateway) end(piece Fragment) (Event, error) {
	delete(g.open, piece.ID)
	status := Status(piece.Content[4])
	if status > StatusUnknownRole {
		return Event{}, fmt.Errorf("%w: a request ended with status %d", ErrFraming, status)
	}
	return Event{
		Kind:      EventEnd,
		ID:        piece.ID,
		Data:      piece.Content,
		AppStatus: binary.BigEndian.Uint32(piece.Content),
		Status:    status,
	}, nil
}
