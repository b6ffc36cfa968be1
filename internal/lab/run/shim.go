package run

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"syscall"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/shim"
	"robincart/internal/lab/standin"
)

// nodeShim is one node's shim, which makes system calls of its process fail, and the plan that it follows now.
type nodeShim struct {
	planFile, journal string

	mu   sync.Mutex
	plan shim.Plan
}

// addShim has a node run under a shim, if a fault of the experiment is made by one there.
func (f *fleet) addShim(n *standin.Node, number int) error {
	f.shims = append(f.shims, nil)
	s, needed := f.planShim(n, number)
	if !needed {
		return nil
	}
	f.shims[number] = s
	program, err := FindProgram(filepath.Join(filepath.Dir(f.experiment.Fleet.Program), "robinlab"))
	if err != nil {
		return fmt.Errorf("the shim is a command of robinlab: %w", err)
	}
	n.Wrapper = []string{program, "shim", "--plan", s.planFile, "--journal", s.journal}
	return s.plan.Write(s.planFile)
}

// planShim returns the shim of a node and whether it needs one. The system calls that a shim may change are fixed at
// the start of its process.
func (f *fleet) planShim(n *standin.Node, number int) (s *nodeShim, needed bool) {
	s = &nodeShim{
		planFile: filepath.Join(f.dir, n.Name+".shim.json"),
		journal:  filepath.Join(f.dir, n.Name+".shim.log"),
	}
	s.plan.Seed = f.experiment.Seed + uint64(number)
	for _, fault := range f.experiment.Faults {
		target, err := experiment.ParseFaultTarget(fault.Target)
		if err != nil || !fault.UsesShim() || !slices.Contains(f.targetNodes(target), number) {
			continue
		}
		needed = true
		if fault.Kind != experiment.FaultClock {
			s.plan.Calls = append(s.plan.Calls, shim.NearestCall(fault.Call))
		} else if fault.At == 0 { // from the process's first moment on
			s.plan.ClockStep = fault.By.Std()
		}
	}
	return s, needed
}

// change changes the plan and has the shim read it.
func (s *nodeShim) change(n *standin.Node, change func(*shim.Plan)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.plan)
	if err := s.plan.Write(s.planFile); err != nil {
		return err
	}
	if !n.Ready() {
		return nil // it reads the plan at its start; a signal before it handles signals would end it
	}
	err := n.Signal(syscall.SIGUSR2)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// playShimFault makes a fault by a node's shim.
func (f *fleet) playShimFault(ctx context.Context, fault experiment.Fault, number int) {
	s, n := f.shims[number], f.nodes[number]
	begin, end := f.shimChanges(fault, n)
	if err := s.change(n, begin); err != nil {
		f.crash(fmt.Errorf("a shim: %w", err))
	}
	sleep(ctx, fault.For.Std())
	if err := s.change(n, end); err != nil {
		f.crash(fmt.Errorf("a shim: %w", err))
	}
}

// shimChanges returns how a fault changes a shim's plan when it begins and when it ends.
func (f *fleet) shimChanges(fault experiment.Fault, n *standin.Node) (begin, end func(*shim.Plan)) {
	if fault.Kind == experiment.FaultClock {
		begin = func(p *shim.Plan) { p.ClockStep = fault.By.Std() }
		end = func(p *shim.Plan) { p.ClockStep = 0 }
		return begin, end
	}
	injection := fault.Injection(f.nodeFolder(fault.Folder, n))
	begin = func(p *shim.Plan) { p.Injections = append(p.Injections, injection) }
	end = func(p *shim.Plan) {
		i := slices.IndexFunc(p.Injections, func(i shim.Injection) bool { return reflect.DeepEqual(i, injection) })
		if i >= 0 {
			p.Injections = slices.Delete(p.Injections, i, i+1)
		}
	}
	return begin, end
}

// nodeFolder is the path of one of a node's folders.
func (f *fleet) nodeFolder(folder string, n *standin.Node) string {
	if folder == experiment.StateFolder {
		return f.stateDir(n)
	}
	return absolute(n.Dir)
}

// injectedCalls counts the system calls that shims have changed.
func (f *fleet) injectedCalls() int {
	n := 0
	for _, s := range f.shims {
		if s == nil {
			continue
		}
		journal, err := os.ReadFile(s.journal)
		if err != nil {
			continue // not written yet: nothing was changed
		}
		n += strings.Count(string(journal), "\n")
	}
	return n
}
