package fleet

import (
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// maxStarting is how many nodes start at once.
const maxStarting = 16

// Endpoint is where a part of the control side is reached.
type Endpoint struct {
	Place Place
	Addr  string
}

// Service is one service whose endpoint list nodes watch.
type Service struct {
	Name      string
	Discovery string     // its address in the nodes' files
	Replicas  []Endpoint // what serves there, one of each replica of the controller
}

// HollowConfig describes the hollow nodes of one process and what they connect to.
type HollowConfig struct {
	Latency   Latency
	FirstNode int // its number; the others follow
	Places    []Place
	Zones     []string
	Services  []Service
	StoreURL  string   // of the store of record, with user and password; empty: nodes have no record
	Store     Endpoint // where it is reached
	// RecordServers are the controllers' servers of the record, which nodes read it from instead of the store; none:
	// nodes read the store.
	RecordServers []Endpoint
}

// Phase is what an Event brought.
type Phase string

// The phases: of a server three, and one of a setting.
const (
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	PhaseGone     Phase = "gone"
	PhaseSet      Phase = "set"
)

// Event is one thing that came into force at a node.
type Event struct {
	At      int64 // nanoseconds of Unix time: all processes are on one machine
	Node    int
	Subject string // the address of a server, or NAME=VALUE of a setting
	Phase   Phase
}

// HollowUsage is what the hollow nodes of a process have used and hold.
type HollowUsage struct {
	Nodes           int
	EndpointLists   Volume
	Record          Volume
	HeapBytes       int64 // live, after a collection
	PendingWrites   int   // changes that are to be written to the store
	MinReadyServers int   // that a node knows; of the node that knows fewest
	NotFollowing    int   // nodes whose copy does not follow the store
}

// HollowNodes are the control sides of many nodes in one process: the watches of all services, the record's cache with
// its copy, the cores with their decision modules and what they share, wired as cmd/robincart does. They lack the rest
// of a node: the process, the listeners and clients, the snapshot on disk, and the helper process at the store, whose
// client runs in here.
type HollowNodes struct {
	// The fields are set before Start, if at all.

	OnEvent    func(Event)                           // called instead of collecting Events
	Connect    ConnectFunc                           // instead of TCP
	NoTimeouts bool                                  // watches outlast any silence, as on a machine that stalls
	OpenStore  func(number int) (store.Store, error) // instead of the client of HollowConfig.StoreURL

	config        HollowConfig
	network       *Network
	endpointLists Traffic
	record        Traffic

	mu     sync.Mutex
	nodes  map[int]*hollowNode
	events []Event
}

// NewHollowNodes prepares nodes. Start starts them.
func NewHollowNodes(config HollowConfig) *HollowNodes {
	return &HollowNodes{config: config, network: NewNetwork(config.Latency), nodes: map[int]*hollowNode{}}
}

// Start starts nodes by their numbers.
func (h *HollowNodes) Start(numbers []int) error {
	if h.Connect != nil {
		h.network.Connect = h.Connect
	}
	errs := make([]error, len(numbers))
	slots := make(chan struct{}, maxStarting)
	var starting sync.WaitGroup
	for i, number := range numbers {
		slots <- struct{}{}
		starting.Go(func() {
			defer func() { <-slots }()
			errs[i] = h.start(number)
		})
	}
	starting.Wait()
	return errors.Join(errs...)
}

func (h *HollowNodes) start(number int) error {
	node, err := h.startNode(number)
	if err != nil {
		return fmt.Errorf("node %d: %w", number, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes[number] = node
	return nil
}

// Kill ends nodes, and what they know is lost.
func (h *HollowNodes) Kill(numbers []int) {
	var stopping sync.WaitGroup
	for _, number := range numbers {
		if node := h.remove(number); node != nil {
			stopping.Go(node.stop)
		}
	}
	stopping.Wait()
}

// remove takes a node out of those that run, and returns nil where it does not.
func (h *HollowNodes) remove(number int) *hollowNode {
	h.mu.Lock()
	defer h.mu.Unlock()
	node := h.nodes[number]
	delete(h.nodes, number)
	return node
}

// Close ends all nodes. It lifts partitions, for which connections would wait.
func (h *HollowNodes) Close() {
	h.network.SetPartitions(nil)
	var numbers []int
	h.mu.Lock()
	for number := range h.nodes {
		numbers = append(numbers, number)
	}
	h.mu.Unlock()
	h.Kill(numbers)
}

// SetPartitions replaces the partitions of the network.
func (h *HollowNodes) SetPartitions(partitions []Partition) { h.network.SetPartitions(partitions) }

// notify reports events.
func (h *HollowNodes) notify(events []Event) {
	if h.OnEvent != nil {
		for _, event := range events {
			h.OnEvent(event)
		}
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, events...)
}

// Events returns those since the last call.
func (h *HollowNodes) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	events := h.events
	h.events = nil
	return events
}

// Drain gives one node an operator's command to drain a server.
func (h *HollowNodes) Drain(number int, server string) error {
	h.mu.Lock()
	node := h.nodes[number]
	h.mu.Unlock()
	if node == nil || node.recordCache == nil {
		return fmt.Errorf("node %d does not run, or keeps no record", number)
	}
	node.recordCache.AddDrain(server, record.Drain{Since: time.Now().UnixMilli(), By: "operator"})
	return nil
}

// Usage returns what has been used. The live heap is measured if it is to collect garbage first.
func (h *HollowNodes) Usage(collect bool) HollowUsage {
	usage := HollowUsage{EndpointLists: h.endpointLists.Volume(), Record: h.record.Volume(), MinReadyServers: -1}
	if collect {
		usage.HeapBytes = liveHeap()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	usage.Nodes = len(h.nodes)
	for _, node := range h.nodes {
		if node.recordCache != nil {
			status := node.recordCache.Status()
			usage.PendingWrites += status.Pending
			if status.SyncState != record.Following.String() {
				usage.NotFollowing++
			}
		}
		ready := node.readyServers()
		if usage.MinReadyServers < 0 || ready < usage.MinReadyServers {
			usage.MinReadyServers = ready
		}
	}
	return usage
}

// liveHeap collects garbage and returns the bytes that are left. The second collection frees what has finalizers.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// replicaTargets returns the targets in the order in which a connection tries them. Each turn begins with the next one.
func replicaTargets(replicas []Endpoint, turn int) []target {
	targets := make([]target, len(replicas))
	for i := range replicas {
		replica := replicas[(turn+i)%len(replicas)]
		targets[i] = target{place: replica.Place, address: replica.Addr}
	}
	return targets
}
