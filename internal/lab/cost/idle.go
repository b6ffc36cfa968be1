package cost

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	openingLanes      = 16      // idle connections that are opened at once
	usingLanes        = 32      // open ones that are used at once
	firstIdleNumber   = 1 << 21 // of the clients
	idleSources       = 8       // addresses of the clients: one has ports for some 28,000 connections
	openingTimeout    = 60 * time.Second
	openingSettleTime = 3 * time.Second // goroutines that served the opening end, and the collector runs
	timeoutSlack      = 3 * time.Second // after the idle timeout, before what is still open is counted
	shutdownTimeout   = 20 * time.Second
	dripInterval      = time.Second
	probeTimeout      = 5 * time.Millisecond
)

// IdleConnections measures a node with many idle connections, and a steady load beside them. A tenth of the
// connections then wake at once, half of them with a body that arrives in drips; last, the node's idle timeout ends
// all that are left within a second.
type IdleConnections struct {
	RigConfig
	Count         int           // of the connections
	Rate          int           // calls a second of the steady load
	PhaseDuration time.Duration // of each phase
	IdleTimeout   time.Duration // of the node; 0: the phase of the timeouts is left out
}

// IdleResult is what an IdleConnections has measured.
type IdleResult struct {
	BytesPerConnection   float64 // of the node's memory
	KernelBytesPerSocket float64 // of the kernel's, for each of a connection's two ends
	PeakBytes            int64
	Phases               []Phase // of the steady load, the first without idle connections
	Wave                 WaveResult
	OpenAfterTimeout     int           // connections still open 3 s after the idle timeout
	ShutdownTime         time.Duration // from SIGTERM to the process's end, with all that is connected
}

// WaveResult is what became of the calls on the connections that woke at once.
type WaveResult struct {
	OK, Rejected int
	Other        int // dripping ones included
}

// Measure runs the measurement.
func (i *IdleConnections) Measure(ctx context.Context) (*IdleResult, error) {
	rig, err := newRig(ctx, i.RigConfig)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	m := &idleMeasurement{config: i, rig: rig, load: newSteadyLoad(rig.node.Addr, i.Rate)}
	defer m.load.close()
	defer m.closeAll()
	m.load.play("warm", i.PhaseDuration/2, nil)
	m.play("none idle", i.PhaseDuration, nil)
	if err := m.measureMemory(); err != nil {
		return nil, err
	}
	waking := m.idle[:i.Count/10]
	m.play("a tenth wakes", i.PhaseDuration, func() { m.wake(waking) })
	_, m.result.PeakBytes = rig.node.Usage()
	if i.IdleTimeout > 0 {
		m.awaitTimeout(m.idle[len(waking):])
	}
	if err := rig.node.Crashed(); err != nil {
		return nil, err
	}
	begin := time.Now()
	rig.node.End(shutdownTimeout)
	m.result.ShutdownTime = time.Since(begin)
	return &m.result, nil
}

// idleMeasurement is one run of an IdleConnections.
type idleMeasurement struct {
	config *IdleConnections
	rig    *rig
	load   *steadyLoad
	idle   []*client // nil where one could not be opened
	result IdleResult
}

// play adds a phase of the steady load.
func (i *idleMeasurement) play(name string, duration time.Duration, beside func()) {
	i.result.Phases = append(i.result.Phases, i.load.play(name, duration, beside))
}

// measureMemory opens the idle connections and measures what they hold.
func (i *idleMeasurement) measureMemory() error {
	count := i.config.Count
	nodeBefore, kernelBefore := readMemory(i.rig.node.Pid()).anonymous, readSlab()
	if failed := i.open(); failed > count/100 {
		return fmt.Errorf("%d of %d connections could not be opened and used", failed, count)
	}
	time.Sleep(openingSettleTime)
	i.play("idle", i.config.PhaseDuration, nil)
	nodeAfter, kernelAfter := readMemory(i.rig.node.Pid()).anonymous, readSlab()
	i.result.BytesPerConnection = float64(nodeAfter-nodeBefore) / float64(count)
	i.result.KernelBytesPerSocket = float64(kernelAfter-kernelBefore) / float64(2*count)
	return nil
}

// open opens the idle connections, makes a call on each, and returns how many failed.
func (i *idleMeasurement) open() int {
	i.idle = make([]*client, i.config.Count)
	var failed atomic.Int64
	eachInLanes(len(i.idle), openingLanes, func(number int) {
		source := fmt.Sprintf("127.0.%d.1", 2+number%idleSources)
		client, err := dial(i.rig.node.Addr, source, firstIdleNumber+number)
		if err != nil {
			failed.Add(1)
			return
		}
		client.SetDeadline(time.Now().Add(openingTimeout))
		if !isOK(client.call()) {
			failed.Add(1)
		}
		client.releaseBuffers()
		i.idle[number] = client
	})
	return int(failed.Load())
}

// wake makes a call on each of these connections at once. Every second one sends a body that never arrives in full.
func (i *idleMeasurement) wake(clients []*client) {
	var ok, rejected, other atomic.Int64
	var calling sync.WaitGroup
	for number, client := range clients {
		if client == nil {
			continue
		}
		calling.Go(func() {
			client.SetDeadline(time.Now().Add(i.config.PhaseDuration))
			call := client.call
			if number%2 == 1 {
				call = client.callDripping
			}
			status, err := call()
			switch {
			case isOK(status, err):
				ok.Add(1)
			case err == nil && status == http.StatusServiceUnavailable:
				rejected.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	calling.Wait()
	i.result.Wave = WaveResult{OK: int(ok.Load()), Rejected: int(rejected.Load()), Other: int(other.Load())}
}

// callDripping makes a call whose body arrives a byte a second until there is a response.
func (c *client) callDripping() (int, error) {
	c.traceID++
	fmt.Fprintf(c, "POST /find HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nX-Qos: find\r\nX-Expires-In-Ms: 5000\r\n"+
		"Content-Length: 65536\r\n\r\n", c.traceID)
	stop := make(chan struct{})
	var dripping sync.WaitGroup
	dripping.Go(func() { c.drip(stop) })
	status, err := c.readStatus()
	close(stop)
	dripping.Wait()
	return status, err
}

// drip writes a byte a second until it is stopped or the connection is closed.
func (c *client) drip(stop <-chan struct{}) {
	ticker := time.NewTicker(dripInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
	}
}

// awaitTimeout makes a call on each connection within a second, so that their idle timeouts end within one, and counts
// those that are open after that.
func (i *idleMeasurement) awaitTimeout(clients []*client) {
	eachClient(clients, func(c *client) {
		c.SetDeadline(time.Now().Add(steadyCallTimeout))
		c.call()
		c.releaseBuffers()
	})
	wait := i.config.IdleTimeout + timeoutSlack
	end := time.Now().Add(wait)
	i.play("every timer ends", wait, nil)
	time.Sleep(time.Until(end))
	var open atomic.Int64
	eachClient(clients, func(c *client) {
		if c.isOpen() {
			open.Add(1)
		}
	})
	i.result.OpenAfterTimeout = int(open.Load())
}

// isOpen reports whether the node has not closed the connection.
func (c *client) isOpen() bool {
	c.SetReadDeadline(time.Now().Add(probeTimeout))
	var b [1]byte
	_, err := c.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (i *idleMeasurement) closeAll() {
	for _, client := range i.idle {
		if client != nil {
			client.Close()
		}
	}
}

// eachClient calls a function for each client that could be opened, in several lanes.
func eachClient(clients []*client, use func(*client)) {
	eachInLanes(len(clients), usingLanes, func(i int) {
		if clients[i] != nil {
			use(clients[i])
		}
	})
}

// eachInLanes calls a function for 0 to count-1, in several goroutines, and waits for all of them.
func eachInLanes(count, lanes int, use func(i int)) {
	var running sync.WaitGroup
	for lane := range lanes {
		running.Go(func() {
			for i := lane; i < count; i += lanes {
				use(i)
			}
		})
	}
	running.Wait()
}
