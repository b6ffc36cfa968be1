package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"time"

	"robincart/internal/record/record"
)

const (
	maxLineSize      = 4 << 10                 // limit of a line in the answer to opFollow, in bytes
	heartbeatTimeout = 5 * time.Second         // a working replica sends a line every two seconds
	maxPositionAge   = 4 * time.Second         // age above which another replica is probed
	probeTimeout     = 1500 * time.Millisecond // for connecting to a probed replica, and for its first line
	maxAgeMillis     = 1 << 40                 // milliseconds; a larger reported age is reduced to it
)

// unreachableAge is the age that probe returns for a replica that does not answer.
const unreachableAge time.Duration = math.MaxInt64

// fresherReplicaError ends a watch because the store has confirmed another replica's position more recently.
type fresherReplicaError struct{ address string }

func (e *fresherReplicaError) Error() string {
	return "the controller at " + e.address + " has a newer position of the record"
}

// replicaWatch is a connection over which a replica sends its position whenever the position changes.
type replicaWatch struct {
	client         *controllersClient
	address        string
	connection     net.Conn
	reader         *bufio.Reader
	callerPosition record.Meta
	isNotified     bool // a position has arrived on this connection
	lastProbed     int  // index of the last probed address in client.addresses
}

// watch watches a replica until the connection ends, or until the store has confirmed another replica's position more
// recently.
func (c *controllersClient) watch(ctx context.Context, address string) error {
	err := c.watchReplica(ctx, address)
	return fmt.Errorf("the controller at %s: %w", address, err)
}

func (c *controllersClient) watchReplica(ctx context.Context, address string) error {
	connection, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()
	c.mu.Lock()
	callerPosition := c.callerPosition
	c.mu.Unlock()
	w := &replicaWatch{
		client:         c,
		address:        address,
		connection:     connection,
		reader:         bufio.NewReaderSize(connection, maxLineSize),
		callerPosition: callerPosition,
		lastProbed:     slices.Index(c.addresses, address),
	}
	connection.SetDeadline(time.Now().Add(heartbeatTimeout))
	if err := sendFollow(connection, callerPosition, heartbeatTimeout); err != nil {
		return err
	}
	for {
		connection.SetReadDeadline(time.Now().Add(heartbeatTimeout))
		position, err := readPosition(w.reader)
		if err != nil {
			return err
		}
		if err := w.checkAge(ctx, position); err != nil {
			return err
		}
		w.updateClient(position)
	}
}

func sendFollow(connection net.Conn, callerPosition record.Meta, timeLeft time.Duration) error {
	call := request{Op: opFollow, Position: &callerPosition, TimeLeft: timeLeft}
	return json.NewEncoder(connection).Encode(call)
}

// checkAge probes another replica if the watched replica's position is older than maxPositionAge, since the other
// replica may still reach the store. If the age of the other replica's position is less than half the age of the
// watched replica's position, checkAge returns a *fresherReplicaError.
func (w *replicaWatch) checkAge(ctx context.Context, position *Position) error {
	addresses := w.client.addresses
	if position == nil || position.age() <= maxPositionAge || len(addresses) == 1 {
		return nil
	}
	w.lastProbed = (w.lastProbed + 1) % len(addresses)
	other := addresses[w.lastProbed]
	if other != w.address && w.client.probe(ctx, other, w.callerPosition) < position.age()/2 {
		return &fresherReplicaError{address: other}
	}
	return nil
}

// updateClient updates the client after a line has arrived: position is the position in the line, or nil if the line is
// a heartbeat.
func (w *replicaWatch) updateClient(position *Position) {
	c := w.client
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if position == nil {
		if w.isNotified {
			c.confirmedAt = now
		}
		return
	}
	c.confirmedAt = now.Add(-position.age())
	isNewer := position.Meta.Epoch != c.watched.position.Epoch || position.Meta.Revision > c.watched.position.Revision
	if w.isNotified && !isNewer {
		return // while the line was in transit, the answer to a call may have advanced the position
	}
	if !w.isNotified {
		w.isNotified = true
		c.watched.number++
	}
	c.watched.address = w.address
	c.watched.position = position.Meta
	c.notifyChange()
}

// probe returns the age of another replica's position. It returns unreachableAge if that replica does not answer.
func (c *controllersClient) probe(ctx context.Context, address string, callerPosition record.Meta) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connection, err := c.dial(ctx, address)
	if err != nil {
		return unreachableAge
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(probeTimeout))
	if err := sendFollow(connection, callerPosition, probeTimeout); err != nil {
		return unreachableAge
	}
	position, err := readPosition(bufio.NewReaderSize(connection, maxLineSize))
	if err != nil || position == nil {
		return unreachableAge
	}
	return position.age()
}

// age returns the position's age as a duration, limited to maxAgeMillis so that the conversion does not overflow.
func (p *Position) age() time.Duration {
	return time.Duration(min(p.Age, maxAgeMillis)) * time.Millisecond
}

// positionLine is a line in the answer to opFollow: a position, or the response at the end.
type positionLine struct {
	Position
	Error string `json:"fault"`
	Code  string `json:"name"`
}

// readPosition reads one line of the answer to opFollow. It returns nil for a heartbeat.
func readPosition(reader *bufio.Reader) (*Position, error) {
	text, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("a line is longer than %d bytes", maxLineSize)
	}
	if err != nil || len(text) == 1 {
		return nil, err
	}
	var line positionLine
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, fmt.Errorf("invalid line: %w", err)
	}
	end := response{Error: line.Error, Code: line.Code}
	if err := end.err(); err != nil {
		return nil, err
	}
	if line.Meta.Epoch == "" || line.Meta.Revision < 0 || line.Age < 0 {
		return nil, fmt.Errorf("invalid line: it has no position of the record: epoch %q, revision %d, age %d ms",
			line.Meta.Epoch, line.Meta.Revision, line.Age)
	}
	return &line.Position, nil
}
