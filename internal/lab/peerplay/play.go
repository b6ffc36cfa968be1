package peerplay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"robincart/internal/lab/peers"
	"robincart/internal/lab/standin"
)

const (
	// safeMethod may run more than once, onceMethod may not.
	safeMethod = "find-table"
	onceMethod = "book-table"
	servers    = 4

	// playTime is how long clients come; eventTime is when the event happens.
	playTime  = 7 * time.Second
	eventTime = 2 * time.Second
	// clientTime is how long clients wait.
	clientTime = 2500 * time.Millisecond
	// readLimit is how long after its last byte a request's response is read.
	readLimit = 10 * time.Second
	// retryPause is how long a client waits before its next request.
	retryPause = 50 * time.Millisecond
	// killDelay is how long after SIGTERM a node may be killed at the earliest: the longest deadline and 0.7 s.
	killDelay = clientTime + 700*time.Millisecond
	// memoryInterval is the time between two looks at the node's memory.
	memoryInterval = 20 * time.Millisecond
	// killInterval is the time from a process's start to its kill, where it is killed again.
	killInterval   = 1500 * time.Millisecond
	reloads        = 4
	reloadInterval = 300 * time.Millisecond
	// pipelined is how many requests a client sends at once before it leaves.
	pipelined  = 10
	maxStay    = 300 * time.Millisecond
	shortBody  = 200
	maxWork    = 60 * time.Millisecond
	shortLanes = 4
	otherLanes = 3
)

const settingsForm = `{"Classes":[
 {"Name":"find-table","AimMs":2500,"DeadlineMs":2500,"Credit":1,"Repeat":"repeatable"},
 {"Name":"book-table","AimMs":2500,"DeadlineMs":2500,"Credit":10,"Repeat":"once"}],
 "Zones":["a"],"Instances":1,"RegistryMode":"subscribe","Rules":{"MustAskInMs":10000},
 "Limits":{"MaxAttempts":4,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterMs":2000,"SecondCopies":%v,
 "ConnectTimeoutMs":250,"ConnIdleMs":30000}}`

// Options are what a play needs besides its plan.
type Options struct {
	Program string // of the node
	Dir     string // for its configuration and log
	// StrainProgram is a program that calls peers.RunStrainProcess, for plans with strains.
	StrainProgram string
}

// play is a play under way.
type play struct {
	plan      Plan
	node      *standin.Node
	discovery *standin.Discovery
	members   []standin.Member
	stop      chan struct{}

	strainEnds []func()

	mu      sync.Mutex
	servers []*peers.Server
	records Records
}

// Play plays a plan, and returns what was seen.
func Play(ctx context.Context, plan Plan, options Options) (*Records, error) {
	p := &play{plan: plan, discovery: standin.NewDiscovery(nil, time.Now()), stop: make(chan struct{})}
	defer p.discovery.Stop()
	defer p.stopServers()
	if err := p.start(ctx, options); err != nil {
		return nil, err
	}
	defer p.node.Kill()
	p.records.MemoryLimit = int64(plan.MemoryMB) << 20
	if err := p.startStrains(options); err != nil {
		return nil, err
	}
	defer p.endStrains()
	var running sync.WaitGroup
	p.startClients(&running)
	running.Go(p.watchMemory)
	eventErr := make(chan error, 1)
	go func() { eventErr <- p.playEvent(ctx) }()
	time.Sleep(playTime)
	p.endStrains()
	close(p.stop)
	running.Wait()
	if err := <-eventErr; err != nil {
		return nil, err
	}
	p.collect()
	return &p.records, nil
}

// start starts the servers and the node.
func (p *play) start(ctx context.Context, options Options) error {
	for i := range servers {
		server, err := peers.StartServer("127.0.0.1:0")
		if err != nil {
			return err
		}
		p.servers = append(p.servers, server)
		p.members = append(p.members, member(fmt.Sprint("s", i), server.Addr(), "ready"))
	}
	p.discovery.Update(p.members...)
	announced, err := p.discovery.Listen(0, "127.0.0.1:0")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	p.node = &standin.Node{
		Name: "n0", Addr: listener.Addr().String(), Program: options.Program, Dir: options.Dir, Admin: true,
		Env: []string{"TMPDIR=" + options.Dir},
		Config: map[string]any{
			"discovery": announced.Addr(), "seed": fmt.Sprintf("%016x", p.plan.Seed),
			"limits":   map[string]any{"cores": 1, "memory_mb": p.plan.MemoryMB, "sockets": p.plan.Sockets},
			"known":    map[string]any{"revision": 1, "complete": true, "members": p.members},
			"settings": json.RawMessage(fmt.Sprintf(settingsForm, p.plan.Hedging)),
		},
	}
	p.node.Listener, err = listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	return p.node.Start(ctx)
}

func member(id, addr, phase string) standin.Member {
	return standin.Member{ID: id, Addr: addr, Zone: "a", Flavor: "m", Phase: phase, Size: 1}
}

func (p *play) stopServers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.servers {
		server.Stop()
	}
	if p.node != nil && p.node.Listener != nil {
		p.node.Listener.Close()
	}
}

// startClients starts the crowds, and the clients whose requests are judged.
func (p *play) startClients(running *sync.WaitGroup) {
	for _, crowd := range p.plan.Crowds {
		p.repeat(running, crowd.Clients, func(*rand.Rand) { p.send(crowd.Request, "") })
	}
	p.repeat(running, shortLanes, func(r *rand.Rand) {
		method := []string{safeMethod, onceMethod}[r.IntN(2)]
		behavior := peers.Behavior{Size: shortBody, HeadDelay: time.Duration(r.Int64N(int64(maxWork)))}
		request := peers.Request{Method: method, Behavior: behavior}
		if method == onceMethod {
			request.Verb = "POST"
		}
		p.send(request, ShortRequest)
	})
	p.repeat(running, otherLanes, func(r *rand.Rand) { p.send(drawLongAnswer(r), LongAnswer) })
	p.repeat(running, otherLanes, func(r *rand.Rand) { p.send(drawLargeRequest(r), LargeRequest) })
	p.repeat(running, 1, p.pipelineAndReturn)
	if p.plan.Flood != "" {
		running.Go(func() { peers.Flood(p.plan.Flood, p.address(peers.Request{Method: safeMethod}), p.stop) })
	}
}

// repeat has clients do something again and again until the play ends.
func (p *play) repeat(running *sync.WaitGroup, clients int, do func(*rand.Rand)) {
	for i := range clients {
		r := rand.New(rand.NewPCG(p.plan.Seed, uint64(i)))
		running.Go(func() {
			for {
				select {
				case <-p.stop:
					return
				default:
				}
				do(r)
				time.Sleep(retryPause)
			}
		})
	}
}

func (p *play) address(request peers.Request) peers.Request {
	request.Addr, request.TimeLeft = p.node.Addr, clientTime
	return request
}

// send sends a request and records it, if its kind is one that is judged.
func (p *play) send(request peers.Request, kind RequestKind) {
	began := time.Now()
	limit := readLimit
	if kind == "" {
		limit = clientTime
	}
	response := p.do(request, limit)
	if kind == "" || response.Sent.IsZero() {
		return // not judged, or there was no connection
	}
	p.record(Request{
		ID: response.RequestID, Kind: kind, Repeats: request.Method == safeMethod, Began: began, TimeLeft: clientTime,
		Size: request.Behavior.Size, Response: response,
	})
}

// do sends a request, on another connection if the node has closed the first one before anything was written.
func (p *play) do(request peers.Request, limit time.Duration) peers.Response {
	for {
		response := peers.Do(p.address(request), limit)
		if !errors.Is(response.Err, peers.ErrClosedUnused) {
			return response
		}
	}
}

func (p *play) record(request Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records.Requests = append(p.records.Requests, request)
}

// pipelineAndReturn sends requests at once, leaves, and comes again under one of their IDs.
func (p *play) pipelineAndReturn(r *rand.Rand) {
	request := p.address(peers.Request{
		Method: onceMethod, Verb: "POST",
		Behavior: peers.Behavior{Size: shortBody, HeadDelay: time.Duration(r.Int64N(int64(maxWork)))},
	})
	stay := time.Duration(r.Int64N(int64(maxStay)))
	ids, left := peers.PipelineAndLeave(request, pipelined, stay, r.IntN(2) == 0)
	if len(ids) == 0 {
		return
	}
	time.Sleep(2 * maxLateAttempt)
	returned := ids[r.IntN(len(ids))]
	backAt := time.Time{}
	if p.hasRun(returned) {
		backAt = time.Now()
		request.ID = returned
		peers.Do(request, clientTime)
	}
	for _, id := range ids {
		gone := Request{ID: id, Kind: LeftRequest, LeftAt: left}
		if id == returned {
			gone.BackAt = backAt
		}
		p.record(gone)
	}
}

// hasRun returns whether a server has read a request to its end.
func (p *play) hasRun(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.servers {
		for _, attempt := range server.Attempts() {
			if attempt.RequestID == id && !attempt.Complete.IsZero() {
				return true
			}
		}
	}
	return false
}

// watchMemory looks at the node's memory until the play ends. While two processes serve, both count.
func (p *play) watchMemory() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(memoryInterval):
		}
		pid := p.node.Pid()
		kernel, err := standin.ReadSocketMemory(pid, p.node.Addr)
		if err != nil {
			kernel.Received = standin.ReadSocketQueues(pid)
		}
		memory := standin.ReadProcessUsage(pid).Resident + kernel.Total()
		p.mu.Lock()
		p.records.MostMemory = max(p.records.MostMemory, memory)
		p.mu.Unlock()
	}
}

// playEvent makes the plan's event happen.
func (p *play) playEvent(ctx context.Context) error {
	time.Sleep(eventTime)
	switch p.plan.Event {
	case KillNode:
		for range p.plan.Kills {
			if err := p.restart(ctx, func() { p.node.Kill() }); err != nil {
				return err
			}
			time.Sleep(killInterval)
		}
	case StopNode:
		p.node.Signal(syscall.SIGHUP)
		return p.restart(ctx, func() { p.node.End(killDelay) })
	case ReplaceNode:
		if err := p.node.Replace(ctx); err != nil {
			return err
		}
		return p.pinNode()
	case ReloadNode:
		for range reloads {
			p.node.Signal(syscall.SIGHUP)
			time.Sleep(reloadInterval)
		}
	case LoseServer:
		return p.loseServer()
	}
	return nil
}

// restart ends the node's process and starts another one.
func (p *play) restart(ctx context.Context, end func()) error {
	outage := Outage{From: time.Now(), Killed: p.plan.Event == KillNode}
	end()
	err := errors.Join(p.node.Start(ctx), p.pinNode())
	outage.To = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records.Outages = append(p.records.Outages, outage)
	return err
}

// loseServer has a server go, and another process take its address.
func (p *play) loseServer() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.members[0]
	p.servers[0].Stop()
	lost.Phase = "gone"
	p.discovery.Update(lost)
	successor, err := peers.StartServer(lost.Addr)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, successor)
	return nil
}

// collect completes the records after the play.
func (p *play) collect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.servers {
		p.records.Attempts = append(p.records.Attempts, server.Attempts()...)
	}
	p.records.Crash = p.node.Crashed()
	for line := range strings.SplitSeq(p.node.Log(), "\n") {
		if strings.Contains(line, "an invariant is broken") {
			p.records.Invariants = append(p.records.Invariants, line)
		}
	}
}
