package run

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"

	"robincart/internal/lab/standin"
)

// newNode prepares a node that sends to a tier, or to all tiers where those are services.
func (f *fleet) newNode(tier int, zone string) (*standin.Node, error) {
	config := f.experiment.Fleet
	hasServices := len(f.experiment.Services()) > 0
	listeners, err := f.listenForNode(tier)
	if err != nil {
		return nil, err
	}
	addr := config.Listen
	if isFirst := tier == 0 && len(f.nodes) == 0; addr == "" || !isFirst {
		addr, err = standin.FreeAddress(config.Host)
		if err != nil {
			return nil, err
		}
	}
	n := &standin.Node{
		Name:    fmt.Sprintf("n%d", f.nextNode),
		Addr:    addr,
		Program: config.Program,
		Dir:     f.dir,
		Config:  f.nodeConfig(tier, zone, listeners[0].Addr()),
	}
	if hasServices {
		n.OperatorFile = f.nodeFile(n, listeners)
	}
	f.listeners[f.nextNode] = listeners
	f.nextNode++
	if f.experiment.NeedsAdminAddress() && tier == 0 {
		err = f.prepareAdmin(n)
	}
	return n, err
}

// listenForNode opens the discovery's listeners for the next node: of its tier, or of all tiers that are services.
func (f *fleet) listenForNode(tier int) ([]*standin.DiscoveryListener, error) {
	discoveries := f.discoveries[tier : tier+1]
	if len(f.experiment.Services()) > 0 {
		discoveries = f.discoveries
	}
	var listeners []*standin.DiscoveryListener
	for _, d := range discoveries {
		listener, err := d.Listen(f.nextNode, f.experiment.Fleet.Host+":0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// prepareAdmin gives a node an operators' address and a state folder and, where nodes are replaced by successors, opens
// the listener that those share.
func (f *fleet) prepareAdmin(n *standin.Node) error {
	n.Admin = true
	dir := f.stateDir(n)
	n.Env = append(n.Env, "TMPDIR="+dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if !f.experiment.ReplacesNodes() {
		return nil
	}
	listener, err := net.Listen("tcp", n.Addr)
	if err != nil {
		return err
	}
	defer listener.Close()
	n.Listener, err = listener.(*net.TCPListener).File()
	return err
}

// stateDir is where a node stores what survives its processes.
func (f *fleet) stateDir(n *standin.Node) string {
	return absolute(filepath.Join(f.dir, n.Name+".tmp"))
}

// absolute is the absolute path of a file, or the path itself if there is no working directory.
func absolute(path string) string {
	abs, err := filepath.Abs(path)
	if err != nil {
		return path
	}
	return abs
}

// restartNode starts a node that was stopped, and returns whether it became ready. A start that the end of the run cuts
// short is no crash.
func (f *fleet) restartNode(ctx context.Context, n *standin.Node) bool {
	known := f.firstDiscovery().LastKnown()
	n.SetKnownServers(known)
	if number := slices.Index(f.nodes, n); number >= 0 {
		f.firstDiscovery().RecordKnown(f.destinations[number].ID, known)
	}
	err := n.Start(ctx)
	if err != nil && ctx.Err() == nil {
		f.crash(err)
	}
	return err == nil
}

// FindProgram returns the path of the node's program: as named or, if that is empty, bin/robincart beside this program
// or in the working directory.
func FindProgram(named string) (string, error) {
	candidates := []string{named}
	if named == "" {
		self, err := os.Executable()
		if err != nil {
			self = ""
		}
		candidates = []string{filepath.Join(filepath.Dir(self), "robincart"), filepath.Join("bin", "robincart")}
	}
	for _, path := range candidates {
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return filepath.Abs(path)
		}
	}
	return "", &ProgramNotFoundError{Candidates: candidates}
}

// ProgramNotFoundError is returned where no program of a node is found.
type ProgramNotFoundError struct{ Candidates []string }

// Error names the paths, and says how the program is built.
func (e *ProgramNotFoundError) Error() string {
	return fmt.Sprintf("no node program at %v: build it (go build -o bin/ ./cmd/...) or name it with --node",
		e.Candidates)
}
