package chaos

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/standin"
)

// Controller drains thousands of servers by a cluster manager, while watches of its API break, replay, are compacted
// and limited, and controllers are killed. It checks that no server gets a request after the grace of its drain.
type Controller struct {
	Program  string // the controller's
	Node     string // the node's program
	Drains   int
	Pace     int // drains a second
	Servers  int
	Replicas int
	Nodes    int
	Rate     int // requests a second to each node
	Seed     int64
	Faults   bool
	Keys     bool          // mutual TLS between nodes and controllers
	Slack    time.Duration // beyond the grace, where the verdict must not depend on a machine that stalls

	Counts map[string]int
	Broken []string
	Kept   string // the folder with the programs' logs; empty unless anything was broken
	// Last has the times from a drain to the last request after it, in microseconds. Servers that got none are not in
	// it.
	Last  *hdrhistogram.Histogram
	Calls int // requests that reached servers

	dir      string
	begin    time.Time
	port     int // of all servers
	api      *apiserver.Server
	cluster  *apiserver.Cluster
	replicas []*replica
	apiWrite sync.Mutex  // held while the cluster manager writes to its API
	restore  atomic.Bool // the next drain restores the API's backup before it

	mu           sync.Mutex // guards the results and what follows
	drainedAt    map[string]time.Time
	lastRequest  map[string]time.Time // by a server's address
	recentFaults string               // the last one first
	lastFaultAt  time.Time
}

const (
	// maxRecentFaults is how many bytes of the earlier faults are reported beside the last one.
	maxRecentFaults = 150
	// Of each emptyInterval drains, a machine is emptied at one and gets pods again at a later one.
	emptyInterval = 150
	emptyAt       = 75
	refillAt      = 105
	// The time between the start of the load and the first drain, and between the last one and the load's end.
	loadLeadTime = time.Second
	loadEndTime  = 2 * time.Second
	// restoreSettleTime is for how long after a restore servers that have ended stay in the API.
	restoreSettleTime = 50 * time.Millisecond
)

// Begin is when it began, which the times of what was found broken count from.
func (c *Controller) Begin() time.Time { return c.begin }

func (c *Controller) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counts[what]++
}

// countFault counts a fault, which is reported with the next drain that is found broken.
func (c *Controller) countFault(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counts[what]++
	c.lastFaultAt = time.Now()
	at := time.Since(c.begin).Seconds()
	c.recentFaults = fmt.Sprintf("%s at %.2f; %.*s", what, at, maxRecentFaults, c.recentFaults)
}

// reportBroken adds to what was found broken. The mutex is held.
func (c *Controller) reportBroken(format string, args ...any) {
	if len(c.Broken) < maxBroken {
		c.Broken = append(c.Broken, fmt.Sprintf(format, args...))
	}
}

// Play plays it.
func (c *Controller) Play(ctx context.Context) error {
	c.Counts, c.drainedAt, c.lastRequest = map[string]int{}, map[string]time.Time{}, map[string]time.Time{}
	c.begin = time.Now()
	c.Last = hdrhistogram.New(1, 100_000_000, 3)
	dir, err := os.MkdirTemp("", "controller")
	if err != nil {
		return err
	}
	c.dir = dir
	defer func() {
		if c.Kept == "" {
			os.RemoveAll(dir)
		}
	}()
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	c.port = listener.Addr().(*net.TCPAddr).Port
	go serveAll(listener, c.checkRequest)
	c.api, err = apiserver.Start("127.0.0.1:0", nil)
	if err != nil {
		return err
	}
	defer c.api.Stop()
	c.cluster = c.newCluster()
	c.cluster.Scale(c.Servers)
	defer c.killReplicas()
	if err := c.startReplicas(); err != nil {
		return err
	}
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer proxy.Close()
	go proxyToReplicas(proxy, c.replicas)
	for _, controller := range c.replicas {
		if err := controller.awaitReady(ctx); err != nil {
			return err
		}
	}
	nodes, err := c.startNodes(ctx, proxy.Addr().String())
	defer killAll(nodes)
	if err != nil {
		return err
	}
	c.run(ctx, nodes)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.keepLogs(nodes)
	c.recordLast()
	return nil
}

// run plays load, drains and faults.
func (c *Controller) run(ctx context.Context, nodes []*standin.Node) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	for i, n := range nodes {
		running.Go(func() { c.load(runCtx, n.Addr, i) })
	}
	time.Sleep(loadLeadTime)
	if c.Faults {
		running.Go(func() { c.playFaults(runCtx) })
	}
	c.playDrains(ctx)
	time.Sleep(loadEndTime)
	cancel()
	running.Wait()
}

// load sends requests to a node steadily.
func (c *Controller) load(ctx context.Context, addr string, node int) {
	callSteadily(ctx, c.Rate, func(id int) {
		text, connected := sendRequest(addr, "/find", node, id)
		switch {
		case !connected:
			c.count("not connected")
		case strings.HasPrefix(string(text), "HTTP/1.1 200"):
			c.count("ok")
		default:
			c.count("not ok")
		}
	})
}

// playDrains replaces one server after another.
func (c *Controller) playDrains(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(c.Pace))
	defer ticker.Stop()
	for n := 0; n < c.Drains && ctx.Err() == nil; n++ {
		<-ticker.C
		c.drain(n)
	}
}

// drain replaces one server, and at times empties a machine.
func (c *Controller) drain(n int) {
	c.apiWrite.Lock()
	defer c.apiWrite.Unlock()
	if c.restore.CompareAndSwap(true, false) {
		c.countFault("API restored from a backup")
		c.api.Restore()
		time.Sleep(restoreSettleTime)
		c.cluster.Repair()
	}
	machine := n / emptyInterval % machines
	switch {
	case c.Faults && n%emptyInterval == emptyAt:
		c.countFault("machines emptied")
		c.cluster.Cordon(machine, true, true)
	case c.Faults && n%emptyInterval == refillAt:
		c.cluster.Cordon(machine, false, false)
	}
	c.cluster.Roll()
}

// checkRequest notes the last request to each server, and checks that it does not come after the grace of a drain.
func (c *Controller) checkRequest(addr, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.Calls++
	c.lastRequest[addr] = now
	drainedAt, drained := c.drainedAt[addr]
	if drained && now.Sub(drainedAt) > drainGrace+c.Slack {
		c.reportBroken("%.3f s: %s got a request %v after its drain; %v before the drain: %s",
			now.Sub(c.begin).Seconds(), addr, now.Sub(drainedAt).Round(time.Millisecond),
			drainedAt.Sub(c.lastFaultAt).Round(time.Millisecond), c.recentFaults)
	}
}

// keepLogs keeps the programs' logs if anything was broken: they are all there is to find the cause by.
func (c *Controller) keepLogs(nodes []*standin.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Broken) == 0 {
		return
	}
	for _, n := range nodes {
		os.WriteFile(filepath.Join(c.dir, n.Name+".log"), []byte(n.Log()), 0o600)
	}
	c.Kept = c.dir
}

// recordLast records the times from the drains to the last requests after them.
func (c *Controller) recordLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, drainedAt := range c.drainedAt {
		last, requested := c.lastRequest[addr]
		if requested && !last.Before(drainedAt) {
			c.Last.RecordValue(last.Sub(drainedAt).Microseconds())
		}
	}
	c.Counts["drains"] = len(c.drainedAt)
}
