package simwire

import (
	"fmt"

	"robincart/decide"
)

// preallocatedServers limits the number of entries for which memory is allocated before they are read, even if a list
// announces more entries.
const preallocatedServers = 4096

// listedServer is one entry of a numbered server list.
type listedServer struct {
	addr      string
	zone      int
	cell      int
	state     decide.State
	weight    float64
	startedAt float64 // start time in seconds; 0: long ago
}

// readList reads a server list and stores it under its number. It replaces an earlier list of the same number.
func (h *Hub) readList(values string) error {
	fields := newFieldReader(values)
	number, length := fields.integer(), fields.integer()
	if err := fields.end(); err != nil {
		return err
	}
	if length < 0 {
		return fmt.Errorf("server list %d: length is %d, expected at least 0", number, length)
	}
	list := make([]listedServer, 0, min(length, preallocatedServers))
	for range length {
		line, err := h.readLine()
		if err != nil {
			return fmt.Errorf("server list %d: got %d of %d entries: %w", number, len(list), length, err)
		}
		entry, err := parseListedServer(line)
		if err != nil {
			return fmt.Errorf("server list %d: entry %.200q: %w", number, line, err)
		}
		list = append(list, entry)
	}
	h.lists[number] = list
	return nil
}

// parseListedServer parses an entry of a server list.
func parseListedServer(line string) (listedServer, error) {
	fields := newFieldReader(line)
	if tag := fields.text(); tag != "M" {
		return listedServer{}, fmt.Errorf("starts with %q, expected M", tag)
	}
	entry := listedServer{addr: fields.text(), zone: fields.integer()}
	fields.skip() // kind of the server; decisions depend on the server's behavior, not on its kind
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
		fields.fail("unknown server state %q, expected active, leaving or left", state)
	}
	return entry, fields.end()
}
