package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"robincart/internal/lab/pgstand"
)

// process is one that the lab started.
type process struct {
	name string
	log  string // file
	args []string
	env  []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  io.ReadCloser
	cpu  time.Duration // of those before
	last *rpc.Client
}

// start starts it; with calls its standard streams carry them.
func (p *process) start(calls bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if calls {
		if p.in, err = cmd.StdinPipe(); err != nil {
			return err
		}
		if p.out, err = cmd.StdoutPipe(); err != nil {
			return err
		}
	} else {
		cmd.Stdout = log
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd = cmd
	if calls {
		p.last = rpc.NewClient(&pipes{p.out, p.in})
	}
	return nil
}

type pipes struct {
	io.ReadCloser
	in io.WriteCloser
}

func (p *pipes) Write(b []byte) (int, error) { return p.in.Write(b) }
func (p *pipes) Close() error                { p.in.Close(); return p.ReadCloser.Close() }

func (p *process) call(method string, args, reply any) error {
	p.mu.Lock()
	c := p.last
	p.mu.Unlock()
	if c == nil {
		return fmt.Errorf("%s does not run", p.name)
	}
	if err := c.Call(method, args, reply); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if p.last != nil {
		p.last.Close()
		p.last = nil
	}
	p.cmd.Process.Kill()
	p.cmd.Wait()
	if s := p.cmd.ProcessState; s != nil {
		p.cpu += s.UserTime() + s.SystemTime()
	}
	p.cmd = nil
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *process) runs() bool { return p.pid() != 0 }

// used is the CPU time of all that this was, and what it holds now.
func (p *process) used() (cpu time.Duration, rss int64) {
	cpu, rss = usedBy(p.pid())
	p.mu.Lock()
	defer p.mu.Unlock()
	return cpu + p.cpu, rss
}

// usedBy reads a process's CPU time and resident bytes.
func usedBy(pid int) (cpu time.Duration, rss int64) {
	if pid == 0 {
		return 0, 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	if i := bytes.LastIndexByte(text, ')'); i >= 0 {
		if f := strings.Fields(string(text[i+1:])); len(f) > 21 {
			user, _ := strconv.ParseInt(f[11], 10, 64)
			system, _ := strconv.ParseInt(f[12], 10, 64)
			pages, _ := strconv.ParseInt(f[21], 10, 64)
			cpu, rss = time.Duration(user+system)*10*time.Millisecond, pages*int64(os.Getpagesize())
		}
	}
	return cpu, rss
}

// children are the processes that one has started.
func children(pid int) (out []int) {
	all, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, f := range all {
		text, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		i := bytes.LastIndexByte(text, ')')
		if w := strings.Fields(string(text[i+1:])); len(w) > 1 && w[1] == strconv.Itoa(pid) {
			if n, err := strconv.Atoi(filepath.Base(filepath.Dir(f))); err == nil {
				out = append(out, n)
			}
		}
	}
	return out
}

// Part is what a process of the lab does for another: hollow nodes, or the store's stand-in. It serves calls on its standard
// streams until they end.
func Part(what string) error {
	s := rpc.NewServer()
	switch what {
	case "nodes":
		s.RegisterName("Nodes", &Nodes{})
	case "store":
		s.RegisterName("Store", &Store{})
	default:
		return fmt.Errorf("there is no part %q", what)
	}
	s.ServeConn(&pipes{os.Stdin, os.Stdout})
	return nil
}

// None is no argument or reply.
type None struct{}

// Nodes is a Hollow by calls.
type Nodes struct{ h *Hollow }

// Count is a number by the name of what was counted, for a call.
type Count struct{ By map[string]int }

// Numbers of nodes.
type Numbers struct{ N []int }

// Prepare makes it.
func (n *Nodes) Prepare(s Setup, _ *None) error { n.h = NewHollow(s); return nil }

// Start begins nodes.
func (n *Nodes) Start(a Numbers, _ *None) error { return n.h.Start(a.N) }

// Kill ends nodes.
func (n *Nodes) Kill(a Numbers, _ *None) error { n.h.Kill(a.N); return nil }

// Cuts sets cuts.
func (n *Nodes) Cuts(c []Cut, _ *None) error { n.h.Cuts(c); return nil }

// Events are those since the last call.
func (n *Nodes) Events(_ None, to *[]Event) error { *to = n.h.Events(); return nil }

// Use tells what is used.
func (n *Nodes) Use(collect bool, to *Use) error { *to = n.h.Use(collect); return nil }

// Word is an operator's to one node.
type Word struct {
	Node   int
	Server string
}

// Drain tells it.
func (n *Nodes) Drain(w Word, _ *None) error { return n.h.Drain(w.Node, w.Server) }

// Store is the store's stand-in by calls.
type Store struct{ s *pgstand.Server }

// Where is an address and a file.
type Where struct{ Addr, Path string }

// Begin starts it; the address for clients is the answer.
func (s *Store) Begin(w Where, to *string) (err error) {
	if s.s, err = pgstand.Start(w.Addr, w.Path); err == nil {
		*to = s.s.Address()
	}
	return err
}

// Stall keeps all statements waiting.
func (s *Store) Stall(on bool, _ *None) error { s.s.Stall(on); return nil }

// Commits tells how many commits there were.
func (s *Store) Commits(_ None, to *int) error { *to = s.s.Commits; return nil }
