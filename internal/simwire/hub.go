// Package simwire implements the text protocol of the bench's simulator. It translates lines into calls of
// decide.Balancer, and calls of decide.Host into lines. It makes no decisions of its own.
//
// The files:
//
//	hub.go         reads batches of lines and runs the instances
//	serverlist.go  reads the numbered server lists
//	instance.go    keeps the protocol's state of one node
//	events.go      translates a node's events into calls of its balancer
//	host.go        translates the balancer's calls into lines
//	fields.go      reads the values of a line
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	readBufferSize  = 1 << 20 // bytes; a batch may have thousands of lines
	writeBufferSize = 1 << 18 // bytes
)

// Hub reads batches of events and answers each batch with the commands of its instances. A batch begins with a SYNC
// line and ends with a YOUR_TURN line. The instances share only the numbered server lists.
type Hub struct {
	in        *bufio.Reader
	out       *bufio.Writer
	now       float64 // time of the batch, in seconds
	inBatch   bool
	instances map[int]*instance
	lists     map[int][]listedServer
	violation error // the first invalid command of an instance
}

// NewHub returns a Hub that reads events from in and writes commands to out.
func NewHub(in io.Reader, out io.Writer) *Hub {
	return &Hub{
		in:        bufio.NewReaderSize(in, readBufferSize),
		out:       bufio.NewWriterSize(out, writeBufferSize),
		instances: map[int]*instance{},
		lists:     map[int][]listedServer{},
	}
}

// Run answers batches until the input ends. It returns an error at the first invalid line or command.
func (h *Hub) Run() error {
	for {
		line, err := h.readLine()
		if errors.Is(err, io.EOF) {
			if h.inBatch {
				return errors.New("input ended inside a batch, expected YOUR_TURN")
			}
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(line); err != nil {
			return fmt.Errorf("line %.200q: %w", line, err)
		}
		if h.violation != nil {
			return fmt.Errorf("after line %.200q: %w", line, h.violation)
		}
	}
}

// readLine reads a line and returns it without its line break. The last line may lack the line break. If no line is
// left, readLine returns io.EOF.
func (h *Hub) readLine() (string, error) {
	line, err := h.in.ReadString('\n')
	switch {
	case err == nil, errors.Is(err, io.EOF) && line != "":
		return strings.TrimRight(line, "\r\n"), nil
	case errors.Is(err, io.EOF):
		return "", io.EOF
	default:
		return "", fmt.Errorf("reading input: %w", err)
	}
}

// handle handles a line: SYNC, which begins a batch, or a line inside a batch.
func (h *Hub) handle(line string) error {
	name, values, _ := strings.Cut(line, " ")
	if name == "SYNC" {
		return h.beginBatch(values)
	}
	if !h.inBatch {
		return errors.New("event outside a batch, expected SYNC")
	}
	switch name {
	case "YOUR_TURN":
		return h.endBatch()
	case "SNAPSHOT_ROWS":
		return h.readList(values)
	case "BEGIN":
		return h.beginInstance(values)
	}
	return h.handleEvent(name, values)
}

// beginBatch handles SYNC, which sets the clock.
func (h *Hub) beginBatch(values string) error {
	if h.inBatch {
		return errors.New("SYNC inside a batch, expected YOUR_TURN first")
	}
	fields := newFieldReader(values)
	now := fields.seconds()
	if err := fields.end(); err != nil {
		return err
	}
	h.now, h.inBatch = now, true
	return nil
}

// endBatch handles YOUR_TURN, which ends a batch. It sends the commands of the batch.
func (h *Hub) endBatch() error {
	h.inBatch = false
	h.out.WriteString("NEXT\n")
	if err := h.out.Flush(); err != nil {
		return fmt.Errorf("writing output: %w", err)
	}
	return nil
}

// beginInstance handles BEGIN, which starts an instance.
func (h *Hub) beginInstance(values string) error {
	parts := strings.SplitN(values, " ", 3)
	if len(parts) != 3 {
		return errors.New("too few values, expected an instance, a seed and settings")
	}
	fields := fieldReader{values: parts[:2]}
	id, seed := fields.integer(), fields.integer()
	if err := fields.end(); err != nil {
		return err
	}
	inst, err := newInstance(h, id, int64(seed), parts[2])
	if err != nil {
		return err
	}
	h.instances[id] = inst
	return nil
}

// handleEvent handles an event of one instance.
func (h *Hub) handleEvent(name, values string) error {
	fields := newFieldReader(values)
	id := fields.integer()
	if fields.err != nil {
		return fields.err
	}
	if name == "DESTROY" {
		delete(h.instances, id)
		return fields.end()
	}
	inst := h.instances[id]
	if inst == nil {
		return fmt.Errorf("instance %d is not running: no BEGIN, or DESTROY before this line", id)
	}
	return inst.handleEvent(name, &fields)
}
