package chaos

import (
	"context"
	"fmt"
	"math/rand"
	"path/filepath"
	"time"

	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/standin"
	"robincart/internal/system/keys"
)

const (
	// podsPerSlice and machines shape the cluster.
	podsPerSlice = 50
	machines     = 4
	// keysLifetime is how long the programs' certificates are valid.
	keysLifetime = time.Hour
)

// newCluster is the cluster manager, which notes the moment of each drain.
func (c *Controller) newCluster() *apiserver.Cluster {
	return &apiserver.Cluster{
		API:      c.api,
		Service:  "s",
		Port:     c.port,
		PerSlice: podsPerSlice,
		Nodes:    machines,
		Rand:     rand.New(rand.NewSource(c.Seed)),
		Address: func(n int) string {
			return fmt.Sprintf("127.%d.%d.%d", 20+n/62500, n/250%250, n%250+1)
		},
		OnDrain: func(ip string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			addr := fmt.Sprintf("%s:%d", ip, c.port)
			if c.drainedAt[addr].IsZero() {
				c.drainedAt[addr] = time.Now()
			}
		},
	}
}

// controllerNodeFile is the configuration of a node.
const controllerNodeFile = `name = "n%d"
listen = [%q]
[machine]
sockets = 4000
%s[[service]]
name = "s"
discovery = %q
guarantee = 1
nodes = %d
[[service.method]]
name = "find"
repeat = "idempotent"
target = "1s"
deadline = "2s"
[[route]]
to = "s"
`

// startNodes starts the nodes, and returns those that were started also if one could not be.
func (c *Controller) startNodes(ctx context.Context, discovery string) ([]*standin.Node, error) {
	var nodes []*standin.Node
	for i := range c.Nodes {
		addr, err := standin.FreeAddress("127.0.0.1")
		if err != nil {
			return nodes, err
		}
		n := &standin.Node{
			Name:         fmt.Sprint("n", i),
			Addr:         addr,
			Program:      c.Node,
			Dir:          c.dir,
			OperatorFile: fmt.Sprintf(controllerNodeFile, i, addr, c.keysSection("node"), discovery, c.Nodes),
		}
		nodes = append(nodes, n)
		if err := n.Start(ctx); err != nil {
			return nodes, err
		}
	}
	return nodes, nil
}

func killAll(nodes []*standin.Node) {
	for _, n := range nodes {
		n.Kill()
	}
}

// keysSection is the section of a configuration with a program's keys; empty without keys.
func (c *Controller) keysSection(name string) string {
	if !c.Keys {
		return ""
	}
	path := func(file string) string { return filepath.Join(c.dir, file) }
	return fmt.Sprintf("[keys]\ncert = %q\nkey = %q\nca = %q\n", path(name+".pem"), path(name+".key"), path("ca.pem"))
}

// startReplicas starts the controllers, with keys for them and the nodes.
func (c *Controller) startReplicas() error {
	if c.Keys {
		if err := keys.Make(c.dir, []string{"controller", "node"}, nil, keysLifetime); err != nil {
			return err
		}
	}
	for i := range c.Replicas {
		controller, err := c.newReplica(i, c.keysSection("controller"))
		if err != nil {
			return err
		}
		c.replicas = append(c.replicas, controller)
		if err := controller.start(c.Program); err != nil {
			return err
		}
	}
	return nil
}

// newReplica is the i-th controller, which is still to be started.
func (c *Controller) newReplica(i int, keysSection string) (*replica, error) {
	controller, err := newReplica(c.dir, fmt.Sprint("c", i))
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("identity = %q\nstatus = %q\n[api]\nserver = \"http://%s\"\n[leader]\nhold = \"3s\"\n"+
		"[[service]]\nname = \"s\"\nlisten = %q\n%s",
		controller.name, controller.status, c.api.Addr(), controller.list, keysSection)
	return controller, controller.writeConfig(text)
}

func (c *Controller) killReplicas() {
	for _, controller := range c.replicas {
		controller.kill()
	}
}
