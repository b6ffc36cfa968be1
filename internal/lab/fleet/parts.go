package fleet

import (
	"fmt"
	"net/rpc"
	"os"

	"robincart/internal/lab/pgstand"
)

// PartCommand is the subcommand of robinlab that runs Part.
const PartCommand = "fleet-part"

// Names of the parts.
const (
	nodesPart = "nodes"
	storePart = "store"
)

// Names under which the parts' methods are called.
const (
	nodesService = "Nodes"
	storeService = "Store"

	callPrepare = nodesService + ".Prepare"
	callStart   = nodesService + ".Start"
	callKill    = nodesService + ".Kill"
	callCuts    = nodesService + ".Cuts"
	callEvents  = nodesService + ".Events"
	callUse     = nodesService + ".Use"
	callDrain   = nodesService + ".Drain"

	callBegin   = storeService + ".Begin"
	callStall   = storeService + ".Stall"
	callCommits = storeService + ".Commits"
)

// Part runs a part of the fleet for the process that has started this one: hollow nodes, or the store's stand-in. It
// serves calls on its standard streams until they end.
func Part(name string) error {
	server := rpc.NewServer()
	var err error
	switch name {
	case nodesPart:
		err = server.RegisterName(nodesService, &Nodes{})
	case storePart:
		err = server.RegisterName(storeService, &Store{})
	default:
		err = fmt.Errorf("there is no part %q", name)
	}
	if err != nil {
		return err
	}
	server.ServeConn(&streams{ReadCloser: os.Stdin, out: os.Stdout})
	return nil
}

// Empty is the argument of calls that take none, and the reply of those that return none.
type Empty struct{}

// NodeNumbers is the argument of calls about nodes.
type NodeNumbers struct{ Numbers []int }

// DrainCommand is an operator's command to one node.
type DrainCommand struct {
	Node   int
	Server string // SERVICE/ID
}

// StoreAddress is where the store's stand-in listens and keeps its rows.
type StoreAddress struct{ Address, Path string }

// Nodes serves calls for HollowNodes. Prepare is the first.
type Nodes struct{ nodes *HollowNodes }

// Prepare makes the nodes, which do not run yet.
func (n *Nodes) Prepare(config HollowConfig, _ *Empty) error {
	n.nodes = NewHollowNodes(config)
	return nil
}

// Start starts nodes.
func (n *Nodes) Start(nodes NodeNumbers, _ *Empty) error { return n.nodes.Start(nodes.Numbers) }

// Kill ends nodes.
func (n *Nodes) Kill(nodes NodeNumbers, _ *Empty) error {
	n.nodes.Kill(nodes.Numbers)
	return nil
}

// Cuts replaces the partitions of the network.
func (n *Nodes) Cuts(partitions []Partition, _ *Empty) error {
	n.nodes.SetPartitions(partitions)
	return nil
}

// Events returns the events since the last call.
func (n *Nodes) Events(_ Empty, events *[]Event) error {
	*events = n.nodes.Events()
	return nil
}

// Use returns the nodes' usage, after a collection of garbage if wanted.
func (n *Nodes) Use(collect bool, usage *HollowUsage) error {
	*usage = n.nodes.Usage(collect)
	return nil
}

// Drain gives one node an operator's command.
func (n *Nodes) Drain(command DrainCommand, _ *Empty) error {
	return n.nodes.Drain(command.Node, command.Server)
}

// Store serves calls for the store's stand-in. Begin is the first.
type Store struct{ server *pgstand.Server }

// Begin starts the stand-in and returns its URL for clients.
func (s *Store) Begin(at StoreAddress, clientURL *string) error {
	server, err := pgstand.Start(at.Address, at.Path)
	if err != nil {
		return err
	}
	s.server = server
	*clientURL = server.Address()
	return nil
}

// Stall keeps all statements waiting, or no longer.
func (s *Store) Stall(on bool, _ *Empty) error {
	s.server.Stall(on)
	return nil
}

// Commits returns how many commits there were.
func (s *Store) Commits(_ Empty, commits *int) error {
	*commits = s.server.Commits
	return nil
}
