// Package cost measures what a node costs: CPU, memory and latency that it adds to calls.
//
// There are five measurements, each against real nodes on loopback with stand-in servers that answer at once:
// ClosedLoop (CPU and memory by servers, cores and callers), Comparison (latency at given rates beside callers without
// a node and a proxy that only copies bytes), Chain (latency and attempts by the number of nodes on a call's path),
// IdleConnections (memory of idle connections, and what their waking does to others) and StoreStall (latency while the
// store of record fails). The package starts the nodes, the servers and the callers, and ends them.
//
// Its servers do no work, so its figures say what a node adds, and nothing about how it bears load; that is what
// experiments are for (package run). It judges nothing: whether a figure is good enough, callers decide.
package cost

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

// methodName is the method that all callers call.
const methodName = "find"

const (
	loopbackHost   = "127.0.0.1"
	anyPort        = loopbackHost + ":0"
	zone           = "z1"
	nodeEndTimeout = 10 * time.Second
)

// Where a RigConfig names none.
const (
	defaultMaxAttempts = 3
	defaultTarget      = 2500 * time.Millisecond
	defaultDeadline    = 6 * time.Second
)

// RigConfig describes a node, the machine that it is told to have, and its servers.
type RigConfig struct {
	Program  string // of the node
	Servers  int
	Cores    int
	MemoryMB int
	Sockets  int
	Churn    int // servers that are replaced, a second
	// ExtraTables are added to the node's configuration file. Empty: it has the platform's form instead of a file.
	ExtraTables string
	Env         []string      // of the node, beside this process's own
	MaxAttempts int           // of a call at a node; 0: 3
	Deadline    time.Duration // of the method, and twice its latency objective; 0: 6 s, and 2.5 s
	NoHedging   bool          // an attempt starts only after the one before has ended

	sharedServers *servers // another rig's; nil: the rig starts its own
}

// rig is a node with its servers and its discovery.
type rig struct {
	config    RigConfig
	servers   *servers
	discovery *standin.Discovery
	node      *standin.Node
	members   []standin.Member
	dir       string // of the node's files
	stopChurn chan struct{}
	churning  sync.WaitGroup
}

// newRig starts a rig. close ends it.
func newRig(ctx context.Context, config RigConfig) (*rig, error) {
	r := &rig{config: config, stopChurn: make(chan struct{})}
	if err := r.start(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *rig) start(ctx context.Context) error {
	var err error
	if r.dir, err = os.MkdirTemp("", "cost"); err != nil {
		return err
	}
	if r.servers = r.config.sharedServers; r.servers == nil {
		if r.servers, err = startServers(answerOK); err != nil {
			return err
		}
	}
	r.members = r.servers.members("s", r.config.Servers)
	r.discovery = standin.NewDiscovery(&judge.Ledger{}, time.Now())
	r.node, err = prepareNode(&r.config, "n1", r.dir, 0, r.discovery, r.members)
	if err != nil {
		return err
	}
	if err := r.node.Start(ctx); err != nil {
		return err
	}
	if r.config.Churn > 0 {
		r.churning.Go(r.churn)
	}
	return nil
}

// prepareNode has discovery list the members and returns a node that follows it. The node is not started yet.
func prepareNode(
	config *RigConfig, name, dir string, stage int, discovery *standin.Discovery, members []standin.Member,
) (*standin.Node, error) {
	discovery.Update(members...)
	listener, err := discovery.Listen(0, anyPort)
	if err != nil {
		return nil, err
	}
	address, err := standin.FreeAddress(loopbackHost)
	if err != nil {
		return nil, err
	}
	revision, listed := discovery.List()
	node := &standin.Node{
		Name:    name,
		Addr:    address,
		Program: config.Program,
		Dir:     dir,
		Env:     config.Env,
		Config:  platformConfig(config, stage, listener.Addr(), revision, listed),
	}
	if config.ExtraTables != "" {
		node.OperatorFile = configFile(config, address, listener.Addr())
	}
	return node, nil
}

// churn replaces servers, one after another in the order of their numbers, until the rig is closed.
func (r *rig) churn() {
	ticker := time.NewTicker(time.Second / time.Duration(r.config.Churn))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-r.stopChurn:
			return
		case <-ticker.C:
		}
		member := &r.members[i%len(r.members)]
		gone := *member
		gone.Phase = "gone"
		member.ID += "+"
		r.discovery.Update(gone, *member)
	}
}

// close ends what was started, also of a start that has failed half way.
func (r *rig) close() {
	close(r.stopChurn)
	r.churning.Wait()
	if r.node != nil {
		r.node.End(nodeEndTimeout)
	}
	if r.discovery != nil {
		r.discovery.Stop()
	}
	if r.servers != nil && r.servers != r.config.sharedServers {
		r.servers.close()
	}
	os.RemoveAll(r.dir)
}

// platformConfig returns a node's configuration in the platform's form, without its name and listen address, which
// standin.Node adds.
func platformConfig(
	config *RigConfig, stage int, discovery string, revision int64, members []standin.Member,
) map[string]any {
	maxAttempts, target, deadline := defaultMaxAttempts, defaultTarget, defaultDeadline
	if config.MaxAttempts > 0 {
		maxAttempts = config.MaxAttempts
	}
	if config.Deadline > 0 {
		target, deadline = config.Deadline/2, config.Deadline
	}
	class := map[string]any{
		"Name":       methodName,
		"AimMs":      target.Milliseconds(),
		"DeadlineMs": deadline.Milliseconds(),
		"Credit":     1,
		"Repeat":     "repeatable",
	}
	return map[string]any{
		"discovery": discovery,
		"seed":      strconv.Itoa(1 + stage),
		"limits": map[string]any{
			"cores":     config.Cores,
			"memory_mb": config.MemoryMB,
			"sockets":   config.Sockets,
		},
		"known": map[string]any{"revision": revision, "complete": true, "members": members},
		"settings": map[string]any{
			"Classes":      []map[string]any{class},
			"Tenants":      []any{},
			"Zones":        []string{zone},
			"MyZone":       0,
			"Stage":        stage,
			"Instances":    1,
			"RegistryMode": "subscribe",
			"Limits": map[string]any{
				"MaxAttempts":      maxAttempts,
				"MayCancel":        true,
				"RetryAfter":       true,
				"SecondCopies":     !config.NoHedging,
				"MaxRetryAfterMs":  2000,
				"ConnectTimeoutMs": 1000,
				"ConnIdleMs":       60000,
			},
			"Rules": map[string]any{"MustAskInMs": 10000, "StopSendingWithinMs": 400},
		},
	}
}

// configFile returns a node's configuration file.
func configFile(config *RigConfig, address, discovery string) string {
	const form = `name = "n1"
listen = [%q]
[machine]
cores = %d
memory_mb = %d
sockets = %d
%s
[[service]]
name = "find"
discovery = %q
guarantee = 1
[[service.method]]
name = "find"
repeat = "idempotent"
target = "2500ms"
deadline = "6s"
[[route]]
to = "find"
`
	return fmt.Sprintf(form, address, config.Cores, config.MemoryMB, config.Sockets, config.ExtraTables, discovery)
}
