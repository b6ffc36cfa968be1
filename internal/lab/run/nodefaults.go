package run

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

const (
	// defaultReconfigureInterval is the time between two configurations, where a fault does not say.
	defaultReconfigureInterval = 200 * time.Millisecond
	// movedCloseDelay is how long a discovery that has moved leaves its connections open.
	movedCloseDelay = 1500 * time.Millisecond
	// signalInterval is the time between the signals that a node gets while it shuts down.
	signalInterval = 150 * time.Millisecond
	// pauseCycle is after how many times the length of a pause the next one begins.
	pauseCycle = 6
	// misbehavingSlack is how long misbehaving clients wait past their deadlines, to see late responses.
	misbehavingSlack = time.Second
)

// playNodeFault makes a fault of a node.
func (f *fleet) playNodeFault(ctx context.Context, fault experiment.Fault, number int) {
	n, lasts := f.nodes[number], fault.For.Std()
	switch fault.Kind {
	case experiment.FaultErrno, experiment.FaultShort, experiment.FaultStall, experiment.FaultClock:
		f.playShimFault(ctx, fault, number)
	case experiment.FaultMisbehaving:
		f.runMisbehavingClients(ctx, lasts, number)
	case experiment.FaultReconfigure:
		f.reconfigure(ctx, fault, number)
	case experiment.FaultBan:
		f.banServers(ctx, fault, number)
	case experiment.FaultReplace:
		f.replaceNode(ctx, n)
	case experiment.FaultPause:
		pauseNode(ctx, n, lasts, fault.By.Std())
	case experiment.FaultReload:
		f.reloadNode(n)
	case experiment.FaultKill, experiment.FaultStop, experiment.FaultSignals:
		f.endNode(ctx, fault, number)
	}
}

// endNode ends a node's process and starts the node again. Where another fault has ended the process and not started it
// again yet, endNode does nothing.
func (f *fleet) endNode(ctx context.Context, fault experiment.Fault, number int) {
	if !f.ending[number].TryLock() {
		return
	}
	defer f.ending[number].Unlock()
	n, id := f.nodes[number], f.destinations[number].ID
	switch fault.Kind {
	case experiment.FaultKill:
		f.balancer.Killed(id)
		n.Signal(syscall.SIGKILL)
	case experiment.FaultStop:
		f.balancer.Leaving(id)
		n.End(f.killDelay())
	case experiment.FaultSignals:
		f.balancer.Leaving(id)
		f.sendSignals(ctx, n)
	}
	f.restartAfter(ctx, fault.For.Std(), number)
}

// sendSignals has a node read its configuration and shut down at the same time. Further signals come during the
// shutdown.
func (f *fleet) sendSignals(ctx context.Context, n *standin.Node) {
	f.reloadNode(n)
	var sending sync.WaitGroup
	sending.Go(func() {
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			if sleep(ctx, signalInterval) {
				n.Signal(signal)
			}
		}
	})
	n.End(f.killDelay())
	sending.Wait()
}

// restartAfter starts a node again that was stopped, and has clients send to it.
func (f *fleet) restartAfter(ctx context.Context, down time.Duration, number int) {
	if !sleep(ctx, down) {
		return
	}
	if f.restartNode(ctx, f.nodes[number]) {
		f.balancer.Back(f.destinations[number].ID)
	}
}

// reloadNode has a node read its configuration again.
func (f *fleet) reloadNode(n *standin.Node) {
	if !n.MayReload() {
		return
	}
	if err := n.Write(); err != nil {
		f.crash(err)
	}
	n.Signal(syscall.SIGHUP)
}

// replaceNode has a successor take a node's listener over under load.
func (f *fleet) replaceNode(ctx context.Context, n *standin.Node) {
	n.SetKnownServers(f.firstDiscovery().LastKnown())
	if err := n.Replace(ctx); err != nil && ctx.Err() == nil {
		f.crash(err)
	}
}

// reconfigure gives a node several configurations in a row: each moves discovery, and each other one changes the
// settings.
func (f *fleet) reconfigure(ctx context.Context, fault experiment.Fault, number int) {
	n := f.nodes[number]
	interval := fault.By.Std()
	if interval <= 0 {
		interval = defaultReconfigureInterval
	}
	end := time.Now().Add(fault.For.Std())
	for i := 0; ctx.Err() == nil && (i == 0 || time.Now().Before(end)); i++ {
		if n.MayReload() {
			if err := f.applyConfiguration(number, i%2 == 0); err != nil {
				f.crash(err)
				return
			}
		}
		sleep(ctx, interval)
	}
}

// applyConfiguration moves a node's discovery to another address and, if the settings are to change, adds a method and
// takes an attempt away.
func (f *fleet) applyConfiguration(number int, changeSettings bool) error {
	n, id := f.nodes[number], f.destinations[number].ID
	config := f.experiment.Fleet
	listener, err := f.firstDiscovery().Listen(id, config.Host+":0")
	if err != nil {
		return err
	}
	s := f.nodeSettings(0, config.Zones[number%len(config.Zones)])
	if changeSettings {
		s.Classes = append(s.Classes, classSettings{
			Name:       "further",
			AimMs:      500,
			DeadlineMs: 1000,
			Credit:     1,
			Repeat:     repeatSettings[judge.NonIdempotent],
			DedupScope: "all",
		})
		s.Limits.MaxAttempts = max(1, config.MaxAttempts-1)
	}
	n.Configure(func(config map[string]any) {
		config["discovery"] = listener.Addr()
		config["settings"] = s
	})
	if err := n.Write(); err != nil {
		return err
	}
	n.Signal(syscall.SIGHUP)
	f.mu.Lock()
	moved := f.listeners[id]
	f.listeners[id] = []*standin.DiscoveryListener{listener}
	f.mu.Unlock()
	listener.NotifiedAfterReload()
	for _, listener := range moved {
		listener.Close(movedCloseDelay)
	}
	return nil
}

// pauseNode stops a node's process again and again, each time for a while.
func pauseNode(ctx context.Context, n *standin.Node, lasts, pause time.Duration) {
	defer n.Signal(syscall.SIGCONT)
	end := time.Now().Add(lasts)
	for ctx.Err() == nil && time.Now().Before(end) {
		err := n.Signal(syscall.SIGSTOP)
		if err != nil && !errors.Is(err, os.ErrProcessDone) {
			return
		}
		time.Sleep(pause)
		n.Signal(syscall.SIGCONT)
		sleep(ctx, (pauseCycle-1)*pause)
	}
}

// runMisbehavingClients has clients misbehave at a node for a while. They send requests of an idempotent method, if
// there is one.
func (f *fleet) runMisbehavingClients(ctx context.Context, lasts time.Duration, number int) {
	e, destination := f.experiment, f.destinations[number]
	i := slices.IndexFunc(e.Methods, func(m experiment.Method) bool { return m.Idempotency() == judge.Idempotent })
	if i < 0 {
		return
	}
	method := e.Methods[i]
	clients := &standin.MisbehavingClients{
		Begin:   f.start,
		Dest:    destination,
		Log:     f.ledger,
		Method:  uint16(i),
		Name:    method.Name,
		Host:    e.Host(method.Service),
		Tenant:  e.Tenants[0].Name,
		Calls:   &f.misbehavingCalls,
		Excused: func(since time.Duration) bool { return f.balancer.Excused(destination, since) },
		Slack:   misbehavingSlack,
	}
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	clients.Run(ctx)
}
