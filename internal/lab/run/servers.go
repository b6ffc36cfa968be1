package run

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

// The phases of servers, as discovery publishes them.
const (
	phaseReady    = "ready"
	phaseDraining = "draining"
	phaseGone     = "gone"
)

const (
	// serverFlavor is the one flavor that the lab's servers have.
	serverFlavor = "lab"
	// serversPerCell is how many servers make a cell.
	serversPerCell = 8
	// maxAddressAttempts is how many addresses are tried that another process of this machine may take first.
	maxAddressAttempts = 20
	// maxLaunchAttempts is how often a server is started again at its address, which may take a moment to be free.
	maxLaunchAttempts = 100
	launchInterval    = 20 * time.Millisecond
	// innerSlack is how long servers wait past the deadlines of their calls, to see late responses.
	innerSlack = 50 * time.Millisecond
)

// serverSlot is one server's position in the fleet. The process in it may be replaced.
type serverSlot struct {
	tier          int
	zone          string
	kind          standin.ServerConfig
	nextTierCalls int

	mu          sync.Mutex
	member      standin.Member
	server      *standin.Server
	node        *standin.Node        // the server's own, to call the tier behind; nil: none
	innerClient *standin.InnerClient // of that node
	stops       []time.Duration      // when faults stopped the server with its node
	proxy       *standin.Proxy       // between nodes and the server; nil: none
	down        bool                 // it was stopped and not started again
}

// newServerSlot returns the slot of a tier's server. Its speed is drawn.
func newServerSlot(number, i int, tier experiment.Tier, zone string, random *rand.Rand) *serverSlot {
	slowest, fastest := tier.Speed[0], tier.Speed[1]
	return &serverSlot{
		tier:          number,
		zone:          zone,
		nextTierCalls: tier.NextTierCalls,
		kind: standin.ServerConfig{
			Cores:             tier.Cores,
			Speed:             (slowest + random.Float64()*(fastest-slowest)) / tier.WorkShare,
			Queue:             tier.Queue,
			Conns:             tier.MaxConns,
			Idle:              tier.Idle.Std(),
			PerConn:           tier.MaxRequestsPerConn,
			SlowStartFraction: tier.WarmUpSpeed,
			SlowStartDuration: tier.WarmUpTime.Std(),
			OverloadMultiple:  tier.OverloadMultiple,
			OverloadWindow:    tier.OverloadWindow.Std(),
			Cancels:           tier.DropsCanceled,
		},
		member: standin.Member{
			ID:     fmt.Sprintf("s%d-%d", number, i),
			Zone:   zone,
			Flavor: serverFlavor,
			Cell:   i / serversPerCell,
			Phase:  phaseReady,
			Size:   1,
		},
	}
}

// current is the server that is in the slot now.
func (s *serverSlot) current() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

// noteStop notes that a fault stops the server with its node, under the slot's lock.
func (s *serverSlot) noteStop(at time.Duration) { s.stops = append(s.stops, at) }

// stoppedSince returns whether a fault stopped the server with its node since a moment.
func (s *serverSlot) stoppedSince(since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.stops, func(at time.Duration) bool { return at >= since })
}

// stop stops the server and what belongs to it, but for its node.
func (s *serverSlot) stop() {
	if s.proxy != nil {
		s.proxy.Close()
	}
	if s.server != nil {
		s.server.Stop()
	}
	if s.innerClient != nil {
		s.innerClient.Close()
	}
}

// launch starts a new server process in a slot. upSince is when it started, for discovery; 0: long ago, with the server
// warmed up.
func (f *fleet) launch(s *serverSlot, addr string, upSince int64) error {
	server := &standin.Server{
		ServerConfig:    s.kind,
		Index:           f.nextServer.Add(1) - 1,
		IdempotencyKeys: f.idempotencyKeys[s.tier],
		Log:             f.ledger,
		Begin:           f.start,
		Calls:           s.nextTierCalls,
		ServeUnknown:    f.experiment.Fleet.Listen != "",
	}
	if s.innerClient != nil {
		server.Behind = s.innerClient.Call
	}
	if upSince > 0 {
		server.Cold()
	}
	if s.proxy != nil {
		addr = f.experiment.Fleet.Host + ":0" // the proxy keeps the address
	}
	if err := f.listen(server, addr); err != nil {
		return fmt.Errorf("a server: %w", err)
	}
	s.mu.Lock()
	s.server = server
	s.member.Addr, s.member.Index, s.member.UpSince = server.Addr(), server.Index, upSince
	s.mu.Unlock()
	return f.addProxy(s)
}

// listen starts a server at an address or, where that names no port, at one that no connection takes: a server that
// refuses connections for a while needs its own back.
func (f *fleet) listen(server *standin.Server, addr string) error {
	if !strings.HasSuffix(addr, ":0") {
		return server.Start(addr)
	}
	var err error
	for range maxAddressAttempts {
		free, findErr := standin.FreeAddress(f.experiment.Fleet.Host)
		if findErr != nil {
			return findErr
		}
		err = server.Start(free)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

// attachNode gives a server a node of its own, through which it calls the tier behind.
func (f *fleet) attachNode(s *serverSlot) error {
	number := f.nextNode
	n, err := f.newNode(s.tier+1, s.zone)
	if err != nil {
		return err
	}
	s.node = n
	methods, idempotencies := map[string]uint16{}, []judge.Idempotency{}
	for i, m := range f.experiment.Methods {
		methods[m.Name] = uint16(i)
		idempotencies = append(idempotencies, m.Idempotency())
	}
	s.innerClient = &standin.InnerClient{
		Node:    number,
		Addr:    n.Addr,
		Log:     f.ledger,
		Begin:   f.start,
		Methods: methods,
		Repeats: idempotencies,
		Number:  &f.innerCalls,
		Slack:   innerSlack,
		Excused: s.stoppedSince,
	}
	return nil
}

// publishPhase has discovery publish a server's phase.
func (f *fleet) publishPhase(s *serverSlot, phase string) {
	s.mu.Lock()
	s.member.Phase = phase
	member := s.member
	s.mu.Unlock()
	f.discoveries[s.tier].Update(member)
}

// stopServer kills a server's process and its node. It returns false if another fault has done so, which starts it
// again.
func (f *fleet) stopServer(s *serverSlot) bool {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return false
	}
	s.down = true
	s.noteStop(time.Since(f.start))
	server, node := s.server, s.node
	s.mu.Unlock()
	server.Stop()
	if node != nil {
		node.Signal(syscall.SIGKILL)
		s.innerClient.Close()
	}
	return true
}

// startServer starts a new process in the slot of a server that was stopped, in slow start, and has discovery publish
// it.
func (f *fleet) startServer(ctx context.Context, s *serverSlot, newID bool) {
	defer func() {
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
	}()
	if newID {
		f.publishPhase(s, phaseGone)
		s.mu.Lock()
		s.member.ID = fmt.Sprintf("s%d-n%d", s.tier, f.nextServer.Load())
		s.mu.Unlock()
	}
	addr := s.member.Addr
	if s.node != nil {
		if err := s.node.Start(ctx); err != nil && ctx.Err() == nil {
			f.crash(err)
		}
		s.mu.Lock()
		s.noteStop(time.Since(f.start))
		s.mu.Unlock()
	}
	if err := f.relaunch(ctx, s, addr); err != nil {
		f.crash(err)
		return
	}
	f.publishPhase(s, phaseReady)
}

// relaunch starts a new server process in a slot as soon as its address is free.
func (f *fleet) relaunch(ctx context.Context, s *serverSlot, addr string) error {
	var err error
	for range maxLaunchAttempts {
		err = f.launch(s, addr, time.Now().UnixMilli())
		if err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, launchInterval)
	}
	return err
}
