package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/shim"
	"robincart/internal/lab/standin"
	"robincart/internal/system/telemetry"
)

// nodeShim is one node's shim and the plan that it follows now.
type nodeShim struct {
	planFile, journal string

	mu   sync.Mutex
	plan shim.Plan
}

// wrap has a node run under a shim, if a fault of the experiment is made by one there.
func (f *Fleet) wrap(n *standin.Node, number int) error {
	s := &nodeShim{planFile: filepath.Join(f.dir, n.Name+".shim.json"), journal: filepath.Join(f.dir, n.Name+".shim.log")}
	s.plan.Seed = f.e.Seed + uint64(number)
	met := false
	for _, x := range f.e.Fault {
		on, err := experiment.ParseFaultTarget(x.Target)
		if err != nil || !x.UsesShim() || !slices.Contains(f.nodesOfFleet(on), number) {
			continue
		}
		met = true
		switch {
		case x.Kind != "clock":
			s.plan.Calls = append(s.plan.Calls, x.Call)
		case x.At == 0: // from the process's first moment on
			s.plan.ClockStep = x.By.Std()
		}
	}
	f.shims = append(f.shims, nil)
	if !met {
		return nil
	}
	f.shims[number] = s
	lab, err := FindProgram(filepath.Join(filepath.Dir(f.e.Fleet.Program), "robinlab"))
	if err != nil {
		return fmt.Errorf("the shim is a command of robinlab: %w", err)
	}
	n.Wrap = []string{lab, "shim", "--plan", s.planFile, "--journal", s.journal}
	return s.plan.Write(s.planFile)
}

// nodesOfFleet is nodesOn for a fleet whose nodes are still being made.
func (f *Fleet) nodesOfFleet(s experiment.FaultTarget) []int {
	if s.Index >= 0 {
		return []int{s.Index}
	}
	return f.partOfNodes(s.Share, f.e.Fleet.Nodes)
}

// change changes the plan and has the shim read it.
func (s *nodeShim) change(n *standin.Node, how func(*shim.Plan)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	how(&s.plan)
	if err := s.plan.Write(s.planFile); err != nil {
		return err
	}
	if !n.Ready() {
		return nil // it reads the plan at its start, or soon after: told before it listens to signals, the shim would end
	}
	if err := n.Signal(syscall.SIGUSR2); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// shimmed is the life of a fault that a node's shim makes.
func (f *Fleet) shimmed(ctx context.Context, x experiment.Fault, number int) {
	s, n := f.shims[number], f.nodes[number]
	injection := x.Injection(f.folder(x.Folder, n))
	begin := func(p *shim.Plan) { p.Injections = append(p.Injections, injection) }
	end := func(p *shim.Plan) {
		if i := slices.IndexFunc(p.Injections, func(i shim.Injection) bool { return same(i, injection) }); i >= 0 {
			p.Injections = slices.Delete(p.Injections, i, i+1)
		}
	}
	if x.Kind == "clock" {
		begin = func(p *shim.Plan) { p.ClockStep = x.By.Std() }
		end = func(p *shim.Plan) { p.ClockStep = 0 }
	}
	if err := s.change(n, begin); err != nil {
		f.crash(fmt.Errorf("a shim: %w", err))
	}
	sleep(ctx, time.Duration(x.For))
	if err := s.change(n, end); err != nil {
		f.crash(fmt.Errorf("a shim: %w", err))
	}
}

// folder is the path of one of a node's folders.
func (f *Fleet) folder(which string, n *standin.Node) string {
	path := n.Dir
	if which == experiment.StateFolder {
		path = f.stateFolder(n)
	}
	if whole, err := filepath.Abs(path); err == nil {
		return whole
	}
	return path
}

func same(a, b shim.Injection) bool {
	return a.Call == b.Call && a.Folder == b.Folder && a.Short == b.Short && a.Delay == b.Delay && a.Share == b.Share && slices.Equal(a.Errors, b.Errors)
}

// injected counts what the shims have done.
func (f *Fleet) injected() (n int) {
	for _, s := range f.shims {
		if s == nil {
			continue
		}
		text, err := os.ReadFile(s.journal)
		if err == nil {
			n += strings.Count(string(text), "\n")
		}
	}
	return n
}

// proxied puts a proxy before a server that has none yet, where faults are made by one, and has discovery tell its address.
func (f *Fleet) proxied(p *place) error {
	if !slices.ContainsFunc(f.e.Fault, experiment.Fault.UsesProxy) {
		return nil
	}
	if p.proxy == nil {
		proxy, err := standin.NewProxy(f.e.Fleet.Host+":0", func() string { return p.now().Addr() })
		if err != nil {
			return fmt.Errorf("a proxy: %w", err)
		}
		p.proxy = proxy
	}
	p.mu.Lock()
	p.member.Addr = p.proxy.Addr()
	p.mu.Unlock()
	return nil
}

// network is the life of a fault that proxies make.
func (f *Fleet) network(ctx context.Context, x experiment.Fault, places []*place) {
	for _, p := range places {
		switch x.Kind {
		case "cut":
			p.proxy.Cut()
		case "mute":
			p.proxy.Mute(true)
		case "trickle":
			p.proxy.Trickle(x.By.Std())
		}
	}
	sleep(ctx, time.Duration(x.For))
	for _, p := range places {
		switch x.Kind {
		case "mute":
			p.proxy.Mute(false)
		case "trickle":
			p.proxy.Trickle(0)
		}
	}
}

// rudely has rude clients at a node for a while.
func (f *Fleet) rudely(ctx context.Context, x experiment.Fault, number int) {
	method := slices.IndexFunc(f.e.Method, func(m experiment.Method) bool { return m.Idempotency() == judge.Idempotent })
	if method < 0 {
		return
	}
	m, d := f.e.Method[method], f.dests[number]
	r := &standin.MisbehavingClients{Begin: f.begin, Dest: d, Log: f.log, Method: uint16(method), Name: m.Name, Host: f.e.Host(m.Service), Tenant: f.e.Tenant[0].Name,
		Calls: &f.rude, Excused: func(since time.Duration) bool { return f.Front.Excused(d, since) }, Lasting: time.Second}
	within, cancel := context.WithTimeout(ctx, time.Duration(x.For))
	defer cancel()
	r.Run(within)
}

// violations are the broken invariants that the nodes themselves have logged, by rule, with an example of each.
func (f *Fleet) violations() (counts map[string]int, examples []string) {
	counts = map[string]int{}
	for _, n := range f.nodes {
		for line := range strings.SplitSeq(n.Log(), "\n") {
			var said struct {
				Msg     string `json:"msg"`
				Rule    string `json:"rule"`
				Request string `json:"request"`
				Server  string `json:"server"`
				Detail  string `json:"detail"`
				Node    string `json:"node"`
			}
			if !strings.Contains(line, telemetry.ViolationMessage) || json.Unmarshal([]byte(line), &said) != nil || said.Msg != telemetry.ViolationMessage {
				continue
			}
			if counts[said.Rule]++; counts[said.Rule] <= 3 {
				examples = append(examples, fmt.Sprintf("node %s: %s: request %s, server %s: %s", said.Node, said.Rule, said.Request, said.Server, said.Detail))
			}
		}
	}
	return counts, examples
}
