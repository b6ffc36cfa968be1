package simwire

import (
	"errors"
	"fmt"

	"robincart/decide"
)

// preallocatedServers bounds the memory that a list's announced length allocates before its entries are read.
const preallocatedServers = 4096

// listedServer is one entry of a numbered server list.
type listedServer struct {
	addr      string
	zone      int
	cell      int
	state     decide.State
	weight    float64
	startedAt float64 // seconds; 0: long ago
}

// readList reads a server list and keeps it under its number, in place of an earlier one.
func (h *Hub) readList(values string) error {
	fields := newFieldReader(values)
	number, length := fields.integer(), fields.integer()
	if err := fields.end(); err != nil {
		return err
	}
	if length < 0 {
		return errors.New("negative number of entries")
	}
	list := make([]listedServer, 0, min(length, preallocatedServers))
	for range length {
		line, err := h.readLine()
		if err != nil {
			return fmt.Errorf("list cut short: %w", err)
		}
		entry, err := parseListedServer(line)
		if err != nil {
			return fmt.Errorf("entry %.200q: %w", line, err)
		}
		list = append(list, entry)
	}
	h.lists[number] = list
	return nil
}

// parseListedServer reads an entry of a server list.
func parseListedServer(line string) (listedServer, error) {
	fields := newFieldReader(line)
	if tag := fields.text(); tag != "M" {
		return listedServer{}, errors.New("does not start with M")
	}
	entry := listedServer{addr: fields.text(), zone: fields.integer()}
	fields.skip() // the kind: decisions go by what servers do, not by what they are called
	entry.cell = fields.integer()
	state := fields.text()
	entry.weight = fields.number(1)
	entry.startedAt = fields.seconds()
	switch state {
	case "active":
		entry.state = decide.Ready
	case "leaving":
		entry.state = decide.Draining
	case "left":
		entry.state = decide.Gone
	default:
		fields.fail("unknown readiness %q", state)
	}
	return entry, fields.end()
}
