// Package simwire speaks the text wire of the bench's simulator: it turns lines into calls of decide.Balancer and the
// calls of decide.Host into lines. It takes no decision.
//
// The files, by what they do:
//
//	hub.go         reads batches of lines and hosts the instances
//	serverlist.go  reads the numbered server lists
//	instance.go    has what the wire knows of one node
//	events.go      turns a node's events into calls of its balancer
//	host.go        turns its balancer's calls into lines
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
	readBufferSize  = 1 << 20 // bytes; a batch has thousands of lines
	writeBufferSize = 1 << 18 // bytes
)

// Hub reads batches of events and answers each with its instances' orders. The instances share nothing but the wire's
// numbered server lists.
type Hub struct {
	in        *bufio.Reader
	out       *bufio.Writer
	now       float64 // the batch's time, in seconds
	inBatch   bool
	instances map[int]*instance
	lists     map[int][]listedServer
	violation error // the first order of an instance that the wire would refuse
}

// NewHub makes a Hub over the two ends of the wire.
func NewHub(in io.Reader, out io.Writer) *Hub {
	return &Hub{
		in:        bufio.NewReaderSize(in, readBufferSize),
		out:       bufio.NewWriterSize(out, writeBufferSize),
		instances: map[int]*instance{},
		lists:     map[int][]listedServer{},
	}
}

// Run answers batches until the input ends.
func (h *Hub) Run() error {
	for {
		line, err := h.readLine()
		if errors.Is(err, io.EOF) {
			if h.inBatch {
				return errors.New("input ended inside a batch")
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

// readLine reads a line without its end. The error is io.EOF only where the input ends between two lines.
func (h *Hub) readLine() (string, error) {
	line, err := h.in.ReadString('\n')
	switch {
	case err == nil, errors.Is(err, io.EOF) && line != "":
		return strings.TrimRight(line, "\r\n"), nil
	case errors.Is(err, io.EOF):
		return "", io.EOF
	default:
		return "", fmt.Errorf("reading the wire: %w", err)
	}
}

// handle handles a line of a batch, or the one that begins it.
func (h *Hub) handle(line string) error {
	name, values, _ := strings.Cut(line, " ")
	if name == "SYNC" {
		return h.beginBatch(values)
	}
	if !h.inBatch {
		return errors.New("event outside a batch")
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

// beginBatch sets the clock.
func (h *Hub) beginBatch(values string) error {
	if h.inBatch {
		return errors.New("SYNC inside a batch")
	}
	fields := newFieldReader(values)
	now := fields.seconds()
	if err := fields.end(); err != nil {
		return err
	}
	h.now, h.inBatch = now, true
	return nil
}

// endBatch sends the orders of the batch.
func (h *Hub) endBatch() error {
	h.inBatch = false
	h.out.WriteString("NEXT\n")
	if err := h.out.Flush(); err != nil {
		return fmt.Errorf("writing the wire: %w", err)
	}
	return nil
}

// beginInstance starts an instance.
func (h *Hub) beginInstance(values string) error {
	parts := strings.SplitN(values, " ", 3)
	if len(parts) != 3 {
		return errors.New("BEGIN needs an instance, a seed and settings")
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

// handleEvent handles a line that is about one instance.
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
		return fmt.Errorf("instance %d was never begun", id)
	}
	return inst.handleEvent(name, &fields)
}
