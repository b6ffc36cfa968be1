package run

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"

	"robincart/internal/lab/experiment"
)

// What a fleet takes of its machine, from runs of 20 to 300 nodes.
const (
	nodeBytes       = 16 << 20 // resident, of one node
	nodeDescriptors = 10       // of this process: a node's door, its watch, its callers' and its servers' connections
	memoryShare     = 2        // the lab takes at most this part of the machine's memory
)

// CapacityError is an experiment whose fleet does not fit its machine. Nothing has been started.
type CapacityError struct {
	Resource    string
	Need, Limit uint64
	Advice      string
}

func (e *CapacityError) Error() string {
	return fmt.Sprintf("the fleet does not fit this machine: it needs %d %s, and may have %d: %s", e.Need, e.Resource, e.Limit, e.Advice)
}

// capacity is what a machine has for the lab. Zeros are not known, and bound nothing.
type capacity struct {
	memory      uint64 // bytes
	descriptors uint64
}

// fits tells whether a fleet fits.
func fits(e *experiment.Experiment, has capacity) error {
	nodes, servers := uint64(e.Fleet.Nodes), uint64(0)
	for i, t := range e.Fleet.Tier {
		servers += uint64(t.Servers)
		if i+1 < len(e.Fleet.Tier) && t.Service == "" {
			nodes += uint64(t.Servers) // each has a node of its own
		}
	}
	if need, limit := nodes*nodeBytes>>20, has.memory/memoryShare>>20; has.memory > 0 && need > limit {
		return &CapacityError{Resource: "MB of memory", Need: need, Limit: limit, Advice: "play fewer nodes, or a machine with more memory"}
	}
	if need := nodes*nodeDescriptors + servers; has.descriptors > 0 && need > has.descriptors {
		return &CapacityError{Resource: "descriptors", Need: need, Limit: has.descriptors, Advice: "raise the hard limit of open files, or play fewer nodes"}
	}
	return nil
}

// thisMachine is what there is here.
func thisMachine() capacity {
	return capacity{memory: memoryTotal(), descriptors: RaiseDescriptors()}
}

// memoryTotal reads the machine's memory in bytes; 0: it can't be read.
func memoryTotal() uint64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == "MemTotal:" {
			kb, _ := strconv.ParseUint(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}
