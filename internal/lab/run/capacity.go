package run

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"

	"robincart/internal/lab/experiment"
)

// What a fleet takes of its machine, measured in runs of 20 to 300 nodes.
const (
	nodeBytes       = 16 << 20 // resident, of one node
	nodeDescriptors = 10       // of this process: a node's listener, watch, and connections of clients and to servers
	memoryDivisor   = 2        // the lab takes at most this part of the machine's memory
)

// CapacityError is returned for an experiment whose fleet does not fit the machine. Nothing has been started.
type CapacityError struct {
	Resource    string
	Need, Limit uint64
	Advice      string
}

// Error names the resource, the need, the limit and what to do.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("the fleet does not fit this machine: it needs %d %s, and may have %d: %s",
		e.Need, e.Resource, e.Limit, e.Advice)
}

// capacity is what a machine has for the lab. Zeros are unknown, and limit nothing.
type capacity struct {
	memory      uint64 // bytes
	descriptors uint64
}

// checkCapacity returns a CapacityError if a fleet does not fit a machine.
func checkCapacity(e *experiment.Experiment, machine capacity) error {
	nodes, servers := fleetSize(e)
	memoryMB := nodes * nodeBytes >> 20
	memoryLimitMB := machine.memory / memoryDivisor >> 20
	if machine.memory > 0 && memoryMB > memoryLimitMB {
		return &CapacityError{
			Resource: "MB of memory",
			Need:     memoryMB,
			Limit:    memoryLimitMB,
			Advice:   "play fewer nodes, or a machine with more memory",
		}
	}
	descriptors := nodes*nodeDescriptors + servers
	if machine.descriptors > 0 && descriptors > machine.descriptors {
		return &CapacityError{
			Resource: "descriptors",
			Need:     descriptors,
			Limit:    machine.descriptors,
			Advice:   "raise the hard limit of open files, or play fewer nodes",
		}
	}
	return nil
}

// fleetSize counts a fleet's nodes, those of servers among them, and its servers.
func fleetSize(e *experiment.Experiment) (nodes, servers uint64) {
	tiers := e.Fleet.Tiers
	nodes = uint64(e.Fleet.Nodes)
	for i, t := range tiers {
		servers += uint64(t.Servers)
		if i+1 < len(tiers) && t.Service == "" {
			nodes += uint64(t.Servers)
		}
	}
	return nodes, servers
}

// thisMachine is the capacity of this machine.
func thisMachine() capacity {
	return capacity{memory: memoryTotal(), descriptors: RaiseDescriptors()}
}

// memoryTotal reads the machine's memory in bytes; 0: unknown.
func memoryTotal() uint64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		kilobytes, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			return 0
		}
		return kilobytes << 10
	}
	return 0
}
